"""Tests that every measurement runs with the current code."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.capacity.control import CONTROL
from marigoldarch_fakes.capacity.limits import LIMITS
from marigoldarch_fakes.capacity.roles import compute_role_costs
from marigoldarch_fakes.capacity.serving import SERVING
from marigoldarch_fakes.capacity.slopes import Point, Slope


class MeasurementTests(unittest.TestCase):
    """Each measurement at its smallest size."""

    def test_every_measurement_returns_a_positive_cost(self) -> None:
        for item in (*CONTROL, *SERVING, *LIMITS):
            with self.subTest(item.name, unit=item.unit):
                self.assertGreater(item.cost(item.sizes[0]), 0.0)

    def test_every_measurement_has_at_least_four_sizes(self) -> None:
        for item in (*CONTROL, *SERVING, *LIMITS):
            self.assertGreaterEqual(len(set(item.sizes)), 4, item.name)

    def test_role_costs_use_only_existing_slopes(self) -> None:
        points = (Point(1, 1.0), Point(2, 2.0))
        names = [(item.name, item.unit) for item in (*CONTROL, *SERVING, *LIMITS)]
        slopes = [Slope(name, "n", unit, points, 3) for name, unit in names]
        self.assertTrue(all(role.to_row() for role in compute_role_costs(slopes)))
