"""Counts the requests and connections that a server refuses before a handler sees them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis

log = EventLog("http")


class RefusalCounts:
    """Refusals by reason; they are logged as sums, as a flood of them must not fill the log."""

    def __init__(self, on_refusal: Callable[[str], None] = lambda reason: None) -> None:
        self._on_refusal = on_refusal
        self._counts: Counter[str] = Counter()

    def add(self, reason: str) -> None:
        """Count a refusal."""
        self._counts[reason] += 1
        self._on_refusal(reason)

    def log_sums(self, held_bytes: int) -> None:
        """Log what was refused since the last call, if anything was."""
        if self._counts:
            log.warning("callers refused", held_bytes=held_bytes, **_fields(self._counts))
            self._counts = Counter()


class LineBudget:
    """Bounds the lines a second for refusals that cost a caller nothing, such as unknown paths."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def admit(self, now_ms: Millis) -> int | None:
        """Return how many lines were suppressed before this one, None if it is suppressed too."""
        second = int(now_ms // 1000.0)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > self._lines_per_s:
            self._suppressed += 1
            return None
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


def _fields(counts: Counter[str]) -> dict[str, int]:
    return {reason.replace(" ", "_"): count for reason, count in counts.items()}
