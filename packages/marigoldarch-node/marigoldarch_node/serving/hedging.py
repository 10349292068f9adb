"""Runs an attempt of a request, and another one beside it while its target is silent.

The attempt whose target speaks first keeps the caller's response, and the other one is given up. Until
then a silent target keeps its connection: the other one may refuse, fail or be silent too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch.serving.attempts import AwaitOther, HedgeObstacle
from marigoldarch_node.serving.attempt import Attempt, Delivered, Superseded
from marigoldarch_node.serving.crash_check import may_come_from_crash
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import CallerDisconnectedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.attempts import AttemptOutcome, NextStep
    from marigoldarch_node.serving.attempt_plan import AttemptPlan, EntryContext
    from marigoldarch_node.serving.call import Call

log = EventLog("attempts")


class AttemptEnd(NamedTuple):
    """An attempt that has ended, and its outcome."""

    attempt: Attempt
    outcome: Delivered | AttemptOutcome


class HedgedAttempts:
    """The attempts of one call that run at the same time.

    `plan_hedge` returns the plan of another attempt beside a number of running ones, or why there
    is none. `log_end` is called with the plan and the outcome of an attempt that ends before the
    last one.
    """

    def __init__(
        self,
        context: EntryContext,
        call: Call,
        plan_hedge: Callable[[Call, int], AttemptPlan | HedgeObstacle],
        log_end: Callable[[Call, AttemptPlan, AttemptOutcome, NextStep], None],
    ) -> None:
        self._context = context
        self._call = call
        self._plan_hedge = plan_hedge
        self._log_end = log_end
        self._running: list[Attempt] = []
        self._silent: set[Attempt] = set()
        self._last_obstacle: HedgeObstacle | None = None
        self._last_end: AttemptEnd | None = None
        self._has_caller_disconnected = False
        self._nursery: trio.Nursery | None = None

    async def run(self, plan: AttemptPlan) -> AttemptEnd:
        """Run a first attempt, and others while it is silent; return the last one that ended.

        The caller has to close this attempt.
        """
        try:
            async with trio.open_nursery() as self._nursery:
                self._start(plan)
            if self._has_caller_disconnected:
                raise CallerDisconnectedError
        except BaseException:
            self._set_last_end(None)
            raise
        return self._last_end

    def on_silent(self, attempt: Attempt, silent_ms: Millis) -> None:
        """Start another attempt if all targets are silent and the request allows it."""
        self._silent.add(attempt)
        self._call.history.failed_targets.add(attempt.plan.forwarding.target_id)
        if len(self._silent) < len(self._running):
            return
        found = self._plan_hedge(self._call, len(self._running))
        obstacle = found if isinstance(found, HedgeObstacle) else None
        if obstacle is None or obstacle is not self._last_obstacle:
            log.info(
                "target silent",
                request=self._call.request_id,
                target=attempt.plan.forwarding.target_id,
                silent_ms=round(silent_ms),
                next="wait" if obstacle else "hedge",
                obstacle=str(obstacle or ""),
            )
        self._last_obstacle = obstacle
        if obstacle is None:
            self._start(found)

    def on_response(self, attempt: Attempt) -> None:
        """Give up the other attempts, as the target of this one has spoken."""
        self._silent.discard(attempt)
        for other in self._running:
            if other is not attempt:
                other.supersede()

    def _start(self, plan: AttemptPlan) -> None:
        attempt = Attempt(self._context, plan, self)
        attempt.begin()
        self._running.append(attempt)
        self._nursery.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            outcome = await attempt.run()
            if may_come_from_crash(outcome):
                await attempt.record_crashes()
        except CallerDisconnectedError:
            # Raised again outside the nursery, which would wrap it in an exception group.
            self._has_caller_disconnected = True
            self._nursery.cancel_scope.cancel()
            return
        finally:
            self._running.remove(attempt)
            self._silent.discard(attempt)
        self._record_end(attempt, outcome)

    def _record_end(
        self, attempt: Attempt, outcome: Delivered | Superseded | AttemptOutcome
    ) -> None:
        history, target_id = self._call.history, attempt.plan.forwarding.target_id
        match outcome:
            case Superseded():
                if attempt.is_sent:
                    history.record_superseded()
                log.info("attempt superseded", request=self._call.request_id, target=target_id)
            case Delivered():
                self._set_last_end(AttemptEnd(attempt, outcome))
            case _ if self._is_delivered:
                # The check for a crash outlasted another attempt, which has answered the caller.
                history.record(target_id, outcome)
                attempt.close()
            case _:
                history.record(target_id, outcome)
                self._set_last_end(AttemptEnd(attempt, outcome))
                if self._running:
                    self._log_end(self._call, attempt.plan, outcome, AwaitOther())

    @property
    def _is_delivered(self) -> bool:
        return self._last_end is not None and isinstance(self._last_end.outcome, Delivered)

    def _set_last_end(self, end: AttemptEnd | None) -> None:
        if self._last_end is not None:
            self._last_end.attempt.close()
        self._last_end = end
