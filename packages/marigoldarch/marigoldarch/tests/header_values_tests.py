"""Tests of names in headers."""

from __future__ import annotations

import unittest

from marigoldarch.header_values import is_header_value


class HeaderValueTests(unittest.TestCase):
    """Names are accepted if they can be sent as they are."""

    def test_names_with_blanks_at_the_ends_or_control_characters_are_refused(self) -> None:
        for name in ("", " ", " a", "a ", "a\nb", "a\x00", "a\x7f", "\x1f", "\ud800"):
            self.assertFalse(is_header_value(name), name)
        for name in ("a", "a b", "caf\xe9", "\u5009"):
            self.assertTrue(is_header_value(name), name)
