"""Logging as text or JSON lines; a rate limit per message bounds the log when faults repeat."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import msgspec

MAX_RECORDS_PER_WINDOW = 20
"""How many records of one message are written per window; further ones are only counted."""

WINDOW_S = 1.0
MAX_DISTINCT_MESSAGES = 1000
"""How many different messages are written per window; records of others are only counted."""

_TEXT_FORMAT = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"


def get_logger(part: str) -> logbook.Logger:
    """Return the logger of a part of the program; each line carries the part's name."""
    return logbook.Logger(part)


class LogRateLimiter:
    """Limits the number of records of each message that are written per window of `WINDOW_S`."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._window = -1
        self._record_counts: dict[tuple[str, str], int] = {}
        self._suppressed = 0

    def admit(self, part: str, message: str) -> bool:
        """Return whether a record may be written, and count it as suppressed if not.

        `message` is the text before formatting.
        """
        window = int(self._clock_s() / WINDOW_S)
        if window != self._window:
            self._window = window
            self._record_counts.clear()
        key = (part, message)
        if key not in self._record_counts and len(self._record_counts) >= MAX_DISTINCT_MESSAGES:
            self._suppressed += 1
            return False
        self._record_counts[key] = self._record_counts.get(key, 0) + 1
        if self._record_counts[key] <= MAX_RECORDS_PER_WINDOW:
            return True
        self._suppressed += 1
        return False

    def take_suppressed(self) -> int:
        """Return how many records were suppressed since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class RateLimitedHandler(logbook.StreamHandler):
    """Writes records to a stream, with a rate limit per message."""

    def __init__(
        self, stream: TextIO, level: int, rate_limiter: LogRateLimiter | None = None
    ) -> None:
        super().__init__(stream, level=level, format_string=_TEXT_FORMAT)
        self._rate_limiter = rate_limiter or LogRateLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, with the number of records suppressed since the last written one."""
        if not self._rate_limiter.admit(record.channel, record.msg):
            return
        suppressed = self._rate_limiter.take_suppressed()
        if suppressed:
            record.extra["suppressed"] = suppressed
        super().emit(record)

    def format(self, record: logbook.LogRecord) -> str:
        """Return the log line of a record."""
        line = super().format(record)
        suppressed = record.extra.get("suppressed")
        shows_suppressed = suppressed and self.formatter is not format_json
        return f"{line} ({suppressed} records were suppressed)" if shows_suppressed else line


def install(log_format: str, level: str) -> None:
    """Write log records of at least `level` to standard error, in format "text" or "json"."""
    handler = RateLimitedHandler(sys.stderr, logbook.lookup_level(level.upper()))
    if log_format == "json":
        handler.formatter = format_json
    handler.push_application()


def format_json(record: Any, handler: Any) -> str:
    """Return a record as one line of JSON."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    if record.extra.get("suppressed"):
        fields["suppressed"] = record.extra["suppressed"]
    return msgspec.json.encode(fields).decode()
