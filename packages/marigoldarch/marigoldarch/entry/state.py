"""The state of the entry part, and helpers that end attempts and requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldarch.effects import CancelCall, Effect, RecordEvent, Reply, Send
from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limit_shares import LimitShares
from marigoldarch.entry.owner_placement import OwnerPlacement
from marigoldarch.entry.pool_selector import PoolSelector
from marigoldarch.entry.request import Attempt, Phase, Request
from marigoldarch.entry.retries import RetryBudget
from marigoldarch.entry.timers import RequestTimers
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import PermitReleased
from marigoldarch.outcomes import Answered, Outcome
from marigoldarch.settings import CoreSettings

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.member import Member
    from marigoldarch.control.proposals import Proposals


@dataclass
class EntryState:
    """The requests in progress at this node, and the state of limits, retries and permit listings.

    `listed_fences` holds the fencing token of the scheduler to which each pool's permits were last
    listed, `empty_listings_left` how many more empty listings each pool's scheduler is sent.
    """

    settings: CoreSettings
    member: Member
    proposals: Proposals
    requests: dict[str, Request] = field(default_factory=dict)
    listing_due_ms: Millis = 0.0
    listed_fences: dict[PoolId, int] = field(default_factory=dict)
    listed_revision: int = -1
    is_full_listing_requested: bool = False
    empty_listings_left: dict[PoolId, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.timers = RequestTimers()
        self.retry_budget = RetryBudget(self.settings.entry)
        self.pool_selector = PoolSelector(self.settings.address.data_centre)
        self.shares = LimitShares(self.settings.entry)
        self.owners = OwnerPlacement()
        self.limit_owner = LimitOwner(self.settings.node, self.settings.entry)

    def scheduler_of(self, pool: PoolId) -> str | None:
        """Return the node that schedules a pool, None if the pool is not assigned."""
        assignment = self.member.view.assignments.get(pool)
        return assignment.node if assignment else None


def release_permit(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    *,
    failed_target: str = "",
    output_tokens: int = 0,
    is_connection_lost: bool = False,
) -> list[Effect]:
    """Release an attempt's permit, or withdraw its permit request if none was granted."""
    node = state.scheduler_of(attempt.pool)
    if node is None:
        return []
    message = PermitReleased(
        attempt.pool,
        request.request_id,
        attempt.number,
        attempt.permit,
        bool(failed_target),
        failed_target,
        attempt.first_token_ms,
        output_tokens,
        is_connection_lost,
    )
    return [Send(node, message)]


def cancel_attempts(state: EntryState, request: Request) -> list[Effect]:
    """Cancel the target calls of all attempts of a request, and release their permits."""
    effects: list[Effect] = []
    for attempt in request.attempts.values():
        if attempt.phase is Phase.TARGET:
            request.was_sent = True
            effects.append(CancelCall(request.request_id, attempt.number))
        effects += release_permit(state, request, attempt)
    request.attempts.clear()
    return effects


def finish(state: EntryState, request: Request, outcome: Outcome) -> list[Effect]:
    """Reply the final outcome of a request and release its limits; its attempts must have ended."""
    if state.requests.pop(request.request_id, None) is None:
        return []
    if not state.shares.withdraw(request.request_id):
        state.shares.release(request.limit_subjects)
    fields = {"request": request.request_id, "outcome": type(outcome).__name__}
    if not isinstance(outcome, Answered):
        fields["reason"] = str(outcome.reason)
    return [RecordEvent("finished", fields), Reply(request.request_id, outcome)]
