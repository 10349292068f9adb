"""The leader's duties: sessions, pool assignments, repairs and results of proposals."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.assignment import Assignments
from marigoldarch.control.commands import (
    COMMANDS,
    RESULTS,
    AssignPool,
    Command,
    CommandResult,
    Configure,
    Entry,
    LedgerExpire,
    LedgerFull,
    LedgerStart,
    NodeJoined,
    NodeLeft,
)
from marigoldarch.control.repair import next_step
from marigoldarch.control.repair_state import RepairState
from marigoldarch.control.replica import Replica
from marigoldarch.control.sessions import Sessions
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.identifiers import PoolId, ReplicaName
from marigoldarch.messages import (
    AwaitInForce,
    Heartbeat,
    HeartbeatAck,
    NodeLeaving,
    NodeLoad,
    PoolRelinquished,
    Propose,
    ProposeReply,
    RepairReply,
    RepairRequest,
    ViewAck,
)
from marigoldarch.settings import ControlSettings

LEDGER_EXPIRY_INTERVAL_MS: Millis = 10_000.0
"""The least time between two proposals to expire ledger records."""

LEDGER_FULL_RETRY_MS = 60_000
"""The `retry_after_ms` of a call that is refused because the ledger is full."""

REPAIR_RETENTION_MS: Millis = 600_000.0
"""How long the start of a repair request is remembered."""


class Leadership:
    """The state of one leader during its term, once all entries of earlier terms are applied.

    `nodes` are the live nodes that this node knew of before it became leader.
    """

    def __init__(
        self,
        replica: Replica,
        state_machine: StateMachine,
        settings: ControlSettings,
        nodes: dict[str, NodeLoad],
    ) -> None:
        self._replica = replica
        self._state_machine = state_machine
        self._settings = settings
        self._term = replica.term
        previous_leases_end_ms = (
            replica.grants_end_ms + settings.session_lease_ms + settings.clock_drift_ms
        )
        inherited_nodes = {
            name: load for name, load in nodes.items() if name != replica.previous_leader
        }
        self._sessions = Sessions(
            settings, previous_leases_end_ms, replica.leader_since_ms, inherited_nodes
        )
        self._assignments = Assignments()
        self._waiting_proposers: dict[int, list[tuple[str, str]]] = {}
        self._proposed_indexes: dict[str, int] = {}
        self._ledger_expiry_due_ms: Millis = float("-inf")
        self._repairs_started_ms: dict[str, Millis] = {}

    @property
    def term(self) -> int:
        """Return the leader's term."""
        return self._term

    @property
    def sessions(self) -> Sessions:
        """Return the sessions of this term."""
        return self._sessions

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire sessions, answer in-force waits, and propose the commands that are due."""
        effects = self._sessions.expire(now_ms)
        effects += self._sessions.answer_in_force_waits(self._state_machine, now_ms)
        if not self._replica.has_leader_lease(now_ms):
            return effects
        due: list[Command] = [*self._sessions.due_node_changes(self._state_machine, now_ms)]
        due += self._assignments.due_assignments(self._sessions, self._state_machine, now_ms)
        due += self._due_ledger_expiry(now_ms)
        for command in due:
            effects += self._replica.propose(command, now_ms)[1]
        return effects

    def on_propose(self, sender: str, message: Propose, now_ms: Millis) -> list[Effect]:
        """Propose a command and remember who to send its result to; ignore a resent proposal."""
        index = self._proposed_indexes.get(message.proposal_id)
        if index is not None and index in self._waiting_proposers:
            return []
        command = COMMANDS.from_plain(message.command)
        if self._is_ledger_full_for(command):
            result = RESULTS.to_plain(LedgerFull(LEDGER_FULL_RETRY_MS))
            return [Send(sender, ProposeReply(message.proposal_id, result))]
        index, effects = self._replica.propose(command, now_ms)
        self._proposed_indexes[message.proposal_id] = index
        self._waiting_proposers.setdefault(index, []).append((sender, message.proposal_id))
        return effects

    def on_heartbeat(self, sender: str, message: Heartbeat, now_ms: Millis) -> list[Effect]:
        """Renew the sender's session.

        A process whose pool is about to be assigned to another one gets no lease until it can learn
        of that: with a lease it would go on to schedule the pool beside the new scheduler.
        """
        session = self._sessions.by_node.get(sender)
        has_session = session is not None and session.incarnation == message.incarnation
        if not has_session and self._assignments.may_replace(
            sender, message.incarnation, self._state_machine
        ):
            return [
                RecordEvent("lease_withheld", {"node": sender}),
                Send(sender, HeartbeatAck(message.sent_ms, 0.0, 0, [])),
            ]
        return self._sessions.on_heartbeat(sender, message, self._state_machine, now_ms)

    def on_message(
        self,
        sender: str,
        message: ViewAck | AwaitInForce | PoolRelinquished | NodeLeaving,
        now_ms: Millis,
    ) -> list[Effect]:
        """Handle a report of a node's state; it is accepted even without the leader lease."""
        match message:
            case ViewAck(revision=revision):
                may_grant = self._replica.has_leader_lease(now_ms)
                return self._sessions.on_view_ack(
                    sender, revision, self._state_machine, now_ms, may_grant=may_grant
                )
            case AwaitInForce(revision=revision):
                return self._sessions.on_await_in_force(
                    sender, revision, self._state_machine, now_ms
                )
            case PoolRelinquished():
                pool = PoolId(*message.pool)
                assignment = self._state_machine.view.assignments.get(pool)
                if assignment is not None and assignment.node == sender:
                    self._sessions.relinquished_fences[pool] = message.fence
            case NodeLeaving(incarnation=incarnation):
                self._sessions.on_leaving(sender, incarnation, now_ms)
        return []

    def on_repair_request(
        self, sender: str, request: RepairRequest, now_ms: Millis
    ) -> list[Effect]:
        """Propose the next step of a repair, if one is due, and report the repair's state.

        Only acknowledgements since the first such request count: earlier ones may refer to a disk
        that has been lost.
        """
        since_ms = self._repairs_started_ms.setdefault(request.request_id, now_ms)
        for request_id, started_ms in list(self._repairs_started_ms.items()):
            if now_ms >= started_ms + REPAIR_RETENTION_MS:
                del self._repairs_started_ms[request_id]
        session = self._sessions.by_node.get(request.replacement)
        if session is None or not session.replica_id:
            return [Send(sender, RepairReply(request.request_id, RepairState.NO_REPLACEMENT))]
        replacement = ReplicaName(request.replacement, session.replica_id)
        step = next_step(self._replica, request.lost, replacement, since_ms)
        effects: list[Effect] = [Send(sender, RepairReply(request.request_id, step.state))]
        if step.configuration is not None and self._replica.has_leader_lease(now_ms):
            fields = {"state": str(step.state), "lost": request.lost, "by": str(replacement)}
            effects.append(RecordEvent("repair_step", fields))
            effects += self._replica.propose(Configure(step.configuration), now_ms)[1]
        return effects

    def on_applied(self, entry: Entry, result: CommandResult) -> list[Effect]:
        """Send the result of an applied entry to the nodes that proposed it."""
        match COMMANDS.from_plain(entry.command):
            case AssignPool(pool=pool):
                self._assignments.on_applied(PoolId(*pool))
            case NodeJoined(node=node) | NodeLeft(node=node):
                self._sessions.on_node_changed(node)
        effects: list[Effect] = []
        for sender, proposal_id in self._waiting_proposers.pop(entry.index, []):
            self._proposed_indexes.pop(proposal_id, None)
            effects.append(Send(sender, ProposeReply(proposal_id, RESULTS.to_plain(result))))
        return effects

    def on_view_changed(self) -> list[Effect]:
        """Send the latest view updates to every node with a session."""
        return self._sessions.on_view_changed(self._state_machine)

    def _is_ledger_full_for(self, command: Command) -> bool:
        ledger = self._state_machine.ledger
        return (
            isinstance(command, LedgerStart)
            and ledger.size_bytes >= self._settings.ledger_max_bytes
            and not ledger.has_record(command.customer, command.key)
        )

    def _due_ledger_expiry(self, now_ms: Millis) -> list[Command]:
        if now_ms < self._ledger_expiry_due_ms:
            return []
        self._ledger_expiry_due_ms = now_ms + LEDGER_EXPIRY_INTERVAL_MS
        before_ms = self._replica.log_ms(now_ms) - int(self._settings.ledger_retention_ms)
        oldest_ms = self._state_machine.ledger.oldest_ms
        if oldest_ms is None or oldest_ms >= before_ms:
            return []
        return [LedgerExpire(before_ms)]
