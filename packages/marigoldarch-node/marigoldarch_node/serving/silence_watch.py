"""The watch over one attempt at a stream: it ends the attempt when its target is silent for too long."""

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

LOOK_MS: Millis = 300.0
"""How often the signs of life are looked at: a third of the shortest patience."""


class SilenceWatch:
    """Times the waiting for one target; waiting for the caller does not count."""

    def __init__(self, state: EntryState, call: Call, placement: Placement) -> None:
        self._state = state
        self._call = call
        self._expected_ms = placement.first_token_ms
        self._target_id = placement.targets[0].target_id
        self._since_ms: Millis | None = None
        self._has_begun = False
        self._wait = trio.CancelScope()

    @property
    def has_given_up(self) -> bool:
        """Return whether the last wait ended with nothing."""
        return self._wait.cancelled_caught

    @property
    def is_needed(self) -> bool:
        """Return whether another target could go on; otherwise only the time left ends the wait."""
        route, history = self._call.route, self._call.history
        has_more = history.sent + 1 < route.attempt_limit
        return route.is_stream and route.may_repeat and has_more

    @contextmanager
    def waiting(self, *, has_begun: bool) -> Iterator[None]:
        """Wait for the target within; giving up cancels this block and nothing else.

        What has come from the target is passed on even if it was given up at the same instant, as
        after a pause of the whole process.
        """
        self._has_begun = has_begun
        self._since_ms = self._state.clock.monotonic_ms()
        try:
            with trio.CancelScope() as self._wait:
                yield
        finally:
            self._since_ms = None
        if not self._wait.cancelled_caught:
            self._state.health.note_heard(self._target_id, self._state.clock.monotonic_ms())

    async def run(self) -> None:
        """Give the target up once it has been silent for too long."""
        while True:
            now_ms = self._state.clock.monotonic_ms()
            left_ms = LOOK_MS
            if self._since_ms is not None:
                left_ms = min(stall_deadline_ms(self._silence(self._since_ms)) - now_ms, LOOK_MS)
            if left_ms <= 0:
                self._wait.cancel()
                left_ms = LOOK_MS
            await trio.sleep(left_ms / 1000.0)

    def _silence(self, since_ms: Millis) -> StallState:
        call, state = self._call, self._state
        if self._has_begun:
            patience_ms = pause_timeout_ms(call.route.pause_goal_ms)
        else:
            patience_ms = first_event_timeout_ms(self._expected_ms, call.route.goal_ms)
        prompt, engine = call.facts.prompt, call.service.engine
        repeat_prefill_ms = prefill_ms(engine, prompt.tokens) if prompt and engine else 0.0
        return StallState(
            since_ms,
            patience_ms,
            state.board.view.load_of(cached_name_hash(self._target_id)).prefill_until_ms,
            state.health.heard_ms(self._target_id),
            repeat_prefill_ms,
            state.health.is_suspended(self._target_id, state.clock.monotonic_ms()),
        )
