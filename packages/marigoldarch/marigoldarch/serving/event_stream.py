"""Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events.

Only complete events are forwarded, byte for byte. A stream that breaks in the middle of an event
can then be resumed on another target after the last complete one.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.decimals import parse_whole_number
from marigoldarch.exceptions import StreamError

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(NamedTuple):
    """The bytes of one event; `event_id` is its id, None without a numeric one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits a body into complete events, and keeps the incomplete one at the end."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is kept."""
        return bool(self._buffer)

    def take_partial_event(self) -> bytes:
        """Return the incomplete event, and drop it."""
        partial_event, self._buffer = self._buffer, b""
        return partial_event

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are complete now.

        Raises `StreamError` for an incomplete event of more than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while (end := self._first_event_end()) >= 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(event, _event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError(f"an incomplete event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _first_event_end(self) -> int:
        ends = [
            self._buffer.find(terminator) + len(terminator)
            for terminator in _EVENT_TERMINATORS
            if terminator in self._buffer
        ]
        return min(ends, default=-1)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and (number := parse_whole_number(value)) is not None:
            return number
    return None
