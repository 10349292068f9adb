"""Timers of requests, so that a tick handles only due requests instead of all in progress."""

from __future__ import annotations

import heapq
from collections.abc import Container

from marigoldarch.clock import Millis

PRUNE_FACTOR = 4
PRUNE_SLACK = 1000
"""The heap is pruned above `PRUNE_FACTOR` timers for each live request, plus `PRUNE_SLACK`."""


class RequestTimers:
    """A heap of request ids by due time; a request may have several timers."""

    def __init__(self) -> None:
        self._heap: list[tuple[Millis, str]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, request_id: str, due_ms: Millis) -> None:
        """Add a timer that makes a request due at `due_ms`."""
        heapq.heappush(self._heap, (due_ms, request_id))

    def prune(self, live_ids: Container[str], live_count: int) -> None:
        """Drop the timers of ended requests once they are most of the heap.

        A deadline may be a day ahead, so timers of ended requests would else fill the memory.
        """
        if len(self._heap) <= PRUNE_FACTOR * live_count + PRUNE_SLACK:
            return
        self._heap = [item for item in self._heap if item[1] in live_ids]
        heapq.heapify(self._heap)

    def take_due(self, now_ms: Millis) -> list[str]:
        """Remove the due timers; return their request ids without duplicates, in due order."""
        due: dict[str, None] = {}
        while self._heap and self._heap[0][0] <= now_ms:
            due[heapq.heappop(self._heap)[1]] = None
        return list(due)
