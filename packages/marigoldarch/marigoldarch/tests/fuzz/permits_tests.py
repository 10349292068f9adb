"""Fuzzing of permits, gangs and the reconciliation of permits, with faulty nodes and engines."""

from __future__ import annotations

import hashlib
import random
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, Reply
from marigoldarch.events import CallArrived, CallerGone, CallInfo, DeclareRequested
from marigoldarch.identifiers import PoolId
from marigoldarch.outcomes import Answered
from marigoldarch.tests.fuzz.fake_engines import EngineWorld
from marigoldarch.tests.fuzz.machine import (
    CI_SETTINGS,
    NUMBERS,
    STATISTICS,
    STEP_MS,
    ClusterMachine,
)
from marigoldarch.tests.fuzz.permit_oracle import PermitOracle, check_holders, check_release

KEY = hashlib.sha256(b"secret").hexdigest()
POOL = PoolId("dc1", "coach")
DEADLINE_MS = 5000.0
LONGEST_DEADLINE_MS = 20_000.0
GRACE_MS = 2 * STEP_MS
OUTPUT_TOKENS = 4
SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT = 500, 6000, 16_000
RECLAIM_LIMIT_MS = 25_000.0

DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": int(LONGEST_DEADLINE_MS)}},
    "customers": {"harbor": {"key_sha256": [KEY]}},
}


class PermitMachine(ClusterMachine):
    """Prompts of unlike lengths at any node, on three engines of one pool."""

    node_count = 4

    def prepare(self) -> None:
        """Begin with a declaration and three engines."""
        self.oracle = PermitOracle()
        chooser = random.Random(self.cluster.random.random())
        self.world = EngineWorld(self.cluster, chooser, self.oracle.calls)
        self.world.on_release = lambda engine, permit: self.guarded(
            lambda: check_release(self.world, engine, permit)
        )
        self.cluster.observers += [self.world.observe, self._observe]
        self.at_node: dict[str, list[str]] = {}
        self.advance(2000.0)
        declare = DeclareRequested(
            self.cluster.local_ms("n1"), "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", declare)
        self.advance(3500.0)

    def step(self) -> None:
        """Let the engines run too; a node looks at its deadlines whenever it ticks."""
        self.world.step()
        super().step()
        self.guarded(self._check_deadlines)

    @rule(
        number=NUMBERS,
        prompt=st.sampled_from([SHORT_PROMPT, SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT]),
        count=st.integers(1, 4),
        deadline_ms=st.sampled_from([DEADLINE_MS, LONGEST_DEADLINE_MS]),
    )
    def ask(self, number: int, prompt: int, count: int, deadline_ms: Millis = DEADLINE_MS) -> None:
        """Send prompts to a node."""
        for _ in range(count):
            self.ask_one(self.running_name(number), prompt, deadline_ms=deadline_ms)

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        """Let the caller of a node's last request go away."""
        name = self.running_name(number)
        if name is not None and self.at_node.get(self._run(name)):
            request_id = self.at_node[self._run(name)][-1]
            self.cluster.submit(name, CallerGone(self.cluster.local_ms(name), request_id))

    @rule(
        number=NUMBERS,
        mode=st.sampled_from(["answer", "hang", "refuse", "cut", "repeat", "cross"]),
        ignored_cancels=st.integers(0, 3),
    )
    def disturb_engine(self, number: int, mode: str, ignored_cancels: int) -> None:
        """Change what an engine does with calls and cancels."""
        STATISTICS[f"engine {mode}"] += 1
        engine = self.world.engines[f"e{number % 3 + 1}"]
        engine.mode = mode
        engine.ignored_cancels = ignored_cancels

    @rule(number=NUMBERS)
    def kill_engine(self, number: int) -> None:
        """Let an engine die."""
        STATISTICS["engine deaths"] += 1
        self.world.engines[f"e{number % 3 + 1}"].die()

    @rule(number=NUMBERS)
    def restart_engine(self, number: int) -> None:
        """Start an engine anew."""
        self.world.engines[f"e{number % 3 + 1}"].restart()

    @rule(number=NUMBERS)
    def drain_engine(self, number: int) -> None:
        """Let an engine announce that it leaves."""
        engine = self.world.engines[f"e{number % 3 + 1}"]
        if engine.is_up and not engine.is_leaving:
            STATISTICS["engine drains"] += 1
            engine.is_leaving = True
            engine.left_ms = self.cluster.now_ms

    @rule()
    def kill_scheduler(self) -> None:
        """Kill the node that holds the pool."""
        for name in self.cluster.running:
            member = self.cluster.nodes[name].state.control.member
            if member.holds_pool(POOL, self.cluster.local_ms(name)):
                STATISTICS["kills"] += 1
                self.cluster.kill(name)
                return

    def check(self) -> None:
        """Check the promises of prompts."""
        self.oracle.check(self.world)
        check_holders(self.cluster, POOL)

    def is_recovered(self) -> bool:
        """Return whether a short prompt is answered again."""
        for engine in self.world.engines.values():
            if not engine.is_up or engine.is_leaving:
                engine.restart()
            engine.mode = "answer"
            engine.ignored_cancels = 0
        fresh = [request for request in self.oracle.calls if request.startswith("fresh")]
        if any(isinstance(self.oracle.outcomes.get(request), Answered) for request in fresh):
            return True
        self.ask_one(self.running_name(0), SHORT_PROMPT, f"fresh{len(fresh)}")
        return False

    def check_recovery(self) -> None:
        """Check that no engine holds memory, and that no scheduler counts any, in the end."""
        limit_ms = self.cluster.now_ms + LONGEST_DEADLINE_MS + RECLAIM_LIMIT_MS
        while any(self.world.held().values()):
            assert self.cluster.now_ms < limit_ms, f"memory is lost: {self.world.held()}"
            self.advance(500.0)

    def _check_deadlines(self) -> None:
        for name in self.cluster.running:
            requests = self.at_node.get(self._run(name), [])
            self.oracle.check_deadlines(requests, self.cluster.local_ms(name) - GRACE_MS)

    def ask_one(
        self,
        name: str | None,
        prompt_tokens: int,
        request_id: str = "",
        deadline_ms: Millis = DEADLINE_MS,
    ) -> None:
        """Send one prompt to a node."""
        if name is None:
            return
        request_id = request_id or f"r{len(self.oracle.calls) + 1}"
        call = CallInfo(
            request_id,
            KEY,
            "quiz",
            model="coach",
            prompt_tokens=prompt_tokens,
            output_tokens=OUTPUT_TOKENS,
            deadline_ms=deadline_ms,
        )
        now_ms = self.cluster.local_ms(name)
        self.oracle.ask(call, now_ms + deadline_ms)
        self.at_node.setdefault(self._run(name), []).append(request_id)
        self.cluster.submit(name, CallArrived(now_ms, call))

    def _run(self, name: str) -> str:
        return self.cluster.nodes[name].settings.incarnation

    def _observe(self, node: str, effect: Effect) -> None:
        if isinstance(effect, Reply):
            STATISTICS[f"outcome {type(effect.outcome).__name__}"] += 1
            received = self.world.received.get(effect.request_id, [])
            outcome = effect.outcome
            self.guarded(lambda: self.oracle.end(effect.request_id, outcome, received))


class PermitFuzzTests(unittest.TestCase):
    """Prompts under every fault that the pools must tolerate."""

    def test_prompts_have_one_outcome_in_time_and_memory_is_released(self) -> None:
        run_state_machine_as_test(PermitMachine, settings=CI_SETTINGS)
