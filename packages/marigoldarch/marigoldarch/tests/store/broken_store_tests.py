"""Proof that the rounds see faults: a store with a fault built in contradicts the oracle."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from marigoldarch.effects import Send
from marigoldarch.store import membership, reducer
from marigoldarch.store.membership import LeaderView, next_change
from marigoldarch.store.messages import PutReply, ReadReply
from marigoldarch.store.reducer import DocumentRead, Store
from marigoldarch.tests.store.rounds import StoreRound

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.control.configuration import Configuration
    from marigoldarch.identifiers import ReplicaName
    from marigoldarch.store.membership import MembershipChange
    from marigoldarch.store.messages import PutRequest, ReadRequest
    from marigoldarch.store.reducer import StoreEffect

MOST_SEEDS = 12
whole_on_put = Store._on_put


def read_without_lease(
    self: Store, sender: str, message: ReadRequest, now_ms: Millis
) -> list[StoreEffect]:
    """Answer a read as any leader, whether or not a majority still follows."""
    if not self._replica.is_leader:
        return []
    return [Send(sender, ReadReply(message.request_id, self._replica.commit_index))]


def read_own_document(
    self: Store, request_id: str, ends_ms: Millis, now_ms: Millis
) -> list[StoreEffect]:
    """Answer a read with what this host has."""
    return [DocumentRead(request_id, self._document)]


def acknowledge_before_commit(
    self: Store, sender: str, message: PutRequest, now_ms: Millis
) -> list[StoreEffect]:
    """Acknowledge a document as soon as the leader has it."""
    effects = whole_on_put(self, sender, message, now_ms)
    return [*effects, Send(sender, PutReply(message.request_id))] if effects else effects


def act_without_lease(self: Store, now_ms: Millis) -> bool:
    """Take every leader for one that knows everything acknowledged."""
    return self._replica.is_leader


def take_unheard_hosts_for_lost(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> MembershipChange | None:
    """Count a host that was not heard of since the start as lost, whatever it acknowledges."""

    def never(_: ReplicaName) -> Millis:
        return float("-inf")

    with mock.patch.object(membership, "_has_majority", lambda *_: True):
        return next_change(
            configuration, view._replace(acked_ms=never, listening_since_ms=float("-inf")), now_ms
        )


class BrokenStoreTests(unittest.TestCase):
    """One built-in fault each."""

    def assert_seen(
        self, name: str, broken: Callable[..., object], breach: str, first: int
    ) -> None:
        """Assert that a round of some seeds ends in a breach."""
        found = ""
        with mock.patch.object(Store, name, broken):
            for seed in range(first, first + MOST_SEEDS):
                try:
                    StoreRound(seed).run()
                except AssertionError as error:
                    found = str(error)
                    break
        self.assertIn(breach, found)

    def test_read_without_a_lease_is_seen(self) -> None:
        self.assert_seen("_on_read", read_without_lease, "read shows", 1)

    def test_read_of_the_own_document_is_seen(self) -> None:
        self.assert_seen("read", read_own_document, "read shows", 1)

    def test_acknowledgement_before_the_commit_is_seen(self) -> None:
        self.assert_seen("_on_put", acknowledge_before_commit, "read shows", 1)

    def test_leader_without_a_lease_is_seen(self) -> None:
        self.assert_seen("_is_sure", act_without_lease, "read shows", 1)

    def test_voter_taken_for_lost_too_early_is_seen(self) -> None:
        with (
            mock.patch.object(reducer, "next_change", take_unheard_hosts_for_lost),
            self.assertRaisesRegex(AssertionError, "no leader after all faults"),
        ):
            StoreRound(89).run()
