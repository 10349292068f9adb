"""Tests of the comparison of what entries remember of crashes."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.serving_bench.crashing_part import (
    ENGINE_SPEC,
    CrashingSimulation,
    CrashResult,
    Memory,
)
from marigoldarch_fakes.serving_bench.load import GUILD_PROMPT_KINDS, PATTERNS, generate_arrivals

ENGINES = 16
DURATION_S = 20.0
MAX_CRASHES = 8
"""The crashes by which nodes that share their memory must have found a part: five and three more."""


def run(memory: Memory, faulty_share: float, seed: int) -> CrashResult:
    """Return the result of one run."""
    simulation = CrashingSimulation(ENGINE_SPEC, ENGINES, memory, faulty_share, seed)
    simulation.run(generate_arrivals(PATTERNS["steady"], GUILD_PROMPT_KINDS, DURATION_S, seed))
    return simulation.score_sound()


class CrashingPartTests(unittest.TestCase):
    """Load pattern: 0.05 of all requests crash the engine that begins to answer them."""

    def test_shared_memory_stops_the_crashes(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                shared = run(Memory.SHARED, 0.3, seed)
                self.assertLessEqual(shared.crashes, MAX_CRASHES)
                self.assertLess(shared.crashes, run(Memory.OWN, 0.3, seed).crashes)
                self.assertLess(shared.crashes, run(Memory.NONE, 0.3, seed).crashes / 2)

    def test_sound_requests_of_the_same_customer_are_served(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                shared = run(Memory.SHARED, 0.3, seed)
                self.assertGreater(shared.related_in_time / shared.related, 0.9)

    def test_nothing_is_refused_without_crashes(self) -> None:
        result = run(Memory.SHARED, 0.0, 0)
        self.assertEqual((result.crashes, result.refused), (0, 0))
