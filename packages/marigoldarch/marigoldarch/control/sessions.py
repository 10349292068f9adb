"""The leader's side of sessions: session leases, view updates and in-force tracking.

A revision of the view is in force once every node that may hold a lease has applied it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.commands import NodeJoined, NodeLeft
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import (
    Heartbeat,
    HeartbeatAck,
    InForce,
    NodeLoad,
    ViewDelta,
    ViewSnapshot,
)
from marigoldarch.settings import ControlSettings

MAX_SILENT_INTERVALS = 2.4
"""Heartbeat intervals without a heartbeat after which a node is no longer offered to callers.

By then the node has missed two heartbeats.
"""


class PendingLease(NamedTuple):
    """A lease requested by a heartbeat sent at `sent_ms`, granted once the node has `revision`."""

    sent_ms: Millis
    revision: int


@dataclass
class Session:
    """A node's session at the leader; the node's lease has run out by `expires_ms`."""

    load: NodeLoad
    incarnation: str
    replica_id: str
    revision: int
    expires_ms: Millis
    last_heartbeat_ms: Millis
    pending_lease: PendingLease | None = None


class CachedLoads(NamedTuple):
    """The bounded list of nodes for one data centre, valid until `until_ms`."""

    until_ms: Millis
    loads: list[NodeLoad]


@dataclass
class Sessions:
    """All sessions of one leader's term.

    Leases granted by previous leaders have run out at `previous_leases_end_ms`. Only nodes known to
    the log (`StateMachine.nodes`) are granted leases, so that the next leader knows every node that
    may hold one.

    `inherited_nodes` are the nodes the leader knew of before its term, without the previous leader.
    It offers them to callers until they have had time to send it a heartbeat.

    `lease_ends_ms` and `departed_processes` are keyed by node and incarnation: when a lease granted
    in this term runs out, and which processes reported that they stopped. `relinquished_fences` has
    the fencing token of the assignment that a pool's scheduler gave up. `joining_nodes` and
    `leaving_nodes` await a proposal; `changing_nodes` have one that is not applied yet.
    """

    settings: ControlSettings
    previous_leases_end_ms: Millis
    leader_since_ms: Millis
    inherited_nodes: dict[str, NodeLoad] = field(default_factory=dict)
    by_node: dict[str, Session] = field(default_factory=dict)
    wanted_pools: set[PoolId] = field(default_factory=set)
    lease_ends_ms: dict[tuple[str, str], Millis] = field(default_factory=dict)
    departed_processes: set[tuple[str, str]] = field(default_factory=set)
    relinquished_fences: dict[PoolId, int] = field(default_factory=dict)
    in_force_waits: dict[str, set[int]] = field(default_factory=dict)
    joining_nodes: set[str] = field(default_factory=set)
    leaving_nodes: set[str] = field(default_factory=set)
    absent_since_ms: dict[str, Millis] = field(default_factory=dict)
    changing_nodes: set[str] = field(default_factory=set)
    cached_loads: dict[str, CachedLoads] = field(default_factory=dict)

    def on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, state_machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Renew a session; send the missing view updates and the lease.

        A node that the log does not know yet is answered with a lease of zero until it has joined.
        """
        self.wanted_pools.update(PoolId(*pool) for pool in heartbeat.wanted_pools)
        if sender in self.changing_nodes or sender not in state_machine.nodes:
            self.joining_nodes.add(sender)
            return [Send(sender, HeartbeatAck(heartbeat.sent_ms, 0.0, 0, []))]
        effects: list[Effect] = []
        session = self.by_node.get(sender)
        if session is None or session.incarnation != heartbeat.incarnation:
            effects.append(RecordEvent("session_opened", {"node": sender}))
            expires_ms = session.expires_ms if session else float("-inf")
            session = Session(heartbeat.load, heartbeat.incarnation, "", 0, expires_ms, now_ms)
            self.by_node[sender] = session
        session.load = heartbeat.load
        session.last_heartbeat_ms = now_ms
        session.replica_id = heartbeat.replica_id
        session.revision = heartbeat.revision
        session.pending_lease = PendingLease(heartbeat.sent_ms, state_machine.view.revision)
        effects += self._send_missing_updates(sender, heartbeat.revision, state_machine)
        return effects + self._grant_pending_lease(sender, session, state_machine, now_ms)

    def on_view_ack(
        self,
        sender: str,
        revision: int,
        state_machine: StateMachine,
        now_ms: Millis,
        *,
        may_grant: bool,
    ) -> list[Effect]:
        """Record the revision that a node has applied, and grant the lease pending on it.

        `may_grant` tells whether the leader holds the leader lease. Without it the leader grants
        no lease, as another replica may be leader by now.
        """
        session = self.by_node.get(sender)
        if session is None:
            return []
        session.revision = max(session.revision, revision)
        effects = (
            self._grant_pending_lease(sender, session, state_machine, now_ms) if may_grant else []
        )
        return effects + self.answer_in_force_waits(state_machine, now_ms)

    def on_leaving(self, sender: str, incarnation: str, now_ms: Millis) -> None:
        """End the session of a process that has stopped, and schedule the removal of its node."""
        session = self.by_node.get(sender)
        if session is None or session.incarnation != incarnation:
            return
        del self.by_node[sender]
        self.departed_processes.add((sender, incarnation))
        self.leaving_nodes.add(sender)

    def on_view_changed(self, state_machine: StateMachine) -> list[Effect]:
        """Send the latest view updates to every node with a session."""
        effects: list[Effect] = []
        for node, session in self.by_node.items():
            effects += self._send_missing_updates(node, session.revision, state_machine)
        return effects

    def on_await_in_force(
        self, sender: str, revision: int, state_machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Record that a node waits for a revision to be in force."""
        self.in_force_waits.setdefault(sender, set()).add(revision)
        return self.answer_in_force_waits(state_machine, now_ms)

    def answer_in_force_waits(self, state_machine: StateMachine, now_ms: Millis) -> list[Effect]:
        """Tell the waiting nodes which of their revisions are in force."""
        if not any(self.in_force_waits.values()):
            return []
        in_force = self.in_force_revision(state_machine, now_ms)
        effects: list[Effect] = []
        for node, revisions in self.in_force_waits.items():
            for revision in [wanted for wanted in revisions if wanted <= in_force]:
                revisions.discard(revision)
                effects.append(Send(node, InForce(revision)))
        return effects

    def in_force_revision(self, state_machine: StateMachine, now_ms: Millis) -> int:
        """Return the highest revision that every node with a possible lease has applied.

        A known node without a session in this term may still hold a lease of a previous leader.
        """
        revisions = []
        for node in state_machine.nodes:
            session = self.by_node.get(node)
            if session is not None and session.expires_ms > now_ms:
                revisions.append(session.revision)
            elif now_ms < self.previous_leases_end_ms:
                if session is None or session.revision == 0:
                    return 0
                revisions.append(session.revision)
        return min(revisions, default=state_machine.view.revision)

    def expire(self, now_ms: Millis) -> list[Effect]:
        """Remove the sessions without a valid lease that sent no heartbeat for a lease time."""
        expired = [
            node
            for node, session in self.by_node.items()
            if max(session.expires_ms, session.last_heartbeat_ms + self.settings.session_lease_ms)
            <= now_ms
        ]
        for node in expired:
            del self.by_node[node]
        return [RecordEvent("session_expired", {"node": node}) for node in expired]

    def due_node_changes(
        self, state_machine: StateMachine, now_ms: Millis
    ) -> list[NodeJoined | NodeLeft]:
        """Return the `NodeJoined` and `NodeLeft` commands to propose."""
        commands: list[NodeJoined | NodeLeft] = []
        for node in sorted(self.joining_nodes - self.changing_nodes):
            if node not in state_machine.nodes:
                commands.append(NodeJoined(node))
        self.joining_nodes.clear()
        for node in state_machine.nodes:
            if node in self.by_node:
                self.absent_since_ms.pop(node, None)
            elif node not in self.changing_nodes and self._should_forget(node, now_ms):
                commands.append(NodeLeft(node))
        self.leaving_nodes.clear()
        self.changing_nodes.update(command.node for command in commands)
        return commands

    def on_node_changed(self, node: str) -> None:
        """Record that a node's `NodeJoined` or `NodeLeft` was applied."""
        self.changing_nodes.discard(node)
        self.absent_since_ms.pop(node, None)

    def _should_forget(self, node: str, now_ms: Millis) -> bool:
        if now_ms < self.previous_leases_end_ms:
            return node in self.leaving_nodes
        since_ms = self.absent_since_ms.setdefault(node, now_ms)
        return (
            node in self.leaving_nodes or now_ms >= since_ms + self.settings.node_removal_delay_ms
        )

    def _grant_pending_lease(
        self, node: str, session: Session, state_machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Grant the lease a node requested, once it has the view revision of that request."""
        pending_lease = session.pending_lease
        if pending_lease is None or session.revision < pending_lease.revision:
            return []
        session.pending_lease = None
        settings = self.settings
        session.expires_ms = now_ms + settings.session_lease_ms + settings.clock_drift_ms
        self.lease_ends_ms[node, session.incarnation] = session.expires_ms
        loads = self._loads_for(session.load, state_machine, now_ms)
        revision = pending_lease.revision
        ack = HeartbeatAck(pending_lease.sent_ms, settings.session_lease_ms, revision, loads)
        return [Send(node, ack)]

    def _loads_for(
        self, receiver: NodeLoad, state_machine: StateMachine, now_ms: Millis
    ) -> list[NodeLoad]:
        """Return the nodes offered to callers: those heard from within `MAX_SILENT_INTERVALS`.

        A dead node thus leaves the directory before its lease has run out. The list is bounded by
        `directory_nodes`: first the nodes with a voting replica of the log, as they own the limits
        of all subjects, then the nodes of the receiver's data centre.
        """
        if len(self.by_node) <= self.settings.directory_nodes:
            return self._responsive_loads(now_ms)
        data_centre = receiver.address.data_centre
        cached = self.cached_loads.get(data_centre)
        if cached is None or now_ms >= cached.until_ms:
            # With many nodes, sorting for each heartbeat would take most of the leader's time.
            until_ms = now_ms + self.settings.heartbeat_interval_ms
            cached = CachedLoads(until_ms, self._bounded_loads(data_centre, state_machine, now_ms))
            self.cached_loads[data_centre] = cached
        return cached.loads

    def _responsive_loads(self, now_ms: Millis) -> list[NodeLoad]:
        max_silence_ms = MAX_SILENT_INTERVALS * self.settings.heartbeat_interval_ms
        oldest_ms = now_ms - max_silence_ms
        responsive = {
            node: session.load
            for node, session in self.by_node.items()
            if session.last_heartbeat_ms >= oldest_ms
        }
        if now_ms < self.leader_since_ms + max_silence_ms:
            responsive = self.inherited_nodes | responsive
        return list(responsive.values())

    def _bounded_loads(
        self, data_centre: str, state_machine: StateMachine, now_ms: Millis
    ) -> list[NodeLoad]:
        voters = set(state_machine.view.voters)

        def directory_order(load: NodeLoad) -> tuple[bool, bool, str]:
            address = load.address
            return address.node not in voters, address.data_centre != data_centre, address.node

        loads = sorted(self._responsive_loads(now_ms), key=directory_order)
        return loads[: self.settings.directory_nodes]

    def _send_missing_updates(
        self, node: str, revision: int, state_machine: StateMachine
    ) -> list[Effect]:
        if revision >= state_machine.view.revision:
            return []
        updates = state_machine.updates_since(revision)
        if updates is None:
            return [Send(node, ViewSnapshot(state_machine.view.to_plain()))]
        return [Send(node, ViewDelta(revision, updates))]
