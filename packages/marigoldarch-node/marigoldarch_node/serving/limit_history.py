"""The limits on callers' requests over time.

Callers go by the limits that they know, so an idle connection counts on the longest idle timeout
that was in force since its wait began.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch_node.serving.http_server import ServerLimits

MAX_PAST_TIMEOUTS = 32
"""How many earlier timeouts are kept; beyond that the oldest two count as one, the longer of them."""


class _PastTimeout(NamedTuple):
    """An idle timeout that was in force until a monotonic time."""

    idle_timeout_ms: Millis
    until_ms: Millis


class LimitHistory:
    """The limits in force, and the idle timeouts before them."""

    def __init__(self, limits: ServerLimits) -> None:
        self._current = limits
        self._past: deque[_PastTimeout] = deque()

    @property
    def current(self) -> ServerLimits:
        """Return the limits in force."""
        return self._current

    def change(self, limits: ServerLimits, now_ms: Millis) -> None:
        """Put other limits in force."""
        if limits.idle_timeout_ms != self._current.idle_timeout_ms:
            self._past.append(_PastTimeout(self._current.idle_timeout_ms, now_ms))
        if len(self._past) > MAX_PAST_TIMEOUTS:
            oldest, second = self._past.popleft(), self._past.popleft()
            longest_ms = max(oldest.idle_timeout_ms, second.idle_timeout_ms)
            self._past.appendleft(_PastTimeout(longest_ms, second.until_ms))
        self._current = limits

    def longest_idle_timeout_ms(self, since_ms: Millis) -> Millis:
        """Return the longest idle timeout that was in force at any time since a monotonic time."""
        past = [item.idle_timeout_ms for item in self._past if item.until_ms >= since_ms]
        return max([self._current.idle_timeout_ms, *past])
