"""Tests of decimal numbers in text."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from marigoldarch.decimals import MAX_WHOLE_NUMBER, parse_non_negative, parse_whole_number


class DecimalTests(unittest.TestCase):
    """Text becomes a number within bounds, or None."""

    @given(st.text() | st.from_regex(r"\s*[0-9]{1,5000}\s*", fullmatch=True))
    def test_no_text_raises(self, text: str) -> None:
        number = parse_whole_number(text, 1000)
        self.assertTrue(number is None or 0 <= number <= 1000)
        number = parse_non_negative(text, 1000.0)
        self.assertTrue(number is None or 0 <= number <= 1000.0)

    @given(st.integers(min_value=0, max_value=MAX_WHOLE_NUMBER))
    def test_whole_numbers_up_to_63_bits_are_read(self, number: int) -> None:
        self.assertEqual(parse_whole_number(f" {number} "), number)
        self.assertEqual(parse_whole_number(b"%d" % number), number)

    def test_other_texts_are_not_numbers(self) -> None:
        for text in ("", "-1", "+1", "1.5", "1_0", "\xb2", "\u0663", "9" * 20, f"{2**63}"):
            self.assertIsNone(parse_whole_number(text), text)
        for text in ("", "-1", "nan", "inf", "1e999", "1000.1", "x"):
            self.assertIsNone(parse_non_negative(text, 1000.0), text)
        self.assertEqual(parse_non_negative("0.25", 1000.0), 0.25)
