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
from marigoldarch.tests.fuzz.fake_engines import FakeEnginePool
from marigoldarch.tests.fuzz.machine import (
    CI_SETTINGS,
    NUMBERS,
    STATISTICS,
    STEP_MS,
    ClusterMachine,
)
from marigoldarch.tests.fuzz.permit_oracle import PermitOracle, check_holders, check_release

CUSTOMER_KEY_SHA256 = hashlib.sha256(b"secret").hexdigest()
POOL = PoolId("dc1", "coach")
DEADLINE_MS = 5000.0
LONGEST_DEADLINE_MS = 20_000.0
DEADLINE_GRACE_MS = 2 * STEP_MS
"""How late an outcome may be: a node checks deadlines only at its ticks."""
OUTPUT_TOKENS = 4
SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT = 500, 6000, 16_000
RECLAIM_LIMIT_MS = 25_000.0
"""Time after the longest deadline in which the engines must have freed all memory."""

DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": int(LONGEST_DEADLINE_MS)}},
    "customers": {"harbor": {"key_sha256": [CUSTOMER_KEY_SHA256]}},
}


class PermitMachine(ClusterMachine):
    """A customer sends prompts of different lengths to any node; one pool has three engines."""

    node_count = 4

    def prepare(self) -> None:
        """Declare the customer and the model, and wait until the nodes know the engines."""
        self.oracle = PermitOracle()
        rng = random.Random(self.cluster.random.random())
        self.engine_pool = FakeEnginePool(self.cluster, rng, self.oracle.calls)
        self.engine_pool.on_release = lambda engine, permit: self.run_check(
            lambda: check_release(self.engine_pool, engine, permit)
        )
        self.cluster.observers += [self.engine_pool.observe, self._observe]
        self.requests_by_incarnation: dict[str, list[str]] = {}
        self.advance(2000.0)
        declare = DeclareRequested(
            self.cluster.local_ms("n1"), "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", declare)
        self.advance(3500.0)

    def step(self) -> None:
        """Advance the engines, then the cluster, and check the deadlines."""
        self.engine_pool.step()
        super().step()
        self.run_check(self._check_deadlines)

    @rule(
        number=NUMBERS,
        prompt=st.sampled_from([SHORT_PROMPT, SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT]),
        count=st.integers(1, 4),
        deadline_ms=st.sampled_from([DEADLINE_MS, LONGEST_DEADLINE_MS]),
    )
    def send_prompts(
        self, number: int, prompt: int, count: int, deadline_ms: Millis = DEADLINE_MS
    ) -> None:
        """Send prompts to a node."""
        for _ in range(count):
            self.send_prompt(self.running_name(number), prompt, deadline_ms=deadline_ms)

    @rule(number=NUMBERS)
    def disconnect_caller(self, number: int) -> None:
        """Disconnect the caller of a node's last request."""
        name = self.running_name(number)
        if name is not None and self.requests_by_incarnation.get(self._incarnation(name)):
            request_id = self.requests_by_incarnation[self._incarnation(name)][-1]
            self.cluster.submit(name, CallerGone(self.cluster.local_ms(name), request_id))

    @rule(
        number=NUMBERS,
        mode=st.sampled_from(["answer", "hang", "refuse", "cut", "repeat", "cross"]),
        ignored_cancels=st.integers(0, 3),
    )
    def set_engine_mode(self, number: int, mode: str, ignored_cancels: int) -> None:
        """Change what an engine does with calls, and how many cancels it ignores."""
        STATISTICS[f"engine {mode}"] += 1
        engine = self.engine_pool.engines[f"e{number % 3 + 1}"]
        engine.mode = mode
        engine.ignored_cancels = ignored_cancels

    @rule(number=NUMBERS)
    def kill_engine(self, number: int) -> None:
        """Crash an engine."""
        STATISTICS["engine deaths"] += 1
        self.engine_pool.engines[f"e{number % 3 + 1}"].crash()

    @rule(number=NUMBERS)
    def restart_engine(self, number: int) -> None:
        """Restart an engine with the next incarnation."""
        self.engine_pool.engines[f"e{number % 3 + 1}"].restart()

    @rule(number=NUMBERS)
    def drain_engine(self, number: int) -> None:
        """Begin the drain of an engine: it announces that it is leaving."""
        engine = self.engine_pool.engines[f"e{number % 3 + 1}"]
        if engine.is_up and not engine.is_leaving:
            STATISTICS["engine drains"] += 1
            engine.is_leaving = True
            engine.drain_started_ms = self.cluster.now_ms

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
        """Check the guarantees of prompts, and that at most one node holds the pool."""
        self.oracle.check(self.engine_pool)
        check_holders(self.cluster, POOL)

    def is_recovered(self) -> bool:
        """Repair the engines; return whether a new short prompt was answered, or send another."""
        for engine in self.engine_pool.engines.values():
            if not engine.is_up or engine.is_leaving:
                engine.restart()
            engine.mode = "answer"
            engine.ignored_cancels = 0
        fresh = [request for request in self.oracle.calls if request.startswith("fresh")]
        if any(isinstance(self.oracle.outcomes.get(request), Answered) for request in fresh):
            return True
        self.send_prompt(self.running_name(0), SHORT_PROMPT, f"fresh{len(fresh)}")
        return False

    def check_recovery(self) -> None:
        """Check that the engines free all memory in time."""
        limit_ms = self.cluster.now_ms + LONGEST_DEADLINE_MS + RECLAIM_LIMIT_MS
        while any(self.engine_pool.held_permits().values()):
            assert (
                self.cluster.now_ms < limit_ms
            ), f"memory was not freed: {self.engine_pool.held_permits()}"
            self.advance(500.0)

    def _check_deadlines(self) -> None:
        for name in self.cluster.running:
            requests = self.requests_by_incarnation.get(self._incarnation(name), [])
            self.oracle.check_deadlines(requests, self.cluster.local_ms(name) - DEADLINE_GRACE_MS)

    def send_prompt(
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
            CUSTOMER_KEY_SHA256,
            "quiz",
            model="coach",
            prompt_tokens=prompt_tokens,
            output_tokens=OUTPUT_TOKENS,
            deadline_ms=deadline_ms,
        )
        now_ms = self.cluster.local_ms(name)
        self.oracle.add_request(call, now_ms + deadline_ms)
        self.requests_by_incarnation.setdefault(self._incarnation(name), []).append(request_id)
        self.cluster.submit(name, CallArrived(now_ms, call))

    def _incarnation(self, name: str) -> str:
        return self.cluster.nodes[name].settings.incarnation

    def _observe(self, node: str, effect: Effect) -> None:
        if isinstance(effect, Reply):
            STATISTICS[f"outcome {type(effect.outcome).__name__}"] += 1
            received = self.engine_pool.received.get(effect.request_id, [])
            outcome = effect.outcome
            self.run_check(
                lambda: self.oracle.add_stream_outcome(effect.request_id, outcome, received)
            )


class PermitFuzzTests(unittest.TestCase):
    """Prompts under every fault that the pools must tolerate."""

    def test_prompts_have_one_outcome_in_time_and_memory_is_released(self) -> None:
        run_state_machine_as_test(PermitMachine, settings=CI_SETTINGS)
