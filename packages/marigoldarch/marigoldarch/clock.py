"""Clocks and the type of times, in milliseconds."""

from __future__ import annotations

from typing import Protocol

Millis = float
"""A duration or a point in monotonic time, in milliseconds."""


class Clock(Protocol):
    """A source of monotonic and wall-clock time, in milliseconds.

    The core never reads a clock: each event carries the time.
    """

    def monotonic_ms(self) -> Millis:
        """Return monotonic time, which also advances while the process is suspended."""
        ...

    def wall_ms(self) -> int:
        """Return wall-clock time since the Unix epoch."""
        ...


class ManualClock:
    """A clock that advances only by `advance`, for tests and simulated time."""

    def __init__(self, start_ms: Millis = 0.0) -> None:
        self._now_ms = start_ms

    def monotonic_ms(self) -> Millis:
        """Return the current time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current time as whole milliseconds."""
        return int(self._now_ms)

    def advance(self, duration_ms: Millis) -> Millis:
        """Advance the clock by `duration_ms` and return the new time."""
        self._now_ms += duration_ms
        return self._now_ms
