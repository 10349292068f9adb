"""Tests of how answers are shown."""

from __future__ import annotations

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
