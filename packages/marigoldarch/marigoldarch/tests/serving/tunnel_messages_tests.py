"""Tests of the frames in which a gateway passes on what a target sends."""

from __future__ import annotations

import unittest

from marigoldarch.exceptions import StreamError
from marigoldarch.serving.tunnel_messages import MAX_FRAME_BYTES, FrameReader, encode_frame


class FrameReaderTests(unittest.TestCase):
    """Frames that arrive in pieces of any size."""

    def test_frames_arrive_in_any_pieces(self) -> None:
        data = encode_frame(b"one") + encode_frame(b"x" * MAX_FRAME_BYTES) + encode_frame(b"")
        for size in (1, 3, 5, 4096, len(data)):
            reader = FrameReader()
            contents: list[bytes] = []
            for start in range(0, len(data), size):
                reader.feed(data[start : start + size])
                while (content := reader.take()) is not None:
                    contents.append(content)
            self.assertEqual(contents, [b"one", b"x" * MAX_FRAME_BYTES, b""])
            self.assertFalse(reader.has_bytes)

    def test_frame_that_is_too_large_is_refused_before_it_is_held(self) -> None:
        reader = FrameReader((MAX_FRAME_BYTES + 1).to_bytes(4))
        with self.assertRaisesRegex(StreamError, str(MAX_FRAME_BYTES)):
            reader.take()
