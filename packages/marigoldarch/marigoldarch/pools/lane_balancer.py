"""Assigns engines to short or to long work according to demand, with hysteresis."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marigoldarch.pools.estimates import Lane

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.settings import PoolSettings

DEMAND_TIME_CONSTANT_MS: Millis = 60_000.0
MOVE_INTERVAL_MS: Millis = 2_000.0
RISE_HYSTERESIS_ENGINES = 0.3
FALL_HYSTERESIS_ENGINES = 0.9
"""An engine is moved only if the wanted number differs from the current one by more than this.

The first applies when the engines for short work become more, the second when they become fewer.
"""

MAX_LONG_UTILISATION = 0.95
INITIAL_SHORT_SHARE = 0.25


class DemandAverage:
    """An exponential moving average of arriving work, in engines (ms of prefill per ms)."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms: Millis = 0.0

    def add(self, work_ms: Millis, now_ms: Millis) -> None:
        """Add work that has arrived, in milliseconds of prefill."""
        self._value = self.at(now_ms) + work_ms / DEMAND_TIME_CONSTANT_MS
        self._at_ms = now_ms

    def at(self, now_ms: Millis) -> float:
        """Return the average at `now_ms`."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return self._value * math.exp(-elapsed_ms / DEMAND_TIME_CONSTANT_MS)


class LaneBalancer:
    """Assigns some engines of a pool to short work and the others to long work.

    `short_targets` holds the names of the former.
    """

    def __init__(self, settings: PoolSettings, now_ms: Millis) -> None:
        self._settings = settings
        self._short = DemandAverage()
        self._long = DemandAverage()
        self._changed_ms = now_ms
        self._since_ms = now_ms
        self.short_targets: set[str] = set()

    def record_arrival(self, lane: Lane, work_ms: Millis, now_ms: Millis) -> None:
        """Record work of a lane that has arrived, in milliseconds of prefill."""
        demand = self._short if lane is Lane.SHORT else self._long
        demand.add(work_ms, now_ms)

    def assign(self, target: Target, count: int) -> None:
        """Assign a new target to a lane; `count` is the number of targets known before."""
        wanted_engines = max(1, math.ceil((count + 1) * INITIAL_SHORT_SHARE))
        is_short = len(self.short_targets) < wanted_engines
        self._assign_lane(target, Lane.SHORT if is_short else Lane.LONG)

    def forget(self, name: str) -> None:
        """Drop a target that has left."""
        self.short_targets.discard(name)

    def wanted_short_engines(self, count: int, now_ms: Millis) -> float:
        """Return how many of `count` engines should be assigned to short work.

        It is the smaller of two numbers, which both depend on `short_weight`: the engines that give
        short work its target utilisation, which falls from 0.75 to 0.25 as the weight rises from 0
        to 1; and the engines that long work leaves, plus the weighted short demand. Each lane keeps
        at least one engine if there are two.
        """
        warm_up_factor = 1.0 - math.exp(
            -max(1.0, now_ms - self._since_ms) / DEMAND_TIME_CONSTANT_MS
        )
        short = self._short.at(now_ms) / warm_up_factor
        long = self._long.at(now_ms) / warm_up_factor
        by_utilisation = short / (0.75 - 0.5 * self._settings.short_weight)
        left_by_long = count - long / MAX_LONG_UTILISATION
        left_by_long += self._settings.short_weight * short
        return min(max(min(by_utilisation, left_by_long), 1.0), max(1.0, count - 1.0))

    def rebalance(self, fleet: Fleet, now_ms: Millis) -> Target | None:
        """Move at most one engine to the other lane; return the moved one or None."""
        is_due = now_ms >= self._changed_ms + MOVE_INTERVAL_MS
        if not is_due or len(fleet) < 2:
            return None
        current_engines = len(self.short_targets)
        wanted_engines = self.wanted_short_engines(len(fleet), now_ms)
        if wanted_engines > current_engines + RISE_HYSTERESIS_ENGINES:
            return self._move(fleet, Lane.LONG, Lane.SHORT, now_ms)
        if wanted_engines < current_engines - FALL_HYSTERESIS_ENGINES:
            return self._move(fleet, Lane.SHORT, Lane.LONG, now_ms)
        return None

    def _move(self, fleet: Fleet, source: Lane, destination: Lane, now_ms: Millis) -> Target | None:
        index = fleet.all_targets_group.by_busy_until(source, Lane.HUGE)
        if not index:
            return None
        target = fleet[index[0][2]]
        self._assign_lane(target, destination)
        self._changed_ms = now_ms
        fleet.reindex(target)
        return target

    def _assign_lane(self, target: Target, lane: Lane) -> None:
        target.lane = lane
        if lane is Lane.SHORT:
            self.short_targets.add(target.name)
        else:
            self.short_targets.discard(target.name)
