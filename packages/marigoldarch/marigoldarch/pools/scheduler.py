"""The scheduler of one pool: queues, permits, and exact accounting of its targets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.effects import Effect, Record, Send
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    CacheReport,
    HeldPermit,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PresentPermits,
)
from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.admission import Admission, Refusal
from marigoldarch.pools.affinity import PrefixCacheIndex
from marigoldarch.pools.estimates import (
    DurationEstimator,
    Lane,
    size_of,
)
from marigoldarch.pools.fair_queue import FairQueue, WaitingRequest
from marigoldarch.pools.fleet import Fleet, Target
from marigoldarch.pools.lane_balancer import LaneBalancer
from marigoldarch.pools.permits import Permit, PermitTable
from marigoldarch.pools.placement import Blocked, Placement
from marigoldarch.pools.preemption import VictimSelector
from marigoldarch.pools.recovery import Recovery
from marigoldarch.pools.registry import PoolRegistry
from marigoldarch.pools.replies import grant_reply, queued_reply, refusal_reply
from marigoldarch.pools.reservations import Reservation, Reservations

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.settings import PoolSettings
    from marigoldarch.targets import Announcement

CANDIDATE_LIMIT = 2
"""How many customers' next items are tried before a lane counts as blocked."""

SINGLE_LANES = (Lane.SHORT, Lane.MEDIUM, Lane.LONG)

FIRST_TARGETS_MS: Millis = 3_500.0
"""How long a new scheduler waits for targets to announce before it refuses for want of them."""

LATE_RETRY_MS: Millis = 1000.0
"""The least time to come back for a request that waited until it was too late."""

STUCK_RETRY_MS: Millis = 20.0
"""How long placement is not tried again while neither targets nor queue have changed."""


class Stuck(NamedTuple):
    """The state in which no next item of a lane could be placed, and until when that counts."""

    capacity_releases: int
    changes: int
    until_ms: Millis


