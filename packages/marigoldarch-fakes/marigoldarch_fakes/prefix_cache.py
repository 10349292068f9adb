"""A stand-in engine's prefix cache, whose events can get lost, and a value that is read late."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from typing import NamedTuple

from marigoldarch.entry.prefix import prefix_hashes, prefix_tokens


class CacheEvent(NamedTuple):
    """Hashes of the prefixes that were stored and removed since the last event."""

    sequence: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


class PrefixCache:
    """A prefix cache of bounded size in tokens that evicts the least recently used prefix.

    `loss_rate` is the fraction of events that get lost.
    """

    def __init__(self, capacity_tokens: int, loss_rate: float, seed: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._loss_rate = loss_rate
        self._random = random.Random(seed)
        self._tokens_by_prefix: OrderedDict[str, int] = OrderedDict()
        self._used_tokens = 0
        self._sequence = 0
        self._stored: list[str] = []
        self._removed: list[str] = []

    @property
    def used_tokens(self) -> int:
        """Return how many tokens the cache holds."""
        return self._used_tokens

    def use(self, prompt: bytes, scope: str) -> int:
        """Cache all prefixes of the prompt; return how many of its tokens were cached before."""
        cached = 0
        for index, prefix in enumerate(prefix_hashes(prompt, scope)):
            if prefix in self._tokens_by_prefix:
                cached = prefix_tokens(index)
                self._tokens_by_prefix.move_to_end(prefix)
                continue
            # Each prefix is twice as long as the one before and contains it, so half of it is new.
            tokens = prefix_tokens(index) // (1 if index == 0 else 2)
            self._tokens_by_prefix[prefix] = tokens
            self._used_tokens += tokens
            self._stored.append(prefix)
        self._evict()
        return cached

    def _evict(self) -> None:
        while self._used_tokens > self._capacity_tokens:
            prefix, tokens = self._tokens_by_prefix.popitem(last=False)
            self._used_tokens -= tokens
            self._removed.append(prefix)

    def next_event(self) -> CacheEvent | None:
        """Return the next event, or None if nothing has changed or the event gets lost.

        A lost event uses up its sequence number, so that readers see a gap.
        """
        if not self._stored and not self._removed:
            return None
        self._sequence += 1
        event = CacheEvent(self._sequence, tuple(self._stored), tuple(self._removed))
        self._stored.clear()
        self._removed.clear()
        return None if self._random.random() < self._loss_rate else event


class DelayedValue:
    """A value that `read` returns `delay_readings` calls after it was current."""

    def __init__(self, delay_readings: int) -> None:
        self._values: deque[dict[str, int]] = deque(maxlen=delay_readings + 1)

    def read(self, value: dict[str, int]) -> dict[str, int]:
        """Record the current value and return the delayed one, at first the oldest."""
        self._values.append(value)
        return self._values[0]
