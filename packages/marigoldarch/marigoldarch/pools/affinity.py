"""Guesses of which target has which prefix cached, from late and gappy cache events."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens

ENTRY_LIMIT = 4096
"""How many prefixes are remembered of one target; the least recently seen go first."""

HOLDER_LIMIT = 8
"""How many targets are remembered for one prefix."""

AGE_LIMIT_MS: Millis = 600_000.0
"""An entry that no event or grant confirmed for so long is no longer believed."""

GAP_TRUST = 0.5
"""The factor by which one gap in the sequence lowers the trust in a target's entries."""

TRUST_RECOVERY = 1.1
"""The factor by which each event in sequence raises the trust again, up to 1."""


class CacheGuess(NamedTuple):
    """A target that may have `tokens` of a prompt's prefix; the trust is already applied."""

    target: str
    tokens: int


@dataclass(eq=False)
class TargetCache:
    """What is believed of one target: prefix names with the instant of their last confirmation."""

    sequence: int | None = None
    trust: float = 1.0
    entries: OrderedDict[str, Millis] = field(default_factory=OrderedDict)


class CacheIndex:
    """The believed caches of all targets."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetCache] = {}
        self._holders: dict[str, dict[str, None]] = {}

    def find(self, prefix: tuple[str, ...], now_ms: Millis) -> list[CacheGuess]:
        """Return the targets with the longest believed prefix, the shortest names first in it."""
        for position in range(len(prefix) - 1, -1, -1):
            guesses = [
                CacheGuess(name, int(prefix_tokens(position) * self._targets[name].trust))
                for name in self._holders.get(prefix[position], ())
                if now_ms - self._targets[name].entries[prefix[position]] <= AGE_LIMIT_MS
            ]
            if guesses:
                return guesses
        return []

    def report(
        self, target: str, sequence: int, stored: list[str], removed: list[str], now_ms: Millis
    ) -> None:
        """Take a target's events; a gap lowers the trust, an event out of order adds nothing."""
        cache = self._targets.setdefault(target, TargetCache())
        expected = None if cache.sequence is None else cache.sequence + 1
        if expected is not None and sequence < expected:
            for name in removed:
                self._forget(target, cache, name)
            return
        if expected is not None and sequence > expected:
            cache.trust *= GAP_TRUST
        else:
            cache.trust = min(1.0, cache.trust * TRUST_RECOVERY)
        cache.sequence = sequence
        for name in stored:
            self.note(target, name, now_ms)
        for name in removed:
            self._forget(target, cache, name)

    def note(self, target: str, name: str, now_ms: Millis) -> None:
        """Believe that a target has a prefix, or will have it once granted work is prefilled."""
        cache = self._targets.setdefault(target, TargetCache())
        cache.entries[name] = now_ms
        cache.entries.move_to_end(name)
        holders = self._holders.setdefault(name, {})
        holders[target] = None
        if len(holders) > HOLDER_LIMIT:
            oldest = next(iter(holders))
            self._forget(oldest, self._targets[oldest], name)
        if len(cache.entries) > ENTRY_LIMIT:
            self._forget(target, cache, next(iter(cache.entries)))

    def forget_target(self, target: str) -> None:
        """Drop everything of a target that is gone or has started anew."""
        cache = self._targets.get(target)
        if cache is None:
            return
        for name in list(cache.entries):
            self._forget(target, cache, name)
        del self._targets[target]

    def _forget(self, target: str, cache: TargetCache, name: str) -> None:
        if cache.entries.pop(name, None) is None:
            return
        holders = self._holders[name]
        holders.pop(target, None)
        if not holders:
            del self._holders[name]
