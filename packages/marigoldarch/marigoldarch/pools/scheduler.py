"""The scheduler of one pool, which queues requests and grants them permits to use targets.

A request is sorted into a lane by prompt length and waits in that lane's fair queue. It gets a
permit as soon as placement finds a target for it. Requests that need several targets, or most of
one's memory, get targets reserved. A scheduling pass runs after every event that may let a request
start.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.fair_queue import FairQueue
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    CacheReport,
    HeldPermit,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PresentPermits,
    WorkItem,
)
from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.admission import Admission, Refusal
from marigoldarch.pools.affinity import PrefixCacheIndex
from marigoldarch.pools.crash_watch import SuspectRefusal
from marigoldarch.pools.estimates import (
    DurationEstimator,
    Lane,
    size_of,
)
from marigoldarch.pools.fleet import Fleet, Target
from marigoldarch.pools.lane_balancer import LaneBalancer
from marigoldarch.pools.permits import Permit, PermitTable
from marigoldarch.pools.placement import Blocked, Placement
from marigoldarch.pools.preemption import VictimSelector
from marigoldarch.pools.recovery import Recovery
from marigoldarch.pools.registry import PoolRegistry
from marigoldarch.pools.replies import grant_reply, queued_reply, refusal_reply
from marigoldarch.pools.reservations import Reservation, Reservations
from marigoldarch.pools.waiting_request import WaitingRequest

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.settings import PoolSettings
    from marigoldarch.targets import Announcement

CANDIDATE_LIMIT = 2
"""How many customers' next items are tried before a lane counts as blocked."""

SINGLE_TARGET_LANES = (Lane.SHORT, Lane.MEDIUM, Lane.LONG)

ANNOUNCEMENT_GRACE_MS: Millis = 3_500.0
"""For how long after `ready_ms` no request is refused for a lack of targets.

Until then the targets may not have announced themselves to a new scheduler.
"""

MIN_LATE_RETRY_MS: Millis = 1000.0
"""The least retry delay of a request that waited until it could no longer finish in time."""

BLOCKED_RETRY_MS: Millis = 20.0
"""How long a blocked lane is skipped while neither capacity nor the queue's heads have changed."""


class BlockedLane(NamedTuple):
    """The counters when a lane was found blocked, and until when they let the lane be skipped."""

    capacity_releases: int
    head_changes: int
    until_ms: Millis


