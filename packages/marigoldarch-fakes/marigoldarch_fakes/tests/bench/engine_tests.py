"""Tests of the engine model."""

from __future__ import annotations

import unittest

from marigoldarch.entry.prefix import prefix_tokens
from marigoldarch_fakes.bench.engine import EngineModel, EngineModelSettings, Gang, Stream

SETTINGS = EngineModelSettings(memory_tokens=100_000)
FULL_STEP_MS = SETTINGS.step_ms + SETTINGS.chunk_tokens * SETTINGS.prefill_token_ms


def make_stream(
    key: str, tokens: int, output: int = 10, priority: int = 0, serial: int = 0
) -> Stream:
    """Return a stream that needs memory for its prompt and output."""
    return Stream(key, priority, serial, tokens + output, tokens, output)


class EngineModelTests(unittest.TestCase):
    """One engine with a few streams."""

    def setUp(self) -> None:
        self.engine = EngineModel("e1", SETTINGS)

    def test_stream_is_prefilled_in_chunks_and_then_decoded(self) -> None:
        self.engine.submit(make_stream("a", 10 * SETTINGS.chunk_tokens), 0.0)
        progress = self.engine.advance(10_000.0)
        self.assertEqual([item.is_prefilled for item in progress], [True, False])
        self.assertAlmostEqual(progress[0].at_ms, 10 * FULL_STEP_MS)
        decode_ms = 9 * (SETTINGS.step_ms + SETTINGS.decode_token_ms)
        self.assertAlmostEqual(progress[1].at_ms, 10 * FULL_STEP_MS + decode_ms)
        self.assertEqual(self.engine.used_tokens, 0)

    def test_more_urgent_stream_is_prefilled_after_the_current_step(self) -> None:
        self.engine.submit(make_stream("long", 50 * SETTINGS.chunk_tokens, priority=2), 0.0)
        self.engine.submit(make_stream("short", SETTINGS.chunk_tokens, priority=0, serial=1), 100.0)
        progress = self.engine.advance(10_000.0)
        first = next(item for item in progress if item.is_prefilled)
        self.assertEqual(first.key, "short")
        self.assertLessEqual(first.at_ms, 100.0 + 2 * FULL_STEP_MS)

    def test_stream_waits_for_free_memory(self) -> None:
        self.engine.submit(make_stream("a", 90_000, output=1), 0.0)
        self.engine.submit(make_stream("b", 50_000, output=1, serial=1), 0.0)
        self.assertEqual(self.engine.waiting, 1)
        self.engine.cancel("a", 50.0)
        self.assertEqual((self.engine.waiting, self.engine.used_tokens), (0, 50_001))

    def test_cached_prefix_is_not_prefilled_again(self) -> None:
        for key in ("a", "b"):
            stream = make_stream(key, 4_096)
            stream.prefix = ("p0", "p1")
            self.engine.submit(stream, 0.0)
            self.engine.advance(5_000.0)
        stream = make_stream("c", 4_096)
        stream.prefix = ("p0", "p1", "other")
        self.engine.submit(stream, 10_000.0)
        self.assertEqual(self.engine.pending_tokens, 4_096 - prefix_tokens(1))

    def test_gang_member_holds_memory_but_does_not_prefill_before_the_others(self) -> None:
        member = make_stream("g", 10_000)
        member.gang = Gang(2)
        self.engine.submit(member, 0.0)
        self.assertEqual(self.engine.take_admitted_gang_streams(), [member])
        self.assertEqual(self.engine.advance(60_000.0), [])
        self.assertEqual(self.engine.used_tokens, 10_010)
