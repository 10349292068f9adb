"""Tests of the share of engines that are kept for short work."""

from __future__ import annotations

import random
import unittest

from marigoldarch.pools.estimates import Lane
from marigoldarch.pools.fleet import Fleet, Target
from marigoldarch.pools.lane_share import LaneShare
from marigoldarch.settings import PoolSettings
from marigoldarch.tests.pools.support import make_announcement

ENGINES = 16


class LaneShareTests(unittest.TestCase):
    """Sixteen engines under changing demand."""

    def setUp(self) -> None:
        self.fleet = Fleet()
        self.share = LaneShare(PoolSettings(), 0.0)
        self.now_ms = 0.0
        self.rng = random.Random(3)
        for number in range(ENGINES):
            target = Target(make_announcement(f"e{number}"), float("inf"))
            self.share.join(target, len(self.fleet))
            self.fleet.add(target)

    def run_demand(self, short: float, long: float, duration_ms: float) -> int:
        """Let work arrive that keeps `short` and `long` engines busy; return the moves."""
        moves = 0
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100.0
            for lane, engines, work_ms in ((Lane.SHORT, short, 100.0), (Lane.LONG, long, 3_000.0)):
                if self.rng.random() < engines * 100.0 / work_ms:
                    self.share.note(
                        lane, work_ms * max(1.0, engines * 100.0 / work_ms), self.now_ms
                    )
            moves += self.share.rebalance(self.fleet, self.now_ms) is not None
        return moves

    def test_share_follows_demand(self) -> None:
        self.run_demand(1.0, 2.0, 300_000.0)
        few = len(self.share.short_names)
        self.run_demand(5.0, 2.0, 300_000.0)
        self.assertGreaterEqual(len(self.share.short_names), few + 4)
        self.run_demand(1.0, 12.0, 400_000.0)
        self.assertLessEqual(len(self.share.short_names), few + 1)

    def test_steady_demand_moves_few_engines(self) -> None:
        self.run_demand(1.5, 6.0, 300_000.0)
        self.assertLessEqual(self.run_demand(1.5, 6.0, 600_000.0), 6)

    def test_one_engine_at_least_takes_long_work(self) -> None:
        self.run_demand(40.0, 0.0, 300_000.0)
        self.assertEqual(len(self.share.short_names), ENGINES - 1)

    def test_one_engine_at_least_is_kept_for_short_work(self) -> None:
        self.run_demand(0.0, 40.0, 300_000.0)
        self.assertEqual(len(self.share.short_names), 1)
