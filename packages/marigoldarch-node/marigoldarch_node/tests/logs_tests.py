"""Tests of the log's bounds and forms."""

from __future__ import annotations

import io
import unittest

import logbook

from marigoldarch.codec import decode_json
from marigoldarch_node.logs import (
    RECORDS_PER_WINDOW,
    BoundedHandler,
    LogRateLimiter,
    format_json,
    get_logger,
)


class LogTests(unittest.TestCase):
    """A storm of one message leaves room for the others and is told in numbers."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.stream = io.StringIO()
        bound = LogRateLimiter(lambda: self.now_s)
        self.handler = BoundedHandler(self.stream, logbook.DEBUG, bound)
        self.log = get_logger("peers")

    def write(self, *messages: str) -> list[str]:
        """Log messages and return all lines so far."""
        with self.handler.applicationbound():
            for message in messages:
                self.log.warning(message, "n2")
        return self.stream.getvalue().splitlines()

    def test_lines_carry_the_prefix_of_their_part(self) -> None:
        self.assertIn("WARNING peers: Link to n2 broke.", self.write("Link to {} broke.")[0])

    def test_storm_of_one_message_is_bounded_and_counted(self) -> None:
        lines = self.write(*["Link to {} broke."] * (RECORDS_PER_WINDOW + 7))
        self.assertEqual(len(lines), RECORDS_PER_WINDOW)
        lines = self.write("Another {}.")
        self.assertIn("(7 records were suppressed)", lines[-1])
        self.now_s = 1.5
        self.assertEqual(len(self.write("Link to {} broke.")), RECORDS_PER_WINDOW + 2)

    def test_json_lines_hold_the_same(self) -> None:
        self.handler.formatter = format_json
        lines = self.write(*["Link to {} broke."] * (RECORDS_PER_WINDOW + 1), "Another {}.")
        last = decode_json(lines[-1].encode())
        self.assertEqual((last["part"], last["suppressed"]), ("peers", 1))
        self.assertEqual(last["message"], "Another n2.")
