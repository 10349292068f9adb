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
    """What an attempt waits for: a permit, the ledger's reply or the target's answer."""

    PERMIT = "permit"
    LEDGER = "ledger"
    TARGET = "target"


@dataclass
class Attempt:
    """One attempt to run a request in one pool.

    `asked_ms` is when the permit was last requested, `call_sent_ms` when the target was called,
    `first_token_ms` the duration from that call to its first token. `is_queued` tells that the
    scheduler has queued the permit request.
    """

    number: int
    pool: PoolId
    began_ms: Millis
    phase: Phase = Phase.PERMIT
    asked_ms: Millis = 0.0
    is_queued: bool = False
    permit: PermitId | None = None
    targets: tuple[TargetAddress, ...] = ()
    priority: int | None = None
    call_sent_ms: Millis = 0.0
    first_token_ms: Millis = 0.0


@dataclass
class Request:
    """One admitted request. Its deadline never changes.

    Only a hedged request, an idempotent service call, has more than one attempt at a time.
    `was_sent` tells that an attempt that has ended may have reached a target. `limit_subjects` are
    the subjects with declared limits that the request counts against. `avoided_targets` are those
    that have failed or are being hedged, `excluded_pools` those that refused or did not answer.
    """

    call: CallInfo
    customer: CustomerRecord
    rank: int
    began_ms: Millis
    deadline_ms: Millis
    is_idempotent: bool
    limit_subjects: tuple[str, ...] = ()
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    avoided_targets: set[str] = field(default_factory=set)
    excluded_pools: set[PoolId] = field(default_factory=set)
    relayed_tokens: int = 0
    was_sent: bool = False
    is_hedged: bool = False

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.call.request_id

    @property
    def cost_tokens(self) -> int:
        """Return the cost against token limits: prompt tokens plus the most output tokens."""
        return self.call.prompt_tokens + self.call.output_tokens

    @property
    def may_have_run(self) -> bool:
        """Return whether a byte of the request may have reached a target."""
        running = any(attempt.phase is Phase.TARGET for attempt in self.attempts.values())
        return self.was_sent or running

    def begin_attempt(self, pool: PoolId, now_ms: Millis) -> Attempt:
        """Add and return the next attempt."""
        self.attempt_count += 1
        attempt = Attempt(self.attempt_count, pool, now_ms)
        self.attempts[attempt.number] = attempt
        return attempt

    def work_item(self, attempt: Attempt, now_ms: Millis) -> WorkItem:
        """Return the description of an attempt that the scheduler needs to grant a permit."""
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
            tuple(sorted(self.avoided_targets)),
            now_ms,
            call.identity,
        )
