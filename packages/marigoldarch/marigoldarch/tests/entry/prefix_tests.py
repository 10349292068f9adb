"""Tests of prefix hashes."""

from __future__ import annotations

import unittest

from marigoldarch.entry.prefix import (
    BYTES_PER_TOKEN,
    estimate_tokens,
    prefix_hashes,
    prefix_tokens,
)


class PrefixHashesTests(unittest.TestCase):
    """Hashes that prompts share."""

    def test_prompts_share_the_hashes_of_their_common_prefix(self) -> None:
        common = b"a" * (2048 * BYTES_PER_TOKEN)
        first = prefix_hashes(common + b"b" * 9000, "coach")
        second = prefix_hashes(common + b"c" * 9000, "coach")
        self.assertEqual(first[:3], second[:3])
        self.assertNotEqual(first[3:], second[3:])

    def test_million_tokens_have_twelve_hashes(self) -> None:
        prompt = b"x" * (1_048_576 * BYTES_PER_TOKEN)
        hashes = prefix_hashes(prompt, "coach")
        self.assertEqual(len(hashes), 12)
        self.assertEqual(prefix_tokens(len(hashes) - 1), estimate_tokens(prompt))

    def test_models_share_no_hashes(self) -> None:
        prompt = b"x" * 4096
        self.assertNotEqual(prefix_hashes(prompt, "coach"), prefix_hashes(prompt, "judge"))

    def test_short_prompt_has_no_hashes(self) -> None:
        self.assertEqual(prefix_hashes(b"short", "coach"), ())
