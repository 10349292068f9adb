"""Tests that the rounds detect faults: each builds a fault into the store."""

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

MAX_SEEDS = 12
original_on_put = Store._on_put


def read_without_lease(
    self: Store, sender: str, message: ReadRequest, now_ms: Millis
) -> list[StoreEffect]:
    """Answer a read as leader without checking the leader lease."""
    if not self._replica.is_leader:
        return []
    return [Send(sender, ReadReply(message.request_id, self._replica.commit_index))]


def read_own_document(
    self: Store, request_id: str, expires_ms: Millis, now_ms: Millis
) -> list[StoreEffect]:
    """Answer a read with this host's document without asking the leader."""
    return [DocumentRead(request_id, self._document)]


def acknowledge_before_commit(
    self: Store, sender: str, message: PutRequest, now_ms: Millis
) -> list[StoreEffect]:
    """Acknowledge a put as soon as the leader has appended it to its own log."""
    effects = original_on_put(self, sender, message, now_ms)
    return [*effects, Send(sender, PutReply(message.request_id))] if effects else effects


def serve_without_lease(self: Store, now_ms: Millis) -> bool:
    """Serve puts and reads as leader without a leader lease and before catching up."""
    return self._replica.is_leader


def treat_unheard_hosts_as_lost(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> MembershipChange | None:
    """Treat a host not heard from since the start as lost, and ignore acknowledgements."""

    def never(_: ReplicaName) -> Millis:
        return float("-inf")

    with mock.patch.object(membership, "_has_majority", lambda *_: True):
        return next_change(
            configuration, view._replace(acked_ms=never, listening_since_ms=float("-inf")), now_ms
        )


class BrokenStoreTests(unittest.TestCase):
    """One fault per test; some round must fail because of it."""

    def assert_detected(
        self,
        name: str,
        faulty_method: Callable[..., object],
        expected_message: str,
        first_seed: int,
    ) -> None:
        """Assert that a round fails with `expected_message` within `MAX_SEEDS` seeds."""
        message = ""
        with mock.patch.object(Store, name, faulty_method):
            for seed in range(first_seed, first_seed + MAX_SEEDS):
                try:
                    StoreRound(seed).run()
                except AssertionError as error:
                    message = str(error)
                    break
        self.assertIn(expected_message, message)

    def test_read_without_a_lease_is_detected(self) -> None:
        self.assert_detected("_on_read", read_without_lease, "read returned version", 1)

    def test_read_of_the_host_s_own_document_is_detected(self) -> None:
        self.assert_detected("read", read_own_document, "read returned version", 1)

    def test_acknowledgement_before_the_commit_is_detected(self) -> None:
        self.assert_detected("_on_put", acknowledge_before_commit, "read returned version", 1)

    def test_serving_without_a_lease_is_detected(self) -> None:
        self.assert_detected("_is_authoritative", serve_without_lease, "read returned version", 1)

    def test_removing_a_voter_too_early_is_detected(self) -> None:
        with (
            mock.patch.object(reducer, "next_change", treat_unheard_hosts_as_lost),
            self.assertRaisesRegex(AssertionError, "no leader after all faults"),
        ):
            StoreRound(89).run()
