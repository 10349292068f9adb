"""The reducer of the control state: log, sessions, proposals and operators' requests."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.commands import RESULTS
from marigoldarch.control.dispatch import dispatch
from marigoldarch.control.durable import DurableState
from marigoldarch.control.leadership import Leadership
from marigoldarch.control.member import Member
from marigoldarch.control.operators import DECLARE_PROPOSAL_PREFIX, OperatorRequests
from marigoldarch.control.proposals import Proposals
from marigoldarch.control.replica import Replica
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.effects import Effect, Send
from marigoldarch.events import (
    DeclareRequested,
    Event,
    MessageArrived,
    Persisted,
    RepairRequested,
    Started,
    Tick,
)
from marigoldarch.messages import (
    AppendReply,
    AppendRequest,
    AwaitInForce,
    BootstrapQuery,
    BootstrapReply,
    Heartbeat,
    HeartbeatAck,
    InForce,
    LeadershipTransfer,
    Message,
    NodeLeaving,
    NotLeader,
    PoolRelinquished,
    Propose,
    ProposeReply,
    RepairReply,
    RepairRequest,
    SnapshotPiece,
    SnapshotReply,
    ViewAck,
    ViewDelta,
    ViewSnapshot,
    VoteReply,
    VoteRequest,
)
from marigoldarch.settings import CoreSettings


class ControlState:
    """The control state of one node."""

    def __init__(self, settings: CoreSettings, durable: DurableState | None) -> None:
        self.settings = settings
        self.proposals = Proposals(settings.control)
        self.state_machine = StateMachine(settings.control.view_history_entries)
        self.replica: Replica | None = None
        if settings.hosts_replica:
            self.replica = Replica(
                settings.node,
                settings.voters,
                settings.control,
                durable or DurableState(),
                settings.seed,
            )
        replica_id = self.replica.name.replica_id if self.replica else ""
        self.member = Member(settings, replica_id)
        self.leadership: Leadership | None = None
        self.operators = OperatorRequests(settings.control, self.member, self.proposals)

    @property
    def is_ready_leader(self) -> bool:
        """Return whether this node is leader and has applied all entries of earlier terms."""
        return self.replica is not None and self.replica.is_leader and self.replica.is_caught_up


def reduce_control(
    state: ControlState, event: Event, active: int, is_leaving: bool
) -> list[Effect]:
    """Apply one event to the state and return its effects.

    `active` is the number of requests in progress; it and `is_leaving` are sent in heartbeats.
    """
    match event:
        case Started(at_ms=now_ms):
            effects = state.replica.start(now_ms) if state.replica else []
        case Tick(at_ms=now_ms):
            effects = _on_tick(state, now_ms, active, is_leaving)
        case Persisted(at_ms=now_ms, persist_id=persist_id):
            effects = state.replica.on_persisted(persist_id, now_ms) if state.replica else []
        case MessageArrived(at_ms=now_ms, sender=sender, message=message):
            effects = _on_message(state, sender, message, now_ms)
        case DeclareRequested():
            effects = state.operators.on_declare_requested(event)
        case RepairRequested():
            effects = state.operators.on_repair_requested(event)
        case _:
            return []
    return effects + _apply_committed(state)


def _on_tick(state: ControlState, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
    effects: list[Effect] = []
    if state.replica:
        effects += state.replica.tick(now_ms)
        if is_leaving:
            effects += state.replica.transfer_leadership(now_ms)
    leadership = _current_leadership(state)
    if leadership is not None:
        effects += leadership.tick(now_ms)
    effects += state.member.tick(now_ms, active, is_leaving)
    effects += state.proposals.tick(state.member.leader, now_ms)
    effects += state.operators.tick(now_ms)
    return effects


def _current_leadership(state: ControlState) -> Leadership | None:
    if not state.is_ready_leader:
        state.leadership = None
    elif state.leadership is None or state.leadership.term != state.replica.term:
        state.leadership = Leadership(
            state.replica, state.state_machine, state.settings.control, state.member.nodes
        )
    return state.leadership


def _on_message(state: ControlState, sender: str, message: Message, now_ms: Millis) -> list[Effect]:
    match message:
        case (
            VoteRequest()
            | LeadershipTransfer()
            | VoteReply()
            | AppendRequest()
            | AppendReply()
            | SnapshotPiece()
            | SnapshotReply()
            | BootstrapQuery()
            | BootstrapReply()
        ):
            return _on_replica_message(state.replica, sender, message, now_ms)
        case Propose() | Heartbeat() | RepairRequest():
            return _on_leader_request(state, sender, message, now_ms)
        case ViewAck() | AwaitInForce() | PoolRelinquished() | NodeLeaving():
            leadership = _current_leadership(state)
            return leadership.on_message(sender, message, now_ms) if leadership else []
        case HeartbeatAck():
            return state.member.on_heartbeat_ack(sender, message, now_ms)
        case NotLeader():
            state.member.on_not_leader(message)
            return state.proposals.resend(message.proposal_id, state.member.leader, now_ms)
        case ViewDelta():
            return state.member.on_view_delta(sender, message)
        case ViewSnapshot():
            return state.member.on_view_snapshot(sender, message)
        case InForce(revision=revision):
            return state.operators.on_in_force(revision)
        case RepairReply():
            return state.operators.on_repair_reply(message)
        case ProposeReply(proposal_id=proposal_id, result=result):
            if proposal_id.startswith(DECLARE_PROPOSAL_PREFIX):
                decoded = RESULTS.from_plain(result)
                return state.operators.on_declare_reply(proposal_id, decoded, now_ms)
    return []


def _on_replica_message(
    replica: Replica | None, sender: str, message: Message, now_ms: Millis
) -> list[Effect]:
    if replica is None:
        return []
    return dispatch(replica, sender, message, now_ms)


def _on_leader_request(
    state: ControlState, sender: str, message: Message, now_ms: Millis
) -> list[Effect]:
    leadership = _current_leadership(state)
    if leadership is None or not state.replica.has_leader_lease(now_ms):
        proposal_id = message.proposal_id if isinstance(message, Propose) else ""
        return [Send(sender, NotLeader(_leader_hint(state), proposal_id))]
    match message:
        case Propose():
            return leadership.on_propose(sender, message, now_ms)
        case Heartbeat():
            return leadership.on_heartbeat(sender, message, now_ms)
        case RepairRequest():
            return leadership.on_repair_request(sender, message, now_ms)
    return []


def _leader_hint(state: ControlState) -> str:
    hint = state.replica.leader if state.replica else ""
    return "" if hint == state.settings.node else hint


def _apply_committed(state: ControlState) -> list[Effect]:
    replica = state.replica
    if replica is None:
        return []
    snapshot = replica.take_snapshot_to_restore()
    if snapshot is not None:
        state.state_machine.restore(snapshot.state)
    effects: list[Effect] = []
    revision = state.state_machine.view.revision
    # Looked up before applying: a replica that just lost leadership answers no proposals.
    leadership = _current_leadership(state)
    for entry in replica.take_committed():
        result = state.state_machine.apply(entry)
        if leadership is not None:
            effects += leadership.on_applied(entry, result)
    leadership = _current_leadership(state)
    if leadership is not None and state.state_machine.view.revision > revision:
        effects += leadership.on_view_changed()
    if replica.is_snapshot_due:
        effects += replica.save_snapshot(state.state_machine.to_plain())
    return effects
