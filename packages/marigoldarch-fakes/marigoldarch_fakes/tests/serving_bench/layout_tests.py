"""Tests of the layout of a simulated installation."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.serving_bench.layout import Layout, MessageCounts, Sharing, Shift
from marigoldarch_fakes.serving_bench.load import PATTERNS, generate_arrivals
from marigoldarch_fakes.serving_bench.sharing import (
    ENGINE_SPEC,
    LARGE_PROMPT_KINDS,
    EnginePlacer,
    PlacementWeights,
)
from marigoldarch_fakes.serving_bench.simulation import Result, Simulation


class LayoutTests(unittest.TestCase):
    """Who hears of whose requests."""

    def test_request_that_stays_in_its_data_centre_is_told_there_only(self) -> None:
        layout = Layout(3, 30, Sharing.DATA_CENTRE)
        self.assertFalse(layout.is_told_everywhere(1, 30.0, [1]))
        self.assertFalse(layout.is_told_everywhere(1, 300.0, [1, 4]))
        self.assertTrue(layout.is_told_everywhere(1, 30.0, [2]))
        self.assertTrue(layout.is_told_everywhere(1, 300.0, [1, 2]))

    def test_long_request_is_told_everywhere_if_the_layout_says_so(self) -> None:
        layout = Layout(3, 30, Sharing.LONG_EVERYWHERE)
        self.assertFalse(layout.is_told_everywhere(1, 30.0, [1]))
        self.assertTrue(layout.is_told_everywhere(1, 300.0, [1]))

    def test_messages_between_data_centres_do_not_grow_with_the_entries(self) -> None:
        left = set()
        for entries in (30, 300):
            counts = MessageCounts()
            counts.count_report(Layout(3, entries, Sharing.DATA_CENTRE), 0, is_wide=True)
            left.add(counts.sent_elsewhere)
        self.assertEqual(left, {2})

    def test_shift_moves_a_share_of_the_requests_to_the_first_data_centre(self) -> None:
        layout = Layout(3, 30, Sharing.DATA_CENTRE, Shift(0.0, 1.0, 0.5))
        homes = [layout.data_centre_of(layout.entry_of(number, 0.0)) for number in range(300)]
        self.assertEqual(homes.count(0), 200)
        later = [layout.data_centre_of(layout.entry_of(number, 2.0)) for number in range(300)]
        self.assertEqual(later.count(0), 100)


class SharingTests(unittest.TestCase):
    """Load pattern: half of the traffic moves to one of three data centres."""

    def run_shifted(self, sharing: Sharing) -> Result:
        """Run 36 entries and 45 engines for some seconds."""
        layout = Layout(3, 36, sharing, Shift(500.0, 6000.0, 0.9))
        kinds = tuple(
            kind._replace(requests_per_s=kind.requests_per_s / 1.5) for kind in LARGE_PROMPT_KINDS
        )
        placer = EnginePlacer(ENGINE_SPEC, PlacementWeights())
        simulation = Simulation(ENGINE_SPEC, 45, placer.place, layout=layout, placer=placer)
        return simulation.run(generate_arrivals(PATTERNS["steady"], kinds, 4.0, 1))

    def test_idle_data_centres_help_a_full_one(self) -> None:
        shared = self.run_shifted(Sharing.DATA_CENTRE)
        isolated = self.run_shifted(Sharing.ISOLATED)
        self.assertGreater(shared.credit_share, isolated.credit_share)
