"""The base of the oracles of requests: each request has exactly one outcome, by its deadline."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.events import CallInfo
from marigoldarch.outcomes import Outcome


@dataclass
class OutcomeOracle:
    """What was observed of requests, by request id; checks use these records only."""

    calls: dict[str, CallInfo] = field(default_factory=dict)
    deadlines: dict[str, Millis] = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)

    def add_request(self, call: CallInfo, deadline_ms: Millis) -> None:
        """Add a request, and when its outcome is due by the clock of its node."""
        self.calls[call.request_id] = call
        self.deadlines[call.request_id] = deadline_ms

    def add_outcome(self, request_id: str, outcome: Outcome) -> None:
        """Add the outcome of a request; a request has only one."""
        assert request_id not in self.outcomes, f"{request_id} has a second outcome {outcome}"
        self.outcomes[request_id] = outcome

    def check_deadlines(self, node_requests: list[str], now_ms: Millis) -> None:
        """Check that the requests of one running node had their outcome by their deadline."""
        late = [
            request_id
            for request_id in node_requests
            if request_id not in self.outcomes and now_ms > self.deadlines[request_id]
        ]
        assert not late, f"no outcome by their deadline: {late}"
