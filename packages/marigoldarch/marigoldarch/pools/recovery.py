"""Recovery: when a new scheduler knows enough live permits to grant and to release."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


ASK_INTERVAL_MS = 1000.0
"""How often a new scheduler asks silent entries for their permits, in milliseconds."""

NEVER_MS = float("-inf")


class Releasable(StrEnum):
    """Whose permits may be taken for dead when no entry has listed them."""

    NONE = "none"
    OWN = "own"
    ALL = "all"


class Recovery:
    """Wait for the permits that entries hold from earlier schedulers.

    Grants start once every live entry node has listed its permits, or at `ready_ms`: until then the
    leases that the earlier scheduler's grants were used under have run out. Memory held for older
    permits is released once every live node has listed its own, and not before `fenced_ms`, when
    a node that was cut off has ended what it was streaming.
    """

    def __init__(self, fence: int, ready_ms: Millis, fenced_ms: Millis) -> None:
        self._fence = fence
        self._ready_ms = ready_ms
        self._fenced_ms = fenced_ms
        self._nodes: frozenset[str] = frozenset()
        self._presented: set[str] = set()
        self._is_over = False
        self._ask_due_ms = NEVER_MS

    def presented(self, node: str, epoch: int) -> None:
        """Note that a node has listed its permits for a scheduler's epoch."""
        if epoch == self._fence:
            self._presented.add(node)

    def note_nodes(self, nodes: frozenset[str]) -> None:
        """Note which nodes are alive."""
        self._nodes = nodes

    def take_missing(self, now_ms: Millis) -> list[str]:
        """Return the live nodes to ask for their permits: those that have listed none, at times.

        An entry lists its permits for a new scheduler by one message, which may get lost.
        """
        if now_ms < self._ask_due_ms:
            return []
        is_first = self._ask_due_ms == NEVER_MS
        self._ask_due_ms = now_ms + ASK_INTERVAL_MS
        return [] if is_first else sorted(self._nodes - self._presented)

    def is_over(self, now_ms: Millis) -> bool:
        """Return whether the scheduler may grant."""
        if not self._is_over:
            has_all = bool(self._nodes) and self._nodes <= self._presented
            self._is_over = has_all or now_ms >= self._ready_ms
        return self._is_over

    def releasable(self, now_ms: Millis) -> Releasable:
        """Return whose unlisted permits are dead."""
        if not self.is_over(now_ms):
            return Releasable.NONE
        is_fenced = now_ms >= self._fenced_ms and self._nodes <= self._presented
        return Releasable.ALL if is_fenced else Releasable.OWN
