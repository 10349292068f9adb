"""The oracle of permits, gangs and reconciliation."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.outcomes import Answered, NotRun, Outcome
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.fuzz.fake_engines import EngineWorld
from marigoldarch.tests.fuzz.outcome_oracle import OutcomeOracle

LEAVING_LIMIT_MS: Millis = 6000.0
"""After how long a leaving engine gets no new call, whatever the faults."""


class PermitOracle(OutcomeOracle):
    """Facts of prompts; checks are also against what the engines saw."""

    def end(self, request_id: str, outcome: Outcome, received: list[int]) -> None:
        """Add a final outcome: the only one, and an answer only if it was received whole."""
        self.finish(request_id, outcome)
        if isinstance(outcome, Answered):
            expected = list(range(self.calls[request_id].output_tokens))
            assert received == expected, f"the caller of {request_id} received {received}"

    def check(self, world: EngineWorld) -> None:
        """Check that not run means not run, and that leaving engines get no new work."""
        for start in world.starts:
            outcome = self.outcomes.get(start.request_id)
            is_refused = isinstance(outcome, NotRun)
            assert not is_refused, f"{start.request_id} is {outcome}, but was run"
            left_ms = world.engines[start.engine].left_ms
            if left_ms is not None:
                is_late = start.called_ms > left_ms + LEAVING_LIMIT_MS
                assert not is_late, f"{start.engine} got new work long after it began to leave"


def check_release(world: EngineWorld, engine: str, permit: PermitId) -> None:
    """Check that a scheduler takes no memory from a call in progress."""
    assert not world.is_live(permit), f"{engine} was told to drop the live permit {permit}"


def check_holders(cluster: MemoryCluster, pool: PoolId) -> None:
    """Check that at most one node may act as the scheduler of a pool."""
    holders = [
        name
        for name in cluster.running
        if cluster.nodes[name].state.control.member.holds_pool(pool, cluster.local_ms(name))
    ]
    assert len(holders) <= 1, f"several nodes hold {pool}: {holders}"
