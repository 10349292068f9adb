"""Tests of requests from arrival to outcome, with the real reducers of three nodes."""

from __future__ import annotations

import hashlib
import unittest
from typing import Any

from marigoldarch.effects import CallTarget, CancelCall, Exit, Reply, Send
from marigoldarch.events import (
    CallArrived,
    CallerGone,
    CallInfo,
    DeclareRequested,
    DrainRequested,
    Event,
    FirstToken,
    MessageArrived,
    TargetAnnounced,
    TargetAnswered,
    TargetFailed,
    Tick,
)
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PresentPermits,
)
from marigoldarch.outcomes import (
    Answered,
    Failed,
    FailureReason,
    NotRun,
    OutcomeUnknown,
    RefusalReason,
)
from marigoldarch.reducer import reduce
from marigoldarch.settings import EntrySettings
from marigoldarch.targets import Announcement
from marigoldarch.tests.cluster import MemoryCluster

KEY = hashlib.sha256(b"secret").hexdigest()
LIMITED_KEY = hashlib.sha256(b"slow").hexdigest()

DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": 20_000}},
    "customers": {
        "harbor": {"key_sha256": [KEY]},
        "pier": {"key_sha256": [LIMITED_KEY], "rate_per_s": 2.0, "concurrency": 2},
    },
    "services": {"gradebook": {"methods": {"post": {}, "look": {"idempotent": True}}}},
}
ENGINES = (("e1", "engine", "coach"), ("e2", "engine", "coach"))
SERVICES = (("s1", "service", "gradebook"), ("s2", "service", "gradebook"))


