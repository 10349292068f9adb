"""Passive health checks: suspends failing targets, and tracks how slow each target is.

Load pattern: some targets fail part of their requests, or run several times slower, while their
health endpoints still report them healthy. Only the answers to real requests show it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


class HealthSettings(NamedTuple):
    """When a target is suspended and for how long, and how its slowdown is measured.

    A target is suspended after `consecutive_failures`, for `initial_suspension_ms` at first and
    twice as long each time, up to `max_suspension_ms`.
    """

    consecutive_failures: int = 2
    initial_suspension_ms: Millis = 1000.0
    max_suspension_ms: Millis = 8000.0
    backoff_reset_ms: Millis = 12_000.0
    """A success this long after the last failure resets the suspension to its initial length."""

    slowdown_sample_weight: float = 0.3
    """The weight of the newest sample in the moving average of the slowdown."""

    slowdown_half_life_ms: Millis = 2000.0
    """Without new samples, the excess of a slowdown over 1 halves in this time.

    The target then gets requests again, which measure it anew.
    """

    min_slowdown: float = 1.8
    """A smaller slowdown counts as none: the prefill of other entries' prompts can explain it."""

    max_slowdown: float = 20.0
    """Larger samples are reduced to this."""


@dataclass
class _TargetRecord:
    failures: int = 0
    suspensions: int = 0
    suspended_until_ms: float = 0.0
    last_failure_ms: float = 0.0
    heard_ms: float = float("-inf")
    slowdown: float = 1.0
    slowdown_set_ms: float = float("-inf")


class TargetHealth:
    """The health of each target, as the answers to requests show it."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._records: dict[str, _TargetRecord] = {}

    def is_suspended(self, target_id: str, now_ms: Millis) -> bool:
        """Return whether a target should get a request only if no other target can."""
        record = self._records.get(target_id)
        return record is not None and now_ms < record.suspended_until_ms

    def slowdown_of(self, target_id: str, now_ms: Millis) -> float:
        """Return how many times longer than by the engine formula a target takes, 1 if healthy.

        Small differences count as none. Otherwise targets with samples would look slower than idle
        ones, and short prompts would spread over all targets.
        """
        slowdown = self._decayed_slowdown(target_id, now_ms)
        return slowdown if slowdown >= self._settings.min_slowdown else 1.0

    def measured_ms(self, target_id: str) -> Millis:
        """Return when the slowdown of a target was measured last, minus infinity if it never was."""
        record = self._records.get(target_id)
        return record.slowdown_set_ms if record else float("-inf")

    def _decayed_slowdown(self, target_id: str, now_ms: Millis) -> float:
        record = self._records.get(target_id)
        if record is None:
            return 1.0
        age_ms = max(0.0, now_ms - record.slowdown_set_ms)
        return 1.0 + (record.slowdown - 1.0) * 0.5 ** (
            age_ms / self._settings.slowdown_half_life_ms
        )

    def heard_ms(self, target_id: str) -> Millis:
        """Return when a target last sent anything, minus infinity if it never did."""
        record = self._records.get(target_id)
        return record.heard_ms if record else float("-inf")

    def note_heard(self, target_id: str, now_ms: Millis) -> None:
        """Record that a target has sent something, whether or not the answer is good."""
        self._records.setdefault(target_id, _TargetRecord()).heard_ms = now_ms

    def note_success(self, target_id: str, now_ms: Millis) -> None:
        """Record a good answer."""
        record = self._records.get(target_id)
        if record is None:
            return
        record.failures = 0
        if now_ms - record.last_failure_ms >= self._settings.backoff_reset_ms:
            record.suspensions = 0

    def note_failure(self, target_id: str, now_ms: Millis, *, is_unreachable: bool) -> bool:
        """Record a failed attempt; return whether it suspends the target.

        A target that refuses connections is suspended at once. One that fails requests, or to which
        connections time out, is suspended after several failures in a row.
        """
        record = self._records.setdefault(target_id, _TargetRecord())
        record.failures += 1
        record.last_failure_ms = now_ms
        if not is_unreachable and record.failures < self._settings.consecutive_failures:
            return False
        self.suspend(target_id, now_ms)
        return True

    def suspend(self, target_id: str, now_ms: Millis) -> None:
        """Suspend a target, each time for twice as long; no change if it is suspended already."""
        record = self._records.setdefault(target_id, _TargetRecord())
        if now_ms < record.suspended_until_ms:
            return
        settings = self._settings
        duration_ms = min(
            settings.initial_suspension_ms * 2**record.suspensions, settings.max_suspension_ms
        )
        record.suspensions += 1
        record.suspended_until_ms = now_ms + duration_ms

    def lift(self, target_id: str) -> None:
        """Forget the failures of a target, as they were none of its own."""
        record = self._records.get(target_id)
        if record is not None:
            record.failures, record.suspensions, record.suspended_until_ms = 0, 0, 0.0

    def note_slowdown(self, target_id: str, ratio: float, now_ms: Millis) -> None:
        """Record the ratio of a measured duration to that of the engine formula."""
        record = self._records.setdefault(target_id, _TargetRecord())
        previous = self._decayed_slowdown(target_id, now_ms)
        sample = min(max(ratio, 1.0), self._settings.max_slowdown)
        weight = self._settings.slowdown_sample_weight
        record.slowdown = previous + weight * (sample - previous)
        record.slowdown_set_ms = now_ms

    def note_peer_slowdown(self, target_id: str, slowdown: float, now_ms: Millis) -> None:
        """Adopt the slowdown that another entry has measured if it exceeds the own one."""
        if slowdown > self.slowdown_of(target_id, now_ms):
            record = self._records.setdefault(target_id, _TargetRecord())
            record.slowdown, record.slowdown_set_ms = (
                min(slowdown, self._settings.max_slowdown),
                now_ms,
            )

    def keep_only(self, target_ids: set[str]) -> None:
        """Drop the records of all other targets."""
        for target_id in self._records.keys() - target_ids:
            del self._records[target_id]
