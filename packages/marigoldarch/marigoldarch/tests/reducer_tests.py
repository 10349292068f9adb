"""Tests of the node reducer in an in-memory cluster of three nodes."""

from __future__ import annotations

import hashlib
import unittest

from marigoldarch.effects import CallTarget, OperatorReply, Reply
from marigoldarch.events import (
    CallArrived,
    CallInfo,
    DeclareRequested,
    TargetAnnounced,
    TargetAnswered,
)
from marigoldarch.identifiers import PoolId
from marigoldarch.outcomes import Answered, NotRun, OutcomeUnknown, RefusalReason
from marigoldarch.targets import Announcement
from marigoldarch.tests.cluster import MemoryCluster

KEY = hashlib.sha256(b"secret").hexdigest()

DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"rank": 0, "deadline_ms": 5000}},
    "customers": {"harbor": {"key_sha256": [KEY], "kinds": ["quiz"]}},
    "services": {"gradebook": {"methods": {"post": {}, "look": {"idempotent": True}}}},
}


def declare(cluster: MemoryCluster, node: str, change_id: str, base: int) -> None:
    """Request a declaration change at a node."""
    event = DeclareRequested(
        cluster.now_ms, f"op-{change_id}", change_id, "ada", "guild", base, DECLARATION, 8000.0
    )
    cluster.submit(node, event)


def operator_replies(cluster: MemoryCluster, node: str) -> list[dict]:
    """Return the replies of a node to its operators."""
    return [e.body for e in cluster.nodes[node].effects if isinstance(e, OperatorReply)]


def announce(cluster: MemoryCluster, node: str, target: str, kind: str, name: str) -> None:
    """Send a target's announcement to a node."""
    announcement = Announcement(
        target, "i1", kind, name, f"{target}:1", "dc1", memory_tokens=10_000
    )
    cluster.submit(node, TargetAnnounced(cluster.now_ms, announcement))


def run_with_targets(cluster: MemoryCluster, duration_ms: float) -> None:
    """Advance time while an engine and a service renew their announcements."""
    for _ in range(int(duration_ms // 500)):
        announce(cluster, "n1", "e1", "engine", "coach")
        announce(cluster, "n1", "s1", "service", "gradebook")
        cluster.run(500)


class ClusterTests(unittest.TestCase):
    """Three voters with a declaration in force and two targets."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster()
        self.cluster.run(3000)
        declare(self.cluster, "n2", "c1", 0)
        run_with_targets(self.cluster, 5000)

    def call(self, node: str, request_id: str, **fields: object) -> list:
        """Submit a call; return its outcomes and target calls after half a second."""
        call = CallInfo(request_id, KEY, "quiz", **fields)
        self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
        run_with_targets(self.cluster, 500)
        return [
            effect
            for effect in self.cluster.nodes[node].effects
            if isinstance(effect, Reply | CallTarget) and effect.request_id == request_id
        ]

    def answer(self, node: str, request_id: str, body: str = "") -> None:
        """Make the target of a request answer."""
        event = TargetAnswered(self.cluster.now_ms, request_id, 1, 3, body)
        self.cluster.submit(node, event)
        self.cluster.run(100)

    def test_change_is_in_force_on_every_node(self) -> None:
        replies = operator_replies(self.cluster, "n2")
        self.assertEqual([reply["status"] for reply in replies], ["in_force"])
        revisions = {
            node.state.control.member.view.teams["guild"].revision
            for node in self.cluster.nodes.values()
        }
        self.assertEqual(revisions, {replies[0]["revision"]})

    def test_concurrent_change_gets_a_conflict_that_names_the_winner(self) -> None:
        declare(self.cluster, "n1", "c2", 0)
        self.cluster.run(500)
        reply = operator_replies(self.cluster, "n1")[0]
        self.assertEqual((reply["status"], reply["winner"]), ("conflict", "c1"))

    def test_resent_change_gets_the_reply_of_the_first(self) -> None:
        declare(self.cluster, "n3", "c1", 0)
        self.cluster.run(500)
        first = operator_replies(self.cluster, "n2")
        self.assertEqual(operator_replies(self.cluster, "n3"), first)

    def test_prompt_gets_a_permit_and_is_answered(self) -> None:
        effects = self.call("n3", "r1", model="coach", prompt_tokens=100, output_tokens=10)
        self.assertEqual(effects[0].targets[0].target, "e1")
        self.answer("n3", "r1")
        self.assertIn(Reply("r1", Answered("", 3)), self.cluster.nodes["n3"].effects)

    def test_unknown_key_is_refused_as_not_run(self) -> None:
        call = CallInfo("r2", "0" * 64, "quiz", model="coach")
        effects = self.cluster.submit("n1", CallArrived(self.cluster.now_ms, call))
        self.assertIn(Reply("r2", NotRun(RefusalReason.UNKNOWN_KEY)), effects)

    def test_non_idempotent_call_runs_once_for_an_idempotency_key(self) -> None:
        fields = {"service": "gradebook", "method": "post", "idempotency_key": "k1"}
        first = self.call("n1", "r3", body_sha256="a", **fields)
        self.assertIsInstance(first[0], CallTarget)
        during = self.call("n2", "r4", body_sha256="a", **fields)
        self.assertIsInstance(during[0].outcome, OutcomeUnknown)
        self.answer("n1", "r3", "posted")
        after = self.call("n3", "r5", body_sha256="a", **fields)
        self.assertEqual(after[0].outcome, Answered("posted", replayed=True))
        other = self.call("n3", "r6", body_sha256="b", **fields)
        self.assertEqual(other[0].outcome, NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED))

    def test_partitioned_node_refuses_calls_as_not_run(self) -> None:
        self.cluster.cut("n3", "n1")
        self.cluster.cut("n3", "n2")
        self.cluster.run(2500)
        call = CallInfo("r7", KEY, "quiz", model="coach")
        effects = self.cluster.submit("n3", CallArrived(self.cluster.now_ms, call))
        self.assertIn(Reply("r7", NotRun(RefusalReason.NO_LEASE, 500.0)), effects)

    def test_killed_leader_is_replaced_and_its_pools_are_reassigned(self) -> None:
        leader = self.cluster.leader()
        self.cluster.kill(leader)
        self.cluster.run(2000)
        self.assertIsNotNone(self.cluster.leader())
        node = next(iter(self.cluster.nodes))
        for _ in range(10):
            announce(self.cluster, node, "e1", "engine", "coach")
            self.cluster.run(500)
        view = self.cluster.nodes[node].state.control.member.view
        self.assertNotEqual(view.assignments[PoolId("dc1", "coach")].node, leader)

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once_as_not_run(self) -> None:
        call = CallInfo("r8", KEY, "quiz", model="coach", prompt_tokens=99_000, deadline_ms=300.0)
        self.cluster.submit("n1", CallArrived(self.cluster.now_ms, call))
        self.cluster.run(30)
        effects = self.cluster.nodes["n1"].effects
        outcomes = [e.outcome for e in effects if isinstance(e, Reply) and e.request_id == "r8"]
        self.assertEqual([outcome.reason for outcome in outcomes], [RefusalReason.DEADLINE])
        self.assertGreater(outcomes[0].retry_after_ms, 0.0)
