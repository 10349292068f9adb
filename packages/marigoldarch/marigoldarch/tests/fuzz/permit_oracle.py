"""The oracle of permits, gangs and reconciliation."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.events import CallInfo
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.outcomes import Answered, NotRun, Outcome
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.fuzz.fake_engines import EngineWorld

LEAVING_LIMIT_MS: Millis = 6000.0
"""After how long a leaving engine gets no new call, whatever the faults."""


@dataclass
class PermitOracle:
    """Facts of prompts; every check is against these lists and what the engines saw."""

    calls: dict[str, CallInfo] = field(default_factory=dict)
    deadlines: dict[str, Millis] = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)

    def ask(self, call: CallInfo, deadline_ms: Millis) -> None:
        """Add a prompt that is to have its outcome by `deadline_ms` of its node's clock."""
        self.calls[call.request_id] = call
        self.deadlines[call.request_id] = deadline_ms

    def finish(self, request_id: str, outcome: Outcome, received: list[int]) -> None:
        """Add a final outcome: the only one, and an answer only if it was received whole."""
        assert request_id not in self.outcomes, f"{request_id} has a second outcome {outcome}"
        self.outcomes[request_id] = outcome
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

    def check_deadlines(self, requests: list[str], now_ms: Millis) -> None:
        """Check that requests of one running node have their outcome by their deadline."""
        late = [
            request_id
            for request_id in requests
            if request_id not in self.outcomes and now_ms > self.deadlines[request_id]
        ]
        assert not late, f"no outcome by their deadline: {late}"


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
