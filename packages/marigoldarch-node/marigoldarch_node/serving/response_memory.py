"""Bounds the memory that responses of targets take in an entry.

A response counts with the bytes that the entry keeps of it: the whole body, or of a stream the
incomplete event. Heads have an account of their own, so that a body within its bound always has room. While a body is sent to the caller, it takes up to twice these bytes.
"""

from __future__ import annotations

from marigoldarch.serving.attempts import FailureReason
from marigoldarch_node.serving.target_connections import ResponseError

MAX_BODY_PIECES = 65_536
"""The number of pieces, chunks or reads, in which a body may arrive. Each piece costs processor time,
however small it is."""

MAX_EVENT_PIECES = 8192
"""The same for an event of a stream."""


MAX_HEAD_BYTES = 128 * 1024
MAX_HELD_HEAD_BYTES = 8 * 1024 * 1024
"""The memory of the heads of all responses; a usual one takes about 1.5 KB."""


class ResponseMemoryFullError(ResponseError):
    """Other responses take all the memory; the target is not at fault."""


class ResponseMemory:
    """The memory for responses of one entry.

    A response that is not complete yet may take `max_response_bytes`, those of one target together
    half of `max_held_bytes`, and all responses `max_held_bytes`. Errors name the latter by `limit_name`.
    """

    def __init__(
        self,
        max_response_bytes: int,
        max_held_bytes: int,
        limit_name: str = "max_held_response_bytes",
    ) -> None:
        self._limit_name = limit_name
        self._max_response_bytes = max_response_bytes
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._incomplete_bytes: dict[str, int] = {}

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all responses take."""
        return self._held_bytes

    def open(self, target_id: str) -> HeldResponse:
        """Return the account of a new response; the caller has to close it."""
        return HeldResponse(self, target_id)

    def reserve(self, target_id: str, size: int, response_bytes: int) -> None:
        """Add `size` bytes to a response that takes `response_bytes`; raise `ResponseError`."""
        if response_bytes + size > self._max_response_bytes:
            raise ResponseError(
                FailureReason.GARBLED, f"max_response_bytes {self._max_response_bytes}"
            )
        incomplete_bytes = self._incomplete_bytes.get(target_id, 0) + size
        if incomplete_bytes > self._max_held_bytes // 2:
            raise ResponseError(
                FailureReason.GARBLED, f"half of {self._limit_name} {self._max_held_bytes}"
            )
        if self._held_bytes + size > self._max_held_bytes:
            raise ResponseMemoryFullError(
                FailureReason.GARBLED, f"{self._limit_name} {self._max_held_bytes}"
            )
        self._held_bytes += size
        if incomplete_bytes:
            self._incomplete_bytes[target_id] = incomplete_bytes

    def complete(self, target_id: str, size: int) -> None:
        """Count `size` bytes of a target as those of complete responses."""
        left = self._incomplete_bytes.pop(target_id, 0) - size
        if left > 0:
            self._incomplete_bytes[target_id] = left

    def free(self, size: int) -> None:
        """Free `size` bytes of complete responses."""
        self._held_bytes -= size


class HeldResponse:
    """The account of one response: an incomplete body or event, then a complete body."""

    def __init__(self, memory: ResponseMemory, target_id: str) -> None:
        self._memory = memory
        self._target_id = target_id
        self._size = 0
        self._pieces = 0
        self._max_pieces = MAX_BODY_PIECES
        self._is_complete = False

    def add(self, size: int) -> None:
        """Count a piece of `size` bytes that has arrived.

        Raises `ResponseError` over a bound. The memory is then free at once: of many responses that
        arrive together, no more fail than must.
        """
        self._pieces += 1
        try:
            if self._pieces > self._max_pieces:
                raise ResponseError(FailureReason.GARBLED, f"pieces {self._max_pieces}")
            self._memory.reserve(self._target_id, size, self._size)
        except ResponseError:
            self.close()
            raise
        self._size += size

    def begin_event(self, size: int) -> None:
        """Begin an event of a stream, of which `size` bytes have arrived; raise `ResponseError`."""
        self.close()
        self._is_complete = False
        self._pieces = 0
        self._max_pieces = MAX_EVENT_PIECES
        self.add(size)

    def complete(self) -> None:
        """Note that the body is complete: from now on it takes none of its target's share."""
        if not self._is_complete:
            self._is_complete = True
            self._memory.complete(self._target_id, self._size)

    def close(self) -> None:
        """Free the memory of the response."""
        self.complete()
        self._memory.free(self._size)
        self._size = 0
