"""Estimates of which target has which prompt prefix cached, from late and incomplete events."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens

ENTRY_LIMIT = 4096
"""How many prefixes are kept per target; the least recently confirmed are dropped first."""

HOLDER_LIMIT = 8
"""How many targets are kept per prefix; the oldest is dropped first."""

ENTRY_AGE_LIMIT_MS: Millis = 600_000.0
"""An entry that no event or grant has confirmed for this long is ignored."""

GAP_CONFIDENCE_FACTOR = 0.5
"""The factor by which a gap in a target's event sequence lowers the confidence in its entries."""

CONFIDENCE_RECOVERY_FACTOR = 1.1
"""The factor by which each event in sequence raises the confidence again, up to 1."""


class CacheMatch(NamedTuple):
    """A target that likely has `tokens` of a prompt's prefix cached, scaled by the confidence."""

    target: str
    tokens: int


@dataclass(eq=False)
class TargetCache:
    """The estimated cache of one target: prefix hashes and the time of their last confirmation."""

    sequence: int | None = None
    confidence: float = 1.0
    entries: OrderedDict[str, Millis] = field(default_factory=OrderedDict)


class PrefixCacheIndex:
    """The estimated prefix caches of all targets."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetCache] = {}
        self._holders: dict[str, dict[str, None]] = {}

    def find(self, prefix: tuple[str, ...], now_ms: Millis) -> list[CacheMatch]:
        """Return the targets that likely have the longest cached prefix of a prompt.

        `prefix` holds the hashes of the prompt's prefixes, the shortest first.
        """
        for position in range(len(prefix) - 1, -1, -1):
            matches = [
                CacheMatch(target, int(prefix_tokens(position) * self._targets[target].confidence))
                for target in self._holders.get(prefix[position], ())
                if now_ms - self._targets[target].entries[prefix[position]] <= ENTRY_AGE_LIMIT_MS
            ]
            if matches:
                return matches
        return []

    def apply_events(
        self, target: str, sequence: int, stored: list[str], removed: list[str], now_ms: Millis
    ) -> None:
        """Apply a target's cache events.

        A gap in the sequence lowers the confidence. Events that arrive late only remove prefixes.
        """
        cache = self._targets.setdefault(target, TargetCache())
        expected = None if cache.sequence is None else cache.sequence + 1
        if expected is not None and sequence < expected:
            for prefix_hash in removed:
                self._remove_prefix(target, cache, prefix_hash)
            return
        if expected is not None and sequence > expected:
            cache.confidence *= GAP_CONFIDENCE_FACTOR
        else:
            cache.confidence = min(1.0, cache.confidence * CONFIDENCE_RECOVERY_FACTOR)
        cache.sequence = sequence
        for prefix_hash in stored:
            self.add_prefix(target, prefix_hash, now_ms)
        for prefix_hash in removed:
            self._remove_prefix(target, cache, prefix_hash)

    def add_prefix(self, target: str, prefix_hash: str, now_ms: Millis) -> None:
        """Record that a target has a prefix, or will have it once granted work is prefilled."""
        cache = self._targets.setdefault(target, TargetCache())
        cache.entries[prefix_hash] = now_ms
        cache.entries.move_to_end(prefix_hash)
        holders = self._holders.setdefault(prefix_hash, {})
        holders[target] = None
        if len(holders) > HOLDER_LIMIT:
            oldest = next(iter(holders))
            self._remove_prefix(oldest, self._targets[oldest], prefix_hash)
        if len(cache.entries) > ENTRY_LIMIT:
            self._remove_prefix(target, cache, next(iter(cache.entries)))

    def forget_target(self, target: str) -> None:
        """Drop all entries of a target that is gone or has restarted."""
        cache = self._targets.get(target)
        if cache is None:
            return
        for prefix_hash in list(cache.entries):
            self._remove_prefix(target, cache, prefix_hash)
        del self._targets[target]

    def _remove_prefix(self, target: str, cache: TargetCache, prefix_hash: str) -> None:
        if cache.entries.pop(prefix_hash, None) is None:
            return
        holders = self._holders[prefix_hash]
        holders.pop(target, None)
        if not holders:
            del self._holders[prefix_hash]
