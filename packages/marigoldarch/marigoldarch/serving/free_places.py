"""The free places of a service's engines, in an order that all entries share.

Load pattern: requests wait at several entries, and a place gets free. All of these entries see it
within a few milliseconds. If each chose the best target, they would send their requests to the same
one. The request with `n` others before it therefore takes the place with number `n`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.serving.placement import MAX_IDLE_BACKLOG_MS, open_candidates

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec
    from marigoldarch.serving.placement import Candidate


def free_slots(engine: EngineSpec, candidate: Candidate) -> int:
    """Return how many more requests a target runs side by side."""
    return max(0, min(engine.slots, candidate.target.slots) - candidate.load.active)


def find_place(
    engine: EngineSpec, candidates: list[Candidate], position: int, now_ms: Millis
) -> Candidate | None:
    """Return the target with the free place of a position, None if there are fewer places.

    Targets elsewhere come after the near ones, and those that read a prompt or are suspended last.
    """
    free = [(item, free_slots(engine, item)) for item in open_candidates(candidates)]
    if sum(slots for _, slots in free) <= position:
        return None

    def key(place: tuple[Candidate, int]) -> tuple[bool, bool, bool, float, str]:
        item = place[0]
        is_busy = item.load.busy_until_ms > now_ms + MAX_IDLE_BACKLOG_MS
        is_far = not item.is_local
        return (item.is_suspended, is_busy, is_far, item.fill_order, item.target.target_id)

    for item, slots in sorted((place for place in free if place[1]), key=key):
        if position < slots:
            return item
        position -= slots
    return None
