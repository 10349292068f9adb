"""Tests of the log's rate limit and formats."""

from __future__ import annotations

import io
import unittest

import logbook

from marigoldarch.codec import decode_json
from marigoldarch_node.logs import (
    MAX_RECORDS_PER_WINDOW,
    LogRateLimiter,
    RateLimitedHandler,
    format_json,
    get_logger,
)


class LogTests(unittest.TestCase):
    """Records of one message are limited and counted, and do not displace other messages."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.stream = io.StringIO()
        rate_limiter = LogRateLimiter(lambda: self.now_s)
        self.handler = RateLimitedHandler(self.stream, logbook.DEBUG, rate_limiter)
        self.log = get_logger("peers")

    def write(self, *messages: str) -> list[str]:
        """Log messages and return all lines so far."""
        with self.handler.applicationbound():
            for message in messages:
                self.log.warning(message, "n2")
        return self.stream.getvalue().splitlines()

    def test_lines_carry_the_name_of_their_part(self) -> None:
        self.assertIn("WARNING peers: Link to n2 broke.", self.write("Link to {} broke.")[0])

    def test_repeated_message_is_limited_and_suppressed_records_are_counted(self) -> None:
        lines = self.write(*["Link to {} broke."] * (MAX_RECORDS_PER_WINDOW + 7))
        self.assertEqual(len(lines), MAX_RECORDS_PER_WINDOW)
        lines = self.write("Another {}.")
        self.assertIn("(7 records were suppressed)", lines[-1])
        self.now_s = 1.5
        self.assertEqual(len(self.write("Link to {} broke.")), MAX_RECORDS_PER_WINDOW + 2)

    def test_json_lines_carry_the_part_and_the_suppressed_count(self) -> None:
        self.handler.formatter = format_json
        lines = self.write(*["Link to {} broke."] * (MAX_RECORDS_PER_WINDOW + 1), "Another {}.")
        last = decode_json(lines[-1].encode())
        self.assertEqual((last["part"], last["suppressed"]), ("peers", 1))
        self.assertEqual(last["message"], "Another n2.")
