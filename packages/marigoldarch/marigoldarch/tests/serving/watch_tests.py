"""Tests of the messages of control hosts to entries."""

from __future__ import annotations

import unittest

from marigoldarch.codec import encode_json
from marigoldarch.exceptions import CodecError
from marigoldarch.serving.watch import (
    WATCH_MESSAGES,
    TargetsTold,
    TargetTold,
    pack_targets,
    unpack_targets,
)
from marigoldarch.tests.serving.support import target


class TargetBatchTests(unittest.TestCase):
    """Load pattern: hundreds of targets announce themselves to hundreds of entries."""

    TARGETS = [
        target(f"i-{number * 7919:08x}", born_ms=1_700_000_000_000 + 37 * number, serial=number)
        for number in range(140)
    ]

    def test_packed_targets_are_the_same_once_unpacked(self) -> None:
        leaving = target("t", is_leaving=True, is_gone=True)
        message = WATCH_MESSAGES.from_plain(WATCH_MESSAGES.to_plain(pack_targets([leaving])))
        self.assertEqual(unpack_targets(message), [leaving])
        self.assertEqual(unpack_targets(pack_targets(self.TARGETS)), self.TARGETS)
        self.assertEqual(unpack_targets(pack_targets([])), [])

    def test_packed_targets_take_a_fifth_of_the_bytes(self) -> None:
        packed = encode_json(WATCH_MESSAGES.to_plain(pack_targets(self.TARGETS)))
        plain = b"".join(
            encode_json(WATCH_MESSAGES.to_plain(TargetTold(item))) for item in self.TARGETS
        )
        self.assertLess(5 * len(packed), len(plain))

    def test_damaged_batch_is_a_codec_error(self) -> None:
        for text in ("", "no base 85 \x7f", pack_targets(self.TARGETS).text[:-9], "0" * 10):
            with self.assertRaises(CodecError):
                unpack_targets(TargetsTold(text))
