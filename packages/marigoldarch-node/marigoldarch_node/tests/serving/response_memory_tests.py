"""Tests of the bounds on the memory that responses of targets take."""

from __future__ import annotations

import unittest

from marigoldarch_node.serving.response_memory import (
    MAX_BODY_PIECES,
    MAX_EVENT_PIECES,
    HeldResponse,
    ResponseMemory,
    ResponseMemoryFullError,
)
from marigoldarch_node.serving.target_connections import ResponseError


class ResponseMemoryTests(unittest.TestCase):
    """At most 100 bytes for a response, 150 for a target and 300 for all."""

    def setUp(self) -> None:
        self.memory = ResponseMemory(100, 300)

    def held(self, target_id: str, size: int) -> HeldResponse:
        """Return a response of which `size` bytes have arrived."""
        response = self.memory.open(target_id)
        response.add(size)
        return response

    def assert_refused(self, limit: str, response: HeldResponse, size: int) -> ResponseError:
        """Check that the next piece exceeds a limit."""
        with self.assertRaises(ResponseError) as caught:
            response.add(size)
        self.assertEqual(caught.exception.limit, limit)
        return caught.exception

    def test_response_is_bounded(self) -> None:
        response = self.held("t", 100)
        self.assert_refused("max_response_bytes 100", response, 1)
        self.assertEqual(self.memory.held_bytes, 0)

    # Guards against a faulty target that leaves nothing to the others.
    def test_incomplete_responses_of_a_target_take_half_at_most(self) -> None:
        first, second = self.held("t", 100), self.held("t", 50)
        error = self.assert_refused("half of max_held_response_bytes 300", second, 1)
        self.assertNotIsInstance(error, ResponseMemoryFullError)
        self.held("u", 100)
        self.held("t", 50)
        self.assertEqual(self.memory.held_bytes, 250)
        first.close()
        self.held("t", 100)

    # Guards against a sound target that is set aside as callers read its responses slowly.
    def test_complete_responses_do_not_count_against_their_target(self) -> None:
        for _ in range(2):
            self.held("t", 100).complete()
        last = self.held("t", 100)
        self.assertEqual(self.memory.held_bytes, 300)
        self.assertIsInstance(
            self.assert_refused("max_held_response_bytes 300", self.memory.open("t"), 1),
            ResponseMemoryFullError,
        )
        last.close()
        self.held("t", 100)

    def test_closed_responses_leave_nothing(self) -> None:
        responses = [self.held("t", 50), self.held("t", 100), self.held("u", 30)]
        responses[1].complete()
        for response in responses:
            response.close()
            response.close()
        self.assertEqual(self.memory.held_bytes, 0)
        self.held("t", 100)
        self.held("t", 50)

    # Guards against a target that holds the processor with pieces of one byte.
    def test_number_of_pieces_is_bounded_for_a_body_but_not_for_a_stream(self) -> None:
        body = self.memory.open("t")
        for _ in range(MAX_BODY_PIECES):
            body.add(0)
        self.assert_refused(f"pieces {MAX_BODY_PIECES}", body, 0)
        stream = self.memory.open("t")
        for _ in range(MAX_EVENT_PIECES + 1):
            stream.begin_event(10)
        self.assertEqual(self.memory.held_bytes, 10)
        for _ in range(MAX_EVENT_PIECES - 1):
            stream.add(0)
        self.assert_refused(f"pieces {MAX_EVENT_PIECES}", stream, 0)
