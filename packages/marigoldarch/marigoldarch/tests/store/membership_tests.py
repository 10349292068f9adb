"""Tests of the next change of the replicas that hold the document."""

from __future__ import annotations

import unittest

from marigoldarch.control.configuration import Configuration
from marigoldarch.control.replication import NEVER_MS
from marigoldarch.identifiers import ReplicaName
from marigoldarch.store.membership import (
    HOST_LOST_MS,
    LEARNER_LOST_MS,
    KnownHost,
    LeaderView,
    MembershipChange,
    next_change,
)

A, B, C = (ReplicaName(node, f"{node}1") for node in "abc")
C2, D = ReplicaName("c", "c2"), ReplicaName("d", "d1")
NOW_MS = 100_000.0


def known(*replicas: ReplicaName, heard_ms: float = NOW_MS) -> dict[str, KnownHost]:
    """Return hosts that were heard of."""
    return {replica.node: KnownHost(replica, heard_ms, False) for replica in replicas}


def change(
    configuration: Configuration,
    hosts: dict[str, KnownHost],
    *,
    is_synced: bool = True,
    acking: tuple[ReplicaName, ...] = (B,),
    listening_since_ms: float = 0.0,
) -> MembershipChange | None:
    """Return the next change as A sees it, with B in touch."""
    view = LeaderView(
        A,
        hosts,
        lambda _: is_synced,
        lambda name: NOW_MS if name in acking else NEVER_MS,
        listening_since_ms,
        1,
    )
    return next_change(configuration, view, NOW_MS)


class NextChangeTests(unittest.TestCase):
    """Three voters, one lost at most."""

    def test_nothing_changes_while_all_voters_are_heard_of(self) -> None:
        self.assertIsNone(change(Configuration((A, B, C)), known(A, B, C)))

    def test_new_disk_of_a_voter_first_learns(self) -> None:
        found = change(Configuration((A, B, C)), known(A, B, C2))
        self.assertEqual(found.configuration, Configuration((A, B, C), (C2,)))

    def test_voter_stays_until_its_new_disk_has_caught_up(self) -> None:
        configuration = Configuration((A, B, C), (C2,))
        self.assertIsNone(change(configuration, known(A, B, C2), is_synced=False))

    def test_lost_voter_is_removed_before_its_successor_is_added(self) -> None:
        hosts = known(A, B, C2)
        first = change(Configuration((A, B, C), (C2,)), hosts)
        self.assertEqual(first.configuration, Configuration((A, B), (C2,)))
        second = change(first.configuration, hosts)
        self.assertEqual(second.configuration, Configuration((A, B, C2)))

    def test_silent_voter_stays_while_no_other_host_can_take_its_place(self) -> None:
        self.assertIsNone(change(Configuration((A, B, C)), known(A, B)))

    def test_spare_host_replaces_a_voter_that_was_silent_for_long(self) -> None:
        hosts = known(A, B, D) | known(C, heard_ms=NOW_MS - HOST_LOST_MS + 1)
        configuration = Configuration((A, B, C), (D,))
        self.assertIsNone(change(configuration, hosts))
        hosts |= known(C, heard_ms=NOW_MS - HOST_LOST_MS)
        self.assertEqual(change(configuration, hosts).configuration, Configuration((A, B), (D,)))

    def test_leader_that_has_just_started_takes_nobody_for_lost(self) -> None:
        configuration = Configuration((A, B, C), (D,))
        since_ms = NOW_MS - HOST_LOST_MS + 1
        self.assertIsNone(change(configuration, known(A, B, D), listening_since_ms=since_ms))
        found = change(configuration, known(A, B, D), listening_since_ms=since_ms - 1)
        self.assertEqual(found.configuration, Configuration((A, B), (D,)))

    def test_voter_that_acknowledges_is_not_lost(self) -> None:
        hosts = known(A, B, D) | known(C, heard_ms=NOW_MS - HOST_LOST_MS)
        self.assertIsNone(change(Configuration((A, B, C), (D,)), hosts, acking=(B, C)))

    def test_voter_stays_while_the_others_have_no_majority(self) -> None:
        hosts = known(A, B, D) | known(C, heard_ms=NOW_MS - HOST_LOST_MS)
        self.assertIsNone(change(Configuration((A, B, C), (D,)), hosts, acking=()))

    def test_spare_host_does_not_replace_a_voter_that_is_there(self) -> None:
        self.assertIsNone(change(Configuration((A, B, C), (D,)), known(A, B, C, D)))

    def test_silent_learner_is_dropped(self) -> None:
        hosts = known(A, B, C) | known(D, heard_ms=NOW_MS - LEARNER_LOST_MS)
        found = change(Configuration((A, B, C), (D,)), hosts)
        self.assertEqual(found.configuration, Configuration((A, B, C)))
