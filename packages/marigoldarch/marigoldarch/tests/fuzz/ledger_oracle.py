"""The oracle of the at-most-once ledger: requests, executions and outcomes."""

from __future__ import annotations

from marigoldarch.outcomes import Answered, NotRun
from marigoldarch.tests.fuzz.fake_service import Execution, expected_answer
from marigoldarch.tests.fuzz.outcome_oracle import OutcomeOracle


class LedgerOracle(OutcomeOracle):
    """What was observed of non-idempotent calls."""

    def check(self, executions: list[Execution]) -> None:
        """Check executions against outcomes.

        A key is executed at most once, a request with the outcome `NotRun` never, and an answer
        is that of the request's own key and body.
        """
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
                expected = expected_answer(execution.key, execution.body_sha256)
                assert outcome.body == expected, f"{request_id}: {outcome}, not {expected}"
                is_same_body = execution.body_sha256 == call.body_sha256
                assert is_same_body, f"{request_id} has the answer of another body"