class PoolScheduler:
    """The one authority over a pool, for one fencing number."""

    def __init__(
        self,
        pool: PoolId,
        fence: int,
        settings: PoolSettings,
        ready_ms: Millis,
        created_ms: Millis | None = None,
    ) -> None:
        since_ms = ready_ms if created_ms is None else created_ms
        self.pool = pool
        self.fence = fence
        self.settings = settings
        self.recovery = Recovery(fence, ready_ms, since_ms + settings.permit_silence_ms)
        self.durations = DurationEstimator(settings)
        self.fleet = Fleet()
        self.permits = PermitTable()
        self.prefix_cache = PrefixCacheIndex()
        self.queues = {lane: FairQueue() for lane in Lane}
        self.waiting: OrderedDict[tuple[str, int], WaitingRequest] = OrderedDict()
        self.reservations = Reservations(self.fleet, settings)
        self.lane_balancer = LaneBalancer(settings, since_ms)
        self.registry = PoolRegistry(
            pool,
            fence,
            settings,
            self.durations,
            self.fleet,
            self.permits,
            self.prefix_cache,
            self.lane_balancer,
            since_ms,
        )
        self._placement = Placement(self.fleet, self.prefix_cache, settings, self.durations)
        self._admission = Admission(self.fleet, self.queues, settings, self.durations)
        self._victim_selector = VictimSelector(self.durations)
        self._serial = 0
        self._stuck: dict[Lane, Stuck] = {}
        self._targets_due_ms = ready_ms + FIRST_TARGETS_MS

    @property
    def targets(self) -> list[str]:
        """Return the names of the pool's targets."""
        return [target.name for target in self.fleet]

    def report_target(self, announcement: Announcement, now_ms: Millis) -> list[Effect]:
        """Take an announcement, and release memory that no live permit accounts for."""
        release_scope = self.recovery.release_scope(now_ms)
        effects = self.registry.apply_announcement(announcement, now_ms, release_scope)
        return effects + self._grant(now_ms)

    def report_cache(self, report: CacheReport, now_ms: Millis) -> list[Effect]:
        """Take prefix-cache events of a target."""
        if report.target in self.fleet:
            self.prefix_cache.apply_events(
                report.target, report.sequence, report.stored, report.removed, now_ms
            )
        return []

    def record_command_result(
        self, target: str, command_id: str, *, is_confirmed: bool, now_ms: Millis
    ) -> list[Effect]:
        """Note what a target answered to an order; a release is confirmed by its holdings."""
        self.registry.orders.record_result(target, command_id, is_confirmed=is_confirmed)
        return []

    def request(self, node: str, request: PermitRequest, now_ms: Millis) -> list[Effect]:
        """Queue a request, or refuse it at once; a resent one gets its first answer."""
        item = request.item
        key = (item.request_id, item.attempt)
        held = self.permits.find_by_request(key)
        if held is not None:
            return [] if held.withdrawn_ms is not None else [grant_reply(self.pool, held, item)]
        waiting = self.waiting.get(key)
        if waiting is not None:
            waiting.item = item
            waiting.last_asked_ms = now_ms
            self.waiting.move_to_end(key)
            return [queued_reply(self.pool, waiting, self._wait_ms(waiting, now_ms))]
        waiting = self._admission.new_waiting(node, item, now_ms)
        engine_count = self._admission.engines_needed(item, waiting.lane)
        has_all_targets = now_ms >= self._targets_due_ms
        refusal = self._admission.check(
            item, waiting.lane, engine_count, now_ms, has_all_targets=has_all_targets
        )
        if refusal is not None:
            return [refusal_reply(self.pool, waiting, refusal)]
        self._enqueue(waiting, now_ms)
        effects = self._grant(now_ms)
        if key in self.waiting:
            effects.append(queued_reply(self.pool, waiting, self._wait_ms(waiting, now_ms)))
        return effects

    def release(self, message: PermitReleased, now_ms: Millis) -> list[Effect]:
        """End a permit or a wait."""
        key = (message.request_id, message.attempt)
        waiting = self.waiting.get(key)
        if waiting is not None:
            self._forget(waiting)
        permit = self.permits.find_by_request(key)
        if message.permit is not None:
            permit = self.permits.find(PermitId(*message.permit))
        effects: list[Effect] = []
        if permit is not None:
            effects += self._note_health(permit, message, now_ms)
            self.registry.end_permit(permit, now_ms)
        return effects + self._grant(now_ms)

    def update_held_permits(self, node: str, message: PermitsHeld, now_ms: Millis) -> list[Effect]:
        """Renew a node's live permits, take over those of an earlier scheduler, drop the others."""
        self.recovery.note_listing(node, message.epoch)
        renewed = [PermitId(*permit) for permit in message.renewed]
        listed = set(renewed)
        unknown = [permit for permit in renewed if permit not in self.permits]
        self.registry.protect_unknown_permits(unknown, now_ms)
        effects: list[Effect] = [Send(node, PresentPermits(self.pool))] if unknown else []
        for held in message.held:
            permit_id = PermitId(*held.permit)
            listed.add(permit_id)
            if permit_id not in self.permits and permit_id.epoch <= self.fence:
                self._adopt(node, held, now_ms)
        for permit in self.registry.unlisted_permits(node, listed, now_ms):
            self.registry.end_permit(permit, now_ms)
        return effects + self._grant(now_ms)

    def set_live_nodes(self, nodes: frozenset[str], now_ms: Millis) -> None:
        """Note which entry nodes are alive, as the control part tells."""
        self.recovery.set_live_nodes(nodes)
        self.registry.set_live_nodes(nodes, now_ms)

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets, permits and waits, and grant what has become possible."""
        effects = self.registry.tick(now_ms)
        effects += self._refuse_late(now_ms)
        self._drop_silent(now_ms)
        effects += [
            Send(node, PresentPermits(self.pool)) for node in self.recovery.nodes_to_ask(now_ms)
        ]
        return effects + self._grant(now_ms)

    def _grant(self, now_ms: Millis) -> list[Effect]:
        if not self.recovery.may_grant(now_ms):
            return []
        if self._is_huge_first(now_ms):
            self._reserve_huge(now_ms)
        effects = self._start_reserved(now_ms)
        for lane in SINGLE_LANES:
            urgent = self.queues[lane].find_urgent(now_ms)
            if urgent is not None:
                effects += self._try(urgent, now_ms)
        for lane in SINGLE_LANES:
            effects += self._grant_lane(lane, now_ms)
        if self._reserve_huge(now_ms):
            effects += self._start_reserved(now_ms)
        return effects

    def _is_huge_first(self, now_ms: Millis) -> bool:
        """Return whether huge work has waited its turn; smaller work could else hold it up."""
        heads = self.queues[Lane.HUGE].candidates(now_ms, 1)
        return any(
            now_ms >= head.queued_ms + self.settings.huge_priority_after_ms for head in heads
        )

    def _grant_lane(self, lane: Lane, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        queue = self.queues[lane]
        if self._is_stuck(lane, now_ms):
            return []
        while len(queue) and self._placement.may_have_capacity(lane, now_ms):
            granted: list[Effect] = []
            for waiting in queue.candidates(now_ms, CANDIDATE_LIMIT):
                granted = self._try(waiting, now_ms)
                if granted:
                    break
            if not granted:
                stuck = Stuck(
                    self.fleet.capacity_releases, queue.head_changes, now_ms + STUCK_RETRY_MS
                )
                self._stuck[lane] = stuck
                break
            effects += granted
        return effects

    def _is_stuck(self, lane: Lane, now_ms: Millis) -> bool:
        """Return whether nothing has changed since the lane's next items could not be placed."""
        stuck = self._stuck.get(lane)
        if stuck is None or now_ms >= stuck.until_ms:
            return False
        return (stuck.capacity_releases, stuck.changes) == (
            self.fleet.capacity_releases,
            self.queues[lane].head_changes,
        )

    def _try(self, waiting: WaitingRequest, now_ms: Millis) -> list[Effect]:
        """Grant an item, or reserve for it; return no effects if nothing could be done."""
        item = waiting.item
        match self._placement.place(item, waiting.lane, now_ms):
            case Blocked(lacks_memory=True) if item.model:
                return self._make_room(waiting, now_ms)
            case Blocked():
                return []
            case placed:
                self._leave_queue(waiting)
                return self._issue(waiting, placed.targets, placed.cached_tokens, now_ms)

    def _make_room(self, waiting: WaitingRequest, now_ms: Millis) -> list[Effect]:
        lane = self._admission.lane(waiting.item)
        if lane is Lane.HUGE:
            # The targets were not known yet when the item was queued.
            self.queues[waiting.lane].remove(waiting, is_served=False)
            # A new object, as the heaps of the other queue still hold the old one until later.
            moved = replace(waiting, lane=lane, is_queued=False)
            self.waiting[waiting.key] = moved
            self.queues[lane].push(moved)
            return [Record("queued_as_huge", {"request": waiting.item.request_id})]
        is_urgent = waiting.urgent_from_ms <= now_ms
        plan = None
        may_reserve = is_urgent or not self._is_huge_first(now_ms)
        if may_reserve and self.reservations.may_reserve(1):
            plan = self._placement.plan_reservation(waiting.item, 1, now_ms)
        if plan is None or (waiting.lane is Lane.SHORT and not is_urgent):
            return []
        self.queues[waiting.lane].remove(waiting, is_served=True)
        self.reservations.reserve(waiting, plan)
        effects: list[Effect] = [Record("reserved", {"request": waiting.item.request_id})]
        if is_urgent:
            for permit in self._victim_selector.choose_victims(plan, now_ms):
                effects += self.registry.withdraw(permit, now_ms)
        return effects

    def _reserve_huge(self, now_ms: Millis) -> bool:
        queue = self.queues[Lane.HUGE]
        for waiting in queue.candidates(now_ms, 1):
            count = self._admission.engines_needed(waiting.item, Lane.HUGE)
            if not self.reservations.may_reserve(count):
                return False
            plan = self._placement.plan_reservation(waiting.item, count, now_ms)
            if plan is not None:
                queue.remove(waiting, is_served=True)
                self.reservations.reserve(waiting, plan)
                return True
        return False

    def _start_reserved(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        for reservation in self.reservations.next_to_check():
            waiting = reservation.waiting
            if self.reservations.is_broken(reservation):
                self.reservations.release(reservation)
                self.queues[waiting.lane].push(waiting)
            elif self.reservations.is_ready(reservation, self.settings.long_backlog_ms, now_ms):
                effects += self._start(reservation, now_ms)
        return effects

    def _start(self, reservation: Reservation, now_ms: Millis) -> list[Effect]:
        waiting = reservation.waiting
        self.reservations.release(reservation)
        del self.waiting[waiting.key]
        return self._issue(waiting, reservation.targets, 0, now_ms)

    def _issue(
        self, waiting: WaitingRequest, targets: list[Target], cached_tokens: int, now_ms: Millis
    ) -> list[Effect]:
        self._serial += 1
        item = waiting.item
        size = size_of(item, min(cached_tokens, max(0, item.prompt_tokens - 1)))
        share = -(-size.prefill_tokens // len(targets)) if item.model else 0
        work_ms = self.durations.prefill_ms(share)
        begin_ms = max(target.wait_ms(waiting.lane, now_ms) for target in targets) + now_ms
        permit = Permit(
            PermitId(self.fence, self._serial),
            waiting.node,
            item,
            waiting.lane,
            [target.address for target in targets],
            -(-size.memory_tokens // len(targets)),
            now_ms,
            begin_ms + work_ms,
            begin_ms + work_ms + self.durations.decode.answer_ms(item, waiting.lane),
            waiting.deadline_ms,
            is_urgent=waiting.urgent_from_ms <= now_ms,
            is_prefill_sample=cached_tokens == 0 and all(not target.permits for target in targets),
        )
        self.registry.add_permit(permit, share, now_ms)
        if len(targets) == 1:
            for name in item.prefix:
                self.prefix_cache.add_prefix(targets[0].name, name, now_ms)
        fields = {
            "request": item.request_id,
            "permit": str(permit.permit_id),
            "targets": [target.name for target in targets],
            "pool": str(self.pool),
        }
        return [Record("permit_granted", fields), grant_reply(self.pool, permit, item)]

    def _adopt(self, node: str, held: HeldPermit, now_ms: Millis) -> None:
        """Account for a permit of an earlier scheduler, or one that was given up too early."""
        item = held.item
        targets = [TargetAddress(*target) for target in held.targets]
        memory = size_of(item).memory_tokens
        lane = self._admission.lane(item)
        ends_ms = now_ms + self.durations.service_ms(item, lane, len(targets))
        permit = Permit(
            PermitId(*held.permit),
            node,
            item,
            lane,
            targets,
            -(-memory // len(targets)),
            now_ms,
            now_ms,
            ends_ms,
            now_ms + item.time_left_ms,
        )
        waiting = self.waiting.get(permit.key)
        if waiting is not None:
            self._forget(waiting)
        self.registry.add_permit(permit, 0, now_ms)

    def _enqueue(self, waiting: WaitingRequest, now_ms: Millis) -> None:
        self.waiting[waiting.key] = waiting
        self.queues[waiting.lane].push(waiting)
        if waiting.item.model:
            work_ms = self.durations.prefill_ms(size_of(waiting.item).prefill_tokens)
            self.lane_balancer.record_arrival(waiting.lane, work_ms, now_ms)

    def _leave_queue(self, waiting: WaitingRequest) -> None:
        self.queues[waiting.lane].remove(waiting, is_served=True)
        del self.waiting[waiting.key]

    def _forget(self, waiting: WaitingRequest) -> None:
        del self.waiting[waiting.key]
        reservation = self.reservations.find(waiting.key)
        if reservation is not None:
            self.reservations.release(reservation)
        self.queues[waiting.lane].remove(waiting, is_served=False)

    def _refuse_late(self, now_ms: Millis) -> list[Effect]:
        """Refuse what can no longer finish in time, as soon as that is known."""
        effects: list[Effect] = []
        late: list[WaitingRequest] = []
        for queue in self.queues.values():
            while (waiting := queue.find_late(now_ms)) is not None:
                queue.remove(waiting, is_served=False)
                late.append(waiting)
        for reservation in self.reservations.next_to_check():
            if reservation.waiting.latest_start_ms < now_ms:
                late.append(reservation.waiting)
        for waiting in late:
            self._forget(waiting)
            retry_ms = max(LATE_RETRY_MS, self._wait_ms(waiting, now_ms))
            refusal = Refusal(RefusalReason.DEADLINE, retry_ms)
            effects.append(refusal_reply(self.pool, waiting, refusal))
        return effects

    def _wait_ms(self, waiting: WaitingRequest, now_ms: Millis) -> Millis:
        engine_count = self._admission.engines_needed(waiting.item, waiting.lane)
        return self._admission.estimate(waiting.item, waiting.lane, engine_count, now_ms).wait_ms

    def _drop_silent(self, now_ms: Millis) -> None:
        """Drop requests whose entries have stopped asking for them."""
        oldest_ms = now_ms - self.settings.queued_silence_ms
        while self.waiting:
            waiting = next(iter(self.waiting.values()))
            if waiting.last_asked_ms > oldest_ms:
                return
            self._forget(waiting)

    def _note_health(self, permit: Permit, message: PermitReleased, now_ms: Millis) -> list[Effect]:
        if not message.is_target_failure:
            self.durations.learn(permit, message, now_ms)
            return self.registry.record_success(permit)
        name = message.failed_target or permit.targets[0].target
        return self.registry.record_failure(permit, name, now_ms)
