"""A few short rounds of faults; `marigoldarch.tests.control.rounds` runs many long ones."""

from __future__ import annotations

import unittest

from marigoldarch.tests.control.rounds import Round

DURATION_MS = 5000.0


class RoundsTests(unittest.TestCase):
    """Rounds whose seeds are fixed; an assertion of the oracle fails the test."""

    def test_nothing_acknowledged_is_lost_with_three_voters(self) -> None:
        item = Round(1, DURATION_MS)
        item.run()
        self.assertGreater(len(item.acknowledged), 20)

    def test_nothing_acknowledged_is_lost_with_five_voters(self) -> None:
        item = Round(2, DURATION_MS)
        item.run()
        self.assertGreater(len(item.acknowledged), 20)
