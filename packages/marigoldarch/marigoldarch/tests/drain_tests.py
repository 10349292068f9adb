"""Tests of graceful stops under load, with a caller that caches directory answers."""

from __future__ import annotations

import hashlib
import random
import unittest
from dataclasses import dataclass

from marigoldarch.effects import CallTarget, Exit, Reply
from marigoldarch.events import (
    CallArrived,
    CallInfo,
    DeclareRequested,
    DrainRequested,
    TargetAnnounced,
    TargetAnswered,
)
from marigoldarch.outcomes import Answered, NotRun, Outcome
from marigoldarch.targets import Announcement
from marigoldarch.tests.cluster import MemoryCluster

KEY = hashlib.sha256(b"secret").hexdigest()
DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": 20_000}},
    "customers": {"harbor": {"key_sha256": [KEY]}},
}
STEP_MS = 50.0
SHORT_ANSWER_MS = 200.0
LONG_ANSWER_MS = 6000.0


@dataclass
class FakeCaller:
    """A caller that caches a directory answer for its time-to-live."""

    addresses: list[str]
    expires_ms: float


@dataclass
class RunningCall:
    """A target call in progress, and when it will be answered."""

    node: str
    call: CallTarget
    due_ms: float


class RollingRestartTests(unittest.TestCase):
    """Graceful stops and restarts of three nodes under load.

    A stop that does not wait for cached directory answers and requests in progress cuts or refuses
    requests.
    """

    def setUp(self) -> None:
        self.cluster = MemoryCluster()
        self.cluster.run(3000)
        event = DeclareRequested(
            self.cluster.now_ms, "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", event)
        self.random = random.Random(3)
        self.caller = FakeCaller([], 0.0)
        self.running: list[RunningCall] = []
        self.outcomes: dict[str, Outcome] = {}
        self.sent = 0
        self.answer_ms: dict[str, float] = {}
        self.exited: set[str] = set()
        self.run_for(4000, is_loaded=False)

    def run_for(self, duration_ms: float, *, is_loaded: bool) -> None:
        """Advance time; if loaded, send a request in each step; let targets answer."""
        for step in range(int(duration_ms / STEP_MS)):
            if step % 10 == 0:
                self.announce()
            if is_loaded:
                self.send()
            self.cluster.run(STEP_MS)
            self.collect()
            self.answer_due()

    def announce(self) -> None:
        """Renew the announcements of two engines, each at a random running node."""
        for target in ("e1", "e2"):
            announcement = Announcement(
                target, "i1", "engine", "coach", f"{target}:1", "dc1", memory_tokens=1_000_000
            )
            node = self.random.choice(sorted(self.cluster.nodes))
            self.cluster.submit(node, TargetAnnounced(self.cluster.now_ms, announcement))

    def send(self) -> None:
        """Send a request to the first address of the directory answer; renew it if expired."""
        if self.cluster.now_ms >= self.caller.expires_ms:
            self.ask_directory()
        self.sent += 1
        request_id = f"r{self.sent}"
        is_long = self.sent % 20 == 0
        self.answer_ms[request_id] = LONG_ANSWER_MS if is_long else SHORT_ANSWER_MS
        call = CallInfo(request_id, KEY, "quiz", model="coach", prompt_tokens=100)
        node = self.caller.addresses[0].partition(":")[0]
        self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))

    def ask_directory(self) -> None:
        """Ask running nodes in random order for the directory, and cache the first answer."""
        for name in self.random.sample(sorted(self.cluster.nodes), len(self.cluster.nodes)):
            state = self.cluster.nodes[name].state
            answer = state.ask_directory("dc1", self.cluster.now_ms)
            if answer is not None:
                expires_ms = self.cluster.now_ms + answer.ttl_ms
                self.caller = FakeCaller(answer.addresses, expires_ms)
                return
        self.fail("no node answers the directory request")

    def collect(self) -> None:
        """Process the effects for targets and callers."""
        for name, node in self.cluster.nodes.items():
            for effect in node.effects:
                match effect:
                    case CallTarget():
                        due_ms = self.cluster.now_ms + self.answer_ms[effect.request_id]
                        self.running.append(RunningCall(name, effect, due_ms))
                    case Reply():
                        self.outcomes[effect.request_id] = effect.outcome
                    case Exit():
                        self.exited.add(name)
            node.effects.clear()

    def answer_due(self) -> None:
        """Answer the target calls that are due."""
        due = [item for item in self.running if item.due_ms <= self.cluster.now_ms]
        self.running = [item for item in self.running if item.due_ms > self.cluster.now_ms]
        for item in due:
            if item.node in self.cluster.nodes:
                event = TargetAnswered(
                    self.cluster.now_ms, item.call.request_id, item.call.attempt, 1
                )
                self.cluster.submit(item.node, event)

    def restart(self, name: str) -> None:
        """Drain a node under load, and restart it once it has exited."""
        self.cluster.submit(name, DrainRequested(self.cluster.now_ms))
        for _ in range(30):
            if name in self.exited:
                break
            self.run_for(1000, is_loaded=True)
        self.assertIn(name, self.exited)
        self.exited.discard(name)
        self.cluster.kill(name)
        self.run_for(1000, is_loaded=True)
        self.cluster.start(name)
        self.run_for(4000, is_loaded=True)

    def test_rolling_restart_answers_every_request(self) -> None:
        for name in ("n1", "n2", "n3"):
            self.restart(name)
        self.run_for(8000, is_loaded=False)
        self.assertEqual(len(self.outcomes), self.sent)
        unanswered = {
            key: outcome
            for key, outcome in self.outcomes.items()
            if not isinstance(outcome, Answered)
        }
        self.assertEqual(unanswered, {})

    def test_pools_of_a_leaving_node_are_handed_over_before_it_exits(self) -> None:
        view = self.cluster.nodes["n1"].state.control.member.view
        scheduler_node = next(iter(view.assignments.values())).node
        self.cluster.submit(scheduler_node, DrainRequested(self.cluster.now_ms))
        self.run_for(2000, is_loaded=True)
        self.assertNotIn(scheduler_node, self.exited)
        other = next(name for name in self.cluster.nodes if name != scheduler_node)
        view = self.cluster.nodes[other].state.control.member.view
        self.assertNotEqual(next(iter(view.assignments.values())).node, scheduler_node)

    def test_last_node_finishes_its_own_requests(self) -> None:
        self.run_for(1000, is_loaded=True)
        for name in self.cluster.nodes:
            self.cluster.submit(name, DrainRequested(self.cluster.now_ms))
        self.run_for(1000, is_loaded=True)
        self.run_for(9000, is_loaded=False)
        self.assertEqual(self.exited, {"n1", "n2", "n3"})
        unanswered = {
            key: outcome
            for key, outcome in self.outcomes.items()
            if not isinstance(outcome, Answered)
        }
        self.assertEqual(unanswered, {})
        self.assertFalse(any(isinstance(outcome, NotRun) for outcome in self.outcomes.values()))
