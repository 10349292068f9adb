"""Requests of operators at the node that serves them: changes and repairs, to their end."""

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

DECLARE_PREFIX = "declare/"


@dataclass
class PendingDeclare:
    """An operator's change on its way; `revision` is set once it is committed."""

    request_id: str
    expires_ms: Millis
    revision: int = 0
    asked_ms: Millis = 0.0


@dataclass
class PendingRepair:
    """An operator's repair on its way."""

    request: RepairRequest
    expires_ms: Millis
    asked_ms: Millis
    state: RepairState = RepairState.WAITING


class OperatorRequests:
    """The operators' requests that have no final answer yet."""

    def __init__(self, settings: ControlSettings, member: Member, proposals: Proposals) -> None:
        self._settings = settings
        self._member = member
        self._proposals = proposals
        self._declares: dict[str, PendingDeclare] = {}
        self._repairs: dict[str, PendingRepair] = {}

    def on_declare_requested(self, event: DeclareRequested) -> list[Effect]:
        """Propose a change."""
        proposal_id = f"{DECLARE_PREFIX}{event.request_id}"
        expires_ms = event.at_ms + event.timeout_ms
        self._declares[proposal_id] = PendingDeclare(event.request_id, expires_ms)
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
        """Wait for a committed change to be in force; answer any other at once."""
        self._proposals.take(proposal_id)
        pending = self._declares.get(proposal_id)
        if pending is None:
            return []
        match result:
            case Declared(revision=revision):
                pending.revision = revision
                pending.asked_ms = now_ms
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
        del self._declares[proposal_id]
        return [OperatorReply(pending.request_id, body)]

    def on_in_force(self, revision: int) -> list[Effect]:
        """Answer the changes up to a revision that is in force."""
        effects: list[Effect] = []
        for proposal_id, pending in list(self._declares.items()):
            if 0 < pending.revision <= revision:
                del self._declares[proposal_id]
                body = {"status": "in_force", "revision": pending.revision}
                effects.append(OperatorReply(pending.request_id, body))
                effects.append(RecordEvent("in_force", {"revision": pending.revision}))
        return effects

    def on_repair_requested(self, event: RepairRequested) -> list[Effect]:
        """Ask the leader for the first step of a repair."""
        request = RepairRequest(event.request_id, event.lost, event.replacement)
        expires_ms = event.at_ms + event.timeout_ms
        self._repairs[event.request_id] = PendingRepair(request, expires_ms, event.at_ms)
        return [Send(self._member.leader, request)]

    def on_repair_reply(self, reply: RepairReply) -> list[Effect]:
        """Note the state of a repair; answer when it is final."""
        pending = self._repairs.get(reply.request_id)
        if pending is None:
            return []
        pending.state = reply.state
        if not reply.state.is_final:
            return []
        del self._repairs[reply.request_id]
        return [_repair_answer(pending), RecordEvent("repair_ended", {"state": str(reply.state)})]

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Ask again where no answer came, and end what took too long."""
        effects: list[Effect] = []
        retry_ms = self._settings.proposal_retry_ms
        for proposal_id, pending in list(self._declares.items()):
            if now_ms >= pending.expires_ms:
                del self._declares[proposal_id]
                status = "committed" if pending.revision else "unknown"
                body = {"status": status, "revision": pending.revision}
                effects.append(OperatorReply(pending.request_id, body))
            elif pending.revision and now_ms >= pending.asked_ms + retry_ms:
                pending.asked_ms = now_ms
                effects.append(Send(self._member.leader, AwaitInForce(pending.revision)))
        for key, repair in list(self._repairs.items()):
            if now_ms >= repair.expires_ms:
                del self._repairs[key]
                effects.append(_repair_answer(repair))
            elif now_ms >= repair.asked_ms + retry_ms:
                repair.asked_ms = now_ms
                effects.append(Send(self._member.leader, repair.request))
        return effects


def _repair_answer(pending: PendingRepair) -> OperatorReply:
    body = {
        "status": str(pending.state),
        "lost": pending.request.lost,
        "replacement": pending.request.replacement,
    }
    return OperatorReply(pending.request.request_id, body)
