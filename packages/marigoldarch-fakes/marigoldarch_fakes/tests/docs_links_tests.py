"""Tests that the pages' links lead to something."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[4]

_LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)[^)]*\)")


def find_broken(page: Path) -> list[str]:
    """Return the relative links of a page that lead to no file."""
    links = [link for link in _LINK.findall(page.read_text()) if "://" not in link]
    return [link for link in links if not (page.parent / link).exists()]


class LinkTests(unittest.TestCase):
    """All pages and the README."""

    def test_relative_links_lead_to_files(self) -> None:
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        broken = {str(page.relative_to(ROOT)): find_broken(page) for page in pages}
        self.assertEqual({page: links for page, links in broken.items() if links}, {})
