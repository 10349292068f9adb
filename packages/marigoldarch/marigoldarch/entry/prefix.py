"""Hashes of a prompt's prefixes, by which a scheduler finds cached prefixes without the prompt.

A prompt has one hash for each prefix length of 512 tokens times a power of two. A prompt of a
million tokens thus has twelve, and the length of a cached prefix is known within a factor of two.
"""

from __future__ import annotations

import xxhash

BYTES_PER_TOKEN = 4
"""Assumed length of a token; only the engines know the tokenisation."""

SHORTEST_PREFIX_TOKENS = 512


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def prefix_hashes(prompt: bytes, scope: str) -> tuple[str, ...]:
    """Return the hashes of the prompt's prefixes, the shortest first.

    `scope` hashes what shares a cache (model, adapter and version); it is part of every hash.
    """
    hashes: list[str] = []
    hasher = xxhash.xxh3_128(scope.encode())
    start, length = 0, SHORTEST_PREFIX_TOKENS * BYTES_PER_TOKEN
    while length <= len(prompt):
        hasher.update(prompt[start:length])
        hashes.append(hasher.hexdigest())
        start, length = length, length * 2
    return tuple(hashes)


def prefix_tokens(position: int) -> int:
    """Return the length in tokens of the prefix at `position` among a prompt's hashes."""
    return SHORTEST_PREFIX_TOKENS << position
