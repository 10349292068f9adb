"""Decides what a stopping entry still takes, and what it still sends to targets.

Load pattern: entries are replaced one after the other. Callers come for some seconds after a stop has
begun, and what still runs at its end is cut. A request that can't end before that is refused as not run,
at once: its caller goes to another entry.
"""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis

ACCEPT_WHILE_STOPPING_MS: Millis = 3000.0
"""How long a stopping entry still accepts new requests. Some callers use a directory response for
three times its time to live; they have moved to other entries by then."""

REFUSE_BEFORE_STOP_END_MS: Millis = 1000.0
"""Requests that wait while the entry stops are refused this long before its connections end: the
refusal takes a round trip, and the caller can still go to another entry."""

STOP_MARGIN_MS: Millis = 400.0
"""A stopping entry ends this long before its grace time is over, even with open connections."""

DURATION_MARGIN = 1.25
"""How many times as long as expected a request is granted."""

FORGETTING = 0.1
"""How much of the difference to a shorter call the longest known duration loses with it."""


@dataclass(frozen=True)
class StopPlan:
    """The monotonic times of a stop.

    Requests are accepted until `accept_until_ms`, may wait until `wait_until_ms`, and are cut at `end_ms`.
    """

    began_ms: Millis
    accept_until_ms: Millis
    wait_until_ms: Millis
    end_ms: Millis


def plan_stop(began_ms: Millis, grace_ms: Millis) -> StopPlan:
    """Return the times of a stop; half of a short grace time is left to end what was accepted."""
    span_ms = max(0.0, grace_ms - STOP_MARGIN_MS)
    return StopPlan(
        began_ms,
        began_ms + min(ACCEPT_WHILE_STOPPING_MS, span_ms / 2.0),
        began_ms + span_ms - REFUSE_BEFORE_STOP_END_MS,
        began_ms + span_ms,
    )


def can_end_in_time(plan: StopPlan, now_ms: Millis, expected_ms: Millis, left_ms: Millis) -> bool:
    """Return whether a request that is sent now ends before the stop does.

    It is expected to take `expected_ms`; at its deadline, in `left_ms`, its caller is answered anyway.
    """
    return now_ms + min(left_ms, expected_ms * DURATION_MARGIN) <= plan.end_ms


class CallDurations:
    """How long calls of each service take at most, of late; no formula tells that of plain services."""

    def __init__(self) -> None:
        self._longest_ms: dict[str, Millis] = {}

    def record(self, service: str, duration_ms: Millis) -> None:
        """Record the duration of a call that was answered."""
        known_ms = self._longest_ms.get(service, 0.0)
        forgotten_ms = known_ms - (known_ms - duration_ms) * FORGETTING
        self._longest_ms[service] = max(duration_ms, forgotten_ms)

    def expected_ms(self, service: str, goal_ms: Millis) -> Millis:
        """Return how long a call may take, at least the goal of its route."""
        return max(goal_ms, self._longest_ms.get(service, 0.0))

    def keep(self, services: set[str]) -> None:
        """Forget all services but these."""
        for service in self._longest_ms.keys() - services:
            del self._longest_ms[service]
