"""A few short rounds of random faults; `marigoldarch.tests.control.rounds` runs many long ones."""

from __future__ import annotations

import unittest

from marigoldarch.tests.control.rounds import Round

ROUND_DURATION_MS = 5000.0


class RoundsTests(unittest.TestCase):
    """Rounds with fixed seeds; a failed assertion of the oracle fails the test."""

    def test_nothing_acknowledged_is_lost_with_three_voters(self) -> None:
        fault_round = Round(1, ROUND_DURATION_MS)
        fault_round.run()
        self.assertGreater(len(fault_round.acknowledged_revisions), 20)

    def test_nothing_acknowledged_is_lost_with_five_voters(self) -> None:
        fault_round = Round(2, ROUND_DURATION_MS)
        fault_round.run()
        self.assertGreater(len(fault_round.acknowledged_revisions), 20)
