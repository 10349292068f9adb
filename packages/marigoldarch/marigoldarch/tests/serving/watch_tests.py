"""Tests of the messages of control hosts to entries."""

from __future__ import annotations

import base64
import unittest
import zlib

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


class OddEntryTests(unittest.TestCase):
    """Load pattern: a control host lists an entry that another writer has left."""

    def test_odd_entry_costs_no_other_target(self) -> None:
        odd = [
            target("u", address="10.0.0.1:99999"),
            target("v", serial=-1),
            target("w", slots=None),
        ]
        told = pack_targets([*odd, target("t", address="10.0.0.1:80")])
        self.assertEqual([item.target_id for item in unpack_targets(told)], ["t"])

    def test_list_that_is_nested_too_deeply_cannot_be_decoded(self) -> None:
        """Guards against an entry that ends."""
        text = base64.b85encode(zlib.compress(b"[" * 200_000 + b"]" * 200_000)).decode()
        with self.assertRaises(CodecError):
            unpack_targets(TargetsTold(text))


class TargetBatchTests(unittest.TestCase):
    """Load pattern: hundreds of targets announce themselves to hundreds of entries."""

    TARGETS = [
        target(
            f"i-{number * 7919:08x}",
            born_ms=1_700_000_000_000 + 37 * number,
            serial=number,
            address=f"10.128.0.{number}:8080",
        )
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
