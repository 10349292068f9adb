"""Stall detection for streams: ends an attempt when its target sends nothing for too long."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.engine_formula import prefill_ms
from marigoldarch.serving.stall_timeout import (
    StallState,
    first_event_timeout_ms,
    pause_timeout_ms,
    stall_deadline_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from marigoldarch.clock import Millis
    from marigoldarch.serving.placement import Placement
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.proxy import Call

CHECK_INTERVAL_MS: Millis = 300.0
"""How often to check for signs of life: a third of the shortest time allowed for a pause."""


class StallDetector:
    """Limits the waiting for a target; time spent sending to the caller does not count."""

    def __init__(self, state: EntryState, call: Call, placement: Placement) -> None:
        self._state = state
        self._call = call
        self._expected_first_token_ms = placement.first_token_ms
        self._target_id = placement.targets[0].target_id
        self._waiting_since_ms: Millis | None = None
        self._has_begun = False
        self._wait_scope = trio.CancelScope()

    @property
    def is_stalled(self) -> bool:
        """Return whether the last wait was cancelled because the target sent nothing."""
        return self._wait_scope.cancelled_caught

    @property
    def is_needed(self) -> bool:
        """Return whether another attempt may resume the stream; else only the deadline ends it."""
        route, history = self._call.route, self._call.history
        has_more = history.sent + 1 < route.attempt_limit
        return route.is_stream and route.may_repeat and has_more

    @contextmanager
    def waiting(self, *, has_begun: bool) -> Iterator[None]:
        """Context manager around a wait for the target; a stall cancels this block only.

        Data that arrived is forwarded even if the target was found stalled at the same instant, as
        after a pause of the whole process.
        """
        self._has_begun = has_begun
        self._waiting_since_ms = self._state.clock.monotonic_ms()
        try:
            with trio.CancelScope() as self._wait_scope:
                yield
        finally:
            self._waiting_since_ms = None
        if not self._wait_scope.cancelled_caught:
            self._state.health.note_heard(self._target_id, self._state.clock.monotonic_ms())

    async def run(self) -> None:
        """Cancel the current wait once the target has been silent for too long; until cancelled."""
        while True:
            now_ms = self._state.clock.monotonic_ms()
            left_ms = CHECK_INTERVAL_MS
            if self._waiting_since_ms is not None:
                left_ms = min(
                    stall_deadline_ms(self._stall_state(self._waiting_since_ms)) - now_ms,
                    CHECK_INTERVAL_MS,
                )
            if left_ms <= 0:
                self._wait_scope.cancel()
                left_ms = CHECK_INTERVAL_MS
            await trio.sleep(left_ms / 1000.0)

    def _stall_state(self, since_ms: Millis) -> StallState:
        """Return what decides how long to wait for the target, which is silent since `since_ms`."""
        call, state = self._call, self._state
        if self._has_begun:
            timeout_ms = pause_timeout_ms(call.route.pause_goal_ms)
        else:
            timeout_ms = first_event_timeout_ms(self._expected_first_token_ms, call.route.goal_ms)
        prompt, engine = call.request_info.prompt, call.service.engine
        repeat_prefill_ms = prefill_ms(engine, prompt.tokens) if prompt and engine else 0.0
        return StallState(
            since_ms,
            timeout_ms,
            state.workload.view.load_of(cached_name_hash(self._target_id)).prefill_until_ms,
            state.health.heard_ms(self._target_id),
            repeat_prefill_ms,
            state.health.is_suspended(self._target_id, state.clock.monotonic_ms()),
        )
