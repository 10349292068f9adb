"""Tests of splitting a stream of bytes into lines."""

from __future__ import annotations

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from marigoldarch_node.lines import LineSplitter, LineTooLongError

DATA = b"one\n\ntwo\r\n three\nfour"


class LineSplitterTests(unittest.TestCase):
    """Lines of any chunks, and the bounds on an incomplete one."""

    @given(st.lists(st.integers(min_value=0, max_value=len(DATA)), max_size=8))
    def test_lines_do_not_depend_on_chunk_borders(self, cuts: list[int]) -> None:
        splitter = LineSplitter(100, 100)
        places = [0, *sorted(cuts), len(DATA)]
        lines = [
            line
            for begin, end in zip(places, places[1:], strict=False)
            for line in splitter.feed(DATA[begin:end])
        ]
        self.assertEqual(lines, [b"one", b"", b"two\r", b" three"])
        self.assertEqual(splitter.feed(b"\n"), [b"four"])

    def test_incomplete_line_is_bounded_in_bytes(self) -> None:
        splitter = LineSplitter(10, 100)
        self.assertEqual(splitter.feed(b"x" * 50 + b"\n" + b"y" * 10), [b"x" * 50])
        splitter.check()
        splitter.feed(b"y")
        with self.assertRaisesRegex(LineTooLongError, "10 bytes"):
            splitter.check()

    # Guards against a sender that holds the processor with one line in small chunks.
    def test_processor_time_does_not_grow_with_the_square_of_a_line(self) -> None:
        splitter = LineSplitter(1024 * 1024, 100_000)
        began_s = time.process_time()
        for _ in range(1024 * 1024 // 64):
            splitter.feed(b"x" * 64)
            splitter.check()
        self.assertEqual(splitter.feed(b"\n"), [b"x" * (1024 * 1024)])
        self.assertLess(time.process_time() - began_s, 2.0)

    def test_incomplete_line_is_bounded_in_chunks(self) -> None:
        splitter = LineSplitter(100, 3)
        for chunk in (b"a", b"a\nb", b"b", b"b"):
            splitter.feed(chunk)
            splitter.check()
        splitter.feed(b"b")
        with self.assertRaisesRegex(LineTooLongError, "3 chunks"):
            splitter.check()
