"""The reducer of the control part: log, sessions, membership, proposals and operators."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.control.commands import (
    COMMANDS,
    RESULTS,
    CommandResult,
    Declare,
    DeclareConflict,
    Declared,
)
from marigoldarch.control.machine import StateMachine
from marigoldarch.control.member import Member
from marigoldarch.control.proposals import Proposals
from marigoldarch.control.replica import DurableState, Replica
from marigoldarch.control.sessions import Sessions
from marigoldarch.effects import Effect, OperatorReply, Record, Send
from marigoldarch.events import DeclareRequested, Event, MessageArrived, Persisted, Started, Tick
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import (
    AppendReply,
    AppendRequest,
    AwaitInForce,
    Heartbeat,
    HeartbeatAck,
    InForce,
    NotLeader,
    Propose,
    ProposeReply,
    ViewAck,
    ViewDelta,
    ViewSnapshot,
    VoteReply,
    VoteRequest,
)
from marigoldarch.settings import CoreSettings

DECLARE_PREFIX = "declare/"


@dataclass
class PendingDeclare:
    """An operator's change on its way; `revision` is set once it is committed."""

    request_id: str
    expires_ms: Millis
    revision: int = 0
    asked_ms: Millis = 0.0


@dataclass
class LeaderDuties:
    """What only the leader holds: sessions, and who waits for which log index."""

    sessions: Sessions
    waiting: dict[int, list[tuple[str, str]]] = field(default_factory=dict)
    proposed: dict[str, int] = field(default_factory=dict)


class ControlState:
    """The state of the control part of one node."""

    def __init__(self, settings: CoreSettings, durable: DurableState | None) -> None:
        self.settings = settings
        self.member = Member(settings)
        self.proposals = Proposals(settings.control)
        self.machine = StateMachine(settings.control.view_history_entries)
        self.replica: Replica | None = None
        if settings.is_voter:
            self.replica = Replica(
                settings.node,
                settings.voters,
                settings.control,
                durable or DurableState(),
                settings.seed,
            )
        self.duties: LeaderDuties | None = None
        self.declares: dict[str, PendingDeclare] = {}

    @property
    def leads(self) -> bool:
        """Return whether this node leads and has applied all of its log's earlier terms."""
        return self.replica is not None and self.replica.is_leader and self.replica.is_caught_up


def reduce_control(
    state: ControlState, event: Event, active: int, is_leaving: bool
) -> list[Effect]:
    """Reduce one event; `active` and `is_leaving` go into heartbeats."""
    match event:
        case Started(at_ms=now_ms):
            effects = state.replica.start(now_ms) if state.replica else []
        case Tick(at_ms=now_ms):
            effects = _on_tick(state, now_ms, active, is_leaving)
        case Persisted(at_ms=now_ms, persist_id=persist_id):
            effects = state.replica.on_persisted(persist_id, now_ms) if state.replica else []
        case MessageArrived(at_ms=now_ms, sender=sender):
            effects = _on_message(state, event, sender, now_ms)
        case DeclareRequested():
            effects = _on_declare_requested(state, event)
        case _:
            return []
    return effects + _apply_committed(state, event.at_ms)


