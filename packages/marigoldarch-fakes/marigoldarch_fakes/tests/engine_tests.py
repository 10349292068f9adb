"""Tests of the stand-in engine, its faults, its prefix cache and the load generator."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch_fakes.engine import Engine, EngineSettings
from marigoldarch_fakes.load import LoadSettings, generate_arrivals
from marigoldarch_fakes.prefix_cache import DelayedValue, PrefixCache
from marigoldarch_node.edge.http import Router
from marigoldarch_node.tests.harness import Response, send

GENERATION = {
    "permit": "3-1",
    "attempt": 1,
    "model": "coach",
    "adapter": "",
    "version": "",
    "prompt": "hello",
    "max_tokens": 6,
    "offset": 0,
    "gang": {"rank": 0, "size": 1},
}


class EngineTests(unittest.TestCase):
    """Without a scheduled fault the engine behaves as the target interface requires."""

    def setUp(self) -> None:
        settings = EngineSettings("e1", "127.0.0.1:1", "dc1", "coach", (), decode_step_ms=0.1)
        self.router = Router(Engine(settings).routes)

    def send(self, path: str, body: Any, method: str = "POST") -> Response:
        """Send one request."""
        return trio.run(send, self.router, method, path, [], encode_json(body))

    def frames(self, **changes: Any) -> list[tuple[str, int, bool]]:
        """Generate a stream; return the permit, offset and end marker of each frame."""
        response = self.send("/v1/generate", {**GENERATION, **changes})
        body = [decode_json(line) for line in response.body.splitlines()]
        return [(item["permit"], item["offset"], item["end"]) for item in body]

    def test_stream_has_consecutive_offsets_and_an_end_marker(self) -> None:
        expected = [("3-1", offset, offset == 5) for offset in range(6)]
        self.assertEqual(self.frames(), expected)
        self.assertEqual(self.frames(offset=4), expected[4:])

    def test_resume_after_the_last_token_sends_only_the_end_marker(self) -> None:
        self.assertEqual(self.frames(offset=6), [("3-1", 6, True)])

    def test_each_scheduled_fault_is_applied_once(self) -> None:
        whole = self.frames()
        self.send("/fault/show/cut", {})
        self.assertEqual(self.frames(), whole[:3])
        self.send("/fault/show/duplicate", {})
        self.assertEqual(self.frames(), [*whole[:3], whole[2], *whole[3:]])
        self.send("/fault/show/cross", {})
        self.assertIn(("0-0", 3, False), self.frames())
        self.send("/fault/show/refuse", {})
        refusal = self.send("/v1/generate", GENERATION)
        self.assertEqual((refusal.status, refusal.json["error"]["run"]), (503, "not_run"))
        self.assertEqual(self.frames(), whole)
        self.assertEqual(self.send("/fault/show/unheard-of", {}).status, 400)

    def test_order_with_an_old_fence_is_refused(self) -> None:
        order = {"order_id": "o1", "fence": 5, "load": "coach"}
        self.assertEqual(self.send("/v1/orders", order).status, 200)
        self.assertEqual(self.send("/v1/orders", {**order, "fence": 4}).status, 409)

    def test_imported_kv_cache_is_held_until_it_is_released(self) -> None:
        self.send("/v1/kv/import/3-9", {"tokens": 100})
        self.assertEqual(self.send("/v1/holdings", None, "GET").json["holdings"], ["3-9"])
        self.send("/v1/streams/3-9", None, "DELETE")
        self.assertEqual(self.send("/v1/holdings", None, "GET").json["holdings"], [])


class CacheTests(unittest.TestCase):
    """Cache events are numbered consecutively; a lost event leaves a gap."""

    def test_repeated_prefix_is_cached_and_old_prefixes_are_evicted(self) -> None:
        cache = PrefixCache(2048, 0.0, 1)
        prompt = b"a" * 4096
        self.assertEqual(cache.use(prompt, "coach"), 0)
        self.assertEqual(cache.use(prompt, "coach"), 1024)
        self.assertEqual(len(cache.next_event().stored), 2)
        for letter in (b"b", b"c", b"d"):
            cache.use(letter * 4096, "coach")
        event = cache.next_event()
        self.assertEqual(event.sequence, 2)
        self.assertTrue(event.removed)
        self.assertLessEqual(cache.used_tokens, 2048)

    def test_lost_event_leaves_a_gap_in_the_sequence(self) -> None:
        cache = PrefixCache(10**6, 0.5, 1)
        sequences = []
        for number in range(40):
            cache.use(bytes([number]) * 4096, "coach")
            event = cache.next_event()
            sequences += [event.sequence] if event else []
        self.assertLess(len(sequences), 40)
        self.assertEqual(sequences, sorted(set(sequences)))

    def test_load_is_reported_with_a_delay(self) -> None:
        delayed = DelayedValue(2)
        seen = [delayed.read({"running": number})["running"] for number in range(5)]
        self.assertEqual(seen, [0, 0, 0, 1, 2])


class LoadTests(unittest.TestCase):
    """The same seed gives the same arrivals."""

    def test_arrivals_are_seeded_and_within_their_bounds(self) -> None:
        settings = LoadSettings((), "k", rate_per_s=50.0, duration_s=20.0)
        arrivals = generate_arrivals(settings)
        self.assertEqual(arrivals, generate_arrivals(settings))
        self.assertNotEqual(arrivals, generate_arrivals(settings._replace(seed=2)))
        for arrival in arrivals:
            load_class = arrival.load_class
            self.assertTrue(
                load_class.min_prompt_tokens
                <= arrival.prompt_tokens
                <= load_class.max_prompt_tokens
            )
        self.assertEqual(
            {arrival.load_class.name for arrival in arrivals}, {"short", "medium", "long"}
        )
