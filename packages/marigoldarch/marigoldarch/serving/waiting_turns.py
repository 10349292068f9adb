"""The order in which waiting requests get targets that accept only so many requests a second.

Load pattern: more requests come than the limits of all targets of a service allow. Those that can be
served before their deadlines wait in the order of their arrival, and later ones do not overtake them.
The others are refused at once, and told when their turn would be.
"""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.serving.placement import Candidate

MIN_TURN_MS: Millis = 1.0
"""The wait at a limited target that is left to earlier requests."""

MAX_COUNTED_TURNS = 1000
"""The turn of a request behind more waiting ones is taken for that of this one."""


def next_turn_ms(candidates: Iterable[Candidate], ahead: int) -> Millis:
    """Return the time until a request behind `ahead` others gets one of some waiting targets."""
    turns = [(item.wait_ms, item.limit_per_s) for item in candidates]
    if not turns:
        return 0.0
    heapq.heapify(turns)
    for _ in range(min(ahead, MAX_COUNTED_TURNS)):
        turn_ms, limit_per_s = turns[0]
        if not limit_per_s:
            break
        heapq.heapreplace(turns, (turn_ms + 1000.0 / limit_per_s, limit_per_s))
    return turns[0][0]


def leave_limited_to_earlier(candidates: list[Candidate], ahead: int) -> list[Candidate]:
    """Return the candidates of a request behind `ahead` others, with the limited ones as waiting."""
    if not ahead:
        return candidates
    return [
        item._replace(wait_ms=max(item.wait_ms, MIN_TURN_MS)) if item.limit_per_s else item
        for item in candidates
    ]


class WaitingTurns:
    """The requests of an entry that wait for targets, by service and in the order of arrival."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[tuple[Millis, int]]] = {}

    def count_ahead(self, service: str, turn: tuple[Millis, int]) -> int:
        """Return how many requests wait for a service that arrived before a turn.

        A turn is the instant of the arrival and a number that differs between requests.
        """
        return bisect.bisect_left(self._waiting.get(service, ()), turn)

    def join(self, service: str, turn: tuple[Millis, int]) -> None:
        """Add a request that waits, unless it does so already."""
        waiting = self._waiting.setdefault(service, [])
        position = bisect.bisect_left(waiting, turn)
        if waiting[position : position + 1] != [turn]:
            waiting.insert(position, turn)

    def leave(self, service: str, turn: tuple[Millis, int]) -> None:
        """Remove a request that waits no longer."""
        waiting = self._waiting.get(service, [])
        position = bisect.bisect_left(waiting, turn)
        if waiting[position : position + 1] == [turn]:
            del waiting[position]
        if not waiting:
            self._waiting.pop(service, None)
