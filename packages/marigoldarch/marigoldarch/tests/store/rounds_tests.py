"""Seeded rounds of faults against the replicated document; the oracle is in `rounds`."""

from __future__ import annotations

import unittest

from marigoldarch.tests.store.rounds import StoreRound

FAILED_SEEDS = {
    89: "a leader that had just started took a voter it had not heard of for lost",
}
"""Seeds that have failed once, and why."""


class RoundsTests(unittest.TestCase):
    """A few rounds with fixed seeds; `python -m marigoldarch.tests.store.rounds` runs more."""

    def test_nothing_acknowledged_is_lost_or_shown_older(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                StoreRound(seed).run()

    def test_seeds_that_have_failed_pass(self) -> None:
        for seed, cause in FAILED_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                StoreRound(seed).run()
