"""Tests that the settings page agrees with the declared options."""

from __future__ import annotations

import unittest
from pathlib import Path

from marigoldarch_node.config.node import declared_options
from marigoldarch_node.config.page import render

PAGE = Path(__file__).resolve().parents[5] / "docs/user-guide/settings.md"


class SettingsPageTests(unittest.TestCase):
    """The page in the user guide is the one that the code generates."""

    def test_page_equals_the_rendered_one(self) -> None:
        self.assertEqual(PAGE.read_text(), render(), "run `make settings-page`")

    def test_page_names_every_flag_and_variable(self) -> None:
        page = PAGE.read_text()
        for option in declared_options().values():
            self.assertIn(f"`{option.flag}`", page)
            self.assertIn(f"`{option.variable}`", page)
