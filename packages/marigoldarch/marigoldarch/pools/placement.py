"""Placement: which targets an item may run on now, and when those of a large one are free."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import WorkItem
from marigoldarch.pools.affinity import CacheIndex
from marigoldarch.pools.estimates import PREFILL_TIERS, DurationEstimator, Lane, WorkSize, size_of
from marigoldarch.pools.fleet import ASSIGNABLE_LANES, Capability, Fleet, Target, TargetGroup
from marigoldarch.settings import PoolSettings

PROBE_LIMIT = 8
"""How many targets of an index are looked at for one that fits."""

MEDIUM_OVERFLOW_WEIGHT = 0.5
"""Below this weight of short work, medium work may use the targets kept for short work."""

BACKFILL_LIMIT = 6
"""How many reserved targets are looked at for work beside their reservation."""


class Placed(NamedTuple):
    """The targets to grant now, and the cached tokens expected on the first."""

    targets: list[Target]
    cached_tokens: int = 0


class Blocked(NamedTuple):
    """Nothing can be granted now; `is_memory` tells that memory lacks and not prefill time."""

    is_memory: bool


class Plan(NamedTuple):
    """The targets to reserve, the memory on each, and when they are expected to have it."""

    targets: list[Target]
    tokens_per_target: int
    start_ms: Millis


def capability_of(item: WorkItem) -> Capability:
    """Return what an item needs a target to have."""
    return Capability(item.adapter, item.version)


class Placement:
    """Choose targets over the fleet's indexes."""

    def __init__(
        self, fleet: Fleet, cache: CacheIndex, settings: PoolSettings, durations: DurationEstimator
    ) -> None:
        self._durations = durations
        self._fleet = fleet
        self._cache = cache
        self._settings = settings

    def has_room(self, lane: Lane, now_ms: Millis) -> bool:
        """Return whether any target might take work of a lane now; a cheap check before `place`."""
        limit_ms = now_ms + self._backlog_ms(lane)
        group = self._fleet.all_targets_group
        for assigned_lane, _ in self._choices(group, lane):
            index = group.by_busy_until(assigned_lane, lane)
            if index and index[0][0] <= limit_ms:
                return True
        return any(
            target.busy_until_ms[PREFILL_TIERS[lane]] <= limit_ms
            for target in islice(self._fleet.reserved.values(), BACKFILL_LIMIT)
        )

    def place(self, item: WorkItem, lane: Lane, now_ms: Millis) -> Placed | Blocked:
        """Return targets for an item that one target can serve."""
        group = self._fleet.group(capability_of(item))
        if not item.model:
            return self._place_call(group, item)
        size = size_of(item)
        cached = self._place_by_cache(group, item, lane, now_ms)
        if cached is not None:
            return cached
        placed = self._place_on_one(group, item, lane, now_ms)
        if isinstance(placed, Blocked):
            backfilled = self._backfill(item, size, lane, now_ms)
            return backfilled or placed
        return placed

    def plan(self, item: WorkItem, count: int, now_ms: Millis) -> Plan | None:
        """Return the `count` targets that have memory for their share of an item the soonest.

        Only targets with the most free memory are looked at. None if there are too few.
        """
        group = self._fleet.group(capability_of(item))
        tokens_per_target = -(-size_of(item).memory_tokens // count)
        names = _most_free(group, Lane.LONG, 3 * count + PROBE_LIMIT)
        if len(names) < count:
            names += _most_free(group, Lane.SHORT, 3 * count + PROBE_LIMIT)
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
        return Plan([self._fleet[name] for _, _, name in chosen], tokens_per_target, chosen[-1][0])

    def _place_call(self, group: TargetGroup, item: WorkItem) -> Placed | Blocked:
        for assigned_lane in ASSIGNABLE_LANES:
            index = group.by_busy_until(assigned_lane, Lane.SHORT)
            for _, _, name in islice(index, PROBE_LIMIT + len(item.avoid)):
                if name not in item.avoid:
                    return Placed([self._fleet[name]])
        return Blocked(False)

    def _place_on_one(
        self, group: TargetGroup, item: WorkItem, lane: Lane, now_ms: Millis
    ) -> Placed | Blocked:
        """Use the target that could start the soonest, if that is soon enough.

        The targets kept for other work are the second choice: they count as busier by a penalty.
        """
        tokens = self._tokens_needed(group, item, lane)
        best: tuple[Millis, Target] | None = None
        has_memory = False
        for assigned_lane, penalty_ms in self._choices(group, lane):
            target = self._least_busy(group, assigned_lane, item, lane, tokens, now_ms)
            if target is None:
                continue
            has_memory = True
            wait_ms = target.wait_ms(lane, now_ms)
            score_ms = wait_ms + penalty_ms
            if wait_ms <= self._backlog_ms(lane) and (best is None or score_ms < best[0]):
                best = (score_ms, target)
        return Placed([best[1]]) if best else Blocked(not has_memory)

    def _tokens_needed(self, group: TargetGroup, item: WorkItem, lane: Lane) -> int:
        """Return the memory an item needs free: its own, and room for short work beside it."""
        need = size_of(item).memory_tokens
        if lane is Lane.SHORT:
            return need
        room = int(self._settings.short_headroom_share * group.largest_memory_tokens)
        return min(need + room, max(need, group.largest_memory_tokens))

    def _choices(self, group: TargetGroup, lane: Lane) -> list[tuple[Lane, Millis]]:
        settings = self._settings
        if lane is Lane.SHORT:
            return [(Lane.SHORT, 0.0), (Lane.LONG, settings.short_overflow_ms)]
        if not group.by_free_memory[Lane.LONG]:
            return [(Lane.SHORT, 0.0)]
        if lane is Lane.MEDIUM and settings.short_weight < MEDIUM_OVERFLOW_WEIGHT:
            return [(Lane.LONG, 0.0), (Lane.SHORT, settings.medium_overflow_ms)]
        return [(Lane.LONG, 0.0)]

    def _backlog_ms(self, lane: Lane) -> Millis:
        is_short = lane is Lane.SHORT
        return self._settings.short_backlog_ms if is_short else self._settings.long_backlog_ms

    def _least_busy(
        self,
        group: TargetGroup,
        assigned_lane: Lane,
        item: WorkItem,
        lane: Lane,
        tokens: int,
        now_ms: Millis,
    ) -> Target | None:
        """Return the target with the least prefill of all tiers, if it is soon enough.

        Otherwise the one that could start the soonest: it lets more urgent work overtake.
        """
        if lane is not Lane.SHORT:
            target = self._first_fit(group, assigned_lane, item, Lane.HUGE, tokens)
            if target is None or target.wait_ms(lane, now_ms) <= self._backlog_ms(lane):
                return target
        return self._first_fit(group, assigned_lane, item, lane, tokens)

    def _first_fit(
        self, group: TargetGroup, assigned_lane: Lane, item: WorkItem, lane: Lane, tokens: int
    ) -> Target | None:
        """Return the first of the least busy targets with the memory, else the one with most."""
        limit = PROBE_LIMIT + len(item.avoid)
        for _, _, name in islice(group.by_busy_until(assigned_lane, lane), limit):
            target = self._fleet[name]
            if target.free_tokens >= tokens and name not in item.avoid:
                return target
        for name in _most_free(group, assigned_lane, limit):
            target = self._fleet[name]
            if target.free_tokens >= tokens and name not in item.avoid:
                return target
        return None

    def _place_by_cache(
        self, group: TargetGroup, item: WorkItem, lane: Lane, now_ms: Millis
    ) -> Placed | None:
        """Prefer the target that saves more prefill than its queue costs; its load is bounded."""
        if not item.prefix:
            return None
        best: tuple[Millis, Target, int] | None = None
        for guess in self._cache.find(item.prefix, now_ms):
            target = self._fleet.find(guess.target)
            if target is None or target.name in item.avoid or target.name not in group.members:
                continue
            if not target.accepts_work or target.reserved_ms is not None:
                continue
            if (target.lane is Lane.SHORT) is not (lane is Lane.SHORT):
                continue
            size = size_of(item, min(guess.tokens, item.prompt_tokens - 1))
            wait_ms = target.wait_ms(lane, now_ms)
            bound_ms = self._backlog_ms(lane)
            saved_ms = self._durations.prefill_ms(guess.tokens)
            if target.free_tokens < size.memory_tokens or wait_ms > min(bound_ms, saved_ms):
                continue
            gain_ms = saved_ms - wait_ms
            if best is None or gain_ms > best[0]:
                best = (gain_ms, target, guess.tokens)
        return Placed([best[1]], best[2]) if best else None

    def _backfill(
        self, item: WorkItem, size: WorkSize, lane: Lane, now_ms: Millis
    ) -> Placed | None:
        """Use a reserved target beside the reservation.

        Work may start there that ends before the reservation starts, or that fits into memory which
        the reservation does not need.
        """
        if lane is Lane.HUGE:
            return None
        capability = capability_of(item)
        for target in islice(self._fleet.reserved.values(), BACKFILL_LIMIT):
            if not target.accepts_work or target.name in item.avoid:
                continue
            if target.free_tokens < size.memory_tokens:
                continue
            if not capability.matches(target.announcement):
                continue
            wait_ms = target.wait_ms(lane, now_ms)
            if wait_ms > self._backlog_ms(lane):
                continue
            ends_ms = now_ms + wait_ms + self._durations.service_ms(item, lane)
            left = target.free_tokens - size.memory_tokens
            if ends_ms <= target.reserved_ms or left >= target.reserved_tokens:
                return Placed([target])
        return None


def _most_free(group: TargetGroup, lane: Lane, limit: int) -> list[str]:
    return [name for _, name in islice(reversed(group.by_free_memory[lane]), limit)]
