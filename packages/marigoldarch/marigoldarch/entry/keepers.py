"""The choice of the keeper of each limited subject."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.control.member import Member

REMEMBERED_SUBJECTS = 100_000
"""How many placements are remembered before all are worked out anew."""


class Keepers:
    """Place subjects on the live nodes that hold the replicated log, by rendezvous hashing.

    These nodes are few, are the same for every region, and change seldom, so that links to them are
    few and a subject moves only when its own keeper is lost. Where none of them lives, any live node
    will do.
    """

    def __init__(self) -> None:
        self._nodes: tuple[str, ...] = ()
        self._placed: dict[str, str | None] = {}
        self._generation = 0

    @property
    def nodes(self) -> tuple[str, ...]:
        """Return the nodes that keep subjects."""
        return self._nodes

    @property
    def generation(self) -> int:
        """Return a number that grows whenever subjects may have moved."""
        return self._generation

    def watch(self, member: Member) -> bool:
        """Follow the membership; return whether it has changed."""
        live = member.nodes
        voters = [voter for voter in member.view.voters if voter in live]
        return self.place_on(voters or live)

    def place_on(self, nodes: Iterable[str]) -> bool:
        """Place subjects on these nodes from now on; return whether they have changed."""
        names = tuple(sorted(nodes))
        if names == self._nodes:
            return False
        self._nodes = names
        self._placed.clear()
        self._generation += 1
        return True

    def find(self, subject: str) -> str | None:
        """Return the keeper of a subject, or None if no node is known to live."""
        if subject not in self._placed:
            if len(self._placed) >= REMEMBERED_SUBJECTS:
                self._placed.clear()
            self._placed[subject] = place(subject, self._nodes)
        return self._placed[subject]


def place(subject: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest hash for the subject."""
    return max(nodes, key=lambda node: _score(node, subject), default=None)


def _score(node: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}/{subject}".encode())
