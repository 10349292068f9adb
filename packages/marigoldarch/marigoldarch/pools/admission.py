"""Admission: estimate when a request would finish, and refuse at once what cannot be in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.estimates import PREFILL_TIERS, DurationEstimator, Lane, lane_of, size_of
from marigoldarch.pools.fair_queue import FairQueue, WaitingRequest
from marigoldarch.pools.placement import capability_of

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.messages import WorkItem
    from marigoldarch.pools.fleet import Fleet
    from marigoldarch.settings import PoolSettings

RETRY_FLOOR_MS: Millis = 250.0
NO_TARGET_RETRY_MS: Millis = 1000.0
LANE_EFFICIENCY = 0.8
"""The share of the engines' prefill rate that queued work is counted on to get."""


class Refusal(NamedTuple):
    """Why a request is refused as not run, and when to come back, in milliseconds."""

    reason: RefusalReason
    retry_after_ms: Millis


class Estimate(NamedTuple):
    """How long a request is expected to wait, and then to run, in milliseconds."""

    wait_ms: Millis
    service_ms: Millis


class Admission:
    """Decide over new requests from the queues and the fleet."""

    def __init__(
        self,
        fleet: Fleet,
        queues: dict[Lane, FairQueue],
        settings: PoolSettings,
        durations: DurationEstimator,
    ) -> None:
        self._durations = durations
        self._fleet = fleet
        self._queues = queues
        self._settings = settings

    def estimate(self, item: WorkItem, lane: Lane, engines: int, now_ms: Millis) -> Estimate:
        """Return the expected wait and service time of an item on `engines` engines."""
        service = self._durations.service_ms(item, lane, engines)
        if not item.model:
            return Estimate(0.0, service)
        queue = self._queues[lane]
        weight = item.weight if item.weight > 0 else 1.0
        ahead = queue.cost_ahead(item.customer, size_of(item).cost_tokens, weight)
        ahead += sum(
            self._queues[other].cost_tokens
            for other in Lane
            if PREFILL_TIERS[other] < PREFILL_TIERS[lane]
        )
        rate_per_ms = self._durations.prefill_tokens_per_s / 1000.0 * LANE_EFFICIENCY
        wait_ms = ahead / (self._engine_count(lane) * rate_per_ms)
        return Estimate(wait_ms + self._running_ms(lane, now_ms), service)

    def check(
        self, item: WorkItem, lane: Lane, engines: int, now_ms: Millis, *, has_all_targets: bool
    ) -> Refusal | None:
        """Return why an item must be refused, None if it may wait.

        Until all targets had time to announce themselves, nothing is refused for want of them.
        """
        total = sum(len(queue) for queue in self._queues.values())
        estimate = self.estimate(item, lane, engines, now_ms)
        retry_ms = max(RETRY_FLOOR_MS, estimate.wait_ms)
        if total >= self._settings.queue_limit:
            return Refusal(RefusalReason.QUEUE_FULL, retry_ms)
        own = sum(queue.waiting_count(item.customer) for queue in self._queues.values())
        if own >= self._settings.customer_queue_limit:
            return Refusal(RefusalReason.QUEUE_FULL, retry_ms)
        if has_all_targets and self._lacks_targets(item):
            return Refusal(RefusalReason.NO_TARGET, NO_TARGET_RETRY_MS)
        margin = self._settings.estimate_margin
        service_ms = self._durations.confirmed_service_ms(item, lane, engines, now_ms)
        finish_ms = estimate.wait_ms * margin + service_ms
        if finish_ms > item.time_left_ms:
            overdue_ms = finish_ms - item.time_left_ms
            # Waiting less helps only down to no wait at all.
            return Refusal(RefusalReason.DEADLINE, max(RETRY_FLOOR_MS, overdue_ms))
        return None

    def new_waiting(self, node: str, item: WorkItem, now_ms: Millis) -> WaitingRequest:
        """Return an item as it enters its queue."""
        lane = self.lane(item)
        size = size_of(item)
        engines = self.engines(item, lane)
        deadline_ms = now_ms + item.time_left_ms
        service_ms = self._durations.confirmed_service_ms(item, lane, engines, now_ms)
        latest_ms = deadline_ms - service_ms
        urgent_from_ms = latest_ms - max(self._settings.urgent_margin_ms, service_ms)
        work_ms = self._durations.prefill_ms(size.prefill_tokens)
        order = min(now_ms + item.rank * self._settings.rank_step_ms + work_ms, latest_ms)
        return WaitingRequest(
            node,
            item,
            lane,
            size.cost_tokens,
            now_ms,
            now_ms,
            deadline_ms,
            latest_ms,
            urgent_from_ms,
            order,
        )

    def lane(self, item: WorkItem) -> Lane:
        """Return the lane of an item."""
        group = self._fleet.group(capability_of(item))
        return lane_of(item, self._settings, group.largest_memory_tokens)

    def engines(self, item: WorkItem, lane: Lane) -> int:
        """Return how many engines an item needs."""
        if lane is not Lane.HUGE:
            return 1
        group = self._fleet.group(capability_of(item))
        memory = size_of(item).memory_tokens
        least = -(-memory // max(1, group.largest_memory_tokens))
        easy = -(
            -memory // max(1, int(self._settings.gang_memory_share * group.largest_memory_tokens))
        )
        return easy if 2 * easy <= len(group.members) else least

    def _engine_count(self, lane: Lane) -> int:
        group = self._fleet.all_targets_group
        short, long = len(group.by_free_memory[Lane.SHORT]), len(group.by_free_memory[Lane.LONG])
        count = short + long if lane is Lane.SHORT else long + len(self._fleet.reserved)
        return max(1, count)

    def _running_ms(self, lane: Lane, now_ms: Millis) -> Millis:
        """Return when the first engine of the lane is free of granted prefill."""
        group = self._fleet.all_targets_group
        first, second = (Lane.SHORT, Lane.LONG) if lane is Lane.SHORT else (Lane.LONG, Lane.SHORT)
        index = group.by_busy_until(first, lane) or group.by_busy_until(second, lane)
        return max(0.0, index[0][0] - now_ms) if index else 0.0

    def _lacks_targets(self, item: WorkItem) -> bool:
        group = self._fleet.group(capability_of(item))
        usable = len(group.members) - sum(name in group.members for name in item.avoid)
        if usable <= 0:
            return True
        return bool(item.model) and size_of(item).memory_tokens > group.memory_tokens
