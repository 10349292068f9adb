"""Decides which bytes of requests a node takes into its memory, and which it gives up for others.

Load pattern: callers that the operator does not control send more than the node has memory for, as
many large bodies at once, as bodies that stall, or as requests far ahead of their answers. A request
that was read whole is kept until it has ended. Of the others those go first whose callers send
slower than any sound link, and then the next one that asks for more is refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_BODY_BYTES = 65_536
"""Bodies up to this size may use all of the memory, larger ones `large_share` of it."""

LARGE_SHARE = 0.75

SLOW_GRACE_MS: Millis = 2000.0
"""A body counts as slow after this time at the earliest: a lost packet may delay it for a second."""

MIN_BODY_BYTES_PER_S = 65_536.0
"""A body that arrives slower than this counts as slow; links of callers have 10 Mbit/s and more."""

MIN_REFUSED_BYTES = 4096
"""A slow body that takes less is not refused for the sake of memory."""

MAX_SEARCHED_BODIES = 64
"""How many of the oldest bodies are searched for a slow one."""


HELD_MEMORY_SHARE = 0.4
"""The part of a host's memory for requests and responses together."""

MIN_REQUEST_BYTES = 8 * 1024 * 1024
"""What requests may take at least: two bodies of the usual limit."""


class MemoryLimits(NamedTuple):
    """How many bytes all requests of a node may take, and what part of them large bodies may."""

    max_bytes: int
    large_share: float = LARGE_SHARE


def request_memory_limits(memory_bytes: int, response_bytes: int) -> MemoryLimits:
    """Return the limits of requests on a host whose responses may take `response_bytes`."""
    left = int(memory_bytes * HELD_MEMORY_SHARE) - response_bytes
    return MemoryLimits(max(left, MIN_REQUEST_BYTES))


@dataclass(eq=False)
class HeldRequest:
    """What a node holds of one request: its bytes so far, of which `head_bytes` are its parsed head.

    `refuse` ends the reading of a request that is not complete.
    """

    begun_ms: Millis
    refuse: Callable[[], None]
    size: int = 0
    head_bytes: int = 0
    is_large: bool = False
    is_refused: bool = False

    def is_slow(self, now_ms: Millis) -> bool:
        """Return whether the request arrives slower than any sound link sends."""
        age_ms = now_ms - self.begun_ms
        body_bytes = self.size - self.head_bytes
        return age_ms > SLOW_GRACE_MS and body_bytes < MIN_BODY_BYTES_PER_S * age_ms / 1000.0


class RequestMemory:
    """The memory for the requests of one node, complete and incomplete, and for bytes read ahead."""

    def __init__(self, limits: MemoryLimits) -> None:
        self._limits = limits
        self._held_bytes = 0
        self._large_bytes = 0
        self._incomplete: dict[HeldRequest, None] = {}

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all requests take."""
        return self._held_bytes

    @property
    def incomplete_count(self) -> int:
        """Return how many requests are being read."""
        return len(self._incomplete)

    def begin(self, now_ms: Millis, refuse: Callable[[], None]) -> HeldRequest:
        """Return the account of a request that is being read; the caller has to free it."""
        request = HeldRequest(now_ms, refuse)
        self._incomplete[request] = None
        return request

    def add_head(self, request: HeldRequest, size: int, now_ms: Millis) -> bool:
        """Count the parsed head of a request; return False if there is no memory for it.

        Parsed, a head of many short fields takes twenty times its bytes.
        """
        request.head_bytes = size
        return self.add(request, size, now_ms)

    def add(self, request: HeldRequest, size: int, now_ms: Millis) -> bool:
        """Count `size` more bytes of a request; return False if there is no memory for them.

        Slow requests are refused for it. A single request always fits.
        """
        while not self._fits(request, size):
            slow = self._find_slow(request, MIN_REFUSED_BYTES, now_ms)
            if slow is None:
                return False
            self._give_up(slow)
        self._held_bytes += size
        request.size += size
        if request.is_large:
            self._large_bytes += size
        elif request.size > SMALL_BODY_BYTES:
            request.is_large = True
            self._large_bytes += request.size
        return True

    def complete(self, request: HeldRequest) -> None:
        """Note that a request was read whole: from now on it is not refused for others."""
        self._incomplete.pop(request, None)

    def free(self, request: HeldRequest) -> None:
        """Free the memory of a request."""
        self._incomplete.pop(request, None)
        self._held_bytes -= request.size
        if request.is_large:
            self._large_bytes -= request.size
        request.size, request.head_bytes, request.is_large = 0, 0, False

    def refuse_slow(self, now_ms: Millis) -> bool:
        """Refuse a slow request, as its connection is needed; return False if there is none."""
        slow = self._find_slow(None, 0, now_ms)
        if slow is not None:
            self._give_up(slow)
        return slow is not None

    @property
    def is_full(self) -> bool:
        """Return whether the memory for requests is in use."""
        return self._held_bytes >= self._limits.max_bytes

    def change_unparsed(self, difference: int) -> None:
        """Count bytes that have arrived and belong to no request yet; each connection bounds them."""
        self._held_bytes += difference

    def _fits(self, request: HeldRequest, size: int) -> bool:
        if self._held_bytes <= request.size:
            return True
        if self._held_bytes + size > self._limits.max_bytes:
            return False
        new_size = request.size + size
        if new_size <= SMALL_BODY_BYTES:
            return True
        others = self._large_bytes - (request.size if request.is_large else 0)
        return others + new_size <= self._limits.max_bytes * self._limits.large_share

    def _find_slow(
        self, asking: HeldRequest | None, min_bytes: int, now_ms: Millis
    ) -> HeldRequest | None:
        """Return the oldest slow request but the one that asks, None if none is so large."""
        for count, request in enumerate(self._incomplete):
            if count >= MAX_SEARCHED_BODIES:
                return None
            if request.size >= min_bytes and request is not asking and request.is_slow(now_ms):
                return request
        return None

    def _give_up(self, request: HeldRequest) -> None:
        self.free(request)
        request.is_refused = True
        request.refuse()
