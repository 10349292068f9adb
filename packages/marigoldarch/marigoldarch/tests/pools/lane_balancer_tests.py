"""Tests of how many engines are assigned to short work."""

from __future__ import annotations

import random
import unittest

from marigoldarch.pools.estimates import Lane
from marigoldarch.pools.fleet import Fleet, Target
from marigoldarch.pools.lane_balancer import LaneBalancer
from marigoldarch.settings import PoolSettings
from marigoldarch.tests.pools.support import make_announcement

ENGINES = 16


class LaneBalancerTests(unittest.TestCase):
    """Sixteen engines under changing demand."""

    def setUp(self) -> None:
        self.fleet = Fleet()
        self.balancer = LaneBalancer(PoolSettings(), 0.0)
        self.now_ms = 0.0
        self.rng = random.Random(3)
        for number in range(ENGINES):
            target = Target(make_announcement(f"e{number}"), float("inf"))
            self.balancer.assign(target, len(self.fleet))
            self.fleet.add(target)

    def run_demand(self, short: float, long: float, duration_ms: float) -> int:
        """Let work for `short` and `long` engines arrive; return the number of moves."""
        moves = 0
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100.0
            for lane, engines, work_ms in ((Lane.SHORT, short, 100.0), (Lane.LONG, long, 3_000.0)):
                if self.rng.random() < engines * 100.0 / work_ms:
                    self.balancer.record_arrival(
                        lane, work_ms * max(1.0, engines * 100.0 / work_ms), self.now_ms
                    )
            moves += self.balancer.rebalance(self.fleet, self.now_ms) is not None
        return moves

    def test_number_of_short_engines_follows_demand(self) -> None:
        self.run_demand(1.0, 2.0, 300_000.0)
        few = len(self.balancer.short_targets)
        self.run_demand(5.0, 2.0, 300_000.0)
        self.assertGreaterEqual(len(self.balancer.short_targets), few + 4)
        self.run_demand(1.0, 12.0, 400_000.0)
        self.assertLessEqual(len(self.balancer.short_targets), few + 1)

    def test_steady_demand_moves_few_engines(self) -> None:
        self.run_demand(1.5, 6.0, 300_000.0)
        self.assertLessEqual(self.run_demand(1.5, 6.0, 600_000.0), 6)

    def test_at_least_one_engine_is_assigned_to_long_work(self) -> None:
        self.run_demand(40.0, 0.0, 300_000.0)
        self.assertEqual(len(self.balancer.short_targets), ENGINES - 1)

    def test_at_least_one_engine_is_assigned_to_short_work(self) -> None:
        self.run_demand(0.0, 40.0, 300_000.0)
        self.assertEqual(len(self.balancer.short_targets), 1)
