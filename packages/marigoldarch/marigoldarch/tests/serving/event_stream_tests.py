"""Tests of splitting a body into complete events."""

from __future__ import annotations

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from marigoldarch.exceptions import StreamError
from marigoldarch.serving.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamEvent,
    events_in_order,
)

BODY = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\ndata: c\n\n"


class EventSplitterTests(unittest.TestCase):
    """Events are returned with the bytes that the target sent."""

    @given(st.lists(st.integers(min_value=0, max_value=len(BODY)), max_size=8))
    def test_bytes_and_ids_do_not_depend_on_chunk_borders(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        places = [0, *sorted(cuts), len(BODY)]
        events = [
            event
            for begin, end in zip(places, places[1:], strict=False)
            for event in splitter.feed(BODY[begin:end])
        ]
        self.assertEqual(b"".join(event.data for event in events), BODY)
        self.assertEqual([event.event_id for event in events], [1, 2, None, 3])
        self.assertFalse(splitter.has_partial_event)

    def test_incomplete_event_is_kept(self) -> None:
        splitter = EventSplitter()
        events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual([event.event_id for event in events], [1])
        self.assertEqual(splitter.take_partial_event(), b"id: 2\nda")

    def test_event_without_an_end_is_an_error(self) -> None:
        with self.assertRaises(StreamError):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))

    # Guards against a target that holds the processor with one event in small chunks, searched from
    # its start for each chunk.
    def test_processor_time_does_not_grow_with_the_square_of_an_event(self) -> None:
        splitter = EventSplitter()
        began_s = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 64):
            splitter.feed(b"x" * 64)
        self.assertEqual(splitter.feed(b"\n\n")[0].data, b"x" * MAX_EVENT_BYTES + b"\n\n")
        self.assertLess(time.process_time() - began_s, 2.0)

    # Guards against the same with many events in one chunk.
    def test_processor_time_does_not_grow_with_the_square_of_a_chunk(self) -> None:
        began_s = time.process_time()
        events = EventSplitter().feed(b"a\n\n" * 80_000)
        self.assertEqual(len(events), 80_000)
        self.assertLess(time.process_time() - began_s, 2.0)

    # Guards against the end of a caller's connection by an id that int() refuses to read.
    def test_id_of_too_many_digits_is_no_number(self) -> None:
        events = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: a\n\n")
        self.assertEqual([event.event_id for event in events], [None])


class EventOrderTests(unittest.TestCase):
    """The events of a stream that may be sent to the caller."""

    def ids_in_order(self, ids: list[int | None], last: int | None) -> list[int | None]:
        """Return the ids of the events in order."""
        events = [StreamEvent(b"", number) for number in ids]
        return [event.event_id for event in events_in_order(events, last)]

    def test_events_up_to_a_gap_are_in_order(self) -> None:
        self.assertEqual(self.ids_in_order([3, 4, 6, 7], 2), [3, 4])
        self.assertEqual(self.ids_in_order([3, 3], 2), [3])
        self.assertEqual(self.ids_in_order([4], 2), [])

    def test_first_event_and_events_without_an_id_are_in_order(self) -> None:
        self.assertEqual(self.ids_in_order([5, None, 6], None), [5, None, 6])
        self.assertEqual(self.ids_in_order([None, 3], 2), [None, 3])
