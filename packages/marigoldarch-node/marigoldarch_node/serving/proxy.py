"""Reverse proxy of an entry: admission, placement, retries and the final response of a request."""

from __future__ import annotations

from contextlib import closing
from dataclasses import dataclass
from typing import TYPE_CHECKING, NoReturn

import trio

from marigoldarch.serving.attempts import (
    AttemptHistory,
    Budget,
    CutStream,
    DeliverFailure,
    Fail,
    HedgeObstacle,
    NextStep,
    Refuse,
    TargetFailed,
    TryAgain,
)
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.placement import Placement, Saturated
from marigoldarch.serving.stopping import can_end_in_time
from marigoldarch_node.serving.attempt import Delivered
from marigoldarch_node.serving.attempt_plan import AttemptPlan, EntryContext
from marigoldarch_node.serving.body_reader import Refusal
from marigoldarch_node.serving.call import Call
from marigoldarch_node.serving.crash_check import may_come_from_crash
from marigoldarch_node.serving.dialect import ForwardingInfo, RequestInfo
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.hedging import HedgedAttempts
from marigoldarch_node.serving.http_server import CallerDisconnectedError
from marigoldarch_node.serving.refusal_counts import LineBudget
from marigoldarch_node.serving.room_finder import (
    CAPACITY_POLL_MS,
    DEFAULT_RETRY_AFTER_MS,
    MIN_POLL_MS,
    RoomFinder,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.attempts import AttemptOutcome
    from marigoldarch.serving.declaration import Customer, Route
    from marigoldarch.serving.routing import RoutingTable
    from marigoldarch.serving.waiting_tickets import Ticket
    from marigoldarch_node.serving.http_server import Exchange, Request
    from marigoldarch_node.serving.memory_reservations import MemoryReservation

FIRST_DECLARATION_TIMEOUT_MS: Millis = 700.0
"""How long a request waits for the first declaration after a start: the longest election timeout of
the control hosts."""

EVACUATED_RETRY_AFTER_MS: Millis = 1000.0
"""`Retry-After` while all targets are evacuated. Entries hear of a withdrawal within a moment, and a
refusal costs little."""

MAX_LOGGED_PARTS = 4
"""How many shared parts of a prompt a log line names."""

NO_ROUTE = "no route"
UNKNOWN_KEY = "unknown key"
UNKNOWN_OUTCOMES = frozenset({f"refused: {NO_ROUTE}", f"refused: {UNKNOWN_KEY}"})
MAX_UNKNOWN_LINES_PER_S = 50
"""How many requests without route or key are logged each second; the next line counts the others."""

DEFAULT_CALLER_TIMEOUT_MS: Millis = 60_000.0
"""The timeout of a caller that sends none."""

log = EventLog("requests")


@dataclass
class RefusalError(Exception):
    """Ends a request with an error response of the system's own, not of a target.

    `reason` is the label of the metric and of the log line.
    """

    status: int
    reason: str
    retry_after_ms: Millis | None = None


@dataclass
class StreamCutError(Exception):
    """Ends a request whose response has begun and cannot be completed.

    `reason` is part of the outcome in the metric and the log line.
    """

    reason: str


class Proxy:
    """Forwards callers' requests to targets, with retries where these are safe."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._state = context.state
        self._dialect = context.dialect
        self._rooms = RoomFinder(context.state)
        self._unknown_lines = LineBudget(MAX_UNKNOWN_LINES_PER_S)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; the caller gets one final response, or its connection is aborted."""
        request_info = self._dialect.read_request(exchange.request)
        exchange.log_name = request_info.request_id
        call: Call | None = None
        outcome = "caller gone"
        try:
            call = self._admit(exchange, request_info, await self._wait_for_table())
            outcome = await self._run_attempts(call)
        except RefusalError as refusal:
            outcome = f"refused: {refusal.reason}"
            await self._refuse(exchange, request_info, refusal)
        except StreamCutError as cut:
            outcome = f"stream cut: {cut.reason}"
            exchange.abort()
        except CallerDisconnectedError:
            exchange.has_caller_disconnected = True
        except Exception:
            outcome = "handler failed"
            raise
        finally:
            self._log_end(exchange, request_info, call, outcome)

    def refuse_by_head(self, request: Request, body_bytes: int) -> Refusal | None:
        """Return why a request is refused whatever its body is, None if it may be served."""
        table = self._state.table
        if table is None:
            return None
        request_info = self._dialect.read_request(request)
        try:
            _find_route(request_info, table)
        except RefusalError as error:
            refusal = error
        else:
            return None
        suppressed = self._unknown_lines.admit(self._now_ms())
        if suppressed is not None:
            log.info(
                "refused by its head",
                request=request_info.request_id,
                reason=refusal.reason,
                body_bytes=body_bytes,
                version=table.version,
                host=request_info.host,
                path=request_info.path,
                not_logged=suppressed,
            )
        self._state.metrics.refusals.inc({"reason": refusal.reason})
        headers = self._dialect.refusal_headers(request_info.request_id, None)
        return Refusal(refusal.status, refusal.reason, headers)

    async def _wait_for_table(self) -> RoutingTable:
        """Return the routing table in force, waiting for the first one after a start.

        Load pattern: all nodes restart at once, and requests arrive before the first declaration.
        It usually follows within a moment, so the requests wait for it; a refusal would use up the
        callers' retries.
        """
        began_ms = self._now_ms()
        while (table := self._state.table) is None:
            if self._is_wait_over():
                raise RefusalError(503, "node is stopping", 0.0)
            if self._now_ms() - began_ms >= FIRST_DECLARATION_TIMEOUT_MS:
                raise RefusalError(503, "no declaration yet", DEFAULT_RETRY_AFTER_MS)
            await self._state.wait_for_table(CAPACITY_POLL_MS)
        return table

    def _is_wait_over(self) -> bool:
        """Return whether the entry stops so soon that no request may wait any longer."""
        plan = self._state.stop_plan
        return plan is not None and self._now_ms() >= plan.wait_until_ms

    def _admit(self, exchange: Exchange, request_info: RequestInfo, table: RoutingTable) -> Call:
        """Choose route, customer and service; raise `RefusalError` if the request is refused."""
        state = self._state
        route, customer = _find_route(request_info, table)
        plan = state.stop_plan
        if plan is not None and state.clock.monotonic_ms() > plan.accept_until_ms:
            raise RefusalError(503, "node is stopping", 0.0)
        service = table.choose_service(route, state.rng)
        caller_timeout_ms = request_info.caller_timeout_ms or DEFAULT_CALLER_TIMEOUT_MS
        deadline_ms = exchange.request.received_ms + min(caller_timeout_ms, route.timeout_ms)
        state.workload.count_request(cached_name_hash(service.name))
        history = AttemptHistory(route)
        return Call(
            exchange,
            request_info,
            route,
            service,
            customer,
            table.version,
            deadline_ms,
            history,
            request_info.last_event,
        )

    async def _run_attempts(self, call: Call) -> str:
        """Make attempts until the request has ended; return its outcome for logs and metrics."""
        while True:
            placement, permitted_until_ms = await self._wait_for_placement(call)
            plan = self._plan_attempt(call, placement, is_repeat=call.history.is_repeat)
            plan.permitted_until_ms = permitted_until_ms
            attempts = HedgedAttempts(self._context, call, self._plan_hedge, self._log_attempt)
            attempt, outcome = await attempts.run(plan)
            if isinstance(outcome, Delivered):
                return "delivered"
            with closing(attempt):
                step = call.history.next_step(outcome, self._remaining_budget(call))
                self._log_attempt(call, attempt.plan, outcome, step)
                match step:
                    case TryAgain():
                        continue
                    case DeliverFailure():
                        await attempt.deliver_withheld_failure()
                        return f"target failed: {_status_of(outcome)}"
                    case CutStream():
                        raise StreamCutError(_detail_of(outcome))
                    case Refuse(retry_after_ms=retry_after_ms):
                        raise RefusalError(
                            503,
                            "no target ran it",
                            self._rooms.retry_after_ms(call, retry_after_ms),
                        )
                    case Fail(is_timeout=is_timeout):
                        if call.exchange.is_head_sent:
                            raise StreamCutError(_detail_of(outcome))
                        raise RefusalError(504 if is_timeout else 502, "outcome unknown")

    async def _wait_for_placement(self, call: Call) -> tuple[Placement, Millis]:
        """Return where the next attempt runs, after waiting for capacity if that is in time.

        The second value is until when it may be sent there, by the limit that the target names.
        """
        began_ms = self._now_ms()
        turns, waiting = self._state.waiting_turns, self._state.waiting
        ticket = self._rooms.new_ticket(call)
        is_served = False
        try:
            while True:
                self._check_quarantine(call)
                self._check_links(call)
                self._check_evacuation(call)
                placement = self._rooms.find_room(call, ticket)
                self._check_stop(call, placement)
                if isinstance(placement, Placement):
                    permitted_until_ms = await self._acquire_permission(call, placement)
                    if permitted_until_ms is not None:
                        is_served = True
                        self._log_let_in(call, ticket, began_ms)
                        return placement, permitted_until_ms
                    # The target now counts as waiting, so that another placement is found.
                    continue
                if self._is_wait_over():
                    self._raise_unplaced(call, "node is stopping", 0.0)
                if self._rooms.is_too_late(call, ticket, placement, began_ms):
                    self._raise_no_capacity(call, ticket, placement)
                turns.join(call.service.name, call.turn)
                pause_ms = min(CAPACITY_POLL_MS, max(MIN_POLL_MS, placement.retry_after_ms))
                if ticket is None:
                    with trio.move_on_after(pause_ms / 1000.0):
                        await self._state.workload.wait_for_work_end()
                    continue
                ticket.expected_start_ms = self._now_ms() + placement.retry_after_ms
                self._log_wait(call, ticket)
                await waiting.wait(call.service.name, ticket, pause_ms)
        finally:
            turns.leave(call.service.name, call.turn)
            if ticket is not None:
                waiting.leave(call.service.name, ticket, is_served=is_served)

    async def _acquire_permission(self, call: Call, placement: Placement) -> Millis | None:
        """Return until when a request may be sent to its target, None if the limit is reached."""
        target = placement.targets[0]
        permitted_until_ms = await self._state.permissions.acquire(target)
        if permitted_until_ms is None:
            now_ms = self._now_ms()
            log.info(
                "target at its limit",
                request=call.request_id,
                target=target.target_id,
                limit_per_s=self._state.permissions.lending.rate_per_s(target.start, now_ms),
                wait_ms=round(self._state.permissions.lending.wait_ms(target.start, now_ms)),
            )
        return permitted_until_ms

    def _check_stop(self, call: Call, placement: Placement | Saturated) -> None:
        """Refuse a request that has not run and can't end before the entry stops."""
        plan = self._state.stop_plan
        if plan is None or call.history.may_have_run or call.exchange.is_head_sent:
            return
        now_ms = self._now_ms()
        left_ms = call.deadline_ms - now_ms
        expected_ms = self._rooms.expected_ms(call, placement)
        if can_end_in_time(plan, now_ms, expected_ms, left_ms):
            return
        log.info(
            "cannot end before the stop",
            request=call.request_id,
            expected_ms=round(expected_ms),
            left_ms=round(left_ms),
            stop_in_ms=round(plan.end_ms - now_ms),
        )
        self._raise_unplaced(call, "node is stopping", 0.0)

    def _check_quarantine(self, call: Call) -> None:
        """End a request that crashes targets; log the crashes on which that is based.

        Load pattern: each target that begins to run such a request crashes. A caller that asks
        again before the quarantine ends is refused again.
        """
        quarantine = self._state.crashes.find_quarantine(call)
        if quarantine is None:
            return
        log.info(
            "part in quarantine",
            request=call.request_id,
            parts=[quarantine.part],
            crashes=quarantine.crashes,
            left_ms=round(quarantine.left_ms),
        )
        if call.exchange.is_head_sent:
            raise StreamCutError("part in quarantine")
        if call.history.may_have_run:
            raise RefusalError(502, "part in quarantine")
        raise RefusalError(503, "part in quarantine", quarantine.left_ms)

    def _check_links(self, call: Call) -> None:
        """End a request if neither this entry nor another one reaches any target."""
        wait_ms = self._context.paths.cut_off_ms()
        if wait_ms is not None:
            log.info(
                "no path to targets",
                request=call.request_id,
                lost_data_centres=sorted(self._state.links.lost_data_centres),
                retry_after_ms=round(wait_ms),
            )
            self._raise_unplaced(call, "no path to targets", wait_ms)

    def _check_evacuation(self, call: Call) -> None:
        """End a request whose service has targets in evacuated data centres only.

        Load pattern: an operator evacuates every data centre that runs a service. Waiting would only
        use up the caller's time, since none of its targets runs it before the withdrawal.
        """
        if not self._state.candidates.is_evacuated(call.service.name):
            return
        evacuations = self._state.evacuations
        log.info(
            "targets evacuated",
            request=call.request_id,
            service=call.service.name,
            data_centres=evacuations.data_centres,
            revision=evacuations.revision,
        )
        self._raise_unplaced(call, "targets evacuated", EVACUATED_RETRY_AFTER_MS)

    def _raise_no_capacity(
        self, call: Call, ticket: Ticket | None, placement: Saturated
    ) -> NoReturn:
        """End a request for which no target has capacity; log the load on which that is based."""
        now_ms = self._now_ms()
        retry_after_ms = placement.retry_after_ms
        if ticket is not None:
            line = self._state.waiting.line(call.service.name)
            retry_after_ms = max(retry_after_ms, line.expected_wait_ms(ticket, now_ms))
            retry_after_ms = self._state.returning.spread(retry_after_ms)
            self._state.returning.record_refusal(call.identity, ticket.came_ms, now_ms)
        candidates = self._state.candidates.find(call.service.name, set(), now_ms)
        log.info(
            "no room",
            request=call.request_id,
            service=call.service.name,
            targets=len(candidates),
            suspended=sum(item.is_suspended for item in candidates),
            waiting=sum(item.wait_ms > 0 for item in candidates),
            limited=sum(item.limit_per_s > 0 for item in candidates),
            ahead=self._state.waiting_turns.count_ahead(call.service.name, call.turn),
            active=sum(item.load.active for item in candidates),
            tried=sorted(call.history.failed_targets),
            retry_after_ms=round(retry_after_ms),
            left_ms=round(call.deadline_ms - now_ms),
            **self._rooms.order_fields(call, ticket),
            view_age_ms=round(self._state.workload.oldest_report_ms),
        )
        self._raise_unplaced(call, "no room", retry_after_ms)

    def _raise_unplaced(self, call: Call, reason: str, retry_after_ms: Millis) -> NoReturn:
        """End a request that gets no further attempt, by what its caller may already have."""
        if call.exchange.is_head_sent:
            raise StreamCutError(reason)
        if call.history.may_have_run:
            raise RefusalError(502, "outcome unknown")
        raise RefusalError(503, reason, retry_after_ms)

    def _plan_hedge(self, call: Call, running: int) -> AttemptPlan | HedgeObstacle:
        """Return the plan of an attempt beside running ones, or why there is none now."""
        # Cheap conditions first: this is asked again and again for each silent target.
        obstacle = call.history.find_hedge_obstacle(running, self._spendable_budget(call))
        if obstacle is not None:
            return obstacle
        if not self._has_other_target(call):
            return HedgeObstacle.NO_OTHER_TARGET
        placement = self._rooms.choose_placement(call)
        if isinstance(placement, Saturated):
            return HedgeObstacle.NO_ROOM
        return self._plan_attempt(call, placement, is_repeat=True)

    def _plan_attempt(self, call: Call, placement: Placement, *, is_repeat: bool) -> AttemptPlan:
        """Return what to send to the chosen targets, with a memory reservation for each helper."""
        self._log_placement(call, placement)
        prompt = call.request_info.prompt
        customer = call.customer
        reservations: list[MemoryReservation] = []
        helpers = [target.address for target in placement.targets[1:]]
        if placement.held_tokens:
            reservations = self._context.reservations.create(
                placement.targets[1:], placement.held_tokens
            )
            helpers = [
                f"{reservation.target.address}/{reservation.reservation_id}"
                for reservation in reservations
            ]
        forwarding = ForwardingInfo(
            placement.targets[0].target_id,
            customer.name if customer else "",
            call.deadline_ms - self._now_ms(),
            call.last_event,
            _request_priority(call.rank, prompt.tokens) if prompt else None,
            tuple(helpers),
        )
        return AttemptPlan(call, placement, forwarding, reservations, is_repeat)

    def _remaining_budget(self, call: Call) -> Budget:
        """Return the remaining time, and whether a retry is allowed and another target is left."""
        budget = self._spendable_budget(call)
        return budget._replace(has_other_target=self._has_other_target(call))

    def _has_other_target(self, call: Call) -> bool:
        """Return whether a target is left that has not failed this request."""
        failed = call.history.failed_targets
        return self._state.candidates.has_any(call.service.name, failed)

    def _spendable_budget(self, call: Call) -> Budget:
        """Return the remaining time, and whether a retry is allowed, without looking for targets."""
        return Budget(
            call.deadline_ms - self._now_ms(),
            has_retry=self._state.workload.allows_retry(cached_name_hash(call.service.name)),
            is_suspected=not self._state.crashes.may_retry(call),
        )

    async def _refuse(
        self, exchange: Exchange, request_info: RequestInfo, refusal: RefusalError
    ) -> None:
        """Send an error response, or abort the connection if a response has begun."""
        self._state.metrics.refusals.inc({"reason": refusal.reason})
        if exchange.is_head_sent:
            exchange.abort()
            return
        headers = self._dialect.refusal_headers(request_info.request_id, refusal.retry_after_ms)
        await exchange.answer(refusal.status, headers)

    def _now_ms(self) -> Millis:
        return self._state.clock.monotonic_ms()

    def _log_placement(self, call: Call, placement: Placement) -> None:
        now_ms = self._now_ms()
        first = placement.targets[0]
        load = self._state.workload.view.load_of(cached_name_hash(first.target_id))
        log.info(
            "placed",
            request=call.request_id,
            target=first.target_id,
            helpers=[target.target_id for target in placement.targets[1:]],
            expected_ms=round(placement.first_token_ms),
            active=load.active,
            backlog_ms=round(max(0.0, load.prefill_until_ms - now_ms)),
            pace=round(self._state.health.slowdown_of(first.target_id, now_ms), 1),
            view_age_ms=round(
                self._state.workload.report_age_ms(cached_name_hash(first.target_id))
            ),
        )

    def _log_wait(self, call: Call, ticket: Ticket) -> None:
        """Log that a request begins to wait."""
        if ticket.is_queued:
            return
        log.info(
            "waits",
            request=call.request_id,
            **self._rooms.order_fields(call, ticket),
            view_age_ms=round(self._state.workload.oldest_report_ms),
        )

    def _log_let_in(self, call: Call, ticket: Ticket | None, began_ms: Millis) -> None:
        """Log that a request that has waited gets room."""
        if ticket is not None and ticket.is_queued:
            waited_ms = round(self._now_ms() - began_ms)
            log.info(
                "let in",
                request=call.request_id,
                **self._rooms.order_fields(call, ticket),
                waited_ms=waited_ms,
            )

    def _log_attempt(
        self, call: Call, plan: AttemptPlan, outcome: AttemptOutcome, step: NextStep
    ) -> None:
        outcome_name = type(outcome).__name__
        # Repeats of a request have other ids; a crash is a reason to look for them.
        identity = {"identity": call.identity} if may_come_from_crash(outcome) else {}
        log.info(
            "attempt failed",
            request=call.request_id,
            target=plan.forwarding.target_id,
            outcome=outcome_name,
            detail=_detail_of(outcome),
            next=type(step).__name__,
            sent=call.history.sent,
            left_ms=round(call.deadline_ms - self._now_ms()),
            parts=call.shared_parts[:MAX_LOGGED_PARTS],
            **identity,
        )
        self._state.metrics.attempts.inc({"service": call.service.name, "outcome": outcome_name})

    def _log_end(
        self, exchange: Exchange, request_info: RequestInfo, call: Call | None, outcome: str
    ) -> None:
        fields: dict[str, object] = {
            "request": request_info.request_id,
            "outcome": outcome,
            "total_ms": round(self._now_ms() - exchange.request.received_ms),
        }
        if call is not None:
            fields["route"] = call.route.name
            fields["version"] = call.version
            fields["customer"] = call.customer.name if call.customer else ""
            fields["attempts"] = call.history.sent + call.history.unsent
            if call.request_info.prompt is not None:
                fields["tokens"] = call.request_info.prompt.tokens
                fields["longest_pause_ms"] = round(call.longest_pause_ms)
        else:
            table = self._state.table
            fields["version"] = table.version if table else 0
            fields["host"], fields["path"] = request_info.host, request_info.path
        self._state.metrics.requests.inc({"outcome": outcome})
        if outcome in UNKNOWN_OUTCOMES:
            suppressed = self._unknown_lines.admit(self._now_ms())
            if suppressed is None:
                return
            if suppressed:
                fields["not_logged"] = suppressed
        log.info("request ended", **fields)


def _find_route(request_info: RequestInfo, table: RoutingTable) -> tuple[Route, Customer | None]:
    """Return the route and the customer of a request; raise `RefusalError` if it lacks either."""
    route = table.find_route(request_info.host, request_info.path)
    if route is None:
        raise RefusalError(404, NO_ROUTE)
    customer = table.find_customer(request_info.key)
    if customer is None and table.requires_keys and not route.is_public:
        raise RefusalError(401, UNKNOWN_KEY)
    return route, customer


def _status_of(outcome: object) -> str:
    return (
        str(outcome.status)
        if isinstance(outcome, TargetFailed)
        else str(getattr(outcome, "status", ""))
    )


def _detail_of(outcome: AttemptOutcome) -> str:
    """Return why an attempt has no usable answer: the reason, or the target's status."""
    return str(getattr(outcome, "reason", "") or _status_of(outcome))


SHORT_PROMPT_TOKENS = 16_384
LONG_PROMPT_TOKENS = 102_400


def _request_priority(rank: int, tokens: int) -> int:
    """Return the priority for an engine, 0 to 9: by rank, then by the length of the prompt."""
    length_class = 0 if tokens <= SHORT_PROMPT_TOKENS else 1 if tokens <= LONG_PROMPT_TOKENS else 2
    return min(9, 3 * min(rank, 2) + length_class)
