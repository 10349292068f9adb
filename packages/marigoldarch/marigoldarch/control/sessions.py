"""The leader's side of sessions: leases, view updates and in-force tracking."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.commands import NodeJoined, NodeLeft
from marigoldarch.control.machine import StateMachine
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

MISSED_HEARTBEATS = 2.4
"""After how many heartbeat intervals of silence a node is no longer offered to callers."""


class OwedGrant(NamedTuple):
    """A lease asked for at `sent_ms` by a node that did not yet act on `revision`."""

    sent_ms: Millis
    revision: int


@dataclass
class Session:
    """A node's session as the leader sees it; it acts on no lease beyond `expires_ms`."""

    load: NodeLoad
    incarnation: str
    replica_id: str
    revision: int
    expires_ms: Millis
    heard_ms: Millis
    owed: OwedGrant | None = None


class KeptLoads(NamedTuple):
    """The bounded list of nodes for one data centre, used until `until_ms`."""

    until_ms: Millis
    loads: list[NodeLoad]


@dataclass
class Sessions:
    """All sessions of one leader's term.

    Leases that earlier leaders granted have run out at `old_leases_end_ms`. Only nodes that the log
    knows are granted leases, so that the next leader knows every node that can hold one.
    `assumed` holds the nodes that the new leader knew of; it offers them to callers until they have
    had time to send it a heartbeat.
    """

    settings: ControlSettings
    old_leases_end_ms: Millis
    since_ms: Millis
    assumed: dict[str, NodeLoad] = field(default_factory=dict)
    by_node: dict[str, Session] = field(default_factory=dict)
    wanted_pools: set[PoolId] = field(default_factory=set)
    holders: dict[tuple[str, str], Millis] = field(default_factory=dict)
    departed: set[tuple[str, str]] = field(default_factory=set)
    relinquished: dict[PoolId, int] = field(default_factory=dict)
    waits: dict[str, set[int]] = field(default_factory=dict)
    joining: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    gone_since_ms: dict[str, Millis] = field(default_factory=dict)
    changing_nodes: set[str] = field(default_factory=set)
    kept_loads: dict[str, KeptLoads] = field(default_factory=dict)

    def on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Renew a session and answer with the lease and missing view updates."""
        self.wanted_pools.update(PoolId(*pool) for pool in heartbeat.wanted_pools)
        if sender in self.changing_nodes or sender not in machine.nodes:
            self.joining.add(sender)
            return [Send(sender, HeartbeatAck(heartbeat.sent_ms, 0.0, 0, []))]
        effects: list[Effect] = []
        session = self.by_node.get(sender)
        if session is None or session.incarnation != heartbeat.incarnation:
            effects.append(RecordEvent("session_opened", {"node": sender}))
            expires_ms = session.expires_ms if session else float("-inf")
            session = Session(heartbeat.load, heartbeat.incarnation, "", 0, expires_ms, now_ms)
            self.by_node[sender] = session
        session.load = heartbeat.load
        session.heard_ms = now_ms
        session.replica_id = heartbeat.replica_id
        session.revision = heartbeat.revision
        session.owed = OwedGrant(heartbeat.sent_ms, machine.view.revision)
        effects += self._bring_up_to_date(sender, heartbeat.revision, machine)
        return effects + self._grant_owed(sender, session, machine, now_ms)

    def on_view_ack(
        self, sender: str, revision: int, machine: StateMachine, now_ms: Millis, *, may_grant: bool
    ) -> list[Effect]:
        """Note the revision that a node acts on, and grant the lease that waited for it.

        Without its own lease (`may_grant`) a leader grants none: another may lead by now.
        """
        session = self.by_node.get(sender)
        if session is None:
            return []
        session.revision = max(session.revision, revision)
        effects = self._grant_owed(sender, session, machine, now_ms) if may_grant else []
        return effects + self.answer_waits(machine, now_ms)

    def on_leaving(self, sender: str, incarnation: str, now_ms: Millis) -> None:
        """End the session of a node that acts no more, and forget the node."""
        session = self.by_node.get(sender)
        if session is None or session.incarnation != incarnation:
            return
        del self.by_node[sender]
        self.departed.add((sender, incarnation))
        self.leaving.add(sender)

    def on_view_changed(self, machine: StateMachine) -> list[Effect]:
        """Push the newest updates to every node."""
        effects: list[Effect] = []
        for node, session in self.by_node.items():
            effects += self._bring_up_to_date(node, session.revision, machine)
        return effects

    def on_await(
        self, sender: str, revision: int, machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Remember who waits for a revision to be in force."""
        self.waits.setdefault(sender, set()).add(revision)
        return self.answer_waits(machine, now_ms)

    def answer_waits(self, machine: StateMachine, now_ms: Millis) -> list[Effect]:
        """Tell waiting nodes which of their revisions are in force."""
        if not any(self.waits.values()):
            return []
        in_force = self.in_force_revision(machine, now_ms)
        effects: list[Effect] = []
        for node, revisions in self.waits.items():
            for revision in [wanted for wanted in revisions if wanted <= in_force]:
                revisions.discard(revision)
                effects.append(Send(node, InForce(revision)))
        return effects

    def in_force_revision(self, machine: StateMachine, now_ms: Millis) -> int:
        """Return the highest revision that no lease contradicts.

        A known node without a session here may still hold a lease of an earlier leader.
        """
        revisions = []
        for node in machine.nodes:
            session = self.by_node.get(node)
            if session is not None and session.expires_ms > now_ms:
                revisions.append(session.revision)
            elif now_ms < self.old_leases_end_ms:
                if session is None or session.revision == 0:
                    return 0
                revisions.append(session.revision)
        return min(revisions, default=machine.view.revision)

    def expire(self, now_ms: Millis) -> list[Effect]:
        """Drop sessions whose lease has run out."""
        expired = [
            node
            for node, held in self.by_node.items()
            if max(held.expires_ms, held.heard_ms + self.settings.session_lease_ms) <= now_ms
        ]
        for node in expired:
            del self.by_node[node]
        return [RecordEvent("session_expired", {"node": node}) for node in expired]

    def due_node_changes(
        self, machine: StateMachine, now_ms: Millis
    ) -> list[NodeJoined | NodeLeft]:
        """Return the commands that make nodes known or forget them."""
        commands: list[NodeJoined | NodeLeft] = []
        for node in sorted(self.joining - self.changing_nodes):
            if node not in machine.nodes:
                commands.append(NodeJoined(node))
        self.joining.clear()
        for node in machine.nodes:
            if node in self.by_node:
                self.gone_since_ms.pop(node, None)
            elif node not in self.changing_nodes and self._is_gone(node, now_ms):
                commands.append(NodeLeft(node))
        self.leaving.clear()
        self.changing_nodes.update(command.node for command in commands)
        return commands

    def on_node_changed(self, node: str) -> None:
        """Note that a change of a known node was applied."""
        self.changing_nodes.discard(node)
        self.gone_since_ms.pop(node, None)

    def _is_gone(self, node: str, now_ms: Millis) -> bool:
        if now_ms < self.old_leases_end_ms:
            return node in self.leaving
        since_ms = self.gone_since_ms.setdefault(node, now_ms)
        return node in self.leaving or now_ms >= since_ms + self.settings.node_removal_delay_ms

    def _grant_owed(
        self, node: str, session: Session, machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Grant the lease a node asked for, once it acts on the revision of that moment."""
        owed = session.owed
        if owed is None or session.revision < owed.revision:
            return []
        session.owed = None
        settings = self.settings
        session.expires_ms = now_ms + settings.session_lease_ms + settings.clock_drift_ms
        self.holders[node, session.incarnation] = session.expires_ms
        loads = self._loads_for(session.load, machine, now_ms)
        revision = owed.revision
        ack = HeartbeatAck(owed.sent_ms, settings.session_lease_ms, revision, loads)
        return [Send(node, ack)]

    def _loads_for(
        self, receiver: NodeLoad, machine: StateMachine, now_ms: Millis
    ) -> list[NodeLoad]:
        """Return the nodes that callers may be sent to: those that missed no two heartbeats.

        A dead node thereby leaves the directory before its lease has run out. The list is bounded:
        nodes that hold a replica of the log come first, since they keep limits for all, then those
        of the receiver's data centre.
        """
        if len(self.by_node) <= self.settings.directory_nodes:
            return self._responsive_loads(now_ms)
        data_centre = receiver.address.data_centre
        kept = self.kept_loads.get(data_centre)
        if kept is None or now_ms >= kept.until_ms:
            # Sorting for each heartbeat would cost a leader of many nodes most of its time.
            until_ms = now_ms + self.settings.heartbeat_interval_ms
            kept = KeptLoads(until_ms, self._bounded_loads(data_centre, machine, now_ms))
            self.kept_loads[data_centre] = kept
        return kept.loads

    def _responsive_loads(self, now_ms: Millis) -> list[NodeLoad]:
        silence_ms = MISSED_HEARTBEATS * self.settings.heartbeat_interval_ms
        oldest_ms = now_ms - silence_ms
        heard = {
            node: item.load for node, item in self.by_node.items() if item.heard_ms >= oldest_ms
        }
        if now_ms < self.since_ms + silence_ms:
            heard = self.assumed | heard
        return list(heard.values())

    def _bounded_loads(
        self, data_centre: str, machine: StateMachine, now_ms: Millis
    ) -> list[NodeLoad]:
        voters = set(machine.view.voters)

        def order(load: NodeLoad) -> tuple[bool, bool, str]:
            address = load.address
            return address.node not in voters, address.data_centre != data_centre, address.node

        loads = sorted(self._responsive_loads(now_ms), key=order)
        return loads[: self.settings.directory_nodes]

    def _bring_up_to_date(self, node: str, revision: int, machine: StateMachine) -> list[Effect]:
        if revision >= machine.view.revision:
            return []
        updates = machine.updates_since(revision)
        if updates is None:
            return [Send(node, ViewSnapshot(machine.view.to_plain()))]
        return [Send(node, ViewDelta(revision, updates))]
