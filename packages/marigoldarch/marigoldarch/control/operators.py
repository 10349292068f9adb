"""Operators' requests at the node that received them: declarations and repairs."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.control.commands import (
    CommandResult,
    Declare,
    DeclareConflict,
    Declared,
    DeclareForbidden,
    DeclareKeyTaken,
)
from marigoldarch.control.member import Member
from marigoldarch.control.proposals import Proposals
from marigoldarch.control.repair_state import RepairState
from marigoldarch.effects import Effect, OperatorReply, RecordEvent, Send
from marigoldarch.events import DeclareRequested, RepairRequested
from marigoldarch.messages import AwaitInForce, RepairReply, RepairRequest
from marigoldarch.settings import ControlSettings

DECLARE_PROPOSAL_PREFIX = "declare/"
"""The prefix of the ids of proposals made for an operator's declaration."""


@dataclass
class PendingDeclare:
    """An operator's declaration without a final answer; `revision` is 0 until it is committed."""

    request_id: str
    expires_ms: Millis
    revision: int = 0
    last_sent_ms: Millis = 0.0


@dataclass
class PendingRepair:
    """An operator's repair without a final answer."""

    request: RepairRequest
    expires_ms: Millis
    last_sent_ms: Millis
    state: RepairState = RepairState.WAITING


class OperatorRequests:
    """The operators' requests without a final answer."""

    def __init__(self, settings: ControlSettings, member: Member, proposals: Proposals) -> None:
        self._settings = settings
        self._member = member
        self._proposals = proposals
        self._pending_declares: dict[str, PendingDeclare] = {}
        self._pending_repairs: dict[str, PendingRepair] = {}

    def on_declare_requested(self, event: DeclareRequested) -> list[Effect]:
        """Propose a declaration to the leader."""
        proposal_id = f"{DECLARE_PROPOSAL_PREFIX}{event.request_id}"
        expires_ms = event.at_ms + event.timeout_ms
        self._pending_declares[proposal_id] = PendingDeclare(event.request_id, expires_ms)
        command = Declare(
            event.change_id,
            event.operator,
            event.team,
            event.base_revision,
            event.declaration,
            event.has_all_rights,
        )
        leader = self._member.leader
        return self._proposals.propose(proposal_id, command, leader, event.at_ms, expires_ms)

    def on_declare_reply(
        self, proposal_id: str, result: CommandResult, now_ms: Millis
    ) -> list[Effect]:
        """Wait until a committed declaration is in force; answer a rejected one at once."""
        self._proposals.take(proposal_id)
        pending = self._pending_declares.get(proposal_id)
        if pending is None:
            return []
        match result:
            case Declared(revision=revision):
                pending.revision = revision
                pending.last_sent_ms = now_ms
                return [Send(self._member.leader, AwaitInForce(revision))]
            case DeclareConflict():
                body = {
                    "status": "conflict",
                    "revision": result.revision,
                    "winner": result.winner,
                    "winner_operator": result.winner_operator,
                }
            case DeclareForbidden():
                body = {"status": "forbidden", "operator": result.operator, "team": result.team}
            case DeclareKeyTaken(customer=customer):
                body = {"status": "key_taken", "customer": customer}
            case _:
                return []
        del self._pending_declares[proposal_id]
        return [OperatorReply(pending.request_id, body)]

    def on_in_force(self, revision: int) -> list[Effect]:
        """Answer the declarations up to a revision that is in force."""
        effects: list[Effect] = []
        for proposal_id, pending in list(self._pending_declares.items()):
            if 0 < pending.revision <= revision:
                del self._pending_declares[proposal_id]
                body = {"status": "in_force", "revision": pending.revision}
                effects.append(OperatorReply(pending.request_id, body))
                effects.append(RecordEvent("in_force", {"revision": pending.revision}))
        return effects

    def on_repair_requested(self, event: RepairRequested) -> list[Effect]:
        """Send a repair request to the leader."""
        request = RepairRequest(event.request_id, event.lost, event.replacement)
        expires_ms = event.at_ms + event.timeout_ms
        self._pending_repairs[event.request_id] = PendingRepair(request, expires_ms, event.at_ms)
        return [Send(self._member.leader, request)]

    def on_repair_reply(self, reply: RepairReply) -> list[Effect]:
        """Record the state of a repair; answer the operator if it is final."""
        pending = self._pending_repairs.get(reply.request_id)
        if pending is None:
            return []
        pending.state = reply.state
        if not reply.state.is_final:
            return []
        del self._pending_repairs[reply.request_id]
        return [_repair_reply(pending), RecordEvent("repair_ended", {"state": str(reply.state)})]

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Resend the requests without an answer, and answer those that have timed out."""
        effects: list[Effect] = []
        retry_ms = self._settings.proposal_retry_ms
        for proposal_id, pending in list(self._pending_declares.items()):
            if now_ms >= pending.expires_ms:
                del self._pending_declares[proposal_id]
                status = "committed" if pending.revision else "unknown"
                body = {"status": status, "revision": pending.revision}
                effects.append(OperatorReply(pending.request_id, body))
            elif pending.revision and now_ms >= pending.last_sent_ms + retry_ms:
                pending.last_sent_ms = now_ms
                effects.append(Send(self._member.leader, AwaitInForce(pending.revision)))
        for key, repair in list(self._pending_repairs.items()):
            if now_ms >= repair.expires_ms:
                del self._pending_repairs[key]
                effects.append(_repair_reply(repair))
            elif now_ms >= repair.last_sent_ms + retry_ms:
                repair.last_sent_ms = now_ms
                effects.append(Send(self._member.leader, repair.request))
        return effects


def _repair_reply(pending: PendingRepair) -> OperatorReply:
    body = {
        "status": str(pending.state),
        "lost": pending.request.lost,
        "replacement": pending.request.replacement,
    }
    return OperatorReply(pending.request.request_id, body)
