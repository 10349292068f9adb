"""When requests that were refused for lack of room first came.

Load pattern: callers that are refused come back, with new request ids, while others keep coming. One
that returns in time finds the place of its first arrival, and an early repeat gains nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    import random

REMEMBERED_MS: Millis = 10_000.0
MAX_REMEMBERED = 2048
"""How long, and for how many requests, the first arrival is remembered."""

MAX_SPREAD = 1.5
"""Callers are asked to return after up to this many times the expected wait, so that not all of those
that were refused together return together."""


class ReturningCallers:
    """The first arrivals of refused requests, by their identities."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._first_came: OrderedDict[str, Millis] = OrderedDict()

    @property
    def count(self) -> int:
        """Return how many requests are remembered."""
        return len(self._first_came)

    def first_came_ms(self, identity: str, now_ms: Millis) -> Millis:
        """Return when a request first came, `now_ms` if it is not known."""
        first_ms = self._first_came.get(identity, now_ms)
        return first_ms if now_ms < first_ms + REMEMBERED_MS else now_ms

    def record_refusal(self, identity: str, came_ms: Millis, now_ms: Millis) -> None:
        """Remember the arrival of a request that is refused, unless an earlier one is known."""
        first_ms = min(came_ms, self.first_came_ms(identity, now_ms))
        self._first_came[identity] = first_ms
        self._first_came.move_to_end(identity)
        while len(self._first_came) > MAX_REMEMBERED:
            self._first_came.popitem(last=False)

    def spread(self, wait_ms: Millis) -> Millis:
        """Return after how long one of several callers with the same expected wait should return."""
        return wait_ms * self._rng.uniform(1.0, MAX_SPREAD)
