"""A node's side of its session with the leader: heartbeats, session lease and view."""

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
    """A node's session: the lease under which the node may act, and its cluster view."""

    def __init__(self, settings: CoreSettings, replica_id: str = "") -> None:
        self._settings = settings
        self._replica_id = replica_id
        self._view = ClusterView()
        self._lease_until_ms: Millis = float("-inf")
        self._leader = ""
        self._next_voter = 0
        self._heartbeat_due_ms: Millis = 0.0
        self._is_heartbeat_answered = True
        self._heartbeat_sent_ms: Millis = 0.0
        self._nodes: dict[str, NodeLoad] = {}
        self._wanted_pools: set[PoolId] = set()
        self._relinquished_fences: dict[PoolId, int] = {}
        self._has_left = False

    @property
    def view(self) -> ClusterView:
        """Return the cluster view."""
        return self._view

    @property
    def leader(self) -> str:
        """Return the node that control messages go to: the leader, or a voter if it is unknown."""
        voters = self._view.voters or self._settings.voters
        return self._leader or voters[self._next_voter % len(voters)]

    @property
    def lease_until_ms(self) -> Millis:
        """Return when the session lease runs out, in milliseconds."""
        return self._lease_until_ms

    @property
    def nodes(self) -> dict[str, NodeLoad]:
        """Return the live nodes by name, as last reported by the leader."""
        return self._nodes

    def has_lease(self, now_ms: Millis) -> bool:
        """Return whether the session lease is valid; to be checked before each action."""
        return now_ms < self._lease_until_ms

    def holds_pool(self, pool: PoolId, now_ms: Millis) -> bool:
        """Return whether this process may act as the scheduler of `pool`."""
        assignment = self._view.assignments.get(pool)
        is_holder = assignment is not None and (assignment.node, assignment.incarnation) == (
            self._settings.node,
            self._settings.incarnation,
        )
        if not is_holder or self._relinquished_fences.get(pool) == assignment.fence:
            return False
        return self.has_lease(now_ms)

    def want_pool(self, pool: PoolId) -> None:
        """Report a pool that has targets with each heartbeat, until it has a scheduler."""
        self._wanted_pools.add(pool)

    def relinquish(self, pool: PoolId) -> list[Effect]:
        """Stop acting as the scheduler of a pool at once, and let the leader reassign it.

        The message is resent with every heartbeat until the view has another assignment.
        """
        assignment = self._view.assignments.get(pool)
        if assignment is None or assignment.node != self._settings.node:
            return []
        if assignment.incarnation != self._settings.incarnation:
            return []
        self._relinquished_fences[pool] = assignment.fence
        return [Send(self.leader, PoolRelinquished(pool, assignment.fence))]

    def held_pools(self) -> list[PoolId]:
        """Return the pools that are assigned to this process and not relinquished."""
        return [
            pool
            for pool, assignment in self._view.assignments.items()
            if (assignment.node, assignment.incarnation)
            == (self._settings.node, self._settings.incarnation)
            and self._relinquished_fences.get(pool) != assignment.fence
        ]

    def leave(self) -> list[Effect]:
        """Give up the lease for good and tell the leader; the last step of a planned stop."""
        self._has_left = True
        self._lease_until_ms = float("-inf")
        return [Send(self.leader, NodeLeaving(self._settings.incarnation))]

    def tick(self, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
        """Send a heartbeat if one is due; try the next voter if the last one was not answered.

        `active` is the number of requests in progress.
        """
        if self._has_left:
            return []
        is_overdue = (
            not self._is_heartbeat_answered
            and now_ms >= self._heartbeat_sent_ms + self._heartbeat_retry_ms
        )
        if is_overdue:
            self.try_next_voter()
        elif now_ms < self._heartbeat_due_ms:
            return []
        return self._send_heartbeat(now_ms, active, is_leaving)

    def try_next_voter(self) -> None:
        """Forget the leader and send control messages to the next voter."""
        self._leader = ""
        self._next_voter += 1
        self._is_heartbeat_answered = True

    def on_not_leader(self, message: NotLeader) -> None:
        """Use the leader named in the message, or try the next voter if it names none."""
        if message.leader:
            self._leader = message.leader
            self._heartbeat_due_ms = float("-inf")
        else:
            self.try_next_voter()
            self._heartbeat_due_ms = self._heartbeat_sent_ms + self._settings.control.join_retry_ms

    def on_heartbeat_ack(self, sender: str, ack: HeartbeatAck, now_ms: Millis) -> list[Effect]:
        """Accept the granted lease, if the view has the revision that the grant requires."""
        self._leader = sender
        self._is_heartbeat_answered = True
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
        """Apply a delta, unless it starts after the revision of the view."""
        if delta.base_revision > self._view.revision:
            return []
        previous_revision = self._view.revision
        for update in delta.updates:
            self._view.apply(update)
        return self._acknowledge(sender, previous_revision)

    def on_view_snapshot(self, sender: str, snapshot: ViewSnapshot) -> list[Effect]:
        """Replace the view with the snapshot, if the snapshot is newer."""
        view = ClusterView.from_plain(snapshot.view)
        previous_revision = self._view.revision
        if view.revision > previous_revision:
            self._view = view
        return self._acknowledge(sender, previous_revision)

    def _acknowledge(self, sender: str, previous_revision: int) -> list[Effect]:
        revision = self._view.revision
        effects: list[Effect] = [Send(sender, ViewAck(revision))]
        if revision > previous_revision:
            effects.append(RecordEvent("revision", {"revision": revision}))
        return effects

    @property
    def _heartbeat_retry_ms(self) -> Millis:
        return self._settings.control.heartbeat_retry_ms

    def _send_heartbeat(self, now_ms: Millis, active: int, is_leaving: bool) -> list[Effect]:
        self._heartbeat_due_ms = now_ms + self._settings.control.heartbeat_interval_ms
        self._is_heartbeat_answered = False
        self._heartbeat_sent_ms = now_ms
        heartbeat = Heartbeat(
            NodeLoad(self._settings.address, active, is_leaving),
            self._settings.incarnation,
            self._view.revision,
            sorted(pool for pool in self._wanted_pools if pool not in self._view.assignments),
            now_ms,
            self._replica_id,
        )
        return [Send(self.leader, heartbeat), *self._resend_relinquished()]

    def _resend_relinquished(self) -> list[Effect]:
        assignments = self._view.assignments
        self._relinquished_fences = {
            pool: fence
            for pool, fence in self._relinquished_fences.items()
            if pool in assignments and assignments[pool].fence == fence
        }
        return [
            Send(self.leader, PoolRelinquished(pool, fence))
            for pool, fence in self._relinquished_fences.items()
        ]
