"""How long callers wait for the next event of a stream before they abandon it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import Route

MIN_ABANDON_MS: Millis = 2000.0
ABANDON_FIRST_ANSWER_GOALS = 4.0
ABANDON_PAUSE_GOALS = 8.0
"""Callers abandon a stream after the longest of these times without an event: a minimum, a multiple
of the first answer's goal, and a multiple of the pause goal."""


def abandon_ms(route: Route) -> Millis:
    """Return the time without an event after which callers abandon a stream of the route."""
    first_answer_ms = ABANDON_FIRST_ANSWER_GOALS * route.goal_ms
    return max(MIN_ABANDON_MS, first_answer_ms, ABANDON_PAUSE_GOALS * route.pause_goal_ms)
