"""What an entry remembers of crashes of targets, its own findings and those of its peers.

The decisions are those of `marigoldarch.crash_suspects`; this module logs and counts them, and tells
the other entries of what this one has seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.crash_suspects import CrashSuspects, Quarantine, SuspectSettings, TargetCrash
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Sequence

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.targets import TargetStart
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.shared_workload import SharedWorkload

MAX_LOGGED_PARTS = 16
"""How many parts of a prompt the log line of a crash names."""

log = EventLog("crashes")


class CrashMemory:
    """The parts of prompts that an entry suspects of crashing targets."""

    def __init__(
        self,
        settings: SuspectSettings,
        workload: SharedWorkload,
        metrics: ServingMetrics,
        clock: Clock,
    ) -> None:
        self._suspects = CrashSuspects(settings)
        self._workload = workload
        self._metrics = metrics
        self._clock = clock
        workload.on_crash = self._on_peer_crash
        workload.on_acquittal = self._suspects.acquit
        workload.crashes_to_tell = self._suspects.crashes_to_tell
        workload.acquittals_to_tell = self._suspects.acquittals_to_tell

    @property
    def suspect_count(self) -> int:
        """Return how many parts are suspected, in quarantine or not."""
        return self._suspects.count

    def record_crash(self, start: TargetStart, parts: Sequence[str], sent_ms: Millis) -> None:
        """Record that a target has crashed under a request with these parts, sent at `sent_ms`."""
        crash_id = (cached_name_hash(start.target_id), start.born_ms)
        crash = TargetCrash(crash_id, self._clock.monotonic_ms(), tuple(parts), sent_ms)
        log.warning(
            "target crashed",
            target=start.target_id,
            born_ms=start.born_ms,
            parts=parts[:MAX_LOGGED_PARTS],
        )
        self._metrics.crashes.inc({})
        self._workload.report_crash(crash)
        self._record(crash, told_by="")

    def record_answer(self, parts: Sequence[str]) -> None:
        """Record the complete answer to a request with these shared parts."""
        now_ms = self._clock.monotonic_ms()
        for part in self._suspects.record_answer(parts, now_ms):
            log.info("part acquitted", parts=[part])
            self._workload.report_acquittal(part, now_ms)

    def find_quarantine(self, parts: Sequence[str]) -> Quarantine | None:
        """Return why a request with these shared parts must not be sent, None if it may be."""
        return self._suspects.find_quarantine(parts, self._clock.monotonic_ms())

    def may_retry(self, parts: Sequence[str]) -> bool:
        """Return whether a request whose target has crashed may be sent to another one."""
        return self._suspects.may_retry(parts, self._clock.monotonic_ms())

    def forget_old(self) -> None:
        """Drop the parts that have long been neither accused nor quarantined."""
        self._suspects.forget_old(self._clock.monotonic_ms())

    def _on_peer_crash(self, crash: TargetCrash) -> None:
        self._record(crash, told_by="peer")

    def _record(self, crash: TargetCrash, told_by: str) -> None:
        for part in self._suspects.record_crash(crash):
            log.warning("part quarantined", parts=[part], told_by=told_by)
            self._metrics.quarantines.inc({})
