"""The oracle of the at-most-once ledger: what was asked, what was executed, what was answered."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.events import CallInfo
from marigoldarch.outcomes import Answered, NotRun, Outcome
from marigoldarch.tests.fuzz.fake_service import Execution, answer_of


@dataclass
class LedgerOracle:
    """Facts of non-idempotent calls; every check is against these lists alone."""

    calls: dict[str, CallInfo] = field(default_factory=dict)
    deadlines: dict[str, Millis] = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)

    def ask(self, call: CallInfo, deadline_ms: Millis) -> None:
        """Add a call that is to have its outcome by `deadline_ms` of its node's clock."""
        self.calls[call.request_id] = call
        self.deadlines[call.request_id] = deadline_ms

    def finish(self, request_id: str, outcome: Outcome) -> None:
        """Add a final outcome; it is the only one."""
        assert request_id not in self.outcomes, f"{request_id} has a second outcome {outcome}"
        self.outcomes[request_id] = outcome

    def check(self, executions: list[Execution]) -> None:
        """Check at-most-once, that not run means not run, and that answers are the right ones."""
        keys = [execution.key for execution in executions]
        assert len(keys) == len(set(keys)), f"a key was executed more than once: {executions}"
        by_request = {execution.request_id for execution in executions}
        by_key = {execution.key: execution for execution in executions}
        for request_id, outcome in self.outcomes.items():
            call = self.calls[request_id]
            if isinstance(outcome, NotRun):
                assert request_id not in by_request, f"{request_id} is {outcome}, but was run"
            if isinstance(outcome, Answered):
                execution = by_key.get(call.idempotency_key)
                assert execution is not None, f"{request_id} has an answer, but nothing was run"
                expected = answer_of(execution.key, execution.body_sha256)
                assert outcome.body == expected, f"{request_id}: {outcome}, not {expected}"
                is_same_body = execution.body_sha256 == call.body_sha256
                assert is_same_body, f"{request_id} has the answer of another body"

    def check_deadlines(self, node_requests: list[str], now_ms: Millis) -> None:
        """Check that requests at one running node have their outcome by their deadline."""
        late = [
            request_id
            for request_id in node_requests
            if request_id not in self.outcomes and now_ms > self.deadlines[request_id]
        ]
        assert not late, f"no outcome by their deadline: {late}"
