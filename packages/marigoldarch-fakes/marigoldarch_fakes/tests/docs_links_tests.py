"""Tests that relative links in the documentation point to existing files."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[4]

_LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)[^)]*\)")


def find_broken_links(page: Path) -> list[str]:
    """Return the relative links of a page that point to no file."""
    links = [link for link in _LINK.findall(page.read_text()) if "://" not in link]
    return [link for link in links if not (page.parent / link).exists()]


class LinkTests(unittest.TestCase):
    """Links of all pages and of the README."""

    def test_relative_links_point_to_files(self) -> None:
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        broken_links = {str(page.relative_to(ROOT)): find_broken_links(page) for page in pages}
        self.assertEqual({page: links for page, links in broken_links.items() if links}, {})
