"""Stall detection: reports a target that sends nothing for too long."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.engine_formula import prefill_ms
from marigoldarch.serving.stall_timeout import (
    StallState,
    call_timeout_ms,
    first_event_timeout_ms,
    pause_timeout_ms,
    stall_deadline_ms,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from marigoldarch.clock import Millis
    from marigoldarch.serving.placement import Placement
    from marigoldarch_node.serving.call import Call
    from marigoldarch_node.serving.entry_state import EntryState

CHECK_INTERVAL_MS: Millis = 300.0
"""How often to check for signs of life: a third of the shortest time allowed for a pause."""

QUIET_SHARE = 0.35
MIN_QUIET_MS: Millis = 500.0
"""After this share of the time allowed, and no sooner, the own links are in doubt, unless another target
is heard. Entries with few requests often hear nothing for a shorter time."""

MAX_REPORT_INTERVAL_MS: Millis = 2400.0
"""The time between two reports of a silent target doubles up to this: each may cost a placement."""


class StallDetector:
    """Watches the waits for a target; time spent sending to the caller does not count.

    While the target is silent, `on_silent` is called with the duration of the wait, again and again.
    Long before, `on_wait` is called in the same way once the wait has taken `QUIET_SHARE` of what is
    allowed, and `MIN_QUIET_MS`.
    """

    def __init__(
        self,
        state: EntryState,
        call: Call,
        placement: Placement,
        on_silent: Callable[[Millis], None],
        on_wait: Callable[[Millis], None],
    ) -> None:
        self._state = state
        self._call = call
        self._expected_first_token_ms = placement.first_token_ms
        self._target_id = placement.targets[0].target_id
        self._on_silent = on_silent
        self._on_wait = on_wait
        self._waiting_since_ms: Millis | None = None
        self._has_begun = False

    @property
    def _reports_silence(self) -> bool:
        """Return whether another attempt may answer the request; else only the deadline ends it."""
        return self._call.route.may_repeat

    @contextmanager
    def waiting(self, *, has_begun: bool) -> Iterator[None]:
        """Context manager around a wait for the target."""
        self._has_begun = has_begun
        self._waiting_since_ms = self._state.clock.monotonic_ms()
        try:
            yield
        finally:
            self._waiting_since_ms = None
        self._state.health.note_heard(self._target_id, self._state.clock.monotonic_ms())

    async def run(self) -> None:
        """Report the target while it has been silent for too long; until cancelled."""
        report_interval_ms = CHECK_INTERVAL_MS
        while True:
            now_ms = self._state.clock.monotonic_ms()
            since_ms = self._waiting_since_ms
            left_ms = CHECK_INTERVAL_MS
            if since_ms is not None:
                stall = self._stall_state(since_ms)
                left_ms = stall_deadline_ms(stall) - now_ms
                if now_ms - since_ms >= max(MIN_QUIET_MS, QUIET_SHARE * stall.timeout_ms):
                    self._on_wait(now_ms - since_ms)
                if left_ms <= 0 and not self._reports_silence:
                    left_ms = CHECK_INTERVAL_MS
                elif left_ms <= 0:
                    # After a pause of this process the data may have come and not been read yet.
                    await trio.lowlevel.checkpoint()
                    if self._waiting_since_ms == since_ms:
                        self._on_silent(now_ms - since_ms)
                    left_ms = report_interval_ms
                    report_interval_ms = min(2 * report_interval_ms, MAX_REPORT_INTERVAL_MS)
                else:
                    left_ms, report_interval_ms = min(left_ms, CHECK_INTERVAL_MS), CHECK_INTERVAL_MS
            await trio.sleep(left_ms / 1000.0)

    def _stall_state(self, since_ms: Millis) -> StallState:
        """Return what decides how long to wait for the target, which is silent since `since_ms`."""
        call, state = self._call, self._state
        if not call.route.is_stream:
            timeout_ms = call_timeout_ms(call.route.goal_ms)
        elif self._has_begun:
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
