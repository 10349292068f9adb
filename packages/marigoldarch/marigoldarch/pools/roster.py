"""The life of targets and permits: joining, renewal, failure, expiry, and what they hold."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

from marigoldarch.effects import Effect, Record, ReleaseMemory, Send
from marigoldarch.messages import PermitWithdrawn
from marigoldarch.pools.fleet import REPORT_LAG_MS, Fleet, Target
from marigoldarch.pools.health import PoolHealth
from marigoldarch.pools.orders import OrderTracker
from marigoldarch.pools.reconcile import Reconciler
from marigoldarch.pools.recovery import ReleaseScope
from marigoldarch.targets import is_impostor

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
"""A permit is used within 5 s of its grant or never, and listed a second later."""

WITHDRAW_INTERVAL_MS: Millis = 500.0
DEADLINE_SLACK_MS: Millis = 15_000.0
"""How long after its request's deadline a permit is still taken for live."""

REPLACED_LIMIT = 8
UNKNOWN_LIMIT = 1024


class Roster:
    """The targets and permits of one scheduler, in step with each other."""

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
        self._pool = pool
        self._fence = fence
        self._settings = settings
        self._durations = durations
        self._fleet = fleet
        self._permits = permits
        self._prefix_cache = prefix_cache
        self._lane_balancer = lane_balancer
        self._reconciler = Reconciler(fence)
        self._replaced: dict[str, deque[str]] = {}
        self._expiries: list[tuple[Millis, str]] = []
        self._deadlines: list[tuple[Millis, PermitId]] = []
        self._withdrawn: dict[PermitId, Permit] = {}
        self._unknown: dict[PermitId, Millis] = {}
        self._missing_since: dict[str, Millis] = {}

    def report(
        self, announcement: Announcement, now_ms: Millis, release_scope: ReleaseScope
    ) -> list[Effect]:
        """Take an announcement, and release the orphans in it that may be."""
        effects: list[Effect] = []
        target = self._fleet.find(announcement.target)
        if announcement.incarnation in self._replaced.get(announcement.target, ()):
            return []
        expires_ms = now_ms + announcement.ttl_ms
        if target is not None and is_impostor(target.announcement, announcement):
            return [Record("identity_conflict", {"target": announcement.target})]
        if target is not None and target.announcement.incarnation != announcement.incarnation:
            effects += self._replace(target, now_ms)
            target = None
        if target is None:
            effects += self._join(announcement, expires_ms)
        else:
            target.expires_ms = expires_ms
            self._fleet.update_announcement(target, announcement)
        self._take_load(self._fleet[announcement.target], now_ms)
        if release_scope is not ReleaseScope.NONE and announcement.holdings is not None:
            effects += self._release_orphans(announcement, release_scope, now_ms)
        return effects

    def add(self, permit: Permit, prefill_tokens: int, now_ms: Millis) -> None:
        """Account for a live permit that prefills `prefill_tokens` on each of its targets."""
        self._permits.add(permit)
        heapq.heappush(self._deadlines, (permit.deadline_ms + DEADLINE_SLACK_MS, permit.permit_id))
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

    def drop(self, permit: Permit, now_ms: Millis) -> None:
        """End a permit and give its memory back, and the prefill that it did not come to."""
        unused_ms = min(permit.prefill_work_ms, max(0.0, permit.prefill_ends_ms - now_ms))
        self._permits.remove(permit.permit_id)
        self._withdrawn.pop(permit.permit_id, None)
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is not None and permit.permit_id in target.permits:
                target.add_work(permit.lane, -unused_ms, now_ms)
                self._fleet.return_memory(target, permit.permit_id)

    def unlisted(self, node: str, listed: set[PermitId], now_ms: Millis) -> list[Permit]:
        """Return the permits that a node no longer uses, as its list leaves them out."""
        return [
            permit
            for permit in self._permits.of_node(node)
            if permit.permit_id not in listed and now_ms >= permit.granted_ms + UNLISTED_GRACE_MS
        ]

    def note_unknown(self, permits: list[PermitId], now_ms: Millis) -> None:
        """Spare permits that an entry uses although their full listing was lost."""
        for permit in permits:
            self._unknown[permit] = now_ms
        if len(self._unknown) > UNKNOWN_LIMIT:
            oldest_ms = now_ms - UNLISTED_GRACE_MS
            self._unknown = {
                permit: at_ms for permit, at_ms in self._unknown.items() if at_ms > oldest_ms
            }

    def note_nodes(self, nodes: frozenset[str], now_ms: Millis) -> None:
        """Note which entry nodes are alive."""
        for node in self._permits.nodes:
            if node not in nodes:
                self._missing_since.setdefault(node, now_ms)
        for node in [node for node in self._missing_since if node in nodes]:
            del self._missing_since[node]

    def note_success(self, permit: Permit) -> list[Effect]:
        """Note that a permit's targets served it, or at least did not fail it."""
        effects: list[Effect] = []
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is not None and self.health.note_success(target):
                effects.append(Record("target_restored", {"target": target.name}))
        return effects

    def note_failure(self, permit: Permit, name: str, now_ms: Millis) -> list[Effect]:
        """Note that a target failed a permit."""
        target = self._fleet.find(name)
        is_meant = any(
            target is not None
            and (address.target, address.incarnation) == (name, target.announcement.incarnation)
            for address in permit.targets
        )
        if not is_meant or not self.health.note_failure(target, now_ms):
            return []
        return [Record("target_set_aside", {"target": name})]

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets and permits, repeat withdrawals, and send due orders."""
        effects = self._expire_targets(now_ms)
        effects += self._expire_permits(now_ms)
        self.health.tick(now_ms)
        moved = self._lane_balancer.rebalance(self._fleet, now_ms)
        if moved is not None:
            fields = {"target": moved.name, "lane": str(moved.lane)}
            effects.append(Record("target_lane", fields))
        return effects + self._repeat_withdrawals(now_ms) + self.orders.tick(now_ms)

    def withdraw(self, permit: Permit, now_ms: Millis) -> list[Effect]:
        """Take a permit back, and repeat that until its entry releases it.

        Its memory counts as used until then.
        """
        self._withdrawn[permit.permit_id] = permit
        permit.withdrawn_ms = now_ms
        item = permit.item
        message = PermitWithdrawn(self._pool, item.request_id, item.attempt, permit.permit_id)
        fields = {"request": item.request_id, "permit": str(permit.permit_id)}
        return [Record("permit_withdrawn", fields), Send(permit.node, message)]

    def _join(self, announcement: Announcement, expires_ms: Millis) -> list[Effect]:
        target = Target(announcement, expires_ms)
        self._lane_balancer.assign(target, len(self._fleet))
        self._fleet.add(target)
        heapq.heappush(self._expiries, (expires_ms, target.name))
        for permit in self._permits.of_target(target.name):
            if target.address in permit.targets:
                self._fleet.claim_memory(target, permit)
        return [Record("target_joined", {"target": target.name})]

    def _replace(self, target: Target, now_ms: Millis) -> list[Effect]:
        """Forget an earlier run of a target: its memory is gone, and so is all that ran there."""
        replaced = self._replaced.setdefault(target.name, deque(maxlen=REPLACED_LIMIT))
        replaced.append(target.announcement.incarnation)
        lost = [permit for permit in target.permits.values() if permit.withdrawn_ms is None]
        self._remove(target)
        effects: list[Effect] = [Record("target_restarted", {"target": target.name})]
        for permit in lost:
            if permit.item.model:
                effects += self.withdraw(permit, now_ms)
        return effects

    def _remove(self, target: Target) -> None:
        self._fleet.remove(target.name)
        self._lane_balancer.forget(target.name)
        self.health.forget(target.name)
        self._prefix_cache.forget_target(target.name)
        self._reconciler.forget(target.name)

    def _take_load(self, target: Target, now_ms: Millis) -> None:
        """Correct the estimate of granted prefill by what the target reports as still to do."""
        pending = target.announcement.load.prefill_tokens
        if pending is None:
            return
        recent = target.recent_prefill_grants
        while recent and recent[0][0] < now_ms - REPORT_LAG_MS:
            recent.popleft()
        unseen = sum(tokens for _, tokens in recent)
        lowest_ms = now_ms + self._durations.prefill_ms(pending)
        highest_ms = lowest_ms + self._durations.prefill_ms(unseen)
        target.clamp_busy_until(lowest_ms, highest_ms)
        self._fleet.reindex(target)

    def _release_orphans(
        self, announcement: Announcement, release_scope: ReleaseScope, now_ms: Millis
    ) -> list[Effect]:
        target = self._fleet[announcement.target]
        found = self._reconciler.check(
            target.name,
            announcement.holdings,
            lambda permit: self._is_live(permit, now_ms),
            now_ms,
        )
        effects: list[Effect] = [
            ReleaseMemory(self._pool, target.address, permit)
            for permit in found.orphans
            if release_scope is ReleaseScope.ALL or permit.epoch == self._fence
        ]
        if found.unreadable:
            fields = {"target": target.name, "count": found.unreadable}
            effects.append(Record("holdings_unreadable", fields))
        return effects

    def _is_live(self, permit: PermitId, now_ms: Millis) -> bool:
        if permit in self._permits:
            return True
        listed_ms = self._unknown.get(permit)
        return listed_ms is not None and now_ms < listed_ms + UNLISTED_GRACE_MS

    def _expire_targets(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, name = heapq.heappop(self._expiries)
            target = self._fleet.find(name)
            if target is None:
                continue
            if target.expires_ms > now_ms:
                heapq.heappush(self._expiries, (target.expires_ms, name))
                continue
            effects.append(Record("target_expired", {"target": name}))
            gangs = [held for held in target.permits.values() if len(held.targets) > 1]
            self._remove(target)
            for permit in gangs:
                if permit.withdrawn_ms is None:
                    effects += self.withdraw(permit, now_ms)
        return effects

    def _expire_permits(self, now_ms: Millis) -> list[Effect]:
        lost: list[Permit] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            permit = self._permits.find(heapq.heappop(self._deadlines)[1])
            if permit is not None:
                lost.append(permit)
        for node, since_ms in list(self._missing_since.items()):
            if now_ms >= since_ms + self._settings.permit_silence_ms:
                del self._missing_since[node]
                lost += self._permits.of_node(node)
        for permit in lost:
            self.drop(permit, now_ms)
        return [Record("permit_expired", {"permit": str(permit.permit_id)}) for permit in lost]

    def _repeat_withdrawals(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        for permit in list(self._withdrawn.values()):
            if now_ms >= permit.withdrawn_ms + WITHDRAW_INTERVAL_MS:
                effects += self.withdraw(permit, now_ms)
        return effects
