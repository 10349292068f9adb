"""Tests of the memory for requests."""

from __future__ import annotations

import unittest

from marigoldarch.clock import Millis
from marigoldarch.serving.request_memory import (
    MIN_REQUEST_BYTES,
    SLOW_GRACE_MS,
    SMALL_BODY_BYTES,
    HeldRequest,
    MemoryLimits,
    RequestMemory,
    request_memory_limits,
)

MIB = 1024 * 1024
BODY_LIMIT = 4 * MIB
ORDINARY_BYTES = 30_000


class ParsedHeadTests(unittest.TestCase):
    """Load pattern: hundreds of callers send heads of many short fields and bodies that arrive slowly."""

    def test_heads_take_memory_and_do_not_make_a_slow_body_look_fast(self) -> None:
        memory = RequestMemory(MemoryLimits(1_000_000))
        refused: list[str] = []
        slow = memory.begin(0.0, lambda: refused.append("slow"))
        self.assertTrue(memory.add_head(slow, 600_000, 0.0))
        other = memory.begin(SLOW_GRACE_MS, lambda: refused.append("other"))
        self.assertFalse(memory.add_head(other, 600_000, SLOW_GRACE_MS))
        self.assertTrue(memory.add_head(other, 600_000, SLOW_GRACE_MS + 1.0))
        self.assertEqual((refused, memory.held_bytes), (["slow"], 600_000))


class RequestMemoryTests(unittest.TestCase):
    """Replays of loads against 40 MiB, the memory of a small host."""

    def setUp(self) -> None:
        self.memory = RequestMemory(MemoryLimits(40 * MIB))
        self.refused: list[int] = []

    def begin(self, now_ms: Millis = 0.0) -> HeldRequest:
        """Begin a request that records when it is refused."""
        number = len(self.refused) + self.memory.incomplete_count
        return self.memory.begin(now_ms, lambda: self.refused.append(number))

    def test_crowd_of_large_bodies_stays_below_its_part_and_ordinary_ones_fit_beside_it(
        self,
    ) -> None:
        """Guards against the sum of bodies that are each inside the limit."""
        taken = 0
        for _ in range(200):
            request = self.begin()
            while request.size < BODY_LIMIT and self.memory.add(request, SMALL_BODY_BYTES, 100.0):
                pass
            if request.size < BODY_LIMIT:
                self.memory.free(request)
            taken += request.size
        self.assertEqual(taken, 28 * MIB)
        for _ in range(100):
            self.assertTrue(self.memory.add(self.begin(100.0), ORDINARY_BYTES, 100.0))
        self.assertLessEqual(self.memory.held_bytes, 40 * MIB)

    def test_stalled_bodies_are_refused_for_new_ones(self) -> None:
        """Guards against a crowd that fills the memory and sends a byte now and then."""
        stalled = [self.begin() for _ in range(1000)]
        for request in stalled:
            self.memory.add(request, SMALL_BODY_BYTES, 10.0)
        self.assertFalse(self.memory.add(self.begin(10.0), ORDINARY_BYTES, 10.0))
        self.assertEqual(self.refused, [])
        later_ms = SLOW_GRACE_MS + 1.0
        self.assertTrue(self.memory.add(self.begin(later_ms), ORDINARY_BYTES, later_ms))
        self.assertTrue(stalled[0].is_refused)
        self.assertEqual(len(self.refused), 1)

    def test_requests_that_were_read_whole_are_never_refused_for_others(self) -> None:
        accepted = [self.begin() for _ in range(640)]
        for request in accepted:
            self.assertTrue(self.memory.add(request, SMALL_BODY_BYTES, 0.0))
            self.memory.complete(request)
        self.assertFalse(self.memory.add(self.begin(60_000.0), SMALL_BODY_BYTES, 60_000.0))
        self.assertFalse(accepted[0].is_refused)

    def test_body_that_arrives_at_the_rate_of_a_link_is_not_slow(self) -> None:
        request = self.begin()
        request.size = 1_250_000 * 3
        self.assertFalse(request.is_slow(3000.0))
        request.size = 1000
        self.assertTrue(request.is_slow(3000.0))
        self.assertFalse(request.is_slow(SLOW_GRACE_MS))

    def test_single_request_always_fits_and_leaves_nothing(self) -> None:
        memory = RequestMemory(MemoryLimits(MIB))
        request = memory.begin(0.0, lambda: None)
        for _ in range(16):
            self.assertTrue(memory.add(request, MIB, 0.0))
        memory.complete(request)
        memory.free(request)
        self.assertEqual((memory.held_bytes, memory.incomplete_count), (0, 0))
        self.assertTrue(memory.add(memory.begin(0.0, lambda: None), SMALL_BODY_BYTES, 0.0))

    def test_bytes_read_ahead_count(self) -> None:
        self.memory.change_unparsed(40 * MIB)
        self.assertTrue(self.memory.is_full)
        self.assertFalse(self.memory.add(self.begin(), 1, 0.0))
        self.memory.change_unparsed(-40 * MIB)
        self.assertTrue(self.memory.add(self.begin(), 1, 0.0))

    def test_slow_request_is_refused_where_its_connection_is_needed(self) -> None:
        self.begin()
        self.assertFalse(self.memory.refuse_slow(SLOW_GRACE_MS))
        self.assertTrue(self.memory.refuse_slow(SLOW_GRACE_MS + 1.0))
        self.assertFalse(self.memory.refuse_slow(SLOW_GRACE_MS + 1.0))

    def test_limits_leave_room_for_responses(self) -> None:
        self.assertEqual(request_memory_limits(200_000_000, 33_554_432).max_bytes, 46_445_568)
        self.assertEqual(request_memory_limits(64_000_000, 33_554_432).max_bytes, MIN_REQUEST_BYTES)
