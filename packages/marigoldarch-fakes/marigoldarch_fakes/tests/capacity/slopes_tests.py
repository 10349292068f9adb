"""Tests of the fitted lines."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.capacity.__main__ import BEGIN, END, replace_measured
from marigoldarch_fakes.capacity.slopes import Point, Slope


def make_slope(*points: tuple[float, float], target: float = 100.0) -> Slope:
    """Return a slope through the points."""
    return Slope("cost", "nodes", "us", tuple(Point(*point) for point in points), target)


class SlopeTests(unittest.TestCase):
    """Least squares, and the cost at the target size."""

    def test_line_through_exact_points_is_found(self) -> None:
        slope = make_slope((1, 5), (2, 7), (3, 9), (4, 11))
        self.assertAlmostEqual(slope.rate, 2.0)
        self.assertAlmostEqual(slope.base, 3.0)
        self.assertAlmostEqual(slope.at_target, 203.0)

    def test_cost_that_does_not_grow_counts_as_level(self) -> None:
        slope = make_slope((1, 6), (2, 4), (3, 6), (4, 4))
        self.assertAlmostEqual(slope.at_target, 5.0)

    def test_row_names_sizes_and_target(self) -> None:
        row = make_slope((1, 5), (2, 7)).to_row()
        self.assertIn("nodes: 1 / 2", row)
        self.assertIn("203 at 100", row)


class PageTests(unittest.TestCase):
    """The measured part of the page."""

    def test_only_the_part_between_the_marks_is_replaced(self) -> None:
        page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
        expected = f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n"
        self.assertEqual(replace_measured(page, ["new"]), expected)
