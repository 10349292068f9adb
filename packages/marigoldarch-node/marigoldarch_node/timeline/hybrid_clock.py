"""A hybrid logical clock: close to wall time, and ahead of every timestamp that it has observed.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks (OPODIS 2014).
"""

from __future__ import annotations

from typing import NamedTuple

MAX_CLOCK_LEAD_MS = 60_000
"""A timestamp further ahead of the local wall clock is ignored: its sender's clock is wrong."""


class HybridTimestamp(NamedTuple):
    """A wall time in milliseconds, and a counter that orders events with the same wall time."""

    wall_ms: int
    counter: int


class HybridClock:
    """Issues strictly increasing timestamps that also exceed those received from other nodes."""

    def __init__(self) -> None:
        self._last = HybridTimestamp(0, 0)

    @property
    def last(self) -> HybridTimestamp:
        """Return the greatest timestamp issued or observed so far."""
        return self._last

    def next(self, wall_ms: int) -> HybridTimestamp:
        """Return the timestamp of an event at `wall_ms` of the local wall clock."""
        if wall_ms > self._last.wall_ms:
            self._last = HybridTimestamp(wall_ms, 0)
        else:
            self._last = HybridTimestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, timestamp: HybridTimestamp, wall_ms: int) -> None:
        """Take a received timestamp into account: timestamps issued later are greater.

        It is ignored if it is more than `MAX_CLOCK_LEAD_MS` ahead of `wall_ms`.
        """
        if timestamp.wall_ms <= wall_ms + MAX_CLOCK_LEAD_MS:
            self._last = max(self._last, timestamp)
