"""How long a caller that comes back after a refusal has waited before.

Load pattern: refused callers come back with what is left of their time. Their goal counts from their
first try, so they are late sooner than a new caller with the same prompt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import Route

LEAST_ABANDON_MS: Millis = 2000.0
ABANDON_GOALS = 4.0
ABANDON_PAUSES = 8.0
"""Callers give a stream up after the longest of these without an event, see PROTOCOL.md."""

LEAST_WAIT_MS: Millis = 30.0
"""Smaller differences come from the callers' own clocks and the way here."""


def abandon_ms(route: Route) -> Millis:
    """Return after how long without an event a caller gives a stream up."""
    goals_ms = ABANDON_GOALS * route.goal_ms
    return max(LEAST_ABANDON_MS, goals_ms, ABANDON_PAUSES * route.pause_goal_ms)


class Patience:
    """The longest patience that callers of each route have shown."""

    def __init__(self) -> None:
        self._longest_ms: dict[str, Millis] = {}

    def waited_before_ms(self, route: str, patience_ms: Millis) -> Millis:
        """Return by how much a caller's patience is shorter than the longest of its route."""
        longest_ms = max(self._longest_ms.get(route, 0.0), patience_ms)
        self._longest_ms[route] = longest_ms
        waited_ms = longest_ms - patience_ms
        return waited_ms if waited_ms >= LEAST_WAIT_MS else 0.0

    def keep_only(self, routes: set[str]) -> None:
        """Forget routes that are no more."""
        for route in self._longest_ms.keys() - routes:
            del self._longest_ms[route]
