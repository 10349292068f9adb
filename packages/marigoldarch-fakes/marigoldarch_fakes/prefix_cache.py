"""A stand-in's prefix cache with events that are published late and with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from typing import NamedTuple

from marigoldarch.entry.prefix import prefix_hashes, prefix_tokens


class CacheEvent(NamedTuple):
    """Prefixes that were stored and removed since the last event."""

    sequence: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


class PrefixCache:
    """Least recently used prefixes within a bound of tokens."""

    def __init__(self, capacity_tokens: int, loss: float, seed: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._loss = loss
        self._random = random.Random(seed)
        self._names: OrderedDict[str, int] = OrderedDict()
        self._used_tokens = 0
        self._sequence = 0
        self._stored: list[str] = []
        self._removed: list[str] = []

    @property
    def used_tokens(self) -> int:
        """Return how many tokens the cache holds."""
        return self._used_tokens

    def use(self, prompt: bytes, scope: str) -> int:
        """Return how many tokens of the prompt were cached, and cache all of its prefixes."""
        cached = 0
        for position, name in enumerate(prefix_hashes(prompt, scope)):
            if name in self._names:
                cached = prefix_tokens(position)
                self._names.move_to_end(name)
                continue
            # A longer prefix contains the shorter ones, so that only the difference is new.
            tokens = prefix_tokens(position) // (1 if position == 0 else 2)
            self._names[name] = tokens
            self._used_tokens += tokens
            self._stored.append(name)
        self._evict()
        return cached

    def _evict(self) -> None:
        while self._used_tokens > self._capacity_tokens:
            name, tokens = self._names.popitem(last=False)
            self._used_tokens -= tokens
            self._removed.append(name)

    def publish(self) -> CacheEvent | None:
        """Return the next event, or None when there is none or it is lost.

        A lost event takes its sequence number along, which shows as a gap.
        """
        if not self._stored and not self._removed:
            return None
        self._sequence += 1
        event = CacheEvent(self._sequence, tuple(self._stored), tuple(self._removed))
        self._stored.clear()
        self._removed.clear()
        return None if self._random.random() < self._loss else event


class Lagged:
    """Values that are seen only a number of readings later."""

    def __init__(self, readings: int) -> None:
        self._values: deque[dict[str, int]] = deque(maxlen=readings + 1)

    def read(self, present: dict[str, int]) -> dict[str, int]:
        """Take the present value and return the one that is seen now."""
        self._values.append(present)
        return self._values[0]
