"""Tests of sessions: leases, in-force tracking and assignment, across changes of the leader."""

from __future__ import annotations

import unittest

from marigoldarch.control.sessions import PendingLease
from marigoldarch.events import MessageArrived
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import ViewAck
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.control.support import declare, other_nodes, replies

POOL = PoolId("dc1", "coach")


class InForceTests(unittest.TestCase):
    """A change is in force when every lease holder acts on it."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster(nodes=5, voters=3)
        self.cluster.run(4000)

    def test_change_is_in_force_soon_when_nothing_fails(self) -> None:
        declare(self.cluster, "n4", "guild", 0, "c1")
        self.cluster.run(200)
        self.assertEqual(replies(self.cluster, "n4")[0]["status"], "in_force")

    def test_change_is_in_force_within_three_seconds_of_the_loss_of_the_leader(self) -> None:
        for seed in range(8):
            cluster = MemoryCluster(nodes=5, voters=3, seed=seed)
            cluster.run(4000)
            cluster.kill(cluster.leader())
            declare(cluster, "n5", "guild", 0, "c1")
            cluster.run(3000)
            self.assertEqual([r["status"] for r in replies(cluster, "n5")], ["in_force"], seed)

    def test_change_is_not_in_force_while_a_cut_off_node_may_act_on_the_old_one(self) -> None:
        leader = self.cluster.leader()
        self.cluster.cut(leader, "n5")
        declare(self.cluster, "n4", "guild", 0, "c1")
        while self.cluster.nodes["n5"].state.control.member.has_lease(self.cluster.now_ms):
            self.assertEqual(replies(self.cluster, "n4"), [])
            self.cluster.run(10)
        self.cluster.run(500)
        self.assertEqual(replies(self.cluster, "n4")[0]["status"], "in_force")

    def test_lost_leader_s_node_does_not_act_when_the_next_leader_says_in_force(self) -> None:
        leader = self.cluster.leader()
        rest = other_nodes(self.cluster, leader)
        for other in rest:
            self.cluster.cut(leader, other)
        declare(self.cluster, rest[-1], "guild", 0, "c1")
        while not replies(self.cluster, rest[-1]):
            self.cluster.run(10)
        member = self.cluster.nodes[leader].state.control.member
        self.assertFalse(member.has_lease(self.cluster.now_ms))

    def test_leader_without_its_lease_grants_none_for_a_late_acknowledgement(self) -> None:
        leader = self.cluster.leader()
        self.cluster.isolate(leader)
        self.cluster.run(800)
        control = self.cluster.nodes[leader].state.control
        session = control.leadership.sessions.by_node["n5"]
        session.pending_lease = PendingLease(self.cluster.now_ms - 10.0, session.revision)
        expires_ms = session.expires_ms
        event = MessageArrived(self.cluster.now_ms, "n5", ViewAck(session.revision))
        self.cluster.submit(leader, event)
        self.assertTrue(control.is_ready_leader)
        self.assertEqual(session.expires_ms, expires_ms)

    def test_resent_change_after_the_loss_of_the_leader_is_made_once(self) -> None:
        declare(self.cluster, "n4", "guild", 0, "c1")
        self.cluster.run(10)
        self.cluster.kill(self.cluster.leader())
        self.cluster.run(3000)
        first = replies(self.cluster, "n4")
        declare(self.cluster, "n5", "guild", 0, "c1")
        self.cluster.run(500)
        self.assertEqual(first, replies(self.cluster, "n5"))


class AssignmentTests(unittest.TestCase):
    """One pool and five nodes."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster(nodes=5, voters=3)
        self.cluster.run(4000)
        self.member("n4").want_pool(POOL)
        self.cluster.run(1000)

    def member(self, name: str):
        """Return a node's member."""
        return self.cluster.nodes[name].state.control.member

    def holders(self) -> list[str]:
        """Return the nodes that act as scheduler of the pool."""
        now_ms = self.cluster.now_ms
        return [name for name in self.cluster.nodes if self.member(name).holds_pool(POOL, now_ms)]

    def send_messages(self, name: str, effects: list) -> None:
        """Send the messages among some effects."""
        for effect in effects:
            self.cluster._send(name, effect)

    def test_relinquished_pool_is_assigned_at_once_and_never_held_twice(self) -> None:
        (holder,) = self.holders()
        self.send_messages(holder, self.member(holder).relinquish(POOL))
        self.assertEqual(self.holders(), [])
        for _ in range(30):
            self.cluster.run(10)
            self.assertLessEqual(len(self.holders()), 1)
        self.assertEqual(len(self.holders()), 1)

    def test_stopped_node_is_forgotten_and_its_pool_assigned_at_once(self) -> None:
        (holder,) = self.holders()
        self.send_messages(holder, self.member(holder).leave())
        self.assertEqual(self.holders(), [])
        self.cluster.run(300)
        self.assertEqual(len(self.holders()), 1)
        self.assertNotEqual(self.holders(), [holder])
        machine = self.cluster.nodes[self.cluster.leader()].state.control.machine
        self.assertNotIn(holder, machine.nodes)

    def test_cut_off_holder_has_stopped_before_the_pool_is_held_again(self) -> None:
        (holder,) = self.holders()
        for other in other_nodes(self.cluster, holder):
            self.cluster.cut(holder, other)
        for _ in range(600):
            self.cluster.run(10)
            self.assertLessEqual(len(self.holders()), 1)
        self.assertNotEqual(self.holders(), [holder])
        self.assertEqual(len(self.holders()), 1)