def _on_tick(state: ControlState, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
    effects: list[Effect] = []
    if state.replica:
        effects += state.replica.tick(now_ms)
    effects += _on_leader_tick(state, now_ms)
    effects += state.member.tick(now_ms, active, is_leaving)
    effects += state.proposals.tick(state.member.leader, now_ms)
    effects += _on_declares_tick(state, now_ms)
    return effects


def _on_leader_tick(state: ControlState, now_ms: Millis) -> list[Effect]:
    if not state.leads:
        state.duties = None
        return []
    sessions = _duties(state).sessions
    effects = sessions.expire(now_ms) + sessions.answer_waits(now_ms)
    if not state.replica.has_leader_lease(now_ms):
        return effects
    for command in sessions.due_assignments(state.machine, now_ms):
        _, proposed = state.replica.propose(command, now_ms)
        effects += proposed
    return effects


def _duties(state: ControlState) -> LeaderDuties:
    if state.duties is None:
        assumed = dict(state.member.nodes)
        assumed.pop(state.replica.earlier_leader, None)
        sessions = Sessions(state.settings.control, state.replica.led_since_ms, assumed)
        state.duties = LeaderDuties(sessions)
    return state.duties


def _on_message(
    state: ControlState, event: MessageArrived, sender: str, now_ms: Millis
) -> list[Effect]:
    replica = state.replica
    match event.message:
        case VoteRequest() as message if replica:
            return replica.on_vote_request(sender, message, now_ms)
        case VoteReply() as message if replica:
            return replica.on_vote_reply(sender, message, now_ms)
        case AppendRequest() as message if replica:
            return replica.on_append_request(sender, message, now_ms)
        case AppendReply() as message if replica:
            return replica.on_append_reply(sender, message, now_ms)
        case Propose() as message:
            return _on_propose(state, sender, message, now_ms)
        case Heartbeat() as message:
            return _on_heartbeat(state, sender, message, now_ms)
        case HeartbeatAck() as message:
            return state.member.on_heartbeat_ack(sender, message, now_ms)
        case NotLeader() as message:
            state.member.on_not_leader(message)
            return state.proposals.resend(message.proposal_id, state.member.leader, now_ms)
        case ViewDelta() as message:
            return state.member.on_view_delta(sender, message)
        case ViewSnapshot() as message:
            return state.member.on_view_snapshot(sender, message)
        case ViewAck(revision=revision) if state.leads:
            return _duties(state).sessions.on_view_ack(sender, revision, now_ms)
        case AwaitInForce(revision=revision) if state.leads:
            return _duties(state).sessions.on_await(sender, revision, now_ms)
        case InForce(revision=revision):
            return _on_in_force(state, revision)
        case ProposeReply(proposal_id=proposal_id, result=result):
            if proposal_id.startswith(DECLARE_PREFIX):
                return _on_declare_reply(state, proposal_id, RESULTS.from_plain(result), now_ms)
    return []


def _on_propose(state: ControlState, sender: str, message: Propose, now_ms: Millis) -> list[Effect]:
    if not state.leads or not state.replica.has_leader_lease(now_ms):
        return [Send(sender, NotLeader(_leader_hint(state), message.proposal_id))]
    duties = _duties(state)
    waiter = (sender, message.proposal_id)
    index = duties.proposed.get(message.proposal_id)
    if index is not None and index in duties.waiting:
        return []
    index, effects = state.replica.propose(COMMANDS.from_plain(message.command), now_ms)
    duties.proposed[message.proposal_id] = index
    duties.waiting.setdefault(index, []).append(waiter)
    return effects


def _on_heartbeat(
    state: ControlState, sender: str, message: Heartbeat, now_ms: Millis
) -> list[Effect]:
    if not state.leads or not state.replica.has_leader_lease(now_ms):
        return [Send(sender, NotLeader(_leader_hint(state)))]
    return _duties(state).sessions.on_heartbeat(sender, message, state.machine, now_ms)


def _leader_hint(state: ControlState) -> str:
    hint = state.replica.leader if state.replica else ""
    return "" if hint == state.settings.node else hint


def _apply_committed(state: ControlState, now_ms: Millis) -> list[Effect]:
    if state.replica is None:
        return []
    effects: list[Effect] = []
    revision = state.machine.view.revision
    for entry in state.replica.take_committed():
        result = state.machine.apply(entry)
        effects += _answer_waiting(state, entry.index, result)
        if state.duties and entry.command[0] == "AssignPool":
            pool = PoolId(*entry.command[1]["pool"])
            state.duties.sessions.proposed_pools.discard(pool)
    if state.leads and state.machine.view.revision > revision:
        effects += _duties(state).sessions.on_view_changed(state.machine)
    return effects


def _answer_waiting(state: ControlState, index: int, result: CommandResult) -> list[Effect]:
    if state.duties is None:
        return []
    effects: list[Effect] = []
    for sender, proposal_id in state.duties.waiting.pop(index, []):
        state.duties.proposed.pop(proposal_id, None)
        effects.append(Send(sender, ProposeReply(proposal_id, RESULTS.to_plain(result))))
    return effects


def _on_declare_requested(state: ControlState, event: DeclareRequested) -> list[Effect]:
    proposal_id = f"{DECLARE_PREFIX}{event.request_id}"
    expires_ms = event.at_ms + event.timeout_ms
    state.declares[proposal_id] = PendingDeclare(event.request_id, expires_ms)
    command = Declare(
        event.change_id, event.operator, event.team, event.base_revision, event.declaration
    )
    return state.proposals.propose(
        proposal_id, command, state.member.leader, event.at_ms, expires_ms
    )


def _on_declare_reply(
    state: ControlState, proposal_id: str, result: CommandResult, now_ms: Millis
) -> list[Effect]:
    state.proposals.take(proposal_id)
    pending = state.declares.get(proposal_id)
    if pending is None:
        return []
    match result:
        case Declared(revision=revision):
            pending.revision = revision
            pending.asked_ms = now_ms
            return [Send(state.member.leader, AwaitInForce(revision))]
        case DeclareConflict():
            del state.declares[proposal_id]
            body = {
                "status": "conflict",
                "revision": result.revision,
                "winner": result.winner,
                "winner_operator": result.winner_operator,
            }
            return [OperatorReply(pending.request_id, body)]
    return []


def _on_in_force(state: ControlState, revision: int) -> list[Effect]:
    effects: list[Effect] = []
    for proposal_id, pending in list(state.declares.items()):
        if 0 < pending.revision <= revision:
            del state.declares[proposal_id]
            body = {"status": "in_force", "revision": pending.revision}
            effects.append(OperatorReply(pending.request_id, body))
            effects.append(Record("in_force", {"revision": pending.revision}))
    return effects


def _on_declares_tick(state: ControlState, now_ms: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for proposal_id, pending in list(state.declares.items()):
        if now_ms >= pending.expires_ms:
            del state.declares[proposal_id]
            status = "committed" if pending.revision else "unknown"
            body = {"status": status, "revision": pending.revision}
            effects.append(OperatorReply(pending.request_id, body))
        elif (
            pending.revision
            and now_ms >= pending.asked_ms + state.settings.control.proposal_retry_ms
        ):
            pending.asked_ms = now_ms
            effects.append(Send(state.member.leader, AwaitInForce(pending.revision)))
    return effects
