"""Registration, renewal, failure and expiry of targets and permits of one pool."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

from marigoldarch.effects import Effect, RecordEvent, ReleaseMemory, Send
from marigoldarch.messages import PermitWithdrawn
from marigoldarch.pools.crash_watch import CrashWatch
from marigoldarch.pools.fleet import REPORT_LAG_MS, Fleet, Target
from marigoldarch.pools.health import PoolHealth
from marigoldarch.pools.orders import OrderTracker
from marigoldarch.pools.reconcile import Reconciler
from marigoldarch.pools.recovery import ReleaseScope
from marigoldarch.pools.target_limits import PoolLimits
from marigoldarch.targets import has_identity_conflict

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.identifiers import PermitId, PoolId
    from marigoldarch.pools.affinity import PrefixCacheIndex
    from marigoldarch.pools.estimates import DurationEstimator
    from marigoldarch.pools.lane_balancer import LaneBalancer
    from marigoldarch.pools.permits import Permit, PermitTable
    from marigoldarch.settings import PoolSettings
    from marigoldarch.targets import Announcement

UNLISTED_GRACE_MS: Millis = 6_500.0
"""The age from which a permit that its entry node leaves out of a listing is ended.

An entry node uses a permit within 5 s of its grant or never, and lists it within another second.
"""

WITHDRAWAL_RETRY_MS: Millis = 500.0

PERMIT_EXPIRY_SLACK_MS: Millis = 15_000.0
"""How long after its request's deadline a permit still counts as live."""

REPLACED_INCARNATION_LIMIT = 8
"""How many replaced incarnations are kept per target, to ignore their late announcements."""

UNKNOWN_PERMIT_LIMIT = 1024
"""From how many protected permits on the expired ones are dropped."""


