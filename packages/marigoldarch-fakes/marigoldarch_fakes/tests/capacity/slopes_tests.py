"""Tests of the fitted lines and of writing them into a page."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.capacity.__main__ import BEGIN_MARKER, END_MARKER, replace_measured_section
from marigoldarch_fakes.capacity.slopes import Point, Slope


def make_slope(*points: tuple[float, float], target: float = 100.0) -> Slope:
    """Return a slope through the points."""
    return Slope("cost", "nodes", "us", tuple(Point(*point) for point in points), target)


class SlopeTests(unittest.TestCase):
    """Fitting by least squares, and the cost at the target size."""

    def test_points_on_a_line_are_fitted_exactly(self) -> None:
        slope = make_slope((1, 5), (2, 7), (3, 9), (4, 11))
        self.assertAlmostEqual(slope.rate, 2.0)
        self.assertAlmostEqual(slope.base, 3.0)
        self.assertAlmostEqual(slope.cost_at_target, 203.0)

    def test_cost_that_does_not_grow_is_taken_as_constant(self) -> None:
        slope = make_slope((1, 6), (2, 4), (3, 6), (4, 4))
        self.assertAlmostEqual(slope.cost_at_target, 5.0)

    def test_row_shows_sizes_and_cost_at_target(self) -> None:
        row = make_slope((1, 5), (2, 7)).to_row()
        self.assertIn("nodes: 1 / 2", row)
        self.assertIn("203 at 100", row)


class PageTests(unittest.TestCase):
    """Replacement of the measured section of a page."""

    def test_only_the_section_between_the_markers_is_replaced(self) -> None:
        page = f"before\n{BEGIN_MARKER}\nold\n{END_MARKER}\nafter\n"
        expected = f"before\n{BEGIN_MARKER}\n\nnew\n\n{END_MARKER}\nafter\n"
        self.assertEqual(replace_measured_section(page, ["new"]), expected)
