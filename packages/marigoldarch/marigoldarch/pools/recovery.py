"""Recovery: when a new scheduler knows enough live permits to grant and to release memory."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


LISTING_REQUEST_INTERVAL_MS = 1000.0
"""How often a new scheduler asks entry nodes for listings that it lacks, in milliseconds."""

NEVER_MS = float("-inf")


class ReleaseScope(StrEnum):
    """Of which schedulers memory is released for permits that no entry node lists.

    `OWN` means permits of this scheduler only.
    """

    NONE = "none"
    OWN = "own"
    ALL = "all"


class Recovery:
    """Waits for the entry nodes to list the permits that earlier schedulers granted to them.

    Grants start once every live entry node has listed its permits, and at `ready_ms` at the latest:
    by then the leases under which the earlier scheduler's grants were used have expired. Memory
    held for older permits is released once every live node has listed its permits, but not before
    `old_streams_ended_ms`, when a node that was cut off has ended its streams.
    """

    def __init__(self, fence: int, ready_ms: Millis, old_streams_ended_ms: Millis) -> None:
        self._fence = fence
        self._ready_ms = ready_ms
        self._old_streams_ended_ms = old_streams_ended_ms
        self._nodes: frozenset[str] = frozenset()
        self._listed_nodes: set[str] = set()
        self._may_grant = False
        self._next_ask_ms = NEVER_MS

    def note_listing(self, node: str, epoch: int) -> None:
        """Note that a node has listed its permits to the scheduler with fencing token `epoch`."""
        if epoch == self._fence:
            self._listed_nodes.add(node)

    def set_live_nodes(self, nodes: frozenset[str]) -> None:
        """Set which entry nodes are alive."""
        self._nodes = nodes

    def nodes_to_ask(self, now_ms: Millis) -> list[str]:
        """Return the live nodes that must be asked now to list their permits.

        An entry node lists its permits to a new scheduler by one message, which may get lost. So
        nodes that have sent no listing are asked at an interval, and the first time after one.
        """
        if now_ms < self._next_ask_ms:
            return []
        is_first = self._next_ask_ms == NEVER_MS
        self._next_ask_ms = now_ms + LISTING_REQUEST_INTERVAL_MS
        return [] if is_first else sorted(self._nodes - self._listed_nodes)

    def may_grant(self, now_ms: Millis) -> bool:
        """Return whether the scheduler may grant."""
        if not self._may_grant:
            has_all = bool(self._nodes) and self._nodes <= self._listed_nodes
            self._may_grant = has_all or now_ms >= self._ready_ms
        return self._may_grant

    def release_scope(self, now_ms: Millis) -> ReleaseScope:
        """Return for whose unlisted permits memory may be released."""
        if not self.may_grant(now_ms):
            return ReleaseScope.NONE
        is_complete = now_ms >= self._old_streams_ended_ms and self._nodes <= self._listed_nodes
        return ReleaseScope.ALL if is_complete else ReleaseScope.OWN