class EntryReducerTests(unittest.TestCase):
    """Requests at three entry nodes, with two engines and two service replicas."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster()
        self.cluster.run(3000)
        event = DeclareRequested(
            self.cluster.now_ms, "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", event)
        self.run_for(5000)

    def run_for(self, duration_ms: float) -> None:
        """Advance time while the targets renew their announcements."""
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            for target, kind, name in ENGINES + SERVICES:
                announcement = Announcement(
                    target, "i1", kind, name, f"{target}:1", "dc1", memory_tokens=10_000
                )
                event = TargetAnnounced(self.cluster.now_ms, announcement)
                for node in self.cluster.nodes:
                    self.cluster.submit(node, event)
                    break
            self.cluster.run(min(250.0, end_ms - self.cluster.now_ms))

    def call(self, request_id: str, node: str = "n2", key: str = KEY, **fields: Any) -> None:
        """Submit a call and let messages be delivered."""
        call = CallInfo(request_id, key, "quiz", **fields)
        self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
        self.run_for(100)

    def prompt(self, request_id: str, node: str = "n2", key: str = KEY) -> None:
        """Submit a prompt."""
        self.call(request_id, node, key, model="coach", prompt_tokens=100, output_tokens=10)

    def target_calls(self, request_id: str) -> list[CallTarget]:
        """Return the target calls of a request."""
        return self.effects(CallTarget, request_id)

    def outcomes(self, request_id: str) -> list:
        """Return the final outcomes of a request."""
        return [effect.outcome for effect in self.effects(Reply, request_id)]

    def effects(self, effect_type: type, request_id: str) -> list:
        """Return the effects of one type for a request, over all nodes."""
        return [
            effect
            for node in self.cluster.nodes.values()
            for effect in node.effects
            if isinstance(effect, effect_type) and effect.request_id == request_id
        ]

    def fail(self, request_id: str, relayed: int = 0, *, is_unsent: bool = False) -> None:
        """Make the latest attempt of a request at n2 fail."""
        call = self.target_calls(request_id)[-1]
        event = TargetFailed(
            self.cluster.now_ms,
            request_id,
            call.attempt,
            call.targets[0].target,
            is_unsent,
            relayed,
        )
        self.cluster.submit("n2", event)
        self.run_for(100)

    def answer(self, request_id: str, call: CallTarget, body: str = "") -> None:
        """Make the target answer an attempt of a request at n2."""
        event = TargetAnswered(self.cluster.now_ms, request_id, call.attempt, 10, body)
        self.cluster.submit("n2", event)
        self.run_for(100)

    def permit_count(self) -> int:
        """Return how many permits all schedulers hold."""
        schedulers = [
            scheduler
            for node in self.cluster.nodes.values()
            for scheduler in node.state.pools.schedulers.values()
        ]
        return sum(len(scheduler.permits) for scheduler in schedulers)

    def test_cut_stream_is_resumed_from_its_offset_on_another_target(self) -> None:
        self.prompt("r1")
        self.fail("r1", relayed=4)
        first, second = self.target_calls("r1")
        self.assertNotEqual(first.targets[0].target, second.targets[0].target)
        self.assertEqual(second.offset, 4)
        self.answer("r1", second)
        self.assertEqual(self.outcomes("r1"), [Answered("", 10)])

    def test_late_answer_of_an_earlier_attempt_is_ignored(self) -> None:
        self.prompt("r1")
        self.fail("r1")
        first, _ = self.target_calls("r1")
        self.answer("r1", first)
        self.assertEqual(self.outcomes("r1"), [])

    def test_failed_non_idempotent_call_is_unknown_and_not_sent_again(self) -> None:
        fields = {"service": "gradebook", "method": "post", "idempotency_key": "k"}
        self.call("r1", **fields)
        self.fail("r1")
        self.assertEqual(self.outcomes("r1"), [OutcomeUnknown(FailureReason.TARGET_FAILED)])
        self.call("r2", **fields)
        self.assertEqual(self.target_calls("r2"), [])
        self.assertIsInstance(self.outcomes("r2")[0], OutcomeUnknown)

    def test_unsent_non_idempotent_call_is_sent_to_another_target(self) -> None:
        self.call("r1", service="gradebook", method="post", idempotency_key="k")
        self.fail("r1", is_unsent=True)
        first, second = self.target_calls("r1")
        self.assertNotEqual(first.targets[0].target, second.targets[0].target)

    def test_non_idempotent_call_refused_as_not_run_may_run_later_under_the_same_key(self) -> None:
        fields = {"service": "gradebook", "method": "post", "idempotency_key": "k"}
        self.call("r1", **fields)
        while not self.outcomes("r1"):
            self.fail("r1", is_unsent=True)
        self.assertIsInstance(self.outcomes("r1")[0], NotRun)
        self.run_for(500)
        self.call("r2", **fields)
        self.assertEqual(len(self.target_calls("r2")), 1)

    def test_answer_of_a_non_idempotent_call_is_replied_without_a_quorum(self) -> None:
        self.call("r1", service="gradebook", method="post", idempotency_key="k")
        self.cluster.cut("n2", "n1")
        self.cluster.cut("n2", "n3")
        call = self.target_calls("r1")[0]
        event = TargetAnswered(self.cluster.now_ms, "r1", call.attempt, 0, "posted")
        self.cluster.submit("n2", event)
        self.assertEqual(self.outcomes("r1"), [Answered("posted")])
        self.cluster.heal()
        self.run_for(3000)
        fields = {"service": "gradebook", "method": "post", "idempotency_key": "k"}
        self.call("r2", node="n3", **fields)
        self.assertEqual(self.outcomes("r2"), [Answered("posted", replayed=True)])

    def test_slow_idempotent_call_is_hedged_once_and_the_slower_attempt_is_cancelled(self) -> None:
        self.call("r1", service="gradebook", method="look")
        self.run_for(1000)
        first, second = self.target_calls("r1")
        self.assertNotEqual(first.targets, second.targets)
        self.answer("r1", second, "found")
        self.assertEqual(self.outcomes("r1"), [Answered("found", 10)])
        self.assertEqual(self.effects(CancelCall, "r1"), [CancelCall("r1", first.attempt)])
        self.assertEqual(self.permit_count(), 0)

    def test_slow_non_idempotent_call_is_not_hedged(self) -> None:
        self.call("r1", service="gradebook", method="post", idempotency_key="k")
        self.run_for(1500)
        self.assertEqual(len(self.target_calls("r1")), 1)

    def test_permit_is_released_when_the_caller_disconnects(self) -> None:
        self.prompt("r1")
        self.assertEqual(self.permit_count(), 1)
        self.cluster.submit("n2", CallerGone(self.cluster.now_ms, "r1"))
        self.run_for(100)
        self.assertEqual(self.permit_count(), 0)
        self.assertEqual(len(self.effects(CancelCall, "r1")), 1)

    def test_running_request_fails_at_its_deadline_and_releases_the_permit(self) -> None:
        self.prompt("r1")
        self.run_for(20_500)
        self.assertEqual(self.outcomes("r1"), [Failed(FailureReason.DEADLINE)])
        self.assertEqual(self.permit_count(), 0)

    def test_non_idempotent_call_that_runs_at_its_deadline_is_unknown(self) -> None:
        self.call("r1", service="gradebook", method="post", idempotency_key="k")
        self.run_for(10_500)
        self.assertEqual(self.outcomes("r1"), [OutcomeUnknown(FailureReason.DEADLINE)])

    def test_node_ends_running_requests_after_its_lease_and_grace_time(self) -> None:
        self.prompt("r1")
        self.cluster.cut("n2", "n1")
        self.cluster.cut("n2", "n3")
        self.run_for(11_000)
        self.assertEqual(self.outcomes("r1"), [Failed(FailureReason.LEASE_LOST)])

    def test_grant_of_a_replaced_scheduler_is_not_used(self) -> None:
        pool = PoolId("dc1", "coach")
        assignment = self.cluster.nodes["n1"].state.control.member.view.assignments[pool]
        node = next(name for name in self.cluster.nodes if name != assignment.node)
        call = CallInfo("r1", KEY, "quiz", model="coach", prompt_tokens=100)
        self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
        target = TargetAddress("e1", "i1", "e1:1")
        for fence, expected in ((assignment.fence - 1, 0), (assignment.fence, 1)):
            granted = PermitGranted(pool, "r1", 1, PermitId(fence, 99), [target])
            event = MessageArrived(self.cluster.now_ms, assignment.node, granted)
            self.cluster.submit(node, event)
            self.assertEqual(len(self.target_calls("r1")), expected)

    def test_grant_that_answers_an_old_permit_request_is_not_used(self) -> None:
        pool = PoolId("dc1", "coach")
        assignment = self.cluster.nodes["n1"].state.control.member.view.assignments[pool]
        node = next(name for name in self.cluster.nodes if name != assignment.node)
        call = CallInfo("r1", KEY, "quiz", model="coach", prompt_tokens=100)
        self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
        asked_ms = self.cluster.now_ms - EntrySettings().grant_max_age_ms - 1.0
        permit = PermitId(assignment.fence, 99)
        target = TargetAddress("e1", "i1", "e1:1")
        granted = PermitGranted(pool, "r1", 1, permit, [target], asked_ms)
        self.cluster.submit(node, MessageArrived(self.cluster.now_ms, assignment.node, granted))
        self.assertEqual(self.target_calls("r1"), [])

    def test_priority_of_the_grant_reaches_the_target(self) -> None:
        pool = PoolId("dc1", "coach")
        assignment = self.cluster.nodes["n1"].state.control.member.view.assignments[pool]
        node = next(name for name in self.cluster.nodes if name != assignment.node)
        target = TargetAddress("e1", "i1", "e1:1")
        for request_id, priority, expected in (("r1", 7, 7), ("r2", None, 0)):
            call = CallInfo(request_id, KEY, "quiz", model="coach", prompt_tokens=100)
            self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
            permit = PermitId(assignment.fence, 99)
            granted = PermitGranted(pool, request_id, 1, permit, [target], priority=priority)
            event = MessageArrived(self.cluster.now_ms, assignment.node, granted)
            self.cluster.submit(node, event)
            self.assertEqual(self.target_calls(request_id)[0].priority, expected)

    def entry_and_scheduler(self) -> tuple[str, str]:
        """Return a node that does not schedule the model's pool, and the node that does."""
        view = self.cluster.nodes["n1"].state.control.member.view
        scheduler_node = view.assignments[PoolId("dc1", "coach")].node
        return next(name for name in self.cluster.nodes if name != scheduler_node), scheduler_node

    def sent_messages(self, node: str, event: Event, message_type: type) -> list:
        """Apply an event to a node; return the messages of one type that it sends."""
        effects = reduce(self.cluster.nodes[node].state, event)
        messages = [effect.message for effect in effects if isinstance(effect, Send)]
        return [message for message in messages if isinstance(message, message_type)]

    def test_entry_lists_its_permits_in_full_when_requested(self) -> None:
        node, scheduler_node = self.entry_and_scheduler()
        self.prompt("r1", node=node)
        asked = PresentPermits(PoolId("dc1", "coach"))
        self.sent_messages(
            node, MessageArrived(self.cluster.now_ms, scheduler_node, asked), PermitsHeld
        )
        (listed,) = self.sent_messages(node, Tick(self.cluster.now_ms), PermitsHeld)
        self.assertEqual([held.item.request_id for held in listed.held], ["r1"])

    def test_release_reports_the_time_to_first_token_and_the_output_tokens(self) -> None:
        node, _ = self.entry_and_scheduler()
        self.prompt("r1", node=node)
        call_sent_ms = self.cluster.nodes[node].state.entry.requests["r1"].attempts[1].call_sent_ms
        self.cluster.submit(node, FirstToken(call_sent_ms + 30.0, "r1", 1))
        answered = TargetAnswered(self.cluster.now_ms, "r1", 1, 7)
        (released,) = self.sent_messages(node, answered, PermitReleased)
        self.assertEqual((released.first_token_ms, released.output_tokens), (30.0, 7))

    def test_release_reports_a_lost_connection(self) -> None:
        node, _ = self.entry_and_scheduler()
        self.prompt("r1", node=node)
        for attempt, is_lost in ((1, True), (2, False)):
            target = self.target_calls("r1")[-1].targets[0].target
            failed = TargetFailed(self.cluster.now_ms, "r1", attempt, target, False, 0, is_lost)
            (released,) = self.sent_messages(node, failed, PermitReleased)
            self.assertEqual(released.is_connection_lost, is_lost)
            self.run_for(1000)

    def refuse_as_suspect(
        self, node: str, attempt: int, specific_reason: str = "prompt_crashes_targets"
    ) -> list:
        """Refuse an attempt of r1, as its prompt crashes targets; return the request's outcomes."""
        refused = PermitRefused(
            PoolId("dc1", "coach"),
            "r1",
            attempt,
            "target_unreachable",
            90_000.0,
            specific_reason,
        )
        event = MessageArrived(self.cluster.now_ms, "n1", refused)
        effects = reduce(self.cluster.nodes[node].state, event)
        return [effect.outcome for effect in effects if isinstance(effect, Reply)]

    def test_prompt_that_crashes_targets_is_not_run_if_it_was_not_sent(self) -> None:
        node, _ = self.entry_and_scheduler()
        call = CallInfo("r1", KEY, "quiz", model="coach", prompt_tokens=100)
        reduce(self.cluster.nodes[node].state, CallArrived(self.cluster.now_ms, call))
        expected = NotRun(RefusalReason.PROMPT_CRASHES_TARGETS, 90_000.0)
        self.assertEqual(self.refuse_as_suspect(node, 1), [expected])

    def test_refusal_for_a_reason_that_is_unknown_to_this_build_is_understood(self) -> None:
        """Guards against an entry node that ends as a newer scheduler refuses a request."""
        node, _ = self.entry_and_scheduler()
        call = CallInfo("r1", KEY, "quiz", model="coach", prompt_tokens=100)
        reduce(self.cluster.nodes[node].state, CallArrived(self.cluster.now_ms, call))
        expected = NotRun(RefusalReason.TARGET_UNREACHABLE, 90_000.0)
        self.assertEqual(self.refuse_as_suspect(node, 1, "added_later"), [expected])

    def test_prompt_that_crashes_targets_has_failed_if_it_was_sent_before(self) -> None:
        node, _ = self.entry_and_scheduler()
        self.prompt("r1", node=node)
        target = self.target_calls("r1")[0].targets[0].target
        failed = TargetFailed(self.cluster.now_ms, "r1", 1, target, False, 0, True)
        self.assertEqual(len(self.sent_messages(node, failed, PermitRequest)), 1)
        expected = Failed(FailureReason.TARGET_FAILED, 90_000.0)
        self.assertEqual(self.refuse_as_suspect(node, 2), [expected])

    def test_refusal_of_a_prompt_that_crashes_targets_does_not_divert_others(self) -> None:
        """Guards against moving all requests to a farther pool for the time of a quarantine."""
        node, _ = self.entry_and_scheduler()
        remote = Announcement("e9", "i1", "engine", "coach", "e9:1", "dc2", memory_tokens=10_000)
        self.cluster.submit(node, TargetAnnounced(self.cluster.now_ms, remote))
        self.run_for(2000)
        entry = self.cluster.nodes[node].state.entry
        pools = entry.member.view.pools_of("coach")
        self.assertEqual(len(pools), 2)
        for pool in pools:
            entry.pool_selector.record_wait(pool, 500.0, self.cluster.now_ms)
        entry.pool_selector.record_wait(PoolId("dc1", "coach"), 0.0, self.cluster.now_ms)
        for request_id in ("r1", "r2"):
            call = CallInfo(request_id, KEY, "quiz", model="coach", prompt_tokens=100)
            arrived = CallArrived(self.cluster.now_ms, call)
            (asked,) = self.sent_messages(node, arrived, PermitRequest)
            self.assertEqual(asked.pool, PoolId("dc1", "coach"))
            if request_id == "r1":
                self.refuse_as_suspect(node, 1)

    def test_limits_of_a_customer_hold_over_all_nodes(self) -> None:
        for number in range(9):
            self.prompt(f"r{number}", node=f"n{number % 3 + 1}", key=LIMITED_KEY)
        running = [n for n in range(9) if self.target_calls(f"r{n}")]
        self.assertLessEqual(len(running), 2)
        refused = [self.outcomes(f"r{n}")[0] for n in range(9) if n not in running]
        for outcome in refused:
            self.assertEqual(outcome.reason, RefusalReason.LIMIT)
            self.assertGreater(outcome.retry_after_ms, 0.0)

    def test_caller_that_disconnects_while_waiting_for_a_limit_frees_no_slot_of_others(
        self,
    ) -> None:
        self.prompt("r1", key=LIMITED_KEY)
        state = self.cluster.nodes["n2"].state
        call = CallInfo("r2", LIMITED_KEY, "quiz", model="coach", prompt_tokens=100)
        self.cluster.submit("n2", CallArrived(self.cluster.now_ms, call))
        self.assertEqual(len(state.entry.shares.waiting), 1)
        self.cluster.submit("n2", CallerGone(self.cluster.now_ms, "r2"))
        self.assertEqual(state.entry.shares.used("customer/guild/pier"), 1)

    def test_slots_of_ended_requests_are_lent_again(self) -> None:
        for number in range(6):
            self.prompt(f"r{number}", key=LIMITED_KEY)
            self.assertEqual(len(self.target_calls(f"r{number}")), 1, number)
            self.answer(f"r{number}", self.target_calls(f"r{number}")[0])
            self.run_for(1000)

    def test_drained_node_exits_after_its_requests_have_ended(self) -> None:
        self.prompt("r1")
        self.cluster.submit("n2", DrainRequested(self.cluster.now_ms))
        self.run_for(1000)
        for node in self.cluster.nodes.values():
            addresses = node.state.ask_directory("dc1", self.cluster.now_ms).addresses
            self.assertNotIn("n2:80", addresses)
        self.prompt("r2")
        self.assertEqual(len(self.target_calls("r2")), 1)
        self.answer("r2", self.target_calls("r2")[0])
        self.run_for(4000)
        self.prompt("r3")
        self.assertEqual(self.outcomes("r3")[0].reason, RefusalReason.DRAINING)
        self.assertFalse(any(isinstance(e, Exit) for e in self.cluster.nodes["n2"].effects))
        self.answer("r1", self.target_calls("r1")[0])
        self.assertEqual(self.outcomes("r1"), [Answered("", 10)])
        self.run_for(500)
        self.assertTrue(any(isinstance(e, Exit) for e in self.cluster.nodes["n2"].effects))

    def test_dead_node_leaves_the_directory_within_two_seconds(self) -> None:
        leader = self.cluster.leader()
        dead = next(name for name in self.cluster.nodes if name != leader)
        self.cluster.kill(dead)
        self.cluster.run(2000)
        for node in self.cluster.nodes.values():
            self.assertNotIn(
                f"{dead}:80", node.state.ask_directory("dc1", self.cluster.now_ms).addresses
            )

    def test_partitioned_node_gives_no_directory_answer(self) -> None:
        self.cluster.cut("n2", "n1")
        self.cluster.cut("n2", "n3")
        self.cluster.run(2500)
        state = self.cluster.nodes["n2"].state
        self.assertIsNone(state.ask_directory("dc1", self.cluster.now_ms))

    def test_every_refused_request_is_answered_once(self) -> None:
        self.prompt("r1", key="0" * 64)
        self.cluster.submit("n2", Tick(self.cluster.now_ms))
        self.assertEqual(self.outcomes("r1"), [NotRun(RefusalReason.UNKNOWN_KEY)])
