"""Straight lines through measured points."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Point(NamedTuple):
    """One measurement: `cost` at `size`."""

    size: float
    cost: float


class Slope(NamedTuple):
    """A measured cost over a size, and the size to work it out for."""

    name: str
    size_name: str
    unit: str
    points: tuple[Point, ...]
    target_size: float

    @property
    def rate(self) -> float:
        """Return the cost that one more unit of size adds, by least squares."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_cost = sum(point.cost for point in self.points) / len(self.points)
        spread = sum((point.size - mean_size) ** 2 for point in self.points)
        joint = sum((p.size - mean_size) * (p.cost - mean_cost) for p in self.points)
        return joint / spread

    @property
    def base(self) -> float:
        """Return the cost at size zero, by least squares."""
        mean_size = sum(point.size for point in self.points) / len(self.points)
        mean_cost = sum(point.cost for point in self.points) / len(self.points)
        return mean_cost - self.rate * mean_size

    @property
    def at_target(self) -> float:
        """Return the cost at the target size; a cost that does not grow counts as level."""
        if self.rate <= 0:
            return sum(point.cost for point in self.points) / len(self.points)
        return max(0.0, self.base + self.rate * self.target_size)

    def to_row(self) -> str:
        """Return one row of a Markdown table."""
        sizes = " / ".join(f"{point.size:g}" for point in self.points)
        costs = " / ".join(format_cost(point.cost) for point in self.points)
        rate = f"{format_cost(self.base)} + {format_cost(self.rate)} n"
        target = f"{format_cost(self.at_target)} at {self.target_size:,.0f}"
        return f"| {self.name}, {self.unit} | {self.size_name}: {sizes} | {costs} | {rate} | {target} |"


TABLE_HEAD = (
    "| cost | sizes n | measured | line | at the target size |",
    "|---|---|---|---|---|",
)


def format_cost(cost: float) -> str:
    """Return a number with three significant digits."""
    if abs(cost) >= 1000:
        return f"{float(f'{cost:.3g}'):,.0f}"
    return f"{cost:.3g}"


class Measurement(NamedTuple):
    """How to measure one slope: `cost` at each of the sizes."""

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
