"""How long callers wait for a stream to begin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import Route

LEAST_ABANDON_MS: Millis = 2000.0
ABANDON_GOALS = 4.0
ABANDON_PAUSES = 8.0
"""Callers give a stream up after the longest of these without an event, see PROTOCOL.md."""


def abandon_ms(route: Route) -> Millis:
    """Return after how long without an event a caller gives a stream up."""
    goals_ms = ABANDON_GOALS * route.goal_ms
    return max(LEAST_ABANDON_MS, goals_ms, ABANDON_PAUSES * route.pause_goal_ms)
