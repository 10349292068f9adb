"""Seeded rounds of faults against the replicated document; the oracle is in `rounds`."""

from __future__ import annotations

import unittest

from marigoldarch.tests.store.rounds import StoreRound


class RoundsTests(unittest.TestCase):
    """A few rounds with fixed seeds; `python -m marigoldarch.tests.store.rounds` runs more."""

    def test_nothing_acknowledged_is_lost_or_shown_older(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                StoreRound(seed).run()
