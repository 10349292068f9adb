"""Fuzzing of the at-most-once ledger, with requests resent through any node."""

from __future__ import annotations

import hashlib
import random
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from marigoldarch.effects import Effect, Reply
from marigoldarch.events import CallArrived, CallerGone, CallInfo, DeclareRequested
from marigoldarch.outcomes import Answered, NotRun, Outcome, RefusalReason
from marigoldarch.tests.fuzz.fake_service import ServiceWorld
from marigoldarch.tests.fuzz.ledger_oracle import LedgerOracle
from marigoldarch.tests.fuzz.machine import (
    CI_SETTINGS,
    NUMBERS,
    STATISTICS,
    STEP_MS,
    ClusterMachine,
)

KEY = hashlib.sha256(b"secret").hexdigest()
DEADLINE_MS = 3000.0
MAX_TRIES = 8
GRACE_MS = 2 * STEP_MS

DECLARATION = {
    "team": "guild",
    "customers": {"harbor": {"key_sha256": [KEY]}},
    "services": {"gradebook": {"methods": {"post": {"deadline_ms": int(DEADLINE_MS)}}}},
}


class LedgerMachine(ClusterMachine):
    """Customers post under a few keys, and post again through any node."""

    node_count = 4

    def prepare(self) -> None:
        """Begin with a declaration and two replicas of a service."""
        self.oracle = LedgerOracle()
        self.world = ServiceWorld(self.cluster, random.Random(self.cluster.random.random()))
        self.world.calls = self.oracle.calls
        self.cluster.observers += [self.world.observe, self._observe]
        self.at_node: dict[str, list[str]] = {}
        self.keys = 0
        self.advance(2000.0)
        declare = DeclareRequested(
            self.cluster.local_ms("n1"), "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", declare)
        self.advance(3000.0)

    def step(self) -> None:
        """Let the service run too; a node looks at its deadlines whenever it ticks."""
        self.guarded(self.world.step)
        super().step()
        self.guarded(self._check_deadlines)

    @rule(number=NUMBERS)
    def post(self, number: int) -> None:
        """Post under a new key."""
        self.keys += 1
        self._post(self.running_name(number), f"k{self.keys}", "a")

    @rule(number=NUMBERS, other=NUMBERS)
    def post_twice(self, number: int, other: int) -> None:
        """Post under a new key through two nodes at once."""
        self.keys += 1
        self._post(self.running_name(number), f"k{self.keys}", "a")
        self._post(self.running_name(other), f"k{self.keys}", "a")

    @rule(number=NUMBERS, which=NUMBERS, is_other_body=st.booleans())
    def post_again(self, number: int, which: int, is_other_body: bool) -> None:
        """Post under one of the last keys again, perhaps with another body."""
        key = max(1, self.keys - which)
        self._post(self.running_name(number), f"k{key}", "b" if is_other_body else "a")

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        """Let the caller of a node's last request go away."""
        name = self.running_name(number)
        if name is not None and self.at_node.get(self._run(name)):
            request_id = self.at_node[self._run(name)][-1]
            self.cluster.submit(name, CallerGone(self.cluster.local_ms(name), request_id))

    @rule(mode=st.sampled_from(["answer", "answer", "refuse", "break", "hang"]))
    def set_mode(self, mode: str) -> None:
        """Change what the service does with calls."""
        STATISTICS[f"service {mode}"] += 1
        self.world.mode = mode

    @rule(delay_ms=st.sampled_from([0.0, 50.0, 2500.0]))
    def set_delay(self, delay_ms: float) -> None:
        """Change how long calls and answers travel."""
        self.world.max_delay_ms = delay_ms

    def check(self) -> None:
        """Check the ledger's promises."""
        self.oracle.check(self.world.executions)

    def _check_deadlines(self) -> None:
        for name in self.cluster.running:
            requests = self.at_node.get(self._run(name), [])
            self.oracle.check_deadlines(requests, self.cluster.local_ms(name) - GRACE_MS)

    def is_recovered(self) -> bool:
        """Return whether a post under a fresh key is answered again."""
        self.world.mode = "answer"
        self.world.max_delay_ms = 50.0
        fresh = [request for request in self.oracle.calls if request.startswith("fresh")]
        if any(isinstance(self.oracle.outcomes.get(request), Answered) for request in fresh):
            return True
        number = len(fresh)
        self._post(self.running_name(number), f"fresh{number}", "a", f"fresh{number}")
        return False

    def check_recovery(self) -> None:
        """Check that a key of which every request was not run is not stuck."""
        self.advance(DEADLINE_MS + 500.0)
        for key in {call.idempotency_key for call in self.oracle.calls.values()}:
            if self._is_free(key):
                self._check_usable(key)

    def _is_free(self, key: str) -> bool:
        outcomes = [
            self.oracle.outcomes.get(call.request_id)
            for call in self.oracle.calls.values()
            if call.idempotency_key == key
        ]
        return all(
            isinstance(outcome, NotRun)
            and outcome.reason is not RefusalReason.IDEMPOTENCY_KEY_REUSED
            for outcome in outcomes
        )

    def _check_usable(self, key: str) -> None:
        """Post under a key until it is run; nodes that are stopping refuse it as not run."""
        outcome: Outcome | None = None
        for number in range(MAX_TRIES):
            request_id = f"again{number}-{key}"
            self._post(self.running_name(number), key, "a", request_id)
            self.advance(DEADLINE_MS + 500.0)
            outcome = self.oracle.outcomes.get(request_id)
            if not isinstance(outcome, NotRun):
                break
        assert isinstance(outcome, Answered), f"{key} was never run, but is now {outcome}"

    def _post(self, name: str | None, key: str, body: str, request_id: str = "") -> None:
        if name is None:
            return
        request_id = request_id or f"r{len(self.oracle.calls) + 1}"
        call = CallInfo(
            request_id,
            KEY,
            "",
            service="gradebook",
            method="post",
            idempotency_key=key,
            body_sha256=body,
        )
        now_ms = self.cluster.local_ms(name)
        self.oracle.ask(call, now_ms + DEADLINE_MS)
        self.at_node.setdefault(self._run(name), []).append(request_id)
        self.cluster.submit(name, CallArrived(now_ms, call))

    def _run(self, name: str) -> str:
        return self.cluster.nodes[name].settings.incarnation

    def _observe(self, node: str, effect: Effect) -> None:
        if isinstance(effect, Reply):
            STATISTICS[f"outcome {type(effect.outcome).__name__}"] += 1
            self.guarded(lambda: self.oracle.finish(effect.request_id, effect.outcome))


class LedgerFuzzTests(unittest.TestCase):
    """Non-idempotent calls under every fault that the ledger must tolerate."""

    def test_calls_run_at_most_once_and_never_with_the_outcome_not_run(self) -> None:
        run_state_machine_as_test(LedgerMachine, settings=CI_SETTINGS)
