"""Records time line events in a bounded buffer and, if configured, in a JSON Lines file."""

from __future__ import annotations

from collections import deque
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import msgspec

from marigoldarch.effects import RecordEvent
from marigoldarch_node.logs import get_logger
from marigoldarch_node.timeline.hybrid_clock import HybridClock, HybridTimestamp

MAX_BUFFERED_EVENTS = 20_000
MAX_FILE_BYTES = 64 * 1024 * 1024
MAX_TEXT_CHARACTERS = 256

log = get_logger("timeline")


class TimelineEvent(NamedTuple):
    """One event; (`wall_ms`, `counter`) is a timestamp of a hybrid logical clock."""

    wall_ms: int
    counter: int
    node: str
    kind: str
    fields: dict[str, Any]


class Filter(NamedTuple):
    """Criteria that an event must all meet; an empty text matches every event."""

    request: str = ""
    pool: str = ""
    target: str = ""
    revision: str = ""

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether the event meets all criteria."""
        fields = event.fields
        targets = (fields.get("target"), *fields.get("targets", ()))
        return (
            self.request in ("", fields.get("request"))
            and self.pool in ("", fields.get("pool"))
            and (not self.target or self.target in targets)
            and self.revision in ("", str(fields.get("revision", "")))
        )


class TimelineFile:
    """A JSON Lines file that is rotated to `<name>.1` when it reaches its maximum size.

    An earlier `<name>.1` is overwritten.
    """

    def __init__(self, path: Path, max_bytes: int = MAX_FILE_BYTES) -> None:
        self._path = path
        self._max_bytes = max_bytes
        self._file: TextIO | None = path.open("a")
        self._bytes = path.stat().st_size

    def write(self, line: str) -> None:
        """Append a line; after a failed write the file is no longer used, and the node goes on."""
        if self._file is None:
            return
        try:
            if self._bytes >= self._max_bytes:
                self._rotate()
            self._bytes += self._file.write(line)
            self._file.flush()
        except OSError as error:
            log.error("The time line file is no longer written after an error: {}.", error.strerror)
            self._file = None

    def _rotate(self) -> None:
        self._file.close()
        self._path.rename(self._path.with_name(self._path.name + ".1"))
        self._file = self._path.open("a")
        self._bytes = 0


class TimelineRecorder:
    """Records the events of one node in causal order."""

    def __init__(self, node: str, path: Path | None = None) -> None:
        self._node = node
        self._file = TimelineFile(path) if path else None
        self._events: deque[TimelineEvent] = deque(maxlen=MAX_BUFFERED_EVENTS)
        self._clock = HybridClock()

    @property
    def events(self) -> list[TimelineEvent]:
        """Return the buffered events, oldest first."""
        return list(self._events)

    def select(self, wanted: Filter, limit: int) -> list[TimelineEvent]:
        """Return the latest `limit` events that match, oldest first."""
        matches = [event for event in self._events if wanted.matches(event)]
        return matches[-limit:]

    def stamp(self, wall_ms: int) -> HybridTimestamp:
        """Return a timestamp to send along with messages."""
        return self._clock.next(wall_ms)

    def observe(self, timestamp: HybridTimestamp, wall_ms: int) -> None:
        """Take into account a timestamp that was received along with messages."""
        self._clock.observe(timestamp, wall_ms)

    def record(self, effect: RecordEvent, wall_ms: int) -> None:
        """Add an event; long texts, which can only come from callers, are truncated."""
        fields = {name: _truncate(value) for name, value in effect.fields.items()}
        event = TimelineEvent(*self._clock.next(wall_ms), self._node, effect.kind, fields)
        self._events.append(event)
        if self._file is not None:
            self._file.write(msgspec.json.encode(event).decode() + "\n")


def _truncate(value: Any) -> Any:
    is_long = isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS
    return value[:MAX_TEXT_CHARACTERS] if is_long else value
