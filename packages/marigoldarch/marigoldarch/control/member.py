"""A node's side of membership: its session, its configuration lease and its view."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.view import ClusterView
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import (
    Heartbeat,
    HeartbeatAck,
    NodeLeaving,
    NodeLoad,
    NotLeader,
    PoolRelinquished,
    ViewAck,
    ViewDelta,
    ViewSnapshot,
)
from marigoldarch.settings import CoreSettings


class Member:
    """Hold the lease under which this node may act, and the view it acts on."""

    def __init__(self, settings: CoreSettings, replica_id: str = "") -> None:
        self._settings = settings
        self._replica_id = replica_id
        self._view = ClusterView()
        self._lease_until_ms: Millis = float("-inf")
        self._leader = ""
        self._voter_turn = 0
        self._heartbeat_due_ms: Millis = 0.0
        self._is_answered = True
        self._sent_ms: Millis = 0.0
        self._nodes: dict[str, NodeLoad] = {}
        self._wanted_pools: set[PoolId] = set()
        self._relinquished: dict[PoolId, int] = {}
        self._has_left = False

    @property
    def view(self) -> ClusterView:
        """Return the view this node acts on."""
        return self._view

    @property
    def leader(self) -> str:
        """Return the voter that control messages go to."""
        voters = self._view.voters or self._settings.voters
        return self._leader or voters[self._voter_turn % len(voters)]

    @property
    def lease_until_ms(self) -> Millis:
        """Return when the configuration lease runs out."""
        return self._lease_until_ms

    @property
    def nodes(self) -> dict[str, NodeLoad]:
        """Return the live nodes by name, as last told by the leader."""
        return self._nodes

    def has_lease(self, now_ms: Millis) -> bool:
        """Return whether this node may act on its view; checked at the moment of acting."""
        return now_ms < self._lease_until_ms

    def holds_pool(self, pool: PoolId, now_ms: Millis) -> bool:
        """Return whether this process is the scheduler of `pool`."""
        assignment = self._view.assignments.get(pool)
        is_holder = assignment is not None and (assignment.node, assignment.incarnation) == (
            self._settings.node,
            self._settings.incarnation,
        )
        if not is_holder or self._relinquished.get(pool) == assignment.fence:
            return False
        return self.has_lease(now_ms)

    def want_pool(self, pool: PoolId) -> None:
        """Report a pool that has targets; the leader assigns it a scheduler."""
        self._wanted_pools.add(pool)

    def relinquish(self, pool: PoolId) -> list[Effect]:
        """Stop acting on a held pool for good, at once, and let the leader assign it anew.

        The message is repeated with every heartbeat until another assignment is seen.
        """
        assignment = self._view.assignments.get(pool)
        if assignment is None or assignment.node != self._settings.node:
            return []
        if assignment.incarnation != self._settings.incarnation:
            return []
        self._relinquished[pool] = assignment.fence
        return [Send(self.leader, PoolRelinquished(pool, assignment.fence))]

    def held_pools(self) -> list[PoolId]:
        """Return the pools that are assigned to this process and not relinquished."""
        return [
            pool
            for pool, assignment in self._view.assignments.items()
            if (assignment.node, assignment.incarnation)
            == (self._settings.node, self._settings.incarnation)
            and self._relinquished.get(pool) != assignment.fence
        ]

    def leave(self) -> list[Effect]:
        """Give up the lease for good, at once, and tell the leader; for the end of a stop."""
        self._has_left = True
        self._lease_until_ms = float("-inf")
        return [Send(self.leader, NodeLeaving(self._settings.incarnation))]

    def tick(self, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
        """Send a heartbeat when one is due."""
        if self._has_left:
            return []
        is_overdue = not self._is_answered and now_ms >= self._sent_ms + self._retry_ms
        if is_overdue:
            self.forget_leader()
        elif now_ms < self._heartbeat_due_ms:
            return []
        return self._send_heartbeat(now_ms, active, is_leaving)

    def forget_leader(self) -> None:
        """Try the next voter."""
        self._leader = ""
        self._voter_turn += 1
        self._is_answered = True

    def on_not_leader(self, message: NotLeader) -> None:
        """Follow a hint to the leader, or try the next voter."""
        if message.leader:
            self._leader = message.leader
            self._heartbeat_due_ms = float("-inf")
        else:
            self.forget_leader()
            self._heartbeat_due_ms = self._sent_ms + self._settings.control.join_retry_ms

    def on_heartbeat_ack(self, sender: str, ack: HeartbeatAck, now_ms: Millis) -> list[Effect]:
        """Take the lease, if the view is as new as the leader's was."""
        self._leader = sender
        self._is_answered = True
        if ack.nodes:
            self._nodes = {load.address.node: load for load in ack.nodes}
        if ack.lease_ms <= 0:
            self._heartbeat_due_ms = now_ms + self._settings.control.join_retry_ms
            return []
        if self._has_left or self._view.revision < ack.revision:
            return []
        had_lease = self.has_lease(now_ms)
        drift_ms = self._settings.control.clock_drift_ms
        until_ms = ack.sent_ms + ack.lease_ms - drift_ms
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        if had_lease or not self.has_lease(now_ms):
            return []
        return [RecordEvent("lease_gained", {"revision": self._view.revision})]

    def on_view_delta(self, sender: str, delta: ViewDelta) -> list[Effect]:
        """Apply updates that follow the own view."""
        if delta.base_revision > self._view.revision:
            return []
        before = self._view.revision
        for update in delta.updates:
            self._view.apply(update)
        return self._acknowledge(sender, before)

    def on_view_snapshot(self, sender: str, snapshot: ViewSnapshot) -> list[Effect]:
        """Replace the view by a newer one."""
        view = ClusterView.from_plain(snapshot.view)
        before = self._view.revision
        if view.revision > before:
            self._view = view
        return self._acknowledge(sender, before)

    def _acknowledge(self, sender: str, before: int) -> list[Effect]:
        revision = self._view.revision
        effects: list[Effect] = [Send(sender, ViewAck(revision))]
        if revision > before:
            effects.append(RecordEvent("revision", {"revision": revision}))
        return effects

    @property
    def _retry_ms(self) -> Millis:
        return self._settings.control.heartbeat_retry_ms

    def _send_heartbeat(self, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
        self._heartbeat_due_ms = now_ms + self._settings.control.heartbeat_interval_ms
        self._is_answered = False
        self._sent_ms = now_ms
        heartbeat = Heartbeat(
            NodeLoad(self._settings.address, active, is_leaving),
            self._settings.incarnation,
            self._view.revision,
            sorted(pool for pool in self._wanted_pools if pool not in self._view.assignments),
            now_ms,
            self._replica_id,
        )
        return [Send(self.leader, heartbeat), *self._repeat_relinquished()]

    def _repeat_relinquished(self) -> list[Effect]:
        assignments = self._view.assignments
        self._relinquished = {
            pool: fence
            for pool, fence in self._relinquished.items()
            if pool in assignments and assignments[pool].fence == fence
        }
        return [
            Send(self.leader, PoolRelinquished(pool, fence))
            for pool, fence in self._relinquished.items()
        ]
