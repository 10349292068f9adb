"""Finds out whether a response that ended with its connection is complete; `response_end` decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.engine_formula import has_all_tokens
from marigoldarch.serving.response_end import (
    ConnectionEnd,
    EndVerdict,
    ListenerState,
    judge_end,
)
from marigoldarch_node.serving.crash_check import check_targets, record_crashes
from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch_node.serving.attempt_plan import AttemptPlan, EntryContext

DEPARTURE_NEWS_MS: Millis = 300.0
"""How long the news that a target is gone may take after its last response. A target announces that before
it exits, and a control host passes it on at once; the announcement may need a second host and a retry."""

NEWS_POLL_MS: Millis = 10.0

log = EventLog("attempts")


class ResponseEndCheck:
    """Judges the end of the response of one attempt, whose connection has ended in order."""

    def __init__(self, context: EntryContext, plan: AttemptPlan, sent_ms: Millis) -> None:
        self._context = context
        self._view = context.state.target_view
        self._plan = plan
        self._call = plan.call
        self._target = plan.placement.targets[0]
        self._sent_ms = sent_ms

    async def is_broken_off(self, events: int, *, is_suspected: bool) -> bool:
        """Return whether the target has ended before the end of its response.

        A target that leaves exits after its last response, so its end doesn't accuse the request.
        """
        if self._view.has_announced_departure(self._target):
            listener = (await check_targets(self._context, self._plan)).listener
        else:
            listener = await record_crashes(
                self._context, self._plan, self._sent_ms, is_suspected=is_suspected
            )
        waited_from_ms = self._now_ms()
        while True:
            # The news that the target leaves may arrive during the check.
            end = self._describe(listener)
            verdict = judge_end(end)
            waited_ms = self._now_ms() - waited_from_ms
            if verdict is not EndVerdict.AWAITS_DEPARTURE or waited_ms >= DEPARTURE_NEWS_MS:
                break
            await trio.sleep(NEWS_POLL_MS / 1000.0)
        is_broken_off = verdict is not EndVerdict.COMPLETE
        if listener is not ListenerState.LISTENS:
            log.warning(
                "response ended by a crash" if is_broken_off else "target gone after its response",
                request=self._call.request_id,
                target=self._target.target_id,
                listener=str(listener),
                is_leaving=end.is_leaving,
                has_departed=end.has_departed,
                has_all_tokens=end.has_all_tokens,
                events=events,
                waited_ms=round(waited_ms),
            )
        return is_broken_off

    def _describe(self, listener: ListenerState) -> ConnectionEnd:
        call, prompt = self._call, self._call.request_info.prompt
        engine = call.service.engine
        is_bounded = call.route.is_stream and engine is not None and prompt is not None
        return ConnectionEnd(
            listener,
            is_leaving=self._view.has_announced_departure(self._target),
            has_departed=self._view.has_departed(self._target),
            is_stream=call.route.is_stream,
            may_repeat=call.route.may_repeat,
            has_all_tokens=is_bounded
            and has_all_tokens(engine, call.last_event or 0, prompt.answer_tokens),
        )

    def _now_ms(self) -> Millis:
        return self._context.state.clock.monotonic_ms()
