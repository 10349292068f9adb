"""The project's clock type, in milliseconds."""

from __future__ import annotations

from typing import Protocol

Millis = float
"""A duration or a monotonic instant in milliseconds."""


class Clock(Protocol):
    """A source of monotonic and wall time, in milliseconds.

    The core never reads a clock: time reaches it as a field of each event.
    """

    def monotonic_ms(self) -> Millis:
        """Return monotonic time that also advances while the process is stopped."""
        ...

    def wall_ms(self) -> int:
        """Return wall-clock time since the Unix epoch."""
        ...


class ManualClock:
    """A clock that moves only when told to, for tests and virtual time."""

    def __init__(self, start_ms: Millis = 0.0) -> None:
        self._now_ms = start_ms

    def monotonic_ms(self) -> Millis:
        """Return the current instant."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current instant as whole milliseconds."""
        return int(self._now_ms)

    def advance(self, duration_ms: Millis) -> Millis:
        """Move time forward by `duration_ms` and return the new instant."""
        self._now_ms += duration_ms
        return self._now_ms
