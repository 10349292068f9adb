"""Admission control: refuses at once the requests that cannot finish by their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.fair_queue import FairQueue
from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.estimates import PREFILL_TIERS, DurationEstimator, Lane, lane_of, size_of
from marigoldarch.pools.placement import capability_of
from marigoldarch.pools.waiting_request import WaitingRequest

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.messages import WorkItem
    from marigoldarch.pools.fleet import Fleet
    from marigoldarch.settings import PoolSettings

MIN_RETRY_MS: Millis = 250.0
NO_TARGET_RETRY_MS: Millis = 1000.0
QUEUE_PREFILL_EFFICIENCY = 0.8
"""The share of the engines' prefill rate that queued work is expected to get."""


class Refusal(NamedTuple):
    """Why a request is refused without having run, and after how many milliseconds to retry."""

    reason: RefusalReason
    retry_after_ms: Millis


class RequestEstimate(NamedTuple):
    """The expected wait of a request and the time it then runs, in milliseconds."""

    wait_ms: Millis
    service_ms: Millis


class Admission:
    """Admits or refuses new requests by the length of the queues and the state of the fleet."""

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

    def estimate(
        self, item: WorkItem, lane: Lane, engine_count: int, now_ms: Millis
    ) -> RequestEstimate:
        """Return the expected wait and service time of an item on `engine_count` engines."""
        service_ms = self._durations.service_ms(item, lane, engine_count)
        if not item.model:
            return RequestEstimate(0.0, service_ms)
        queue = self._queues[lane]
        weight = item.weight if item.weight > 0 else 1.0
        tokens_ahead = queue.cost_ahead(item.customer, size_of(item).cost_tokens, weight)
        tokens_ahead += sum(
            self._queues[other].total_cost
            for other in Lane
            if PREFILL_TIERS[other] < PREFILL_TIERS[lane]
        )
        rate_per_ms = self._durations.prefill_tokens_per_s / 1000.0 * QUEUE_PREFILL_EFFICIENCY
        wait_ms = tokens_ahead / (self._engines_of_lane(lane) * rate_per_ms)
        return RequestEstimate(wait_ms + self._first_engine_wait_ms(lane, now_ms), service_ms)

    def check(
        self,
        item: WorkItem,
        lane: Lane,
        engine_count: int,
        now_ms: Millis,
        *,
        has_all_targets: bool,
    ) -> Refusal | None:
        """Return the refusal of an item, or None if it may wait.

        `has_all_targets` tells that all targets have had time to announce themselves; before that,
        no item is refused for a lack of targets.
        """
        queued_count = sum(len(queue) for queue in self._queues.values())
        estimate = self.estimate(item, lane, engine_count, now_ms)
        retry_ms = max(MIN_RETRY_MS, estimate.wait_ms)
        if queued_count >= self._settings.queue_limit:
            return Refusal(RefusalReason.QUEUE_FULL, retry_ms)
        own_count = sum(queue.waiting_count(item.customer) for queue in self._queues.values())
        if own_count >= self._settings.customer_queue_limit:
            return Refusal(RefusalReason.QUEUE_FULL, retry_ms)
        if has_all_targets and self._lacks_targets(item):
            return Refusal(RefusalReason.NO_TARGET, NO_TARGET_RETRY_MS)
        margin = self._settings.estimate_margin
        service_ms = self._durations.confirmed_service_ms(item, lane, engine_count, now_ms)
        finish_ms = estimate.wait_ms * margin + service_ms
        if finish_ms > item.time_left_ms:
            overdue_ms = finish_ms - item.time_left_ms
            # A shorter queue saves at most the whole wait, so a retry may be refused again.
            return Refusal(RefusalReason.DEADLINE, max(MIN_RETRY_MS, overdue_ms))
        return None

    def new_waiting(self, node: str, item: WorkItem, now_ms: Millis) -> WaitingRequest:
        """Return the queue entry of a new item, which is not queued yet."""
        lane = self.lane(item)
        size = size_of(item)
        engine_count = self.engines_needed(item, lane)
        deadline_ms = now_ms + item.time_left_ms
        service_ms = self._durations.confirmed_service_ms(item, lane, engine_count, now_ms)
        latest_start_ms = deadline_ms - service_ms
        urgent_from_ms = latest_start_ms - max(self._settings.urgent_margin_ms, service_ms)
        work_ms = self._durations.prefill_ms(size.prefill_tokens)
        sort_key_ms = min(
            now_ms + item.rank * self._settings.rank_step_ms + work_ms, latest_start_ms
        )
        return WaitingRequest(
            node,
            item,
            lane,
            size.cost_tokens,
            now_ms,
            now_ms,
            deadline_ms,
            latest_start_ms,
            urgent_from_ms,
            sort_key_ms,
        )

    def lane(self, item: WorkItem) -> Lane:
        """Return the lane of an item."""
        group = self._fleet.group(capability_of(item))
        return lane_of(item, self._settings, group.largest_memory_tokens)

    def engines_needed(self, item: WorkItem, lane: Lane) -> int:
        """Return how many engines an item needs.

        A gang normally uses only a share of the memory of its members; the fewest members that the
        memory allows are used if the other number is more than half of the targets.
        """
        if lane is not Lane.HUGE:
            return 1
        group = self._fleet.group(capability_of(item))
        memory = size_of(item).memory_tokens
        fewest = -(-memory // max(1, group.largest_memory_tokens))
        preferred = -(
            -memory // max(1, int(self._settings.gang_memory_share * group.largest_memory_tokens))
        )
        return preferred if 2 * preferred <= len(group.members) else fewest

    def _engines_of_lane(self, lane: Lane) -> int:
        group = self._fleet.all_targets_group
        short, long = len(group.by_free_memory[Lane.SHORT]), len(group.by_free_memory[Lane.LONG])
        count = short + long if lane is Lane.SHORT else long + len(self._fleet.reserved)
        return max(1, count)

    def _first_engine_wait_ms(self, lane: Lane, now_ms: Millis) -> Millis:
        """Return how long until the first engine of the lane has done its granted prefill."""
        group = self._fleet.all_targets_group
        own_lane, other_lane = (
            (Lane.SHORT, Lane.LONG) if lane is Lane.SHORT else (Lane.LONG, Lane.SHORT)
        )
        index = group.by_busy_until(own_lane, lane) or group.by_busy_until(other_lane, lane)
        return max(0.0, index[0][0] - now_ms) if index else 0.0

    def _lacks_targets(self, item: WorkItem) -> bool:
        group = self._fleet.group(capability_of(item))
        usable = len(group.members) - sum(name in group.members for name in item.avoid)
        if usable <= 0:
            return True
        return bool(item.model) and size_of(item).memory_tokens > group.memory_tokens
