"""The system's clocks."""

from __future__ import annotations

import time

from marigoldarch.clock import Millis

_NANOSECONDS_PER_MS = 1_000_000


class SystemClock:
    """Clocks of this host; the monotonic one also counts while the host is suspended."""

    def monotonic_ms(self) -> Millis:
        """Return monotonic time."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return wall-clock time since the Unix epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MS
