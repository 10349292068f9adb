"""The agenda: which requests are due to be looked at, so that a tick does not walk them all."""

from __future__ import annotations

import heapq
from collections.abc import Container

from marigoldarch.clock import Millis

PRUNE_FACTOR = 4
PRUNE_SLACK = 1000


class Agenda:
    """Request ids by the instant they are due; a request may stand in it more than once."""

    def __init__(self) -> None:
        self._heap: list[tuple[Millis, str]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, request_id: str, due_ms: Millis) -> None:
        """Have a request looked at from `due_ms` on."""
        heapq.heappush(self._heap, (due_ms, request_id))

    def prune(self, live: Container[str], live_count: int) -> None:
        """Drop the marks of ended requests once they are most of the agenda.

        Deadlines may lie a day ahead, long after most requests have ended.
        """
        if len(self._heap) <= PRUNE_FACTOR * live_count + PRUNE_SLACK:
            return
        self._heap = [item for item in self._heap if item[1] in live]
        heapq.heapify(self._heap)

    def take_due(self, now_ms: Millis) -> list[str]:
        """Remove and return the ids that are due, each once, in the order they are due."""
        due: dict[str, None] = {}
        while self._heap and self._heap[0][0] <= now_ms:
            due[heapq.heappop(self._heap)[1]] = None
        return list(due)
