"""Server-sent events as bytes: whole events with their ids, unchanged.

Only whole events are passed on, so that a stream that breaks within one can go on elsewhere at the
last whole one (WHATWG HTML, section 9.2).
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.exceptions import StreamError

MAX_EVENT_BYTES = 1024 * 1024
_ENDS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(NamedTuple):
    """One event as it was received; `event_id` is its id, None without one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cut a body into whole events and keep the rest."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether part of an event is held back."""
        return bool(self._rest)

    def take_rest(self) -> bytes:
        """Return and forget what no event end has followed."""
        rest, self._rest = self._rest, b""
        return rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now; raise `StreamError` for one that never ends."""
        self._rest += data
        events: list[StreamEvent] = []
        while (end := self._end_of_first()) >= 0:
            event, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(event, _number_of(event)))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _end_of_first(self) -> int:
        ends = [self._rest.find(mark) + len(mark) for mark in _ENDS if mark in self._rest]
        return min(ends, default=-1)


def _number_of(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
