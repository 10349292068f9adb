"""Reads the body of a request into the memory for requests, or says why it is refused.

A body is refused before any byte of it is read if its announced length exceeds the limit. One that
is larger than most is read only once the request itself can be served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import h11
import trio

from marigoldarch.decimals import parse_whole_number
from marigoldarch.serving.request_memory import SMALL_BODY_BYTES

if TYPE_CHECKING:
    from marigoldarch_node.serving.http_server import Headers, Request, ServerState

READ_BYTES = 65_536
UNKNOWN_LENGTH_READ_BYTES = 16_384
"""How much of a body without a length is read at once, as requests that follow it come with it."""

BODY_READ_TIMEOUT_S = 5.0
"""How long a caller may pause while it sends a body."""

RETRY_AFTER_S = b"1"
"""When a caller should come back for whose request there is no memory."""

MAX_LENGTH = 10**18
"""A larger announced length counts as this one."""


class Refusal(NamedTuple):
    """A response in place of a handler's, to a request that has not run; the connection closes."""

    status: int
    reason: str
    headers: Headers


FIELD_BYTES = 200
"""The memory of a parsed header field beside its text."""


class ByteSource(Protocol):
    """The connection from which a body is read."""

    protocol: h11.Connection

    async def receive(self, max_bytes: int) -> None:
        """Receive bytes into the parser, `max_bytes` at most."""
        ...


class HeadCheck(Protocol):
    """Says why a request is refused by its head alone, None if it is not."""

    def __call__(self, request: Request, body_bytes: int) -> Refusal | None:
        """Check a request without its body, of which at least `body_bytes` are to come."""
        ...


def no_memory() -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    return Refusal(503, "memory", [(b"retry-after", RETRY_AFTER_S)])


def too_large() -> Refusal:
    """Return the refusal of a body that exceeds the limit."""
    return Refusal(413, "body too large", [])


def parsed_bytes(headers: Headers) -> int:
    """Return about how much memory the fields of a parsed head take."""
    return sum(len(name) + len(value) + FIELD_BYTES for name, value in headers)


def announced_length(request: Request) -> int:
    """Return the announced length of a body, 0 if there is none."""
    value = request.header(b"content-length")
    length = parse_whole_number(value, MAX_LENGTH)
    return MAX_LENGTH if length is None and value else length or 0


class BodyReader:
    """Reads one body; the memory for requests may have it refused at any moment until then."""

    def __init__(self, state: ServerState, request: Request, max_bytes: int) -> None:
        self._memory = state.memory
        self._clock = state.clock
        self._check_head = state.check_head
        self._request = request
        self._length = announced_length(request)
        self._max_bytes = max_bytes
        self._scope: trio.CancelScope | None = None
        self.held = self._memory.begin(request.received_ms, self._refuse)

    def close(self) -> None:
        """Free the memory of the request."""
        self._memory.free(self.held)

    def check(self) -> Refusal | None:
        """Return why the request is refused by its head, None if it is not."""
        head_bytes = parsed_bytes(self._request.headers)
        if not self._memory.add_head(self.held, head_bytes, self._clock.monotonic_ms()):
            return no_memory()
        if self._length > self._max_bytes:
            return too_large()
        return self._check_large(self._length)

    async def read(self, source: ByteSource) -> bytes | Refusal | None:
        """Return the body, why it is refused, or None if the connection ends before it does."""
        parts: list[bytes] = []
        size = 0
        is_checked = self._length > SMALL_BODY_BYTES
        while True:
            event = source.protocol.next_event()
            if event is h11.NEED_DATA:
                left = min(self._length - size, READ_BYTES)
                refusal = await self._receive(
                    source, left if left > 0 else UNKNOWN_LENGTH_READ_BYTES
                )
                if refusal is not None:
                    return refusal
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_bytes:
                    return too_large()
                if not is_checked and size > SMALL_BODY_BYTES:
                    is_checked = True
                    refusal = self._check_large(size)
                    if refusal is not None:
                        return refusal
                if not self._memory.add(self.held, len(event.data), self._clock.monotonic_ms()):
                    return no_memory()
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._memory.complete(self.held)
                return b"".join(parts)
            else:
                return None

    async def _receive(self, source: ByteSource, max_bytes: int) -> Refusal | None:
        with trio.move_on_after(BODY_READ_TIMEOUT_S) as self._scope:
            await source.receive(max_bytes)
        is_stopped = self._scope.cancelled_caught
        self._scope = None
        if self.held.is_refused:
            return no_memory()
        return Refusal(408, "body paused", []) if is_stopped else None

    def _check_large(self, body_bytes: int) -> Refusal | None:
        if self._check_head is None or body_bytes <= SMALL_BODY_BYTES:
            return None
        return self._check_head(self._request, body_bytes)

    def _refuse(self) -> None:
        if self._scope is not None:
            self._scope.cancel()
