"""Outlier ejection: sets failing targets aside and probes them until they serve again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.settings import PoolSettings

INITIAL_PROBE_DELAY_MS: Millis = 2_000.0
MAX_PROBE_DELAY_MS: Millis = 60_000.0


@dataclass(eq=False)
class FailureRecord:
    """The consecutive failures of one target, and when it is probed next."""

    consecutive_failures: int = 0
    probe_delay_ms: Millis = INITIAL_PROBE_DELAY_MS
    next_probe_ms: Millis = 0.0


class PoolHealth:
    """Counts failures of a pool's targets, and sets aside those that fail repeatedly.

    Only a share of the pool's targets is set aside at the same time. A target that is set aside
    takes one request as a probe after a delay, which doubles with each failed probe.
    """

    def __init__(self, fleet: Fleet, settings: PoolSettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self._records: dict[str, FailureRecord] = {}
        self._set_aside: dict[str, Target] = {}

    @property
    def set_aside(self) -> list[str]:
        """Return the names of the targets that are set aside."""
        return list(self._set_aside)

    def record_failure(self, target: Target, now_ms: Millis) -> bool:
        """Count a failure of a target; return whether this set it aside."""
        record = self._records.setdefault(target.name, FailureRecord())
        record.consecutive_failures += 1
        if target.is_set_aside:
            if target.is_probe_due:
                record.probe_delay_ms = min(MAX_PROBE_DELAY_MS, 2 * record.probe_delay_ms)
                self._schedule_probe(target, record, now_ms)
            return False
        if (
            record.consecutive_failures < self._settings.set_aside_failures
            or not self._may_set_aside()
        ):
            return False
        target.is_set_aside = True
        self._set_aside[target.name] = target
        self._schedule_probe(target, record, now_ms)
        return True

    def record_success(self, target: Target) -> bool:
        """Clear a target's failures and let it serve; return whether it was set aside until now."""
        self._records.pop(target.name, None)
        if not target.is_set_aside:
            return False
        target.is_set_aside = target.is_probe_due = False
        self._set_aside.pop(target.name, None)
        self._fleet.reindex(target)
        return True

    def forget(self, name: str) -> None:
        """Drop the record of a target that is gone or has restarted."""
        self._records.pop(name, None)
        self._set_aside.pop(name, None)

    def tick(self, now_ms: Millis) -> None:
        """Let the targets whose probe is due take one request at a time."""
        for name, target in self._set_aside.items():
            if not target.is_probe_due and now_ms >= self._records[name].next_probe_ms:
                target.is_probe_due = True
                self._fleet.reindex(target)

    def _may_set_aside(self) -> bool:
        limit = int(self._settings.set_aside_share * len(self._fleet))
        return len(self._set_aside) < limit

    def _schedule_probe(self, target: Target, record: FailureRecord, now_ms: Millis) -> None:
        target.is_probe_due = False
        record.next_probe_ms = now_ms + record.probe_delay_ms
        self._fleet.reindex(target)
