"""Measured costs over sizes, and straight lines fitted to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Point(NamedTuple):
    """One measurement: `cost` at `size`."""

    size: float
    cost: float


class Slope(NamedTuple):
    """Costs measured at several sizes, and the target size to extrapolate to."""

    name: str
    size_name: str
    unit: str
    points: tuple[Point, ...]
    target_size: float

    @property
    def rate(self) -> float:
        """Return the slope of the fitted line: the cost that one more unit of size adds."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_cost = sum(point.cost for point in self.points) / len(self.points)
        sum_of_squares = sum((point.size - mean_size) ** 2 for point in self.points)
        sum_of_products = sum((p.size - mean_size) * (p.cost - mean_cost) for p in self.points)
        return sum_of_products / sum_of_squares

    @property
    def base(self) -> float:
        """Return the intercept of the fitted line: the cost at size zero."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_cost = sum(point.cost for point in self.points) / len(self.points)
        return mean_cost - self.rate * mean_size

    @property
    def cost_at_target(self) -> float:
        """Return the cost at the target size; the mean cost if it does not grow with the size."""
        if self.rate <= 0:
            return sum(point.cost for point in self.points) / len(self.points)
        return max(0.0, self.base + self.rate * self.target_size)

    def to_row(self) -> str:
        """Return one row of a Markdown table."""
        sizes = " / ".join(f"{point.size:g}" for point in self.points)
        costs = " / ".join(format_cost(point.cost) for point in self.points)
        rate = f"{format_cost(self.base)} + {format_cost(self.rate)} n"
        target = f"{format_cost(self.cost_at_target)} at {self.target_size:,.0f}"
        return f"| {self.name}, {self.unit} | {self.size_name}: {sizes} | {costs} | {rate} | {target} |"


SLOPE_TABLE_HEADER = (
    "| cost | sizes n | measured | line | at the target size |",
    "|---|---|---|---|---|",
)


def format_cost(cost: float) -> str:
    """Format a number with three significant digits."""
    if abs(cost) >= 1000:
        return f"{float(f'{cost:.3g}'):,.0f}"
    return f"{cost:.3g}"


class Measurement(NamedTuple):
    """Describes a slope; `cost` measures the cost at one size."""

    name: str
    size_name: str
    unit: str
    sizes: tuple[int, ...]
    target_size: float
    cost: Callable[[int], float]

    def run(self) -> Slope:
        """Measure the cost at each size."""
        points = tuple(Point(size, self.cost(size)) for size in self.sizes)
        return Slope(self.name, self.size_name, self.unit, points, self.target_size)
