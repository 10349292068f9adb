"""Structured lines on standard output, one for each decision: bounded, and never blocking.

A thread writes what is queued, so that a reader that falls behind stops no request. Beyond the
queue's length lines are dropped and counted. Lines that repeat without a request are limited to a
rate; lines about a request are not.
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

QUEUE_LINES = 5000
FLUSH_S = 0.2
STANDARD_OUTPUT = 1
REQUEST_FIELD = "request"


class LineWriter:
    """Write queued lines to a descriptor from a thread of its own."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT, limit: int = QUEUE_LINES) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped so far."""
        return self._dropped

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Queue a line without waiting."""
        if len(self._lines) >= self._limit:
            self._dropped += 1
            return
        self._lines.append(line)

    def stop(self) -> None:
        """Write what is queued, for a second at most."""
        self._is_stopping.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            self._is_stopping.wait(FLUSH_S)
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
    """Turn log records into JSON lines."""

    def __init__(
        self, writer: LineWriter, node: str, clock_s: Callable[[], float] = time.time
    ) -> None:
        super().__init__(level=logbook.INFO)
        self._writer = writer
        self._node = node
        self._clock_s = clock_s
        self._bound = LogRateLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record."""
        fields: dict[str, Any] = {
            "time": round(self._clock_s(), 3),
            "node": self._node,
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
        }
        fields.update(record.extra)
        if REQUEST_FIELD not in record.extra and not self._bound.admit(record.channel, record.msg):
            return
        suppressed = self._bound.take_suppressed()
        if suppressed:
            fields["suppressed"] = suppressed
        if self._writer.dropped:
            fields["dropped_lines"] = self._writer.dropped
        self._writer.put(msgspec.json.encode(fields) + b"\n")


class EventLog:
    """The decisions of one part, as records with fields."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def info(self, event: str, **fields: Any) -> None:
        """Log a decision or a change of state."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log what needs an operator's eye."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log what ends the process or loses something."""
        self._logger.error(event, extra=fields)


def install(node: str) -> LineWriter:
    """Send the log of this process to standard output."""
    writer = LineWriter()
    writer.start()
    StructuredHandler(writer, node).push_application()
    return writer
