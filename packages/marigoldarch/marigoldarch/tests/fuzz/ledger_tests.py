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
from marigoldarch.tests.fuzz.fake_service import FakeService
from marigoldarch.tests.fuzz.ledger_oracle import LedgerOracle
from marigoldarch.tests.fuzz.machine import (
    CI_SETTINGS,
    NUMBERS,
    STATISTICS,
    STEP_MS,
    ClusterMachine,
)

CUSTOMER_KEY_SHA256 = hashlib.sha256(b"secret").hexdigest()
DEADLINE_MS = 3000.0
MAX_ATTEMPTS = 8
"""How often a key is posted in the final check; the running nodes take turns."""

DEADLINE_GRACE_MS = 2 * STEP_MS
"""How late an outcome may be: a node checks deadlines only at its ticks."""

DECLARATION = {
    "team": "guild",
    "customers": {"harbor": {"key_sha256": [CUSTOMER_KEY_SHA256]}},
    "services": {"gradebook": {"methods": {"post": {"deadline_ms": int(DEADLINE_MS)}}}},
}


class LedgerMachine(ClusterMachine):
    """A customer posts under idempotency keys, and posts again under them through any node."""

    node_count = 4

    def prepare(self) -> None:
        """Declare the customer and the service, and wait until the nodes know its two targets."""
        self.oracle = LedgerOracle()
        self.service = FakeService(self.cluster, random.Random(self.cluster.random.random()))
        self.service.calls = self.oracle.calls
        self.cluster.observers += [self.service.observe, self._observe]
        self.requests_by_incarnation: dict[str, list[str]] = {}
        self.key_count = 0
        self.advance(2000.0)
        declare = DeclareRequested(
            self.cluster.local_ms("n1"), "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", declare)
        self.advance(3000.0)

    def step(self) -> None:
        """Advance the service, then the cluster, and check the deadlines."""
        self.run_check(self.service.step)
        super().step()
        self.run_check(self._check_deadlines)

    @rule(number=NUMBERS)
    def post(self, number: int) -> None:
        """Post under a new key."""
        self.key_count += 1
        self._post(self.running_name(number), f"k{self.key_count}", "a")

    @rule(number=NUMBERS, other=NUMBERS)
    def post_twice(self, number: int, other: int) -> None:
        """Post under a new key through two nodes at once."""
        self.key_count += 1
        self._post(self.running_name(number), f"k{self.key_count}", "a")
        self._post(self.running_name(other), f"k{self.key_count}", "a")

    @rule(number=NUMBERS, which=NUMBERS, is_other_body=st.booleans())
    def post_again(self, number: int, which: int, is_other_body: bool) -> None:
        """Post again under one of the last keys, with the same or another body."""
        key = max(1, self.key_count - which)
        self._post(self.running_name(number), f"k{key}", "b" if is_other_body else "a")

    @rule(number=NUMBERS)
    def disconnect_caller(self, number: int) -> None:
        """Disconnect the caller of a node's last request."""
        name = self.running_name(number)
        if name is not None and self.requests_by_incarnation.get(self._incarnation(name)):
            request_id = self.requests_by_incarnation[self._incarnation(name)][-1]
            self.cluster.submit(name, CallerGone(self.cluster.local_ms(name), request_id))

    @rule(mode=st.sampled_from(["answer", "answer", "refuse", "break", "hang"]))
    def set_mode(self, mode: str) -> None:
        """Change what the service does with calls that arrive."""
        STATISTICS[f"service {mode}"] += 1
        self.service.mode = mode

    @rule(delay_ms=st.sampled_from([0.0, 50.0, 2500.0]))
    def set_delay(self, delay_ms: float) -> None:
        """Change the longest network delay of calls and answers."""
        self.service.max_delay_ms = delay_ms

    def check(self) -> None:
        """Check the guarantees of the ledger."""
        self.oracle.check(self.service.executions)

    def _check_deadlines(self) -> None:
        for name in self.cluster.running:
            requests = self.requests_by_incarnation.get(self._incarnation(name), [])
            self.oracle.check_deadlines(requests, self.cluster.local_ms(name) - DEADLINE_GRACE_MS)

    def is_recovered(self) -> bool:
        """Return whether a post under a fresh key was answered; if not, post under another."""
        self.service.mode = "answer"
        self.service.max_delay_ms = 50.0
        fresh = [request for request in self.oracle.calls if request.startswith("fresh")]
        if any(isinstance(self.oracle.outcomes.get(request), Answered) for request in fresh):
            return True
        number = len(fresh)
        self._post(self.running_name(number), f"fresh{number}", "a", f"fresh{number}")
        return False

    def check_recovery(self) -> None:
        """Check that a key can still be used if none of its requests was run."""
        self.advance(DEADLINE_MS + 500.0)
        for key in {call.idempotency_key for call in self.oracle.calls.values()}:
            if self._was_never_run(key):
                self._check_usable(key)

    def _was_never_run(self, key: str) -> bool:
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
        """Post under a key until it is run, as nodes that are draining refuse it as not run."""
        outcome: Outcome | None = None
        for number in range(MAX_ATTEMPTS):
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
            CUSTOMER_KEY_SHA256,
            "",
            service="gradebook",
            method="post",
            idempotency_key=key,
            body_sha256=body,
        )
        now_ms = self.cluster.local_ms(name)
        self.oracle.add_request(call, now_ms + DEADLINE_MS)
        self.requests_by_incarnation.setdefault(self._incarnation(name), []).append(request_id)
        self.cluster.submit(name, CallArrived(now_ms, call))

    def _incarnation(self, name: str) -> str:
        return self.cluster.nodes[name].settings.incarnation

    def _observe(self, node: str, effect: Effect) -> None:
        if isinstance(effect, Reply):
            STATISTICS[f"outcome {type(effect.outcome).__name__}"] += 1
            self.run_check(lambda: self.oracle.add_outcome(effect.request_id, effect.outcome))


class LedgerFuzzTests(unittest.TestCase):
    """Non-idempotent calls under every fault that the ledger must tolerate."""

    def test_calls_run_at_most_once_and_never_with_the_outcome_not_run(self) -> None:
        run_state_machine_as_test(LedgerMachine, settings=CI_SETTINGS)
