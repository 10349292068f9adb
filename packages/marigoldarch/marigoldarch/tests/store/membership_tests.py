"""Tests of the automatic changes of the document's configuration."""

from __future__ import annotations

import unittest

from marigoldarch.control.configuration import Configuration
from marigoldarch.control.replication import NEVER_MS
from marigoldarch.identifiers import ReplicaName
from marigoldarch.store.membership import (
    HOST_LOST_TIMEOUT_MS,
    LEARNER_LOST_TIMEOUT_MS,
    KnownHost,
    LeaderView,
    MembershipChange,
    next_change,
)

A, B, C = (ReplicaName(node, f"{node}1") for node in "abc")
C2, D = ReplicaName("c", "c2"), ReplicaName("d", "d1")
NOW_MS = 100_000.0


def known_hosts(*replicas: ReplicaName, heard_ms: float = NOW_MS) -> dict[str, KnownHost]:
    """Return known hosts that were last heard from at `heard_ms`."""
    return {replica.node: KnownHost(replica, heard_ms, False) for replica in replicas}


def find_change(
    configuration: Configuration,
    hosts: dict[str, KnownHost],
    *,
    is_synced: bool = True,
    acking: tuple[ReplicaName, ...] = (B,),
    listening_since_ms: float = 0.0,
) -> MembershipChange | None:
    """Return the next change with A as leader, and `acking` as the replicas that acknowledge."""
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
    """Three voters with one tolerated loss."""

    def test_nothing_changes_while_all_voters_are_heard_from(self) -> None:
        self.assertIsNone(find_change(Configuration((A, B, C)), known_hosts(A, B, C)))

    def test_new_disk_of_a_voter_is_added_as_a_learner(self) -> None:
        change = find_change(Configuration((A, B, C)), known_hosts(A, B, C2))
        self.assertEqual(change.configuration, Configuration((A, B, C), (C2,)))

    def test_voter_stays_until_its_new_disk_has_caught_up(self) -> None:
        configuration = Configuration((A, B, C), (C2,))
        self.assertIsNone(find_change(configuration, known_hosts(A, B, C2), is_synced=False))

    def test_lost_voter_is_removed_before_its_successor_is_added(self) -> None:
        hosts = known_hosts(A, B, C2)
        first_change = find_change(Configuration((A, B, C), (C2,)), hosts)
        self.assertEqual(first_change.configuration, Configuration((A, B), (C2,)))
        second_change = find_change(first_change.configuration, hosts)
        self.assertEqual(second_change.configuration, Configuration((A, B, C2)))

    def test_silent_voter_stays_while_no_other_host_can_take_its_place(self) -> None:
        self.assertIsNone(find_change(Configuration((A, B, C)), known_hosts(A, B)))

    def test_spare_host_replaces_a_voter_that_is_silent_for_the_lost_timeout(self) -> None:
        hosts = known_hosts(A, B, D) | known_hosts(C, heard_ms=NOW_MS - HOST_LOST_TIMEOUT_MS + 1)
        configuration = Configuration((A, B, C), (D,))
        self.assertIsNone(find_change(configuration, hosts))
        hosts |= known_hosts(C, heard_ms=NOW_MS - HOST_LOST_TIMEOUT_MS)
        self.assertEqual(
            find_change(configuration, hosts).configuration, Configuration((A, B), (D,))
        )

    def test_leader_that_has_just_started_treats_no_host_as_lost(self) -> None:
        configuration = Configuration((A, B, C), (D,))
        since_ms = NOW_MS - HOST_LOST_TIMEOUT_MS + 1
        self.assertIsNone(
            find_change(configuration, known_hosts(A, B, D), listening_since_ms=since_ms)
        )
        change = find_change(configuration, known_hosts(A, B, D), listening_since_ms=since_ms - 1)
        self.assertEqual(change.configuration, Configuration((A, B), (D,)))

    def test_voter_that_acknowledges_is_not_lost(self) -> None:
        hosts = known_hosts(A, B, D) | known_hosts(C, heard_ms=NOW_MS - HOST_LOST_TIMEOUT_MS)
        self.assertIsNone(find_change(Configuration((A, B, C), (D,)), hosts, acking=(B, C)))

    def test_voter_stays_while_the_others_have_no_majority(self) -> None:
        hosts = known_hosts(A, B, D) | known_hosts(C, heard_ms=NOW_MS - HOST_LOST_TIMEOUT_MS)
        self.assertIsNone(find_change(Configuration((A, B, C), (D,)), hosts, acking=()))

    def test_spare_host_does_not_replace_a_voter_that_is_alive(self) -> None:
        self.assertIsNone(find_change(Configuration((A, B, C), (D,)), known_hosts(A, B, C, D)))

    def test_silent_learner_is_removed(self) -> None:
        hosts = known_hosts(A, B, C) | known_hosts(D, heard_ms=NOW_MS - LEARNER_LOST_TIMEOUT_MS)
        change = find_change(Configuration((A, B, C), (D,)), hosts)
        self.assertEqual(change.configuration, Configuration((A, B, C)))
