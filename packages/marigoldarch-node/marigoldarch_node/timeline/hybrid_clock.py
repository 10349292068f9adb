"""A hybrid logical clock: close to wall time, and later than everything it has heard of.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks (OPODIS 2014).
"""

from __future__ import annotations

from typing import NamedTuple

MAX_CLOCK_LEAD_MS = 60_000
"""A stamp further ahead of the own wall clock is not followed: its sender's clock is wrong."""


class HybridTimestamp(NamedTuple):
    """An instant: wall time in milliseconds, and a counter among equal ones."""

    wall_ms: int
    counter: int


class HybridClock:
    """Give stamps that grow, also over what other nodes have told."""

    def __init__(self) -> None:
        self._last = HybridTimestamp(0, 0)

    @property
    def last(self) -> HybridTimestamp:
        """Return the latest stamp given or heard of."""
        return self._last

    def next(self, wall_ms: int) -> HybridTimestamp:
        """Return the stamp of an event at `wall_ms` of the own wall clock."""
        if wall_ms > self._last.wall_ms:
            self._last = HybridTimestamp(wall_ms, 0)
        else:
            self._last = HybridTimestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: HybridTimestamp, wall_ms: int) -> None:
        """Take note of a stamp that has arrived; later stamps are greater."""
        if stamp.wall_ms <= wall_ms + MAX_CLOCK_LEAD_MS:
            self._last = max(self._last, stamp)
