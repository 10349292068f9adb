"""One attempt of a request: send it to a target and relay the response to the caller."""

from __future__ import annotations

import math
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import trio

from marigoldarch.exceptions import EventTooLongError, StreamError
from marigoldarch.serving.attempts import (
    FailureReason,
    NotSent,
    OutcomeUnknown,
    RefusedByTarget,
    StreamBroken,
    TargetFailed,
)
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.engine_formula import decode_pass_ms
from marigoldarch.serving.event_stream import (
    MAX_EVENT_BYTES,
    EventBatch,
    EventSplitter,
    take_events,
)
from marigoldarch.serving.pool_view import RunningAttempt
from marigoldarch.serving.response_origin import ResponseOrigin
from marigoldarch_node.serving.crash_check import MIN_SOUND_WRITING_MS, record_crashes
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import CallerDisconnectedError
from marigoldarch_node.serving.response_end_check import ResponseEndCheck
from marigoldarch_node.serving.response_memory import ResponseMemoryFullError
from marigoldarch_node.serving.stall_detector import StallDetector
from marigoldarch_node.serving.target_connections import (
    ResponseError,
    ResponseHead,
    TargetConnection,
    TargetRequest,
    UnreachableError,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.attempts import AttemptOutcome
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.attempt_plan import AttemptPlan, EntryContext
    from marigoldarch_node.serving.dialect import ResponseInfo

CONNECTION_ENDS = (FailureReason.RESET, FailureReason.CUT, FailureReason.CONNECTION_LOST)
"""Failures of a connection, of the target's end or of the way there."""

MIN_DOUBT_MS: Millis = 300.0
"""A target that answers nothing for a shorter time, as its caller's deadline has passed, is not compared."""

log = EventLog("attempts")


@dataclass(frozen=True)
class Delivered:
    """The whole response was sent to the caller."""


@dataclass(frozen=True)
class Superseded:
    """Another attempt of the request has responded first."""


class AttemptObserver(Protocol):
    """What an attempt reports while it runs."""

    def on_silent(self, attempt: Attempt, silent_ms: Millis) -> None:
        """Call repeatedly while the target sends nothing for too long."""
        ...

    def on_response(self, attempt: Attempt) -> None:
        """Call before each part of a response that is sent to the caller."""
        ...


class Attempt:
    """Runs one attempt of a call."""

    def __init__(self, context: EntryContext, plan: AttemptPlan, observer: AttemptObserver) -> None:
        self._context = context
        self._state = context.state
        self._dialect = context.dialect
        self._paths = context.paths
        self._connection: TargetConnection | None = None
        self._reservations = context.reservations
        self._plan = plan
        self._call = plan.call
        self._target_id = plan.forwarding.target_id
        self._work_number = 0
        self._observer = observer
        self._stall_detector = StallDetector(
            context.state, plan.call, plan.placement, self._report_silence, self._report_wait
        )
        self._scope = trio.CancelScope()
        self._is_silence_recorded = False
        self._was_silent = False
        self._withheld_failure: tuple[ResponseHead, bytes] | None = None
        self._sent_ms: Millis = 0.0
        self._event_count = 0
        self._first_event_ms: Millis | None = None
        self._has_caller_disconnected = False
        self._held_response = context.state.response_memory.open(self._target_id)
        self._held_head = context.state.response_heads.open(self._target_id)
        self._is_target_at_fault = True
        self._is_crash_checked = False

    @property
    def plan(self) -> AttemptPlan:
        """Return the plan of the attempt."""
        return self._plan

    @property
    def is_sent(self) -> bool:
        """Return whether anything may have been sent to the target."""
        return self._sent_ms > 0.0

    async def record_crashes(self) -> None:
        """Record which of the targets have crashed, if the request may be the cause."""
        if not self._is_crash_checked and self._may_cause_crash():
            self._is_crash_checked = True
            await record_crashes(self._context, self._plan, self._sent_ms)

    def _may_cause_crash(self) -> bool:
        """Return whether a crash of a target now may come from the request."""
        if self._first_event_ms is None:
            return True
        written_ms = self._state.clock.monotonic_ms() - self._first_event_ms
        return written_ms < MIN_SOUND_WRITING_MS

    def begin(self) -> None:
        """Count the attempt as running work, so that placements in the same moment see it."""
        work = self._running_work()
        if self._concerns_other_data_centres(work):
            work = work._replace(is_widely_reported=True)
        self._work_number = self._state.workload.start(work)

    def supersede(self) -> None:
        """Give up the attempt, as another one of the request responds."""
        self._scope.cancel()

    async def run(self) -> Delivered | Superseded | AttemptOutcome:
        """Send the request and relay the response; return the outcome.

        When the caller disconnects, the attempt is cancelled, and the connection to the target is
        closed at once.
        """
        try:
            with self._scope:
                if self._plan.reservations:
                    refusing_target = await self._reservations.reserve(self._plan.reservations)
                    if refusing_target is not None:
                        return self._reservation_refused(refusing_target)
                return await self._send_and_relay()
            return Superseded()
        finally:
            if self._withheld_failure is None:
                self.close()
            self._reservations.release(self._plan.reservations)
            self._state.workload.end(self._work_number)

    def _report_wait(self, waited_ms: Millis) -> None:
        """Doubt the own links if no target at all has answered meanwhile."""
        if self._paths.silence_ms >= waited_ms:
            self._paths.doubt(self._plan.placement.targets[0], self._connection)

    def _report_silence(self, silent_ms: Millis) -> None:
        """Record a target that is silent in a stream as failing, once, and report its silence.

        The answer to a call may just take long.
        """
        self._was_silent = True
        self._paths.doubt(self._plan.placement.targets[0], self._connection)
        if self._call.route.is_stream and not self._is_silence_recorded:
            self._is_silence_recorded = True
            self._record_unanswered()
        self._observer.on_silent(self, silent_ms)

    async def _claim_response(self) -> None:
        """Take over the response to the caller; an attempt that is superseded ends here."""
        if self._scope.cancel_called:
            await trio.lowlevel.checkpoint()
        self._observer.on_response(self)

    def _concerns_other_data_centres(self, work: RunningAttempt) -> bool:
        """Return whether entries of other data centres must know of this attempt by itself.

        They choose its targets rarely if their own ones are many, and then rely on sums.
        """
        own = self._state.settings.data_centre
        if any(target.data_centre != own for target in self._plan.placement.targets):
            return True
        return not work.is_short and not self._state.candidates.has_near(self._call.service.name)

    def _reservation_refused(self, refusing_target: Target) -> AttemptOutcome:
        """Return the outcome if a helper refuses memory; nothing was sent to the primary target."""
        log.info(
            "no memory",
            request=self._call.request_id,
            target=refusing_target.target_id,
            tokens=self._plan.placement.held_tokens,
        )
        self._call.history.failed_targets.add(refusing_target.target_id)
        return NotSent(FailureReason.NO_MEMORY)

    async def _send_and_relay(self) -> Delivered | AttemptOutcome:
        """Connect to the primary target, send the request and relay the response."""
        call, target = self._call, self._plan.placement.targets[0]
        if self._scope.cancel_called:
            await trio.lowlevel.checkpoint()
        permitted_until_ms = self._plan.permitted_until_ms
        if permitted_until_ms is None:
            permitted_until_ms = await self._state.permissions.acquire(target)
        if permitted_until_ms is None:
            return NotSent(FailureReason.TARGET_LIMITED)
        try:
            connection = await self._paths.acquire(target, must_be_new=not call.route.may_repeat)
        except UnreachableError as error:
            if error.is_target_at_fault:
                self._state.record_failure(self._target_id, is_unreachable=error.is_refused)
            return NotSent(FailureReason.UNREACHABLE)
        self._connection = connection
        self._sent_ms = self._state.clock.monotonic_ms()
        obstacle = self._obstacle_to_sending(target, permitted_until_ms)
        if obstacle is not None:
            self._paths.release(connection, None)
            return NotSent(obstacle)
        if self._plan.reservations:
            connection.connection.bound_silence(holds_memory=True)
            self._reservations.watch(self._plan.reservations, self._unheard_ms)
        head: ResponseHead | None = None
        outcome: Delivered | AttemptOutcome | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.send, self._request())
                nursery.start_soon(self._stall_detector.run)
                with trio.move_on_after(self._time_left_ms() / 1000.0):
                    head, outcome = await self._relay(connection)
                nursery.cancel_scope.cancel()
        finally:
            self._state.waits.note_end(target.start, self._work_number)
            if self._plan.reservations:
                connection.connection.bound_silence(holds_memory=False)
            self._paths.release(connection, head)
        if self._has_caller_disconnected:
            raise CallerDisconnectedError
        return self._record_outcome(outcome)

    def _obstacle_to_sending(
        self, target: Target, permitted_until_ms: Millis
    ) -> FailureReason | None:
        """Return why nothing may be sent to the target any more.

        Since it was chosen it may have said so or named a limit, in a response to another request,
        its data centre may be evacuated, or the request may have been found to crash targets.
        """
        if self._state.crashes.find_quarantine(self._call) is not None:
            return FailureReason.SUSPECTED_PART
        if self._state.target_view.is_leaving(target):
            return FailureReason.TARGET_LEAVES
        if any(map(self._state.evacuations.include, self._plan.placement.targets)):
            return FailureReason.TARGET_EVACUATED
        is_permitted = self._sent_ms < permitted_until_ms < math.inf
        if not is_permitted and not self._state.permissions.try_acquire(target):
            return FailureReason.TARGET_LIMITED
        if not self._state.waits.admit(target.start, self._work_number, self._sent_ms):
            return FailureReason.TARGET_WAITS
        return None

    async def deliver_withheld_failure(self) -> None:
        """Send the target's error response, which was withheld in case another attempt followed."""
        head, body = self._withheld_failure
        await self._call.exchange.answer(head.status, self._dialect.caller_headers(head), body)

    def close(self) -> None:
        """Drop the withheld error response, if any, and free its memory."""
        self._withheld_failure = None
        self._held_response.close()
        self._held_head.close()

    def _record_outcome(
        self, outcome: Delivered | AttemptOutcome | None
    ) -> Delivered | AttemptOutcome:
        """Update the health of the target; return the outcome, a timeout if there is none."""
        now_ms = self._state.clock.monotonic_ms()
        match outcome:
            case None:
                if now_ms - self._sent_ms >= MIN_DOUBT_MS:
                    self._paths.doubt(self._plan.placement.targets[0], self._connection)
                return self._incomplete_outcome(FailureReason.TIMEOUT)
            case Delivered():
                self._state.health.note_success(self._target_id, now_ms)
                if self._call.request_info.prompt is None:
                    self._state.call_durations.record(
                        self._call.service.name, now_ms - self._sent_ms
                    )
            case OutcomeUnknown(reason=reason) | StreamBroken(reason=reason) if (
                reason in CONNECTION_ENDS
            ):
                self._record_unanswered()
            case OutcomeUnknown() | StreamBroken() | TargetFailed() if self._is_target_at_fault:
                self._state.record_failure(self._target_id, is_unreachable=False)
        return outcome

    def _record_unanswered(self) -> None:
        """Record a failure that may be one of the own link; the others are told if it isn't."""
        target = self._plan.placement.targets[0]
        if self._state.record_failure(self._target_id, is_unreachable=False, is_told=False):
            self._paths.verify_suspension(target)

    def _running_work(self) -> RunningAttempt:
        """Return the load of this attempt, as it is reported to the other entries."""
        call, placement = self._call, self._plan.placement
        return RunningAttempt(
            0,
            cached_name_hash(call.service.name),
            tuple(cached_name_hash(target.target_id) for target in placement.targets),
            placement.prefill_ms,
            self._primary_target_tokens(),
            placement.held_tokens,
            call.route.pause_goal_ms if call.route.is_stream else 0.0,
            max(0.0, call.route.goal_ms - self._elapsed_ms()),
            self._plan.is_repeat,
        )

    def _primary_target_tokens(self) -> int:
        """Return the tokens that the primary target holds in memory.

        These are the prompt and the output, less the parts of the prompt that the helpers hold.
        """
        prompt, placement = self._call.request_info.prompt, self._plan.placement
        if prompt is None:
            return 0
        held = placement.held_tokens * (len(placement.targets) - 1)
        return prompt.tokens - held + prompt.answer_tokens

    def _unheard_ms(self) -> Millis:
        """Return how long the host of the first target has been silent, on any connection."""
        heard_ms = self._state.health.heard_ms(self._target_id)
        return min(
            self._connection.connection.unheard_ms(), self._state.clock.monotonic_ms() - heard_ms
        )

    def _request(self) -> TargetRequest:
        request = self._call.exchange.request
        headers = self._dialect.target_headers(request, self._plan.forwarding)
        return TargetRequest(request.method, request.target, headers, request.body)

    def _time_left_ms(self) -> Millis:
        return max(0.0, self._call.deadline_ms - self._state.clock.monotonic_ms())

    def _elapsed_ms(self) -> Millis:
        return self._state.clock.monotonic_ms() - self._call.exchange.request.received_ms

    async def _relay(
        self, connection: TargetConnection
    ) -> tuple[ResponseHead | None, Delivered | AttemptOutcome]:
        """Relay the response; return the outcome, and the head if the response was read completely.

        Without a head the connection is not kept.
        """
        try:
            with self._stall_detector.waiting(has_begun=False):
                head = await connection.read_head()
            self._held_head.add(head.memory_bytes)
            response_info = self._dialect.read_response(head)
            self._record_signals(connection, response_info)
            if response_info.is_event_stream and 200 <= head.status < 300:
                return await self._relay_stream(connection, head, response_info)
            return await self._relay_whole(connection, head, response_info)
        except ResponseError as error:
            self._is_target_at_fault = not isinstance(error, ResponseMemoryFullError)
            if error.limit:
                self._log_limit(error.limit)
            return None, self._incomplete_outcome(error.reason)
        except StreamError as error:
            if isinstance(error, EventTooLongError):
                self._log_limit(f"event bytes {MAX_EVENT_BYTES}")
            return None, self._incomplete_outcome(FailureReason.GARBLED)
        except CallerDisconnectedError:
            # Raised again outside the nursery, which would wrap it in an exception group.
            self._has_caller_disconnected = True
            return None, self._incomplete_outcome(FailureReason.CUT)

    def _record_signals(self, connection: TargetConnection, response_info: ResponseInfo) -> None:
        """Record what the head of a response says of the target."""
        origin = ResponseOrigin(
            self._call.request_id,
            response_info.request_id,
            not connection.is_reused,
            response_info.is_misdirected,
        )
        target = self._plan.placement.targets[0]
        self._paths.record_heard(target, connection)
        self._state.record_signals(target, response_info, origin, self._sent_ms)
        if response_info.wait_ms:
            self._paths.record_wait(connection, target.start, response_info.wait_ms)
        else:
            self._state.waits.note_end(target.start, self._work_number)

    async def _relay_whole(
        self, connection: TargetConnection, head: ResponseHead, response_info: ResponseInfo
    ) -> tuple[ResponseHead | None, Delivered | AttemptOutcome]:
        """Relay a response that is not a stream, once its body is complete and valid."""
        body = await self._read_body(connection)
        if response_info.request_id not in ("", self._call.request_id):
            return None, OutcomeUnknown(FailureReason.GARBLED)
        if response_info.proves_not_run:
            self._record_refusal(response_info)
            return head, RefusedByTarget(head.status, response_info.retry_after_ms)
        await self._check_end(connection, head)
        if head.status >= 500:
            self._withheld_failure = (head, body)
            return head, TargetFailed(head.status)
        if head.status < 300 and not response_info.is_signed:
            return None, OutcomeUnknown(FailureReason.GARBLED)
        if self._call.exchange.is_head_sent:
            return None, self._incomplete_outcome(FailureReason.GARBLED)
        await self._claim_response()
        self._record_first_response()
        await self._call.exchange.answer(head.status, self._dialect.caller_headers(head), body)
        if head.status < 300 and head.is_framed:
            self._state.crashes.record_answer(self._call)
        return head, Delivered()

    async def _check_end(self, connection: TargetConnection, head: ResponseHead) -> None:
        """Raise `ResponseError` if a response that ended with its connection was broken off."""
        if head.is_framed or not connection.has_ended:
            return
        self._is_crash_checked = True
        end_check = ResponseEndCheck(self._context, self._plan, self._sent_ms)
        if await end_check.is_broken_off(self._event_count, is_suspected=self._may_cause_crash()):
            raise ResponseError(FailureReason.CUT)

    async def _read_body(self, connection: TargetConnection) -> bytes:
        """Return the body; raise `ResponseError` if it is faulty or takes too much memory."""
        body = bytearray()
        async for chunk in connection.chunks():
            self._held_response.add(len(chunk))
            body += chunk
        self._held_response.complete()
        return bytes(body)

    async def _relay_stream(
        self, connection: TargetConnection, head: ResponseHead, response_info: ResponseInfo
    ) -> tuple[ResponseHead | None, Delivered | AttemptOutcome]:
        """Forward complete events as they arrive; the response head is sent with the first one."""
        if response_info.request_id != self._call.request_id or not response_info.is_signed:
            return None, self._incomplete_outcome(FailureReason.GARBLED)
        splitter = EventSplitter()
        self._held_response.begin_event(0)
        last_event_ms = self._state.clock.monotonic_ms()
        async with aclosing(connection.chunks()) as chunks:
            while True:
                with self._stall_detector.waiting(has_begun=self._event_count > 0):
                    data = await anext(chunks, None)
                if data is None:
                    break
                events_before = self._event_count
                await self._forward_events(head, splitter, data)
                now_ms = self._state.clock.monotonic_ms()
                new_events = self._event_count - events_before
                if events_before and new_events:
                    # A silence says nothing of the speed at which the target goes on.
                    if not self._was_silent:
                        self._measure_slowdown(last_event_ms, now_ms, new_events)
                    self._call.record_pause(now_ms - last_event_ms)
                if new_events:
                    last_event_ms = now_ms
                    self._was_silent = False
        # Without framing, a stream that has not begun looks the same as one that was broken off.
        if splitter.has_partial_event or not (self._event_count or head.is_framed):
            return None, self._incomplete_outcome(FailureReason.CUT)
        await self._check_end(connection, head)
        await self._claim_response()
        if not self._call.exchange.is_head_sent:
            await self._call.exchange.send_head(head.status, self._dialect.caller_headers(head))
        # Without framing, the end of an answer looks the same as a crash between two events.
        if head.is_framed:
            self._state.crashes.record_answer(self._call)
        await self._call.exchange.end()
        return head, Delivered()

    async def _forward_events(
        self, head: ResponseHead, splitter: EventSplitter, data: bytes
    ) -> None:
        """Forward the events that a chunk completes.

        Raises `StreamError` if one is missing, and `ResponseError` if the incomplete one takes too
        much memory.
        """
        batch = take_events(splitter, data, self._call.last_event)
        if not batch.count and batch.wrong_id is None:
            self._held_response.add(len(data))
            return
        self._held_response.begin_event(splitter.partial_bytes)
        if batch.count:
            await self._claim_response()
            await self._send_events(head, batch)
        if batch.wrong_id is not None:
            raise StreamError(
                f"event {batch.wrong_id} follows event {self._call.last_event} of the stream"
            )

    async def _send_events(self, head: ResponseHead, batch: EventBatch) -> None:
        """Send events to the caller, after the response head if it was not sent yet."""
        exchange = self._call.exchange
        if batch.last_id is not None:
            self._call.last_event = batch.last_id
        if not self._event_count:
            self._first_event_ms = self._state.clock.monotonic_ms()
            self._state.workload.finish_prefill(self._work_number)
            if not exchange.is_head_sent:
                self._record_first_response()
                await exchange.send_head(head.status, self._dialect.caller_headers(head))
        self._event_count += batch.count
        await exchange.send_data(batch.data)

    def _measure_slowdown(self, previous_ms: Millis, now_ms: Millis, events: int) -> None:
        """Record the time per event relative to the predicted duration of an engine pass.

        Skipped if the target was reading prompts meanwhile, which delays its streams.
        """
        engine = self._call.service.engine
        load = self._state.workload.view.load_of(cached_name_hash(self._target_id))
        if engine is None or load.prefill_until_ms > previous_ms:
            return
        expected_ms = decode_pass_ms(engine, load.active, load.context_tokens)
        self._state.record_slowdown(
            self._target_id, (now_ms - previous_ms) / (events * expected_ms)
        )

    def _log_limit(self, limit: str) -> None:
        """Log that the response exceeds a bound."""
        log.warning(
            "response over a limit",
            request=self._call.request_id,
            target=self._target_id,
            limit=limit,
        )

    def _incomplete_outcome(self, reason: FailureReason) -> AttemptOutcome:
        """Return the outcome of an attempt without a complete, valid response."""
        if self._call.exchange.is_head_sent:
            return StreamBroken(reason, self._call.last_event or 0)
        return OutcomeUnknown(reason)

    def _record_refusal(self, response_info: ResponseInfo) -> None:
        """Record which target refused: the primary one, or a helper that the response names."""
        failed_target_id = self._target_id
        for target in self._plan.placement.targets:
            if response_info.failed_target in (target.target_id, target.address):
                failed_target_id = target.target_id
        self._call.history.failed_targets.add(failed_target_id)
        self._state.record_failure(failed_target_id, is_unreachable=False)

    def _record_first_response(self) -> None:
        """Record in metrics and log when the caller's response begins."""
        now_ms = self._state.clock.monotonic_ms()
        first_ms = now_ms - self._call.exchange.request.received_ms
        self._state.metrics.first_response.observe({"route": self._call.route.name}, first_ms / 1e3)
        placement = self._plan.placement
        log.info(
            "answer begins",
            request=self._call.request_id,
            target=self._target_id,
            helpers=len(placement.targets) - 1,
            expected_ms=round(placement.first_token_ms),
            attempt_ms=round(now_ms - self._sent_ms),
            first_ms=round(first_ms),
            view_age_ms=round(
                self._state.workload.report_age_ms(cached_name_hash(self._target_id))
            ),
        )