class PoolScheduler:
    """Schedules the requests of a pool; it alone grants permits under its fencing token.

    Grants start at `ready_ms` at the latest, which gives entry nodes time to list the permits of an
    earlier scheduler.
    """

    def __init__(
        self,
        pool: PoolId,
        fence: int,
        settings: PoolSettings,
        ready_ms: Millis,
        created_ms: Millis | None = None,
    ) -> None:
        started_ms = ready_ms if created_ms is None else created_ms
        self.pool = pool
        self.fence = fence
        self.settings = settings
        self.recovery = Recovery(fence, ready_ms, started_ms + settings.permit_renewal_timeout_ms)
        self.durations = DurationEstimator(settings)
        self.fleet = Fleet()
        self.permits = PermitTable()
        self.prefix_cache = PrefixCacheIndex()
        self.queues = {lane: FairQueue() for lane in Lane}
        self.waiting: OrderedDict[tuple[str, int], WaitingRequest] = OrderedDict()
        self.reservations = Reservations(self.fleet, settings)
        self.lane_balancer = LaneBalancer(settings, started_ms)
        self.registry = PoolRegistry(
            pool,
            fence,
            settings,
            self.durations,
            self.fleet,
            self.permits,
            self.prefix_cache,
            self.lane_balancer,
            started_ms,
        )
        self._placement = Placement(self.fleet, self.prefix_cache, settings, self.durations)
        self._admission = Admission(self.fleet, self.queues, settings, self.durations)
        self._victim_selector = VictimSelector(self.durations)
        self._serial = 0
        self._blocked_lanes: dict[Lane, BlockedLane] = {}
        self._all_targets_due_ms = ready_ms + ANNOUNCEMENT_GRACE_MS

    @property
    def targets(self) -> list[str]:
        """Return the names of the pool's targets."""
        return [target.name for target in self.fleet]

    def report_target(self, announcement: Announcement, now_ms: Millis) -> list[Effect]:
        """Register or renew a target, and release memory that no live permit accounts for."""
        release_scope = self.recovery.release_scope(now_ms)
        effects = self.registry.apply_announcement(announcement, now_ms, release_scope)
        return effects + self._schedule(now_ms)

    def report_cache(self, report: CacheReport, now_ms: Millis) -> list[Effect]:
        """Apply the prefix cache events of a known target."""
        if report.target in self.fleet:
            self.prefix_cache.apply_events(
                report.target, report.sequence, report.stored, report.removed, now_ms
            )
        return []

    def record_command_result(
        self, target: str, command_id: str, *, is_confirmed: bool, now_ms: Millis
    ) -> list[Effect]:
        """Record the result of an order to a target.

        Releases of memory need no result, as the target's holdings show whether it was released.
        """
        self.registry.orders.record_result(target, command_id, is_confirmed=is_confirmed)
        return []

    def request(self, node: str, request: PermitRequest, now_ms: Millis) -> list[Effect]:
        """Queue a request, grant it or refuse it.

        A repeated request gets the permit already granted to it or keeps its place in the queue.
        """
        item = request.item
        key = (item.request_id, item.attempt)
        held = self.permits.find_by_request(key)
        if held is not None:
            return [] if held.withdrawn_ms is not None else [grant_reply(self.pool, held, item)]
        waiting = self.waiting.get(key)
        suspect_refusal = self.registry.crash_watch.find_refusal(item, now_ms)
        if suspect_refusal is not None:
            if waiting is not None:
                self._drop_waiting(waiting)
            return self._refuse_suspect(node, item, suspect_refusal)
        if waiting is not None:
            waiting.item = item
            waiting.last_asked_ms = now_ms
            self.waiting.move_to_end(key)
            return [queued_reply(self.pool, waiting, self._expected_wait_ms(waiting, now_ms))]
        waiting = self._admission.new_waiting(node, item, now_ms)
        engine_count = self._admission.engines_needed(item, waiting.lane)
        has_all_targets = now_ms >= self._all_targets_due_ms
        refusal = self._admission.check(
            item, waiting.lane, engine_count, now_ms, has_all_targets=has_all_targets
        )
        if refusal is not None:
            return [refusal_reply(self.pool, node, item, refusal)]
        self._enqueue(waiting, now_ms)
        effects = self._schedule(now_ms)
        if key in self.waiting:
            effects.append(
                queued_reply(self.pool, waiting, self._expected_wait_ms(waiting, now_ms))
            )
        return effects

    def release(self, message: PermitReleased, now_ms: Millis) -> list[Effect]:
        """End the permit or the wait of a request, and learn from its result."""
        key = (message.request_id, message.attempt)
        waiting = self.waiting.get(key)
        if waiting is not None:
            self._drop_waiting(waiting)
        permit = self.permits.find_by_request(key)
        if message.permit is not None:
            permit = self.permits.find(PermitId(*message.permit))
        effects: list[Effect] = []
        if permit is not None:
            effects += self._record_outcome(permit, message, now_ms)
            self.registry.end_permit(permit, now_ms)
        return effects + self._schedule(now_ms)

    def update_held_permits(self, node: str, message: PermitsHeld, now_ms: Millis) -> list[Effect]:
        """Update the permits that an entry node holds by its listing.

        Permits of an earlier scheduler are adopted, and permits that the listing leaves out are
        ended, unless they are recent. If the listing renews unknown permits, the node is asked for
        a full one.
        """
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
                self._adopt_permit(node, held, now_ms)
        for permit in self.registry.unlisted_permits(node, listed, now_ms):
            self.registry.end_permit(permit, now_ms)
        return effects + self._schedule(now_ms)

    def set_live_nodes(self, nodes: frozenset[str], now_ms: Millis) -> None:
        """Set which entry nodes are alive, as the control plane reports."""
        self.recovery.set_live_nodes(nodes)
        self.registry.set_live_nodes(nodes, now_ms)

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets, permits and waiting requests, and run a scheduling pass."""
        effects = self.registry.tick(now_ms)
        effects += self._refuse_late(now_ms)
        self._drop_unrenewed(now_ms)
        effects += [
            Send(node, PresentPermits(self.pool)) for node in self.recovery.nodes_to_ask(now_ms)
        ]
        return effects + self._schedule(now_ms)

    def _schedule(self, now_ms: Millis) -> list[Effect]:
        """Grant what can be granted: reservations, then urgent requests, then lane by lane."""
        if not self.recovery.may_grant(now_ms):
            return []
        if self._is_huge_first(now_ms):
            self._reserve_huge(now_ms)
        effects = self._grant_ready_reservations(now_ms)
        for lane in SINGLE_TARGET_LANES:
            urgent = self.queues[lane].find_urgent(now_ms)
            if urgent is not None:
                effects += self._try_grant(urgent, now_ms)
        for lane in SINGLE_TARGET_LANES:
            effects += self._grant_lane(lane, now_ms)
        if self._reserve_huge(now_ms):
            effects += self._grant_ready_reservations(now_ms)
        return effects

    def _is_huge_first(self, now_ms: Millis) -> bool:
        """Return whether huge work has waited so long that its reservation comes first.

        Otherwise a steady flow of smaller work could delay it without limit.
        """
        heads = self.queues[Lane.HUGE].candidates(now_ms, 1)
        return any(
            now_ms >= head.queued_ms + self.settings.huge_priority_after_ms for head in heads
        )

    def _grant_lane(self, lane: Lane, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        queue = self.queues[lane]
        if self._is_lane_blocked(lane, now_ms):
            return []
        while len(queue) and self._placement.may_have_capacity(lane, now_ms):
            granted: list[Effect] = []
            for waiting in queue.candidates(now_ms, CANDIDATE_LIMIT):
                granted = self._try_grant(waiting, now_ms)
                if granted:
                    break
            if not granted:
                blocked = BlockedLane(
                    self.fleet.capacity_releases, queue.head_changes, now_ms + BLOCKED_RETRY_MS
                )
                self._blocked_lanes[lane] = blocked
                break
            effects += granted
        return effects

    def _is_lane_blocked(self, lane: Lane, now_ms: Millis) -> bool:
        """Return whether nothing has changed since the lane's candidates could not be placed."""
        blocked = self._blocked_lanes.get(lane)
        if blocked is None or now_ms >= blocked.until_ms:
            return False
        return (blocked.capacity_releases, blocked.head_changes) == (
            self.fleet.capacity_releases,
            self.queues[lane].head_changes,
        )

    def _try_grant(self, waiting: WaitingRequest, now_ms: Millis) -> list[Effect]:
        """Grant a request, or reserve a target for it; return no effects if neither is possible."""
        item = waiting.item
        match self._placement.place(item, waiting.lane, now_ms):
            case Blocked(lacks_memory=True) if item.model:
                return self._resolve_lack_of_memory(waiting, now_ms)
            case Blocked():
                return []
            case placed:
                self._remove_granted(waiting)
                return self._issue_permit(waiting, placed.targets, placed.cached_tokens, now_ms)

    def _resolve_lack_of_memory(self, waiting: WaitingRequest, now_ms: Millis) -> list[Effect]:
        """Reserve a target, with preemption if urgent, or move the request to the huge lane."""
        lane = self._admission.lane(waiting.item)
        if lane is Lane.HUGE:
            # No target was known when the request was queued, so its lane could not be determined.
            self.queues[waiting.lane].remove(waiting, is_served=False)
            # The copy is needed because the heaps of the first queue still contain the old object.
            requeued = replace(waiting, lane=lane, is_queued=False)
            self.waiting[waiting.key] = requeued
            self.queues[lane].push(requeued)
            return [RecordEvent("queued_as_huge", {"request": waiting.item.request_id})]
        is_urgent = waiting.urgent_from_ms <= now_ms
        plan = None
        may_reserve = is_urgent or not self._is_huge_first(now_ms)
        if may_reserve and self.reservations.may_reserve(1):
            plan = self._placement.plan_reservation(waiting.item, 1, now_ms)
        if plan is None or (waiting.lane is Lane.SHORT and not is_urgent):
            return []
        self.queues[waiting.lane].remove(waiting, is_served=True)
        self.reservations.reserve(waiting, plan)
        effects: list[Effect] = [RecordEvent("reserved", {"request": waiting.item.request_id})]
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

    def _grant_ready_reservations(self, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        for reservation in self.reservations.next_to_check():
            waiting = reservation.waiting
            if self.reservations.is_broken(reservation):
                self.reservations.release(reservation)
                self.queues[waiting.lane].push(waiting)
            elif self.reservations.is_ready(reservation, self.settings.long_backlog_ms, now_ms):
                effects += self._grant_reservation(reservation, now_ms)
        return effects

    def _grant_reservation(self, reservation: Reservation, now_ms: Millis) -> list[Effect]:
        waiting = reservation.waiting
        self.reservations.release(reservation)
        del self.waiting[waiting.key]
        return self._issue_permit(waiting, reservation.targets, 0, now_ms)

    def _issue_permit(
        self, waiting: WaitingRequest, targets: list[Target], cached_tokens: int, now_ms: Millis
    ) -> list[Effect]:
        """Grant a permit, unless the prompt's prefix was quarantined while the request waited."""
        item = waiting.item
        suspect_refusal = self.registry.crash_watch.find_refusal(item, now_ms)
        if suspect_refusal is not None:
            return self._refuse_suspect(waiting.node, item, suspect_refusal)
        self._serial += 1
        size = size_of(item, min(cached_tokens, max(0, item.prompt_tokens - 1)))
        prefill_tokens_per_target = -(-size.prefill_tokens // len(targets)) if item.model else 0
        work_ms = self.durations.prefill_ms(prefill_tokens_per_target)
        prefill_starts_ms = max(target.wait_ms(waiting.lane, now_ms) for target in targets) + now_ms
        permit = Permit(
            PermitId(self.fence, self._serial),
            waiting.node,
            item,
            waiting.lane,
            [target.address for target in targets],
            -(-size.memory_tokens // len(targets)),
            now_ms,
            prefill_starts_ms + work_ms,
            prefill_starts_ms + work_ms + self.durations.decode.answer_ms(item, waiting.lane),
            waiting.deadline_ms,
            is_urgent=waiting.urgent_from_ms <= now_ms,
            is_prefill_sample=cached_tokens == 0 and all(not target.permits for target in targets),
        )
        self.registry.add_permit(permit, prefill_tokens_per_target, now_ms)
        if len(targets) == 1:
            for prefix_hash in item.prefix:
                self.prefix_cache.add_prefix(targets[0].name, prefix_hash, now_ms)
        fields = {
            "request": item.request_id,
            "permit": str(permit.permit_id),
            "targets": [target.name for target in targets],
            "pool": str(self.pool),
        }
        return [RecordEvent("permit_granted", fields), grant_reply(self.pool, permit, item)]

    def _adopt_permit(self, node: str, held: HeldPermit, now_ms: Millis) -> None:
        """Account for a permit of an earlier scheduler, or one that this one ended too early."""
        item = held.item
        targets = [TargetAddress(*target) for target in held.targets]
        memory_tokens = size_of(item).memory_tokens
        lane = self._admission.lane(item)
        ends_ms = now_ms + self.durations.service_ms(item, lane, len(targets))
        permit = Permit(
            PermitId(*held.permit),
            node,
            item,
            lane,
            targets,
            -(-memory_tokens // len(targets)),
            now_ms,
            now_ms,
            ends_ms,
            now_ms + item.time_left_ms,
        )
        waiting = self.waiting.get(permit.key)
        if waiting is not None:
            self._drop_waiting(waiting)
        self.registry.add_permit(permit, 0, now_ms)

    def _enqueue(self, waiting: WaitingRequest, now_ms: Millis) -> None:
        self.waiting[waiting.key] = waiting
        self.queues[waiting.lane].push(waiting)
        if waiting.item.model:
            work_ms = self.durations.prefill_ms(size_of(waiting.item).prefill_tokens)
            self.lane_balancer.record_arrival(waiting.lane, work_ms, now_ms)

    def _remove_granted(self, waiting: WaitingRequest) -> None:
        self.queues[waiting.lane].remove(waiting, is_served=True)
        del self.waiting[waiting.key]

    def _drop_waiting(self, waiting: WaitingRequest) -> None:
        del self.waiting[waiting.key]
        reservation = self.reservations.find(waiting.key)
        if reservation is not None:
            self.reservations.release(reservation)
        self.queues[waiting.lane].remove(waiting, is_served=False)

    def _refuse_late(self, now_ms: Millis) -> list[Effect]:
        """Refuse the waiting requests that can no longer finish by their deadline."""
        effects: list[Effect] = []
        late_requests: list[WaitingRequest] = []
        for queue in self.queues.values():
            while (waiting := queue.find_late(now_ms)) is not None:
                queue.remove(waiting, is_served=False)
                late_requests.append(waiting)
        for reservation in self.reservations.next_to_check():
            if reservation.waiting.latest_start_ms < now_ms:
                late_requests.append(reservation.waiting)
        for waiting in late_requests:
            self._drop_waiting(waiting)
            retry_ms = max(MIN_LATE_RETRY_MS, self._expected_wait_ms(waiting, now_ms))
            refusal = Refusal(RefusalReason.DEADLINE, retry_ms)
            effects.append(refusal_reply(self.pool, waiting.node, waiting.item, refusal))
        return effects

    def _refuse_suspect(
        self, node: str, item: WorkItem, suspect_refusal: SuspectRefusal
    ) -> list[Effect]:
        """Refuse a request whose prompt may crash its target."""
        refusal = Refusal(RefusalReason.PROMPT_CRASHES_TARGETS, suspect_refusal.retry_after_ms)
        fields = {"request": item.request_id, **suspect_refusal._asdict()}
        return [
            RecordEvent("suspect_refused", fields),
            refusal_reply(self.pool, node, item, refusal),
        ]

    def _expected_wait_ms(self, waiting: WaitingRequest, now_ms: Millis) -> Millis:
        engine_count = self._admission.engines_needed(waiting.item, waiting.lane)
        return self._admission.estimate(waiting.item, waiting.lane, engine_count, now_ms).wait_ms

    def _drop_unrenewed(self, now_ms: Millis) -> None:
        """Drop the waiting requests that their entry nodes no longer repeat."""
        oldest_asked_ms = now_ms - self.settings.queued_request_timeout_ms
        while self.waiting:
            waiting = next(iter(self.waiting.values()))
            if waiting.last_asked_ms > oldest_asked_ms:
                return
            self._drop_waiting(waiting)

    def _record_outcome(
        self, permit: Permit, message: PermitReleased, now_ms: Millis
    ) -> list[Effect]:
        if not message.is_target_failure:
            self.durations.learn(permit, message, now_ms)
            effects = self.registry.record_success(permit)
            if message.output_tokens:
                effects += self.registry.crash_watch.record_answer(permit.item, now_ms)
            return effects
        if message.is_connection_lost:
            self.registry.crash_watch.record_lost_call(permit, now_ms)
        name = message.failed_target or permit.targets[0].target
        return self.registry.record_failure(permit, name, now_ms)
