"""Tests of replicas in an in-memory cluster: snapshots, identities, repair and elections."""

from __future__ import annotations

import unittest

from marigoldarch.codec import encode_json
from marigoldarch.control.commands import Entry
from marigoldarch.control.durable import DurableState
from marigoldarch.control.replica import Replica
from marigoldarch.messages import VoteRequest
from marigoldarch.settings import ControlSettings
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.control.support import (
    FREQUENT_SNAPSHOTS,
    declare_many,
    other_nodes,
    repair,
    replica_of,
    replicated_teams,
    replies,
)


class SnapshotTests(unittest.TestCase):
    """Three voters that take a snapshot every 20 entries."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster(control=FREQUENT_SNAPSHOTS)
        self.cluster.run(3000)

    def test_log_stays_bounded_in_memory_and_on_disk(self) -> None:
        declare_many(self.cluster, "n1", 200)
        for name in self.cluster.nodes:
            self.assertLessEqual(len(replica_of(self.cluster, name).log), 30)
            self.assertLessEqual(len(self.cluster.disks[name].records), 30)

    def test_state_is_the_same_on_all_replicas_and_after_a_restart(self) -> None:
        declare_many(self.cluster, "n1", 70)
        follower = other_nodes(self.cluster, self.cluster.leader())[0]
        self.cluster.kill(follower)
        self.cluster.start(follower)
        self.cluster.run(1000)
        states = {
            encode_json(node.state.control.state_machine.to_plain())
            for node in self.cluster.nodes.values()
        }
        self.assertEqual(len(states), 1)

    def test_replica_far_behind_gets_a_snapshot_in_pieces(self) -> None:
        follower = other_nodes(self.cluster, self.cluster.leader())[0]
        self.cluster.kill(follower)
        declare_many(self.cluster, self.cluster.leader(), 200)
        self.cluster.start(follower)
        self.cluster.run(2000)
        self.assertEqual(len(replicated_teams(self.cluster, follower)), 200)
        event_kinds = [getattr(e, "kind", "") for e in self.cluster.nodes[follower].effects]
        self.assertIn("snapshot_installed", event_kinds)

    def test_whole_cluster_restarts_from_its_snapshots(self) -> None:
        declare_many(self.cluster, "n1", 50)
        for name in list(self.cluster.nodes):
            self.cluster.kill(name)
        for name in ("n1", "n2", "n3"):
            self.cluster.start(name)
        self.cluster.run(4000)
        for name in self.cluster.nodes:
            self.assertEqual(len(replicated_teams(self.cluster, name)), 50)


class IdentityTests(unittest.TestCase):
    """A node with an emptied disk is a new replica, which takes part only after a repair."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster()
        self.cluster.run(3000)
        declare_many(self.cluster, "n1", 5)

    def test_emptied_disk_does_not_count_toward_a_majority(self) -> None:
        lost, other = other_nodes(self.cluster, self.cluster.leader())
        self.cluster.kill(lost)
        self.cluster.replace_disk(lost)
        self.cluster.start(lost)
        self.cluster.kill(other)
        self.cluster.run(5000)
        self.assertIsNone(self.cluster.leader())

    def test_two_emptied_disks_do_not_form_a_new_installation(self) -> None:
        for name in ("n1", "n2"):
            self.cluster.kill(name)
            self.cluster.replace_disk(name)
            self.cluster.start(name)
        self.cluster.run(6000)
        self.assertIsNone(self.cluster.leader())
        self.assertEqual(len(replicated_teams(self.cluster, "n3")), 5)

    def test_repair_replaces_an_emptied_replica_and_a_second_loss_is_harmless(self) -> None:
        leader = self.cluster.leader()
        lost, other = other_nodes(self.cluster, leader)
        self.cluster.kill(lost)
        self.cluster.replace_disk(lost)
        self.cluster.start(lost)
        self.cluster.run(1000)
        repair(self.cluster, other, lost, lost)
        self.cluster.run(5000)
        self.assertEqual(replies(self.cluster, other)[-1]["status"], "done")
        self.cluster.kill(leader)
        self.cluster.replace_disk(leader)
        self.cluster.run(5000)
        self.assertIn(self.cluster.leader(), (lost, other))
        self.assertEqual(len(replicated_teams(self.cluster, self.cluster.leader())), 5)

    def test_repair_continues_after_the_leader_fails_during_it(self) -> None:
        cluster = MemoryCluster(nodes=6, voters=5)
        cluster.run(3000)
        declare_many(cluster, "n6", 5)
        lost, *rest = other_nodes(cluster, cluster.leader(), "n6")
        cluster.kill(lost)
        cluster.replace_disk(lost)
        cluster.start(lost)
        cluster.run(600)
        repair(cluster, "n6", lost, lost)
        cluster.run(50)
        cluster.kill(cluster.leader())
        cluster.run(10_000)
        self.assertEqual(replies(cluster, "n6")[-1]["status"], "done")
        voters = replica_of(cluster, cluster.leader()).configuration.voters
        self.assertIn(replica_of(cluster, lost).name, voters)
        self.assertEqual(len(voters), 5)

    def test_repair_onto_another_node_makes_it_a_voter(self) -> None:
        cluster = MemoryCluster(nodes=4, voters=3, data_folders=("n4",))
        cluster.run(3000)
        declare_many(cluster, "n4", 5)
        lost, other = other_nodes(cluster, cluster.leader(), "n4")
        cluster.kill(lost)
        repair(cluster, other, lost, "n4")
        cluster.run(5000)
        self.assertEqual(replies(cluster, other)[-1]["status"], "done")
        cluster.kill(cluster.leader())
        cluster.run(6000)
        self.assertIn(cluster.leader(), (other, "n4"))
        self.assertEqual(cluster.nodes["n4"].state.control.member.view.voters[-1], "n4")

    def test_repair_ignores_what_the_lost_disk_acknowledged(self) -> None:
        lost, other = other_nodes(self.cluster, self.cluster.leader())
        self.cluster.kill(lost)
        self.cluster.replace_disk(lost)
        repair(self.cluster, other, lost, lost)
        self.cluster.run(200)
        self.assertEqual(replies(self.cluster, other), [])
        self.cluster.start(lost)
        self.cluster.run(5000)
        self.assertEqual(replies(self.cluster, other)[-1]["status"], "done")
        voters = replica_of(self.cluster, other).configuration.voters
        self.assertIn(replica_of(self.cluster, lost).name, voters)

    def test_repair_of_an_unknown_replica_is_refused(self) -> None:
        cluster = MemoryCluster(nodes=5, voters=3, data_folders=("n4",))
        cluster.run(3000)
        repair(cluster, "n5", "n5", "n4")
        cluster.run(1000)
        self.assertEqual(replies(cluster, "n5")[-1]["status"], "unknown_replica")

    def test_repair_is_not_done_while_the_replacement_is_cut_off(self) -> None:
        leader = self.cluster.leader()
        lost, other = other_nodes(self.cluster, leader)
        self.cluster.kill(lost)
        self.cluster.replace_disk(lost)
        self.cluster.start(lost)
        self.cluster.run(1000)
        repair(self.cluster, other, lost, lost)
        self.cluster.cut(leader, lost)
        self.cluster.run(3000)
        self.assertEqual(replies(self.cluster, other), [])
        voters = replica_of(self.cluster, leader).configuration.voters
        self.assertNotIn(replica_of(self.cluster, lost).name, voters)


