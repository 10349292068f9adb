"""What an entry remembers of crashes of targets, its own findings and those of its peers.

The decisions are those of `marigoldarch.crash_suspects`; this module logs and counts them, and tells
the other entries of what this one has seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.crash_suspects import (
    CrashSuspects,
    Quarantine,
    SuspectSettings,
    TargetCrash,
    TrialClaim,
)
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.request_identity import IDENTITY_PREFIX
from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.targets import TargetStart
    from marigoldarch_node.serving.call import Call
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.shared_workload import SharedWorkload

MAX_LOGGED_PARTS = 16
"""How many parts of a prompt the log line of a crash names."""

log = EventLog("crashes")


class CrashMemory:
    """The parts of prompts and the requests that an entry suspects of crashing targets.

    A request counts as one more part, which only its repeats share: its identity. The parts of a call
    are those by which it is judged.
    """

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
        self._has_suspected_requests = False
        workload.on_crash = self._on_peer_crash
        workload.on_acquittal = self._on_peer_acquittal
        workload.on_trial = self._on_peer_trial
        workload.crashes_to_tell = self._suspects.crashes_to_tell
        workload.acquittals_to_tell = self._suspects.acquittals_to_tell

    @property
    def suspect_count(self) -> int:
        """Return how many parts are suspected, in quarantine or not."""
        return self._suspects.count

    def record_crash(self, start: TargetStart, call: Call, sent_ms: Millis) -> None:
        """Record that a target has crashed under a request, sent at `sent_ms`."""
        # The identity comes first: reports and log lines leave out the last of many parts.
        parts = (call.identity, *call.shared_parts)
        crash_id = (cached_name_hash(start.target_id), start.born_ms)
        crash = TargetCrash(crash_id, self._clock.monotonic_ms(), parts, sent_ms)
        log.warning(
            "target crashed",
            target=start.target_id,
            born_ms=start.born_ms,
            parts=parts[:MAX_LOGGED_PARTS],
        )
        self._metrics.crashes.inc({})
        self._workload.report_crash(crash)
        self._record(crash, told_by="")

    def record_answer(self, call: Call) -> None:
        """Record the complete answer to a request."""
        now_ms = self._clock.monotonic_ms()
        acquitted = self._suspects.record_answer(self._parts_of(call), now_ms)
        for part in acquitted:
            log.info("part acquitted", parts=[part])
            self._workload.report_acquittal(part, now_ms)
        if acquitted:
            self._look_for_suspected_requests()

    def find_quarantine(self, call: Call) -> Quarantine | None:
        """Return why a request must not be sent, None if it may be.

        After a quarantine it may be only if no other request tries; the other entries are told.
        """
        parts, now_ms = self._parts_of(call), self._clock.monotonic_ms()
        quarantine = self._suspects.find_quarantine(parts, now_ms)
        if quarantine is not None:
            return quarantine
        match self._suspects.claim_trial(parts, id(call), now_ms):
            case Quarantine() as trial_of_another:
                return trial_of_another
            case TrialClaim(part=part):
                log.info("part tried again", parts=[part])
                self._workload.report_trial(part)
        return None

    def may_retry(self, call: Call) -> bool:
        """Return whether a request whose target has crashed may be sent to another one."""
        return self._suspects.may_retry(self._parts_of(call), self._clock.monotonic_ms())

    def forget_old(self) -> None:
        """Drop the parts that have long been neither accused nor quarantined."""
        self._suspects.forget_old(self._clock.monotonic_ms())
        self._look_for_suspected_requests()

    def _parts_of(self, call: Call) -> tuple[str, ...]:
        """Return the parts by which a request is judged.

        Its identity costs a digest of its body, which is not taken while no request is suspected.
        """
        if not self._has_suspected_requests:
            return call.shared_parts
        return (call.identity, *call.shared_parts)

    def _look_for_suspected_requests(self) -> None:
        self._has_suspected_requests = self._suspects.has_any(IDENTITY_PREFIX)

    def _on_peer_acquittal(self, part: str, at_ms: Millis) -> None:
        self._suspects.acquit(part, at_ms)
        self._look_for_suspected_requests()

    def _on_peer_trial(self, part: str) -> None:
        self._suspects.record_trial(part, self._clock.monotonic_ms())

    def _on_peer_crash(self, crash: TargetCrash) -> None:
        self._record(crash, told_by="peer")

    def _record(self, crash: TargetCrash, told_by: str) -> None:
        for part in self._suspects.record_crash(crash):
            log.warning("part quarantined", parts=[part], told_by=told_by)
            self._metrics.quarantines.inc({})
        self._look_for_suspected_requests()
