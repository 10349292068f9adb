"""The leader's side of sessions: leases, view updates, in-force tracking and pool assignment."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.control.commands import AssignPool
from marigoldarch.control.machine import StateMachine
from marigoldarch.effects import Effect, Record, Send
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


@dataclass
class Session:
    """A node's session as the leader sees it; it acts on no lease beyond `expires_ms`."""

    load: NodeLoad
    incarnation: str
    revision: int
    expires_ms: Millis
    heard_ms: Millis


@dataclass
class Sessions:
    """All sessions of one leader's term.

    `assumed` holds the nodes that the new leader knew of; it offers them to callers until they have
    had time to send it a heartbeat.
    """

    settings: ControlSettings
    since_ms: Millis
    assumed: dict[str, NodeLoad] = field(default_factory=dict)
    by_node: dict[str, Session] = field(default_factory=dict)
    wanted_pools: set[PoolId] = field(default_factory=set)
    holders: dict[tuple[str, str], Millis] = field(default_factory=dict)
    waits: dict[str, set[int]] = field(default_factory=dict)
    proposed_pools: set[PoolId] = field(default_factory=set)

    def on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, machine: StateMachine, now_ms: Millis
    ) -> list[Effect]:
        """Renew a session and answer with the lease and missing view updates."""
        expires_ms = now_ms + self.settings.session_lease_ms + self.settings.clock_drift_ms
        effects: list[Effect] = []
        if sender not in self.by_node:
            effects.append(Record("session_opened", {"node": sender}))
        self.by_node[sender] = Session(
            heartbeat.load, heartbeat.incarnation, heartbeat.revision, expires_ms, now_ms
        )
        self.holders[sender, heartbeat.incarnation] = expires_ms
        self.wanted_pools.update(PoolId(*pool) for pool in heartbeat.wanted_pools)
        effects += self._bring_up_to_date(sender, heartbeat.revision, machine)
        ack = HeartbeatAck(
            heartbeat.sent_ms,
            self.settings.session_lease_ms,
            machine.view.revision,
            self._responsive_nodes(now_ms),
        )
        return [*effects, Send(sender, ack)]

    def on_view_ack(self, sender: str, revision: int, now_ms: Millis) -> list[Effect]:
        """Note the revision that a node acts on."""
        session = self.by_node.get(sender)
        if session is not None:
            session.revision = max(session.revision, revision)
        return self.answer_waits(now_ms)

    def on_view_changed(self, machine: StateMachine) -> list[Effect]:
        """Push the newest updates to every node."""
        effects: list[Effect] = []
        for node, session in self.by_node.items():
            effects += self._bring_up_to_date(node, session.revision, machine)
        return effects

    def on_await(self, sender: str, revision: int, now_ms: Millis) -> list[Effect]:
        """Remember who waits for a revision to be in force."""
        self.waits.setdefault(sender, set()).add(revision)
        return self.answer_waits(now_ms)

    def answer_waits(self, now_ms: Millis) -> list[Effect]:
        """Tell waiting nodes which of their revisions are in force."""
        in_force = self._in_force_revision(now_ms)
        effects: list[Effect] = []
        for node, revisions in self.waits.items():
            for revision in [wanted for wanted in revisions if wanted <= in_force]:
                revisions.discard(revision)
                effects.append(Send(node, InForce(revision)))
        return effects

    def expire(self, now_ms: Millis) -> list[Effect]:
        """Drop sessions whose lease has run out."""
        expired = [node for node, held in self.by_node.items() if held.expires_ms <= now_ms]
        for node in expired:
            del self.by_node[node]
        return [Record("session_expired", {"node": node}) for node in expired]

    def due_assignments(self, machine: StateMachine, now_ms: Millis) -> list[AssignPool]:
        """Return assignments for pools without a live scheduler."""
        pools = self.wanted_pools | set(machine.view.assignments)
        due = [pool for pool in sorted(pools) if self._needs_scheduler(pool, machine, now_ms)]
        commands = []
        for pool in due:
            node = self._choose_node(pool, machine, [command.node for command in commands])
            if node is None:
                break
            self.proposed_pools.add(pool)
            commands.append(AssignPool(pool, node, self.by_node[node].incarnation))
        return commands

    def _responsive_nodes(self, now_ms: Millis) -> list[NodeLoad]:
        """Return the nodes that callers may be sent to: those that missed no two heartbeats.

        A dead node thereby leaves the directory before its lease has run out.
        """
        silence_ms = MISSED_HEARTBEATS * self.settings.heartbeat_interval_ms
        oldest_ms = now_ms - silence_ms
        heard = {
            node: item.load for node, item in self.by_node.items() if item.heard_ms >= oldest_ms
        }
        if now_ms < self.since_ms + silence_ms:
            heard = self.assumed | heard
        return list(heard.values())

    def _bring_up_to_date(self, node: str, revision: int, machine: StateMachine) -> list[Effect]:
        if revision >= machine.view.revision:
            return []
        updates = machine.updates_since(revision)
        if updates is None:
            return [Send(node, ViewSnapshot(machine.view.to_plain()))]
        return [Send(node, ViewDelta(revision, updates))]

    def _in_force_revision(self, now_ms: Millis) -> int:
        """Return the highest revision that no lease contradicts.

        Leases of an earlier leader may still run for one lease after this leader's start.
        """
        settings = self.settings
        if now_ms < self.since_ms + settings.session_lease_ms + settings.clock_drift_ms:
            return 0
        revisions = [s.revision for s in self.by_node.values() if s.expires_ms > now_ms]
        return min(revisions, default=0)

    def _needs_scheduler(self, pool: PoolId, machine: StateMachine, now_ms: Millis) -> bool:
        if pool in self.proposed_pools:
            return False
        assignment = machine.view.assignments.get(pool)
        if assignment is None:
            return True
        session = self.by_node.get(assignment.node)
        if session is not None and session.incarnation == assignment.incarnation:
            return False
        settings = self.settings
        earliest_ms = self.since_ms + settings.session_lease_ms + settings.clock_drift_ms
        held_until_ms = self.holders.get((assignment.node, assignment.incarnation), 0.0)
        return now_ms >= max(earliest_ms, held_until_ms)

    def _choose_node(
        self, pool: PoolId, machine: StateMachine, just_chosen: list[str]
    ) -> str | None:
        counts = dict.fromkeys(self.by_node, 0)
        for assignment in machine.view.assignments.values():
            if assignment.node in counts:
                counts[assignment.node] += 1
        for node in just_chosen:
            counts[node] += 1
        staying = [node for node, held in self.by_node.items() if not held.load.is_leaving]
        if not staying:
            return None

        def order(node: str) -> tuple[bool, int, str]:
            is_remote = self.by_node[node].load.address.data_centre != pool.data_centre
            return is_remote, counts[node], node

        return min(staying, key=order)
