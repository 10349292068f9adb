"""The system clocks."""

from __future__ import annotations

import time

from marigoldarch.clock import Millis

_NANOSECONDS_PER_MS = 1_000_000


class SystemClock:
    """The clocks of this host; the monotonic clock also advances while the host is suspended."""

    def monotonic_ms(self) -> Millis:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return the wall-clock time since the Unix epoch in milliseconds."""
        return time.time_ns() // _NANOSECONDS_PER_MS
