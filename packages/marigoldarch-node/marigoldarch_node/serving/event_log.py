"""Structured log on standard output, as JSON lines; logging never blocks.

A thread writes the queued lines, so that a slow reader of the output delays no request. Lines
beyond the queue's capacity are dropped and counted. Repeated lines are rate limited unless they
belong to a request.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import logbook
import msgspec

from marigoldarch_node.logs import LogRateLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_QUEUED_LINES = 5000
MAX_LINE_BYTES = 4096
MAX_FIELD_CHARS = 1000
"""The size of a field in a line above `MAX_LINE_BYTES`: callers choose the length of some fields."""

FLUSH_INTERVAL_S = 0.2
STANDARD_OUTPUT = 1
REQUEST_FIELD = "request"


class LineWriter:
    """Writes queued lines to a file descriptor from a thread of its own."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT, limit: int = MAX_QUEUED_LINES) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._is_stopping = threading.Event()
        self._has_lines = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped so far."""
        return self._dropped

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= self._limit:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def stop(self) -> None:
        """Write the queued lines and end the thread; wait for it one second at most."""
        self._is_stopping.set()
        self._has_lines.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        # Without lines the thread sleeps: hundreds of idle nodes must not wake up for nothing.
        while not self._is_stopping.is_set():
            self._has_lines.wait()
            self._is_stopping.wait(FLUSH_INTERVAL_S)
            self._has_lines.clear()
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        data = memoryview(b"".join(lines))
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            self._dropped += len(lines)


class StructuredHandler(logbook.Handler):
    """Encodes log records as JSON lines with time, node, level, part, event and fields."""

    def __init__(
        self, writer: LineWriter, node: str, clock_s: Callable[[], float] = time.time
    ) -> None:
        super().__init__(level=logbook.INFO)
        self._writer = writer
        self._node = node
        self._clock_s = clock_s
        self._rate_limit = LogRateLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record as a line, unless the rate limit suppresses it."""
        fields: dict[str, Any] = {
            "time": round(self._clock_s(), 3),
            "node": self._node,
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
        }
        fields.update(record.extra)
        if REQUEST_FIELD not in record.extra and not self._rate_limit.admit(
            record.channel, record.msg
        ):
            return
        suppressed = self._rate_limit.take_suppressed()
        if suppressed:
            fields["suppressed"] = suppressed
        if self._writer.dropped:
            fields["dropped_lines"] = self._writer.dropped
        line = msgspec.json.encode(fields)
        if len(line) > MAX_LINE_BYTES:
            line = msgspec.json.encode({name: _shorten(value) for name, value in fields.items()})
        self._writer.put(line + b"\n")


def _shorten(value: Any) -> Any:
    text = str(value)
    return value if len(text) <= MAX_FIELD_CHARS else text[:MAX_FIELD_CHARS]


class EventLog:
    """Logger of one part of the process; each record is an event with named fields."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def info(self, event: str, **fields: Any) -> None:
        """Log a decision or a change of state."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should look into."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that ends the process or loses data."""
        self._logger.error(event, extra=fields)


def install(node: str) -> LineWriter:
    """Write the log of this process to standard output; stop the returned writer at the end."""
    writer = LineWriter()
    writer.start()
    StructuredHandler(writer, node).push_application()
    return writer