class PoolRegistry:
    """Keeps the targets and permits of one scheduler consistent with each other."""

    def __init__(
        self,
        pool: PoolId,
        fence: int,
        settings: PoolSettings,
        durations: DurationEstimator,
        fleet: Fleet,
        permits: PermitTable,
        prefix_cache: PrefixCacheIndex,
        lane_balancer: LaneBalancer,
        now_ms: Millis,
    ) -> None:
        self.orders = OrderTracker(pool, fence, fleet, settings, now_ms)
        self.health = PoolHealth(fleet, settings)
        self.limits = PoolLimits(fleet)
        self.crash_watch = CrashWatch(fleet, settings)
        self._pool = pool
        self._fence = fence
        self._settings = settings
        self._durations = durations
        self._fleet = fleet
        self._permits = permits
        self._prefix_cache = prefix_cache
        self._lane_balancer = lane_balancer
        self._reconciler = Reconciler(fence)
        self._replaced_incarnations: dict[str, deque[str]] = {}
        self._target_expiries: list[tuple[Millis, str]] = []
        self._permit_expiries: list[tuple[Millis, PermitId]] = []
        self._withdrawn: dict[PermitId, Permit] = {}
        self._unknown_renewed_ms: dict[PermitId, Millis] = {}
        self._missing_since_ms: dict[str, Millis] = {}

    def apply_announcement(
        self, announcement: Announcement, now_ms: Millis, release_scope: ReleaseScope
    ) -> list[Effect]:
        """Register or renew a target, and release the orphaned memory that it reports.

        `release_scope` limits the permits whose memory may be released. Announcements of a replaced
        incarnation are ignored; those of another process under a live target's name are recorded
        as a conflict.
        """
        effects: list[Effect] = []
        target = self._fleet.find(announcement.target)
        if announcement.incarnation in self._replaced_incarnations.get(announcement.target, ()):
            return []
        expires_ms = now_ms + announcement.ttl_ms
        if target is not None and has_identity_conflict(target.announcement, announcement):
            return [RecordEvent("identity_conflict", {"target": announcement.target})]
        if target is not None and target.announcement.incarnation != announcement.incarnation:
            effects += self._replace_incarnation(target, now_ms)
            target = None
        if target is None:
            effects += self._add_target(announcement, expires_ms)
        else:
            target.expires_ms = expires_ms
            self.crash_watch.record_renewal(target.name, now_ms)
            self._fleet.update_announcement(target, announcement)
        self.limits.apply_announcement(self._fleet[announcement.target], now_ms)
        self._apply_load(self._fleet[announcement.target], now_ms)
        if release_scope is not ReleaseScope.NONE and announcement.holdings is not None:
            effects += self._release_orphans(announcement, release_scope, now_ms)
        return effects

    def add_permit(self, permit: Permit, prefill_tokens: int, now_ms: Millis) -> None:
        """Account for a live permit that prefills `prefill_tokens` on each of its targets.

        Targets that have restarted since the grant are left out; on a target that is still unknown,
        the memory is claimed once it registers.
        """
        self._permits.add(permit)
        heapq.heappush(
            self._permit_expiries, (permit.deadline_ms + PERMIT_EXPIRY_SLACK_MS, permit.permit_id)
        )
        work_ms = self._durations.prefill_ms(prefill_tokens)
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is None or target.announcement.incarnation != address.incarnation:
                continue
            permit.prefill_work_ms = work_ms
            target.add_work(permit.lane, work_ms, now_ms)
            if prefill_tokens:
                target.recent_prefill_grants.append((now_ms, prefill_tokens))
            self._fleet.claim_memory(target, permit)
            self.limits.record_grant(target, now_ms)

    def end_permit(self, permit: Permit, now_ms: Millis) -> None:
        """End a permit; return its memory and the prefill time that it has not used."""
        unused_ms = min(permit.prefill_work_ms, max(0.0, permit.prefill_ends_ms - now_ms))
        self._permits.remove(permit.permit_id)
        self._withdrawn.pop(permit.permit_id, None)
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is not None and permit.permit_id in target.permits:
                target.add_work(permit.lane, -unused_ms, now_ms)
                self._fleet.return_memory(target, permit.permit_id)

    def unlisted_permits(self, node: str, listed: set[PermitId], now_ms: Millis) -> list[Permit]:
        """Return the permits of an entry node that its listing leaves out, but for recent ones."""
        return [
            permit
            for permit in self._permits.of_node(node)
            if permit.permit_id not in listed and now_ms >= permit.granted_ms + UNLISTED_GRACE_MS
        ]

    def protect_unknown_permits(self, permits: list[PermitId], now_ms: Millis) -> None:
        """Protect permits that an entry node renews although its full listing of them was lost.

        Memory held for them is not released for `UNLISTED_GRACE_MS`.
        """
        for permit in permits:
            self._unknown_renewed_ms[permit] = now_ms
        if len(self._unknown_renewed_ms) > UNKNOWN_PERMIT_LIMIT:
            oldest_ms = now_ms - UNLISTED_GRACE_MS
            self._unknown_renewed_ms = {
                permit: at_ms
                for permit, at_ms in self._unknown_renewed_ms.items()
                if at_ms > oldest_ms
            }

    def set_live_nodes(self, nodes: frozenset[str], now_ms: Millis) -> None:
        """Set which entry nodes are alive."""
        for node in self._permits.nodes:
            if node not in nodes:
                self._missing_since_ms.setdefault(node, now_ms)
        for node in [node for node in self._missing_since_ms if node in nodes]:
            del self._missing_since_ms[node]

    def record_success(self, permit: Permit) -> list[Effect]:
        """Record that none of a permit's targets failed it."""
        effects: list[Effect] = []
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is not None and self.health.record_success(target):
                effects.append(RecordEvent("target_restored", {"target": target.name}))
        return effects

    def record_failure(self, permit: Permit, name: str, now_ms: Millis) -> list[Effect]:
        """Record that a target failed a permit, if the permit was granted on this incarnation."""
        target = self._fleet.find(name)
        was_granted_there = any(
            target is not None
            and (address.target, address.incarnation) == (name, target.announcement.incarnation)
            for address in permit.targets
        )
        if not was_granted_there or not self.health.record_failure(target, now_ms):
            return []
        return [RecordEvent("target_set_aside", {"target": name})]

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets and permits, rebalance lanes, repeat withdrawals and send due orders."""
        effects = self._expire_targets(now_ms)
        effects += self._expire_permits(now_ms)
        self.health.tick(now_ms)
        self.limits.tick(now_ms)
        self.crash_watch.tick(now_ms)
        reassigned = self._lane_balancer.rebalance(self._fleet, now_ms)
        if reassigned is not None:
            fields = {"target": reassigned.name, "lane": str(reassigned.lane)}
            effects.append(RecordEvent("target_lane", fields))
        return effects + self._repeat_withdrawals(now_ms) + self.orders.tick(now_ms)

    def withdraw(self, permit: Permit, now_ms: Millis) -> list[Effect]:
        """Withdraw a permit, and repeat the withdrawal until its entry node releases the permit.

        Its memory counts as claimed until then.
        """
        self._withdrawn[permit.permit_id] = permit
        permit.withdrawn_ms = now_ms
        item = permit.item
        message = PermitWithdrawn(self._pool, item.request_id, item.attempt, permit.permit_id)
        fields = {"request": item.request_id, "permit": str(permit.permit_id)}
        return [RecordEvent("permit_withdrawn", fields), Send(permit.node, message)]

    def _add_target(self, announcement: Announcement, expires_ms: Millis) -> list[Effect]:
        target = Target(announcement, expires_ms)
        self._lane_balancer.assign(target, len(self._fleet))
        self._fleet.add(target)
        heapq.heappush(self._target_expiries, (expires_ms, target.name))
        for permit in self._permits.of_target(target.name):
            if target.address in permit.targets:
                self._fleet.claim_memory(target, permit)
        return [RecordEvent("target_joined", {"target": target.name})]

    def _replace_incarnation(self, target: Target, now_ms: Millis) -> list[Effect]:
        """Remove a target that has restarted, and withdraw its permits.

        The restart lost its memory and all work that ran there.
        """
        replaced = self._replaced_incarnations.setdefault(
            target.name, deque(maxlen=REPLACED_INCARNATION_LIMIT)
        )
        replaced.append(target.announcement.incarnation)
        affected_permits = [
            permit for permit in target.permits.values() if permit.withdrawn_ms is None
        ]
        effects: list[Effect] = [RecordEvent("target_restarted", {"target": target.name})]
        effects += self.crash_watch.record_end(target)
        self._remove_target(target)
        for permit in affected_permits:
            if permit.item.model:
                effects += self.withdraw(permit, now_ms)
        return effects

    def _remove_target(self, target: Target) -> None:
        self._fleet.remove(target.name)
        self._lane_balancer.forget(target.name)
        self.health.forget(target.name)
        self.limits.forget(target.name)
        self._prefix_cache.forget_target(target.name)
        self._reconciler.forget(target.name)

    def _apply_load(self, target: Target, now_ms: Millis) -> None:
        """Correct the estimate of granted prefill by the pending prefill that the target reports.

        The report may leave out recent grants, so the estimate is only limited to a range.
        """
        pending_tokens = target.announcement.load.prefill_tokens
        if pending_tokens is None:
            return
        recent = target.recent_prefill_grants
        while recent and recent[0][0] < now_ms - REPORT_LAG_MS:
            recent.popleft()
        unreported = sum(tokens for _, tokens in recent)
        lowest_ms = now_ms + self._durations.prefill_ms(pending_tokens)
        highest_ms = lowest_ms + self._durations.prefill_ms(unreported)
        target.clamp_busy_until(lowest_ms, highest_ms)
        self._fleet.reindex(target)

    def _release_orphans(
        self, announcement: Announcement, release_scope: ReleaseScope, now_ms: Millis
    ) -> list[Effect]:
        target = self._fleet[announcement.target]
        result = self._reconciler.check(
            target.name,
            announcement.holdings,
            lambda permit: self._is_live(permit, now_ms),
            now_ms,
        )
        effects: list[Effect] = [
            ReleaseMemory(self._pool, target.address, permit)
            for permit in result.orphans
            if release_scope is ReleaseScope.ALL or permit.epoch == self._fence
        ]
        if result.unreadable:
            fields = {"target": target.name, "count": result.unreadable}
            effects.append(RecordEvent("holdings_unreadable", fields))
        return effects

    def _is_live(self, permit: PermitId, now_ms: Millis) -> bool:
        if permit in self._permits:
            return True
        renewed_ms = self._unknown_renewed_ms.get(permit)
        return renewed_ms is not None and now_ms < renewed_ms + UNLISTED_GRACE_MS

    def _expire_targets(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        while self._target_expiries and self._target_expiries[0][0] <= now_ms:
            _, name = heapq.heappop(self._target_expiries)
            target = self._fleet.find(name)
            if target is None:
                continue
            if target.expires_ms > now_ms:
                heapq.heappush(self._target_expiries, (target.expires_ms, name))
                continue
            effects.append(RecordEvent("target_expired", {"target": name}))
            effects += self.crash_watch.record_end(target)
            gang_permits = [held for held in target.permits.values() if len(held.targets) > 1]
            self._remove_target(target)
            for permit in gang_permits:
                if permit.withdrawn_ms is None:
                    effects += self.withdraw(permit, now_ms)
        return effects

    def _expire_permits(self, now_ms: Millis) -> list[Effect]:
        expired_permits: list[Permit] = []
        while self._permit_expiries and self._permit_expiries[0][0] <= now_ms:
            permit = self._permits.find(heapq.heappop(self._permit_expiries)[1])
            if permit is not None:
                expired_permits.append(permit)
        for node, since_ms in list(self._missing_since_ms.items()):
            if now_ms >= since_ms + self._settings.permit_renewal_timeout_ms:
                del self._missing_since_ms[node]
                expired_permits += self._permits.of_node(node)
        for permit in expired_permits:
            self.end_permit(permit, now_ms)
        return [
            RecordEvent("permit_expired", {"permit": str(permit.permit_id)})
            for permit in expired_permits
        ]

    def _repeat_withdrawals(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        for permit in list(self._withdrawn.values()):
            if now_ms >= permit.withdrawn_ms + WITHDRAWAL_RETRY_MS:
                effects += self.withdraw(permit, now_ms)
        return effects
