"""Tests of formatting responses and printing text."""

from __future__ import annotations

import subprocess
import sys
import unittest

from expression import Result

from marigoldarch_cli.client import Response
from marigoldarch_cli.output import format_response


class FormatResponseTests(unittest.TestCase):
    """A response becomes indented JSON; a refusal becomes an error."""

    def test_each_field_is_on_a_line_of_its_own(self) -> None:
        text = format_response(Response(200, {"node": "n1", "active": 0})).ok
        self.assertEqual(text.splitlines(), ["{", '  "node": "n1",', '  "active": 0', "}"])

    def test_refusal_becomes_an_error_with_the_response_body(self) -> None:
        match format_response(Response(401, {"error": {"type": "unknown_operator_key"}})):
            case Result(tag="error", error=error):
                self.assertIn("unknown_operator_key", str(error))
            case _:
                self.fail("a refusal must be an error")


class PrintTextTests(unittest.TestCase):
    """Printing to a pipe."""

    def test_reader_that_closes_the_pipe_early_causes_no_error(self) -> None:
        program = "from marigoldarch_cli.output import print_text; print_text('x' * 5_000_000)"
        with subprocess.Popen(
            [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        ) as process:
            self.assertEqual(process.stdout.read(1), b"x")
            process.stdout.close()
            self.assertEqual(process.stderr.read(), b"")
            self.assertEqual(process.wait(), 0)
