"""The share of engines that take long work: it follows demand, with hysteresis."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marigoldarch.pools.estimates import Lane

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.settings import PoolSettings

DEMAND_TIME_CONSTANT_MS: Millis = 60_000.0
CHANGE_INTERVAL_MS: Millis = 2_000.0
RISE_BAND = 0.3
FALL_BAND = 0.9
"""By how many engines the wanted share must differ before one more or one fewer is kept."""

LONG_UTILISATION = 0.95
INITIAL_SHORT_SHARE = 0.25


class Demand:
    """A moving average of arriving work, in engines (milliseconds of prefill a millisecond)."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms: Millis = 0.0

    def add(self, work_ms: Millis, now_ms: Millis) -> None:
        """Note work that has arrived."""
        self._value = self.at(now_ms) + work_ms / DEMAND_TIME_CONSTANT_MS
        self._at_ms = now_ms

    def at(self, now_ms: Millis) -> float:
        """Return the average now."""
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        return self._value * math.exp(-elapsed_ms / DEMAND_TIME_CONSTANT_MS)


class LaneShare:
    """Keep some engines for short work and let the others take long work."""

    def __init__(self, settings: PoolSettings, now_ms: Millis) -> None:
        self._settings = settings
        self._short = Demand()
        self._long = Demand()
        self._changed_ms = now_ms
        self._since_ms = now_ms
        self.short_names: set[str] = set()

    def note(self, lane: Lane, work_ms: Millis, now_ms: Millis) -> None:
        """Note arriving work."""
        demand = self._short if lane is Lane.SHORT else self._long
        demand.add(work_ms, now_ms)

    def join(self, target: Target, count: int) -> None:
        """Give a new target a lane; `count` targets were known before."""
        wanted = max(1, math.ceil((count + 1) * INITIAL_SHORT_SHARE))
        is_short = len(self.short_names) < wanted
        self._set(target, Lane.SHORT if is_short else Lane.LONG)

    def leave(self, name: str) -> None:
        """Forget a target."""
        self.short_names.discard(name)

    def wanted_short(self, count: int, now_ms: Millis) -> float:
        """Return how many of `count` engines short work should have for itself."""
        warm = 1.0 - math.exp(-max(1.0, now_ms - self._since_ms) / DEMAND_TIME_CONSTANT_MS)
        short = self._short.at(now_ms) / warm
        long = self._long.at(now_ms) / warm
        calm = short / (0.75 - 0.5 * self._settings.short_weight)
        left = count - long / LONG_UTILISATION
        left += self._settings.short_weight * short
        return min(max(min(calm, left), 1.0), max(1.0, count - 1.0))

    def rebalance(self, fleet: Fleet, now_ms: Millis) -> Target | None:
        """Move at most one engine to the other lane; return it."""
        is_due = now_ms >= self._changed_ms + CHANGE_INTERVAL_MS
        if not is_due or len(fleet) < 2:
            return None
        current = len(self.short_names)
        wanted = self.wanted_short(len(fleet), now_ms)
        if wanted > current + RISE_BAND:
            return self._move(fleet, Lane.LONG, Lane.SHORT, now_ms)
        if wanted < current - FALL_BAND:
            return self._move(fleet, Lane.SHORT, Lane.LONG, now_ms)
        return None

    def _move(self, fleet: Fleet, source: Lane, goal: Lane, now_ms: Millis) -> Target | None:
        index = fleet.all_targets_group.by_busy_until(source, Lane.HUGE)
        if not index:
            return None
        target = fleet[index[0][2]]
        self._set(target, goal)
        self._changed_ms = now_ms
        fleet.reindex(target)
        return target

    def _set(self, target: Target, lane: Lane) -> None:
        target.lane = lane
        if lane is Lane.SHORT:
            self.short_names.add(target.name)
        else:
            self.short_names.discard(target.name)
