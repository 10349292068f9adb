"""Logging: one prefix for each part, as text or JSON lines, bounded under storms of faults."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import msgspec

RECORDS_PER_WINDOW = 20
"""How many records of one message a window lets through; the rest are counted."""

WINDOW_S = 1.0
MAX_MESSAGES = 1000

_TEXT_FORMAT = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"


def get_logger(part: str) -> logbook.Logger:
    """Return the logger of a part; the part's name is its fixed prefix."""
    return logbook.Logger(part)


class LogRateLimiter:
    """Let through a bounded number of records of each message in each window."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._window = -1
        self._counts: dict[tuple[str, str], int] = {}
        self._suppressed = 0

    def admit(self, part: str, message: str) -> bool:
        """Return whether a record may be written; `message` is the text before formatting."""
        window = int(self._clock_s() / WINDOW_S)
        if window != self._window:
            self._window = window
            self._counts.clear()
        key = (part, message)
        if key not in self._counts and len(self._counts) >= MAX_MESSAGES:
            self._suppressed += 1
            return False
        self._counts[key] = self._counts.get(key, 0) + 1
        if self._counts[key] <= RECORDS_PER_WINDOW:
            return True
        self._suppressed += 1
        return False

    def take_suppressed(self) -> int:
        """Return how many records were suppressed since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class BoundedHandler(logbook.StreamHandler):
    """Write records to a stream, at a bounded rate for each message."""

    def __init__(self, stream: TextIO, level: int, bound: LogRateLimiter | None = None) -> None:
        super().__init__(stream, level=level, format_string=_TEXT_FORMAT)
        self._bound = bound or LogRateLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, with the number of those suppressed before it."""
        if not self._bound.admit(record.channel, record.msg):
            return
        suppressed = self._bound.take_suppressed()
        if suppressed:
            record.extra["suppressed"] = suppressed
        super().emit(record)

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        suppressed = record.extra.get("suppressed")
        has_note = suppressed and self.formatter is not format_json
        return f"{line} ({suppressed} records were suppressed)" if has_note else line


def install(log_format: str, level: str) -> None:
    """Send log records to the standard error stream."""
    handler = BoundedHandler(sys.stderr, logbook.lookup_level(level.upper()))
    if log_format == "json":
        handler.formatter = format_json
    handler.push_application()


def format_json(record: Any, handler: Any) -> str:
    """Return a record as one JSON document."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    if record.extra.get("suppressed"):
        fields["suppressed"] = record.extra["suppressed"]
    return msgspec.json.encode(fields).decode()
