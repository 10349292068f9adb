"""A request in progress at its entry node."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from marigoldarch.clock import Millis
from marigoldarch.control.view import CustomerRecord
from marigoldarch.events import CallInfo
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import WorkItem


class Phase(StrEnum):
    """What a request waits for."""

    PERMIT = "permit"
    LEDGER_START = "ledger_start"
    TARGET = "target"
    LEDGER_FINISH = "ledger_finish"


@dataclass
class Request:
    """One admitted request. Its phase, attempt and permit change; its deadline never does."""

    call: CallInfo
    customer: CustomerRecord
    rank: int
    deadline_ms: Millis
    is_idempotent: bool
    pool: PoolId
    phase: Phase = Phase.PERMIT
    attempt: int = 1
    asked_ms: Millis = 0.0
    permit: PermitId | None = None
    targets: tuple[TargetAddress, ...] = ()
    avoid: set[str] = field(default_factory=set)
    relayed_tokens: int = 0
    answer: str = ""
    is_started: bool = False

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.call.request_id

    def work_item(self, now_ms: Millis) -> WorkItem:
        """Return what the scheduler needs to know."""
        call = self.call
        return WorkItem(
            call.request_id,
            self.attempt,
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
        )
