"""Which targets are set aside after failures, and how slow each one is.

Load pattern: some targets fail part of their requests, or run several times slower, while their
own health answers stay good. Only the answers to real requests show it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


class HealthSettings(NamedTuple):
    """When a target is set aside, and for how long."""

    failures_in_a_row: int = 2
    first_suspension_ms: Millis = 1000.0
    longest_suspension_ms: Millis = 8000.0
    memory_ms: Millis = 12_000.0
    """After this long without a failure a target counts as sound again."""

    pace_weight: float = 0.3
    """The share of the newest sample in the moving average of the pace."""

    pace_half_life_ms: Millis = 2000.0
    """A measured slowness halves in this time without samples, so that it is measured again."""

    least_pace: float = 1.8
    """Below this a target counts as sound: prompts that other entries have read there explain it."""

    longest_pace: float = 20.0


@dataclass
class _Record:
    failures: int = 0
    suspensions: int = 0
    suspended_until_ms: float = 0.0
    last_failure_ms: float = 0.0
    heard_ms: float = float("-inf")
    pace: float = 1.0
    paced_ms: float = 0.0


class TargetHealth:
    """What the answers of each target's present start have shown."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def is_suspended(self, target_id: str, now_ms: Millis) -> bool:
        """Return whether a target should get work only if no other can."""
        record = self._records.get(target_id)
        return record is not None and now_ms < record.suspended_until_ms

    def slowdown_of(self, target_id: str, now_ms: Millis) -> float:
        """Return how many times longer than by the formula a target works, 1 if it is sound.

        Small differences count as none: otherwise targets that are measured would look slower than
        idle ones, and short work would spread over all of them.
        """
        pace = self._measured_pace(target_id, now_ms)
        return pace if pace >= self._settings.least_pace else 1.0

    def _measured_pace(self, target_id: str, now_ms: Millis) -> float:
        record = self._records.get(target_id)
        if record is None:
            return 1.0
        age_ms = max(0.0, now_ms - record.paced_ms)
        return 1.0 + (record.pace - 1.0) * 0.5 ** (age_ms / self._settings.pace_half_life_ms)

    def heard_ms(self, target_id: str) -> Millis:
        """Return when a target last sent anything, minus infinity if it never did."""
        record = self._records.get(target_id)
        return record.heard_ms if record else float("-inf")

    def note_heard(self, target_id: str, now_ms: Millis) -> None:
        """Take a sign of life, which says nothing of whether the answer is good."""
        self._records.setdefault(target_id, _Record()).heard_ms = now_ms

    def note_success(self, target_id: str, now_ms: Millis) -> None:
        """Take a good answer."""
        record = self._records.get(target_id)
        if record is None:
            return
        record.failures = 0
        if now_ms - record.last_failure_ms >= self._settings.memory_ms:
            record.suspensions = 0

    def note_failure(self, target_id: str, now_ms: Millis, *, is_unreachable: bool) -> bool:
        """Take a failed attempt; return whether it suspends the target.

        One that accepts no connection is set aside at once, one that fails a request only after
        several in a row.
        """
        record = self._records.setdefault(target_id, _Record())
        record.failures += 1
        record.last_failure_ms = now_ms
        if not is_unreachable and record.failures < self._settings.failures_in_a_row:
            return False
        self.suspend(target_id, now_ms)
        return True

    def suspend(self, target_id: str, now_ms: Millis) -> None:
        """Set a target aside, each time for twice as long."""
        record = self._records.setdefault(target_id, _Record())
        if now_ms < record.suspended_until_ms:
            return
        settings = self._settings
        duration_ms = min(
            settings.first_suspension_ms * 2**record.suspensions, settings.longest_suspension_ms
        )
        record.suspensions += 1
        record.suspended_until_ms = now_ms + duration_ms

    def note_slowdown(self, target_id: str, ratio: float, now_ms: Millis) -> None:
        """Take a measured duration over that of the formula."""
        record = self._records.setdefault(target_id, _Record())
        before = self._measured_pace(target_id, now_ms)
        sample = min(max(ratio, 1.0), self._settings.longest_pace)
        weight = self._settings.pace_weight
        record.pace = before + weight * (sample - before)
        record.paced_ms = now_ms

    def note_peer_slowdown(self, target_id: str, pace: float, now_ms: Millis) -> None:
        """Take the slowness that another entry has measured, if it is more than the own."""
        if pace > self.slowdown_of(target_id, now_ms):
            record = self._records.setdefault(target_id, _Record())
            record.pace, record.paced_ms = min(pace, self._settings.longest_pace), now_ms

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget the targets that are no more."""
        for target_id in self._records.keys() - target_ids:
            del self._records[target_id]
