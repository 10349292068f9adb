"""Set targets aside that fail, and probe them until they serve again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.settings import PoolSettings

FIRST_PROBE_MS: Millis = 2_000.0
LAST_PROBE_MS: Millis = 60_000.0


@dataclass(eq=False)
class Record:
    """The failures of one target in a row, and when it is probed next."""

    failures: int = 0
    backoff_ms: Millis = FIRST_PROBE_MS
    probe_ms: Millis = 0.0


class Health:
    """Failures and set-aside targets of one pool."""

    def __init__(self, fleet: Fleet, settings: PoolSettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self._records: dict[str, Record] = {}
        self._set_aside: dict[str, Target] = {}

    @property
    def set_aside(self) -> list[str]:
        """Return the names of the targets that are set aside."""
        return list(self._set_aside)

    def note_failure(self, target: Target, now_ms: Millis) -> bool:
        """Count a failure; return whether the target was set aside for it."""
        record = self._records.setdefault(target.name, Record())
        record.failures += 1
        if target.is_set_aside:
            if target.is_probe_due:
                record.backoff_ms = min(LAST_PROBE_MS, 2 * record.backoff_ms)
                self._wait_for_probe(target, record, now_ms)
            return False
        if record.failures < self._settings.set_aside_failures or not self._has_room():
            return False
        target.is_set_aside = True
        self._set_aside[target.name] = target
        self._wait_for_probe(target, record, now_ms)
        return True

    def note_success(self, target: Target) -> bool:
        """Forget a target's failures; return whether it was set aside until now."""
        self._records.pop(target.name, None)
        if not target.is_set_aside:
            return False
        target.is_set_aside = target.is_probe_due = False
        self._set_aside.pop(target.name, None)
        self._fleet.reindex(target)
        return True

    def forget(self, name: str) -> None:
        """Drop a target that is gone or has started anew."""
        self._records.pop(name, None)
        self._set_aside.pop(name, None)

    def tick(self, now_ms: Millis) -> None:
        """Open the targets whose probe is due to one request at a time."""
        for name, target in self._set_aside.items():
            if not target.is_probe_due and now_ms >= self._records[name].probe_ms:
                target.is_probe_due = True
                self._fleet.reindex(target)

    def _has_room(self) -> bool:
        limit = int(self._settings.set_aside_share * len(self._fleet))
        return len(self._set_aside) < limit

    def _wait_for_probe(self, target: Target, record: Record, now_ms: Millis) -> None:
        target.is_probe_due = False
        record.probe_ms = now_ms + record.backoff_ms
        self._fleet.reindex(target)
