"""The recorder of time line events: a bounded buffer and an optional JSON-lines file."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple, TextIO

import msgspec

from marigoldarch.effects import Record

BUFFER_EVENTS = 20_000


class TimelineEvent(NamedTuple):
    """One event; (`wall_ms`, `counter`) is a hybrid logical clock."""

    wall_ms: int
    counter: int
    node: str
    kind: str
    fields: dict[str, Any]


class Recorder:
    """Record events of one node in causal order."""

    def __init__(self, node: str, file: TextIO | None = None) -> None:
        self._node = node
        self._file = file
        self._events: deque[TimelineEvent] = deque(maxlen=BUFFER_EVENTS)
        self._wall_ms = 0
        self._counter = 0

    @property
    def events(self) -> list[TimelineEvent]:
        """Return the buffered events, oldest first."""
        return list(self._events)

    def record(self, effect: Record, wall_ms: int) -> None:
        """Add an event."""
        if wall_ms > self._wall_ms:
            self._wall_ms, self._counter = wall_ms, 0
        else:
            self._counter += 1
        event = TimelineEvent(self._wall_ms, self._counter, self._node, effect.kind, effect.fields)
        self._events.append(event)
        if self._file is not None:
            self._file.write(msgspec.json.encode(event).decode() + "\n")
            self._file.flush()
