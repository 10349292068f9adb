"""Tests of the leadership transfer before a planned stop."""

from __future__ import annotations

import unittest

from marigoldarch.events import DrainRequested, MessageArrived
from marigoldarch.messages import LeadershipTransfer
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.control.support import replica_of


class LeadershipTransferTests(unittest.TestCase):
    """Three voters, of which the leader is drained."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster()
        self.cluster.run(3000)
        self.first_leader = self.cluster.leader()

    def drain_leader(self) -> None:
        """Ask the first leader to drain."""
        self.cluster.submit(self.first_leader, DrainRequested(self.cluster.now_ms))

    def test_another_voter_leads_before_an_election_timeout(self) -> None:
        self.drain_leader()
        self.cluster.run(100)
        self.assertNotIn(self.cluster.leader(), (None, self.first_leader))

    def test_leader_without_a_following_voter_stays_leader(self) -> None:
        for other in self.cluster.names:
            if other != self.first_leader:
                self.cluster.kill(other)
        self.cluster.run(700)
        self.drain_leader()
        self.cluster.run(100)
        self.assertTrue(replica_of(self.cluster, self.first_leader).is_leader)

    def test_transfer_of_an_earlier_term_starts_no_election(self) -> None:
        other = next(name for name in self.cluster.names if name != self.first_leader)
        replica = replica_of(self.cluster, other)
        term = replica.term
        message = LeadershipTransfer(term - 1, replica.name.replica_id)
        self.cluster.submit(other, MessageArrived(self.cluster.now_ms, self.first_leader, message))
        self.assertEqual(replica.term, term)

    def test_there_is_a_leader_while_all_voters_drain(self) -> None:
        for name in self.cluster.names:
            self.cluster.submit(name, DrainRequested(self.cluster.now_ms))
        self.cluster.run(1000)
        self.assertIsNotNone(self.cluster.leader())