class ElectionTests(unittest.TestCase):
    """Elections, and the leases of leaders across them."""

    def test_restarted_voter_grants_no_vote_while_a_leader_lease_may_be_valid(self) -> None:
        cluster = MemoryCluster()
        cluster.run(3000)
        leader = cluster.leader()
        voter, candidate = other_nodes(cluster, leader)
        cluster.cut(leader, candidate)
        cluster.run(900)
        cluster.kill(voter)
        cluster.start(voter)
        for _ in range(50):
            cluster.run(10)
            is_leader = replica_of(cluster, candidate).is_leader
            has_lease = replica_of(cluster, leader).has_leader_lease(cluster.now_ms)
            self.assertFalse(is_leader and has_lease)

    def test_refused_pre_vote_keeps_the_term_and_reports_the_higher_one(self) -> None:
        replica = Replica("n1", ("n1", "n2"), ControlSettings(), DurableState("a", term=5), 0)
        replica.start(0.0)
        replica.log.append(Entry(1, 5, ["Noop", {}]))
        pre_vote = VoteRequest(4, 0, 0, True, "b", "a")
        (reply,) = replica.on_vote_request("n2", pre_vote, 1000.0)
        self.assertEqual((reply.message.is_granted, reply.message.term), (False, 5))

    def test_only_voter_with_the_complete_log_wins_against_higher_terms(self) -> None:
        cluster = MemoryCluster()
        cluster.run(3000)
        leader = cluster.leader()
        behind, lost = other_nodes(cluster, leader)
        cluster.kill(behind)
        declare_many(cluster, leader, 3)
        cluster.kill(lost)
        cluster.replace_disk(lost)
        cluster.kill(leader)
        cluster.start(behind)
        cluster.run(8000)
        cluster.start(leader)
        cluster.run(4000)
        self.assertEqual(cluster.leader(), leader)

    def test_cut_off_leader_steps_down_and_terms_agree_after_the_cut_heals(self) -> None:
        cluster = MemoryCluster()
        cluster.run(3000)
        leader = cluster.leader()
        for other in other_nodes(cluster, leader):
            cluster.cut(leader, other)
        cluster.run(4000)
        self.assertFalse(replica_of(cluster, leader).is_leader)
        self.assertNotEqual(cluster.leader(), leader)
        cluster.heal()
        cluster.run(2000)
        self.assertEqual(len({replica_of(cluster, name).term for name in cluster.nodes}), 1)
