"""The placement of limited subjects on the nodes that own them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.control.member import Member

MAX_CACHED_OWNERS = 100_000
"""Owners cached before the cache is cleared, which bounds its memory."""


class OwnerPlacement:
    """Place subjects on the live voters of the replicated log, by rendezvous hashing.

    Voters are few, are the same for every region and change seldom, so an entry node needs few
    connections to owners, and a subject moves only when its own owner is lost. If no voter is live,
    subjects are placed on all live nodes.
    """

    def __init__(self) -> None:
        self._nodes: tuple[str, ...] = ()
        self._owner_by_subject: dict[str, str | None] = {}
        self._generation = 0

    @property
    def nodes(self) -> tuple[str, ...]:
        """Return the nodes that own subjects, sorted by name."""
        return self._nodes

    @property
    def generation(self) -> int:
        """Return a number that increases whenever subjects may have moved to other owners."""
        return self._generation

    def update_membership(self, member: Member) -> bool:
        """Place subjects on the nodes that are live now; return whether these have changed."""
        live = member.nodes
        voters = [voter for voter in member.view.voters if voter in live]
        return self.set_nodes(voters or live)

    def set_nodes(self, nodes: Iterable[str]) -> bool:
        """Replace the nodes that own subjects; return whether they have changed."""
        names = tuple(sorted(nodes))
        if names == self._nodes:
            return False
        self._nodes = names
        self._owner_by_subject.clear()
        self._generation += 1
        return True

    def find(self, subject: str) -> str | None:
        """Return the owner of a subject, or None if no live node is known."""
        if subject not in self._owner_by_subject:
            if len(self._owner_by_subject) >= MAX_CACHED_OWNERS:
                self._owner_by_subject.clear()
            self._owner_by_subject[subject] = choose_owner(subject, self._nodes)
        return self._owner_by_subject[subject]


def choose_owner(subject: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest rendezvous hash for the subject, None without nodes."""
    return max(nodes, key=lambda node: _rendezvous_hash(node, subject), default=None)


def rank_owners(subject: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by their rendezvous hashes for the subject, the owner first."""
    return sorted(nodes, key=lambda node: _rendezvous_hash(node, subject), reverse=True)


def _rendezvous_hash(node: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}/{subject}".encode())
