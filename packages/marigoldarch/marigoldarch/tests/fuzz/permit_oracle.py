"""The oracle of permits, gangs and the reconciliation of permits by a new scheduler."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.outcomes import Answered, NotRun, Outcome
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.fuzz.fake_engines import FakeEnginePool
from marigoldarch.tests.fuzz.outcome_oracle import OutcomeOracle

DRAIN_NOTICE_LIMIT_MS: Millis = 6000.0
"""Time after the start of a drain from which an engine gets no new call, under any fault."""


class PermitOracle(OutcomeOracle):
    """What was observed of prompts; it is checked against the calls that reached the engines."""

    def add_stream_outcome(self, request_id: str, outcome: Outcome, received: list[int]) -> None:
        """Add the outcome of a prompt; an answer must have reached the caller completely."""
        self.add_outcome(request_id, outcome)
        if isinstance(outcome, Answered):
            expected = list(range(self.calls[request_id].output_tokens))
            assert received == expected, f"the caller of {request_id} received {received}"

    def check(self, engine_pool: FakeEnginePool) -> None:
        """Check that no prompt with the outcome `NotRun` was run, and that drains end new calls."""
        for start in engine_pool.call_starts:
            outcome = self.outcomes.get(start.request_id)
            is_not_run = isinstance(outcome, NotRun)
            assert not is_not_run, f"{start.request_id} is {outcome}, but was run"
            drain_started_ms = engine_pool.engines[start.engine].drain_started_ms
            if drain_started_ms is not None:
                is_late = start.called_ms > drain_started_ms + DRAIN_NOTICE_LIMIT_MS
                assert not is_late, f"{start.engine} got new work long after it began to leave"


def check_release(engine_pool: FakeEnginePool, engine: str, permit: PermitId) -> None:
    """Check that a scheduler releases no memory of a call in progress."""
    assert not engine_pool.is_in_use(
        permit
    ), f"{engine} was told to release the live permit {permit}"


def check_holders(cluster: MemoryCluster, pool: PoolId) -> None:
    """Check that at most one node holds a pool, and so may act as its scheduler."""
    holders = [
        name
        for name in cluster.running
        if cluster.nodes[name].state.control.member.holds_pool(pool, cluster.local_ms(name))
    ]
    assert len(holders) <= 1, f"several nodes hold {pool}: {holders}"
