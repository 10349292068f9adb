"""Names of a prompt's prefixes, by which caches are compared without sending the prompt.

A prompt has one name for each prefix length of 512 tokens times a power of two, so that a million
tokens have twelve names and a cached prefix is found to within a factor of two of its length.
"""

from __future__ import annotations

import xxhash

BYTES_PER_TOKEN = 4
"""The assumed length of a token; the exact one is known only to the engines."""

FIRST_PREFIX_TOKENS = 512


def estimate_tokens(prompt: bytes) -> int:
    """Return the assumed number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def prefix_hashes(prompt: bytes, scope: str) -> tuple[str, ...]:
    """Return the names of the prompt's prefixes, the shortest first.

    `scope` tells apart what shares no cache: model, adapter and version.
    """
    names: list[str] = []
    hasher = xxhash.xxh3_128(scope.encode())
    begin, length = 0, FIRST_PREFIX_TOKENS * BYTES_PER_TOKEN
    while length <= len(prompt):
        hasher.update(prompt[begin:length])
        names.append(hasher.hexdigest())
        begin, length = length, length * 2
    return tuple(names)


def prefix_tokens(position: int) -> int:
    """Return the length in tokens of the prefix at `position` among a prompt's names."""
    return FIRST_PREFIX_TOKENS << position
