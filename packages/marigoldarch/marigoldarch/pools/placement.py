"""Placement: which target an item runs on now, and which targets to reserve for a large one."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import WorkItem
from marigoldarch.pools.affinity import PrefixCacheIndex
from marigoldarch.pools.estimates import PREFILL_TIERS, DurationEstimator, Lane, WorkSize, size_of
from marigoldarch.pools.fleet import ASSIGNABLE_LANES, Capability, Fleet, Target, TargetGroup
from marigoldarch.settings import PoolSettings

SCAN_LIMIT = 8
"""How many targets of an index are checked for one that fits."""

MEDIUM_OVERFLOW_WEIGHT = 0.5
"""Below this `short_weight`, medium work may use the targets assigned to short work."""

BACKFILL_SCAN_LIMIT = 6
"""How many reserved targets are checked for work that fits beside their reservation."""


class Placed(NamedTuple):
    """The targets to grant now, and the cached prompt tokens expected on the first of them."""

    targets: list[Target]
    cached_tokens: int = 0


class Blocked(NamedTuple):
    """No target can be granted now.

    `lacks_memory` tells that none was found with enough free memory; otherwise all are too busy.
    """

    lacks_memory: bool


class ReservationPlan(NamedTuple):
    """The targets to reserve, the tokens on each, and when these are expected to be free."""

    targets: list[Target]
    tokens_per_target: int
    start_ms: Millis


def capability_of(item: WorkItem) -> Capability:
    """Return the adapter and version that an item needs on its target."""
    return Capability(item.adapter, item.version)


class Placement:
    """Chooses targets for items by the fleet's indexes.

    Placement prefers, in this order: a target that likely has the prompt's prefix cached, the least
    busy target, and a reserved target that the item can use without delaying the reservation.
    """

    def __init__(
        self,
        fleet: Fleet,
        prefix_cache: PrefixCacheIndex,
        settings: PoolSettings,
        durations: DurationEstimator,
    ) -> None:
        self._durations = durations
        self._fleet = fleet
        self._prefix_cache = prefix_cache
        self._settings = settings

    def may_have_capacity(self, lane: Lane, now_ms: Millis) -> bool:
        """Return whether any target might take work of a lane now.

        This is a cheap check before `place`; it looks at granted prefill only, not at memory.
        """
        limit_ms = now_ms + self._backlog_limit_ms(lane)
        group = self._fleet.all_targets_group
        for assigned_lane, _ in self._lane_preferences(group, lane):
            index = group.by_busy_until(assigned_lane, lane)
            if index and index[0][0] <= limit_ms:
                return True
        return any(
            target.busy_until_ms[PREFILL_TIERS[lane]] <= limit_ms
            for target in islice(self._fleet.reserved.values(), BACKFILL_SCAN_LIMIT)
        )

    def place(self, item: WorkItem, lane: Lane, now_ms: Millis) -> Placed | Blocked:
        """Return the target on which an item that needs only one can start now, or `Blocked`."""
        group = self._fleet.group(capability_of(item))
        if not item.model:
            return self._place_service_call(group, item)
        size = size_of(item)
        cached = self._place_by_cache(group, item, lane, now_ms)
        if cached is not None:
            return cached
        placed = self._place_by_load(group, item, lane, now_ms)
        if isinstance(placed, Blocked):
            backfilled = self._backfill(item, size, lane, now_ms)
            return backfilled or placed
        return placed

    def plan_reservation(
        self, item: WorkItem, count: int, now_ms: Millis
    ) -> ReservationPlan | None:
        """Return the `count` targets that can start their share of an item the soonest.

        Only targets with the most free memory are considered. None if too few of them are large
        enough.
        """
        group = self._fleet.group(capability_of(item))
        tokens_per_target = -(-size_of(item).memory_tokens // count)
        names = _with_most_free_memory(group, Lane.LONG, 3 * count + SCAN_LIMIT)
        if len(names) < count:
            names += _with_most_free_memory(group, Lane.SHORT, 3 * count + SCAN_LIMIT)
        options: list[tuple[Millis, Millis, str]] = []
        for name in names:
            target = self._fleet[name]
            if name in item.avoid or target.memory_tokens < tokens_per_target:
                continue
            free_at_ms = target.memory_free_at_ms(tokens_per_target, now_ms)
            wait_ms = target.wait_ms(Lane.HUGE, now_ms)
            options.append((max(free_at_ms, now_ms + wait_ms), wait_ms, name))
        chosen = sorted(options)[:count]
        if len(chosen) < count:
            return None
        return ReservationPlan(
            [self._fleet[name] for _, _, name in chosen], tokens_per_target, chosen[-1][0]
        )

    def _place_service_call(self, group: TargetGroup, item: WorkItem) -> Placed | Blocked:
        for assigned_lane in ASSIGNABLE_LANES:
            index = group.by_busy_until(assigned_lane, Lane.SHORT)
            for _, _, name in islice(index, SCAN_LIMIT + len(item.avoid)):
                if name not in item.avoid:
                    return Placed([self._fleet[name]])
        return Blocked(False)

    def _place_by_load(
        self, group: TargetGroup, item: WorkItem, lane: Lane, now_ms: Millis
    ) -> Placed | Blocked:
        """Return the least busy target with enough memory, if its backlog is within the limit.

        Targets assigned to another lane are the second choice: a penalty is added to their wait.
        """
        tokens = self._tokens_needed(group, item, lane)
        best: tuple[Millis, Target] | None = None
        has_memory = False
        for assigned_lane, penalty_ms in self._lane_preferences(group, lane):
            target = self._find_least_busy(group, assigned_lane, item, lane, tokens, now_ms)
            if target is None:
                continue
            has_memory = True
            wait_ms = target.wait_ms(lane, now_ms)
            score_ms = wait_ms + penalty_ms
            if wait_ms <= self._backlog_limit_ms(lane) and (best is None or score_ms < best[0]):
                best = (score_ms, target)
        return Placed([best[1]]) if best else Blocked(not has_memory)

    def _tokens_needed(self, group: TargetGroup, item: WorkItem, lane: Lane) -> int:
        """Return the free memory an item needs: its own, and headroom for short work beside it."""
        needed_tokens = size_of(item).memory_tokens
        if lane is Lane.SHORT:
            return needed_tokens
        headroom = int(self._settings.short_headroom_share * group.largest_memory_tokens)
        return min(needed_tokens + headroom, max(needed_tokens, group.largest_memory_tokens))

    def _lane_preferences(self, group: TargetGroup, lane: Lane) -> list[tuple[Lane, Millis]]:
        settings = self._settings
        if lane is Lane.SHORT:
            return [(Lane.SHORT, 0.0), (Lane.LONG, settings.short_overflow_ms)]
        if not group.by_free_memory[Lane.LONG]:
            return [(Lane.SHORT, 0.0)]
        if lane is Lane.MEDIUM and settings.short_weight < MEDIUM_OVERFLOW_WEIGHT:
            return [(Lane.LONG, 0.0), (Lane.SHORT, settings.medium_overflow_ms)]
        return [(Lane.LONG, 0.0)]

    def _backlog_limit_ms(self, lane: Lane) -> Millis:
        is_short = lane is Lane.SHORT
        return self._settings.short_backlog_ms if is_short else self._settings.long_backlog_ms

    def _find_least_busy(
        self,
        group: TargetGroup,
        assigned_lane: Lane,
        item: WorkItem,
        lane: Lane,
        tokens: int,
        now_ms: Millis,
    ) -> Target | None:
        """Return a target with enough memory and little granted prefill, or None.

        Work that is not short goes to the target with the least prefill over all tiers, if that one
        is within the backlog limit. Otherwise, and for short work, targets are compared by the
        prefill of the lane's own and lower tiers, as the engine runs that before higher tiers.
        """
        if lane is not Lane.SHORT:
            target = self._find_first_fit(group, assigned_lane, item, Lane.HUGE, tokens)
            if target is None or target.wait_ms(lane, now_ms) <= self._backlog_limit_ms(lane):
                return target
        return self._find_first_fit(group, assigned_lane, item, lane, tokens)

    def _find_first_fit(
        self, group: TargetGroup, assigned_lane: Lane, item: WorkItem, lane: Lane, tokens: int
    ) -> Target | None:
        """Return the first target with enough memory that the item may use, or None.

        The least busy targets are checked first, then those with the most free memory.
        """
        limit = SCAN_LIMIT + len(item.avoid)
        for _, _, name in islice(group.by_busy_until(assigned_lane, lane), limit):
            target = self._fleet[name]
            if target.free_tokens >= tokens and name not in item.avoid:
                return target
        for name in _with_most_free_memory(group, assigned_lane, limit):
            target = self._fleet[name]
            if target.free_tokens >= tokens and name not in item.avoid:
                return target
        return None

    def _place_by_cache(
        self, group: TargetGroup, item: WorkItem, lane: Lane, now_ms: Millis
    ) -> Placed | None:
        """Return the target on which the cached prefix saves the most time, or None.

        The saved prefill must be at least the wait there, and the wait must be within the backlog
        limit, so that a popular prefix does not overload the targets that hold it.
        """
        if not item.prefix:
            return None
        best: tuple[Millis, Target, int] | None = None
        for match in self._prefix_cache.find(item.prefix, now_ms):
            target = self._fleet.find(match.target)
            if target is None or target.name in item.avoid or target.name not in group.members:
                continue
            if not target.accepts_work or target.reserved_ms is not None:
                continue
            if (target.lane is Lane.SHORT) is not (lane is Lane.SHORT):
                continue
            size = size_of(item, min(match.tokens, item.prompt_tokens - 1))
            wait_ms = target.wait_ms(lane, now_ms)
            limit_ms = self._backlog_limit_ms(lane)
            saved_ms = self._durations.prefill_ms(match.tokens)
            if target.free_tokens < size.memory_tokens or wait_ms > min(limit_ms, saved_ms):
                continue
            gain_ms = saved_ms - wait_ms
            if best is None or gain_ms > best[0]:
                best = (gain_ms, target, match.tokens)
        return Placed([best[1]], best[2]) if best else None

    def _backfill(
        self, item: WorkItem, size: WorkSize, lane: Lane, now_ms: Millis
    ) -> Placed | None:
        """Return a reserved target that can take the item beside its reservation, or None.

        The item must end before the reservation starts, or fit into memory that the reservation
        does not need.
        """
        if lane is Lane.HUGE:
            return None
        capability = capability_of(item)
        for target in islice(self._fleet.reserved.values(), BACKFILL_SCAN_LIMIT):
            if not target.accepts_work or target.name in item.avoid:
                continue
            if target.free_tokens < size.memory_tokens:
                continue
            if not capability.matches(target.announcement):
                continue
            wait_ms = target.wait_ms(lane, now_ms)
            if wait_ms > self._backlog_limit_ms(lane):
                continue
            ends_ms = now_ms + wait_ms + self._durations.service_ms(item, lane)
            tokens_left = target.free_tokens - size.memory_tokens
            if ends_ms <= target.reserved_ms or tokens_left >= target.reserved_tokens:
                return Placed([target])
        return None


def _with_most_free_memory(group: TargetGroup, lane: Lane, limit: int) -> list[str]:
    return [name for _, name in islice(reversed(group.by_free_memory[lane]), limit)]
