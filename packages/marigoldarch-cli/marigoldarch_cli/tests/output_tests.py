"""Tests of how answers are shown."""

from __future__ import annotations

import subprocess
import sys
import unittest

from expression import Result

from marigoldarch_cli.client import Answer
from marigoldarch_cli.output import answer_text


class AnswerTextTests(unittest.TestCase):
    """Answers and refusals."""

    def test_answer_is_shown_one_field_a_line(self) -> None:
        text = answer_text(Answer(200, {"node": "n1", "active": 0})).ok
        self.assertEqual(text.splitlines(), ["{", '  "node": "n1",', '  "active": 0', "}"])

    def test_refusal_is_an_error_that_holds_what_the_node_said(self) -> None:
        match answer_text(Answer(401, {"error": {"type": "unknown_operator_key"}})):
            case Result(tag="error", error=problem):
                self.assertIn("unknown_operator_key", str(problem))
            case _:
                self.fail("a refusal must be an error")


class ShowTests(unittest.TestCase):
    """Output that a pipe takes."""

    def test_reader_that_has_had_enough_is_no_error(self) -> None:
        program = "from marigoldarch_cli.output import show; show('x' * 5_000_000)"
        with subprocess.Popen(
            [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        ) as process:
            self.assertEqual(process.stdout.read(1), b"x")
            process.stdout.close()
            self.assertEqual(process.stderr.read(), b"")
            self.assertEqual(process.wait(), 0)
