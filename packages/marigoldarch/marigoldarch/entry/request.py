"""A request in progress at its entry node, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from marigoldarch.clock import Millis
from marigoldarch.control.view import CustomerRecord
from marigoldarch.events import CallInfo
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import WorkItem


class Phase(StrEnum):
    """What an attempt waits for."""

    PERMIT = "permit"
    LEDGER = "ledger"
    TARGET = "target"


@dataclass
class Attempt:
    """One attempt to run a request in one pool."""

    number: int
    pool: PoolId
    began_ms: Millis
    phase: Phase = Phase.PERMIT
    asked_ms: Millis = 0.0
    is_queued: bool = False
    permit: PermitId | None = None
    targets: tuple[TargetAddress, ...] = ()
    priority: int | None = None
    called_ms: Millis = 0.0
    first_token_ms: Millis = 0.0


@dataclass
class Request:
    """One admitted request. Its deadline never changes.

    Only an idempotent lookup has more than one attempt at a time. `is_started` tells that an
    earlier attempt may have reached a target.
    """

    call: CallInfo
    customer: CustomerRecord
    rank: int
    began_ms: Millis
    deadline_ms: Millis
    is_idempotent: bool
    limits: tuple[str, ...] = ()
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    avoid: set[str] = field(default_factory=set)
    refused_pools: set[PoolId] = field(default_factory=set)
    relayed_tokens: int = 0
    is_started: bool = False
    is_hedged: bool = False

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.call.request_id

    @property
    def cost_tokens(self) -> int:
        """Return the prompt and the longest answer together, in tokens."""
        return self.call.prompt_tokens + self.call.output_tokens

    @property
    def may_have_run(self) -> bool:
        """Return whether a byte of the request may have reached a target."""
        running = any(attempt.phase is Phase.TARGET for attempt in self.attempts.values())
        return self.is_started or running

    def begin_attempt(self, pool: PoolId, now_ms: Millis) -> Attempt:
        """Add the next attempt."""
        self.attempt_count += 1
        attempt = Attempt(self.attempt_count, pool, now_ms)
        self.attempts[attempt.number] = attempt
        return attempt

    def work_item(self, attempt: Attempt, now_ms: Millis) -> WorkItem:
        """Return what the scheduler needs to know of an attempt."""
        call = self.call
        return WorkItem(
            call.request_id,
            attempt.number,
            self.customer.customer,
            self.customer.team,
            call.kind,
            self.rank,
            self.customer.declaration.weight,
            call.prompt_tokens,
            call.output_tokens,
            max(0.0, self.deadline_ms - now_ms),
            call.model,
            call.adapter,
            call.version,
            call.prefix,
            tuple(sorted(self.avoid)),
            now_ms,
        )
