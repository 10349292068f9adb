"""Pooled HTTP/1.1 connections to targets, on h11.

A connection carries one request at a time. Bodies are forwarded unchanged, and bytes that belong
to no request are never forwarded. h11 is used instead of httpcore because this code has to know
whether any byte was sent, to stop sending a body when the target responds early, and to detect
bytes that follow a complete response.
"""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from marigoldarch.decimals import parse_whole_number
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch.serving.attempts import FailureReason
from marigoldarch_node.serving.body_reader import parsed_bytes
from marigoldarch_node.serving.sockets import TARGET_BOUNDS, connect

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch_node.serving.http_server import Headers
    from marigoldarch_node.serving.sockets import Connection, SilenceBounds

    OpenConnection = Callable[[str, Millis, SilenceBounds], Awaitable[Connection]]

CONNECT_TIMEOUT_MS: Millis = 350.0
"""A new connection takes a round trip of about 2 ms and 1 ms at the target. This ends before the
kernel repeats a lost SYN, after 1 s: another target is reached sooner."""

DEFAULT_IDLE_TIMEOUT_MS: Millis = 4000.0
"""How long a kept connection is reused if the target announces no idle timeout."""

IDLE_MARGIN_MS: Millis = 700.0
"""A kept connection is not reused this close to the end of the announced idle timeout."""

MAX_IDLE_PER_TARGET = 4

NO_ANSWER_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
"""Errors of a connection whose other end has not answered the kernel for some time."""

MAX_HEAD_BYTES = 16 * 1024
"""The size of an incomplete head, line of a chunk or trailer."""

TARGET_READ_BYTES = 16 * 1024
"""A stream holds some four times as much while its caller reads slowly."""

MAX_HEAD_FIELDS = 256
"""How many header fields a response may have; parsed, each takes many times its bytes."""

MAX_INFORMATIONAL_RESPONSES = 16
"""How many responses with a status below 200 may precede the final one."""

MAX_STATUS = 599
"""h11 accepts higher ones, which no answer has; it rejects those below 100."""

PIECES_PER_TURN = 64
"""Of the pieces of a body that have arrived at once, so many are handled before other tasks run."""

HEADERS_TOO_LARGE_STATUS = 431
"""The status that h11 suggests when a head exceeds its bound."""

MAX_IDLE_SECONDS = 10**9 - 1
"""A longer idle timeout counts as missing."""


class UnreachableError(MarigoldarchError):
    """No connection could be opened, so nothing was sent.

    With `is_refused` the connection was refused or reset; one lost packet does not do that. With
    `is_target_at_fault` nothing points to the own links.
    """

    def __init__(
        self, message: str, *, is_refused: bool = False, is_target_at_fault: bool = True
    ) -> None:
        super().__init__(message)
        self.is_refused = is_refused
        self.is_target_at_fault = is_target_at_fault


class ResponseError(MarigoldarchError):
    """The target sent no complete, valid response.

    `limit` names the bound that the response exceeded, and is empty if it exceeded none.
    """

    def __init__(self, reason: FailureReason, limit: str = "") -> None:
        super().__init__(str(reason))
        self.reason = reason
        self.limit = limit


class TargetRequest(NamedTuple):
    """A request to a target; `target` is the request target, path and query."""

    method: str
    target: str
    headers: Headers
    body: bytes


class ResponseHead(NamedTuple):
    """Status and headers of a target's response; header names are in lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    @property
    def memory_bytes(self) -> int:
        """Return about how much memory the head takes."""
        return parsed_bytes(self.headers)

    @property
    def is_framed(self) -> bool:
        """Return whether the body has a length or chunks; else it ends with the connection."""
        return bool(self.header(b"content-length") or self.header(b"transfer-encoding"))


@dataclass
class TargetConnection:
    """A connection in use for one request.

    `opened_ms` is the monotonic time at which it was opened, and `gateway` the entry through which it goes,
    empty for a direct one.
    One `for_orders` is never kept for requests, nor the other way round: answers to orders have no id, so that a
    second copy of one can't be told from the answer to a request.
    `is_encoded` is set once the request is ready to be sent; nothing is read before that. `is_sent`
    is true once the whole request was sent, `has_received_bytes` once any byte of a response has
    arrived, `has_ended` once the target has closed the connection.
    """

    address: str
    connection: Connection
    protocol: h11.Connection
    is_reused: bool
    opened_ms: Millis = 0.0
    gateway: str = ""
    for_orders: bool = False
    is_sent: bool = False
    has_received_bytes: bool = False
    has_ended: bool = False
    is_encoded: trio.Event = field(default_factory=trio.Event)

    async def send(self, request: TargetRequest) -> None:
        """Send a request; if that fails, reading the response raises the error."""
        head = h11.Request(method=request.method, target=request.target, headers=request.headers)
        data = self.protocol.send(head) or b""
        if request.body:
            data += self.protocol.send(h11.Data(data=request.body))
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.is_encoded.set()
        try:
            await self.connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        self.is_sent = True

    async def read_head(self) -> ResponseHead:
        """Return the head of the response; raise `ResponseError` if there is none.

        It waits until another task has called `send`: h11 encodes no request once it has read a
        response, and some targets send bytes as soon as a connection is open.
        """
        if not self.is_encoded.is_set():
            await self.is_encoded.wait()
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS or not event.http_version.startswith(b"1."):
                    raise ResponseError(FailureReason.GARBLED)
                if len(event.headers) > MAX_HEAD_FIELDS:
                    raise ResponseError(FailureReason.GARBLED, f"head fields {MAX_HEAD_FIELDS}")
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseError(FailureReason.GARBLED)
        limit = f"informational responses {MAX_INFORMATIONAL_RESPONSES}"
        raise ResponseError(FailureReason.GARBLED, limit)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `ResponseError` if it is incomplete or invalid."""
        pieces = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                pieces += 1
                if pieces % PIECES_PER_TURN == 0:
                    await trio.lowlevel.checkpoint()
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ResponseError(FailureReason.GARBLED)

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the body; raise `ResponseError` if it is faulty or exceeds `max_bytes`."""
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise ResponseError(FailureReason.GARBLED, f"body bytes {max_bytes}")
        return bytes(body)

    @property
    def is_reusable(self) -> bool:
        """Return whether the response was read completely and no further bytes have arrived."""
        protocol = self.protocol
        return (
            self.is_sent
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
            and not self.connection.has_input()
        )

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self.protocol.next_event()) is h11.NEED_DATA:
                data = await self.connection.stream.receive_some(TARGET_READ_BYTES)
                self.has_received_bytes = self.has_received_bytes or bool(data)
                self.has_ended = not data
                if self.has_ended and not self.connection.has_orderly_end():
                    raise ResponseError(FailureReason.RESET)
                self.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            is_too_long = error.error_status_hint == HEADERS_TOO_LARGE_STATUS
            limit = f"head bytes {MAX_HEAD_BYTES}" if is_too_long else ""
            raise ResponseError(self._reason_of_invalid_response(), limit) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            is_silent = getattr(error.__cause__, "errno", None) in NO_ANSWER_ERRORS
            reason = FailureReason.CONNECTION_LOST if is_silent else FailureReason.RESET
            raise ResponseError(reason) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ResponseError(FailureReason.CUT)
        return event

    def _reason_of_invalid_response(self) -> FailureReason:
        if not self.has_ended:
            return FailureReason.GARBLED
        return FailureReason.CUT if self.has_received_bytes else FailureReason.RESET


class _PoolKey(NamedTuple):
    """Which requests a kept connection may carry."""

    address: str
    for_orders: bool


class _KeptConnection(NamedTuple):
    """A kept connection, which may be reused until a monotonic time."""

    connection: Connection
    opened_ms: Millis
    gateway: str
    usable_until_ms: Millis


class TargetConnectionPool:
    """Pool of connections to targets, by address; tunnels through other entries are kept apart."""

    def __init__(self, clock: Clock, open_connection: OpenConnection | None = None) -> None:
        self._clock = clock
        self._open_connection = open_connection
        self._direct: dict[_PoolKey, list[_KeptConnection]] = {}
        self._tunnels: dict[_PoolKey, list[_KeptConnection]] = {}

    async def acquire(
        self, address: str, *, must_be_new: bool, for_orders: bool = False
    ) -> TargetConnection:
        """Return a kept or new direct connection; raise `UnreachableError` if none can be opened."""
        key = _PoolKey(address, for_orders)
        kept = None if must_be_new else self._take_kept(self._direct, key, lambda _: True)
        if kept is not None:
            return kept
        try:
            return self.wrap(address, await self.connect(address))
        except (OSError, trio.TooSlowError) as error:
            is_refused = isinstance(error, ConnectionRefusedError | ConnectionResetError)
            raise UnreachableError(f"{address}: {error}", is_refused=is_refused) from error

    async def connect(self, address: str) -> Connection:
        """Open a direct connection; raise `OSError`, or `trio.TooSlowError`."""
        open_connection = self._open_connection or connect
        return await open_connection(address, CONNECT_TIMEOUT_MS, TARGET_BOUNDS)

    def take_kept_tunnel(
        self, address: str, is_usable: Callable[[str], bool], *, for_orders: bool = False
    ) -> TargetConnection | None:
        """Return a kept tunnel to an address through a usable gateway, None if there is none."""
        return self._take_kept(self._tunnels, _PoolKey(address, for_orders), is_usable)

    def wrap(self, address: str, connection: Connection) -> TargetConnection:
        """Return a new direct connection for its first request."""
        return _wrap(address, connection, False, self._clock.monotonic_ms(), "")

    def wrap_tunnel(self, address: str, gateway: str, connection: Connection) -> TargetConnection:
        """Return a new tunnel for its first request."""
        return _wrap(address, connection, False, self._clock.monotonic_ms(), gateway)

    def release(self, used: TargetConnection, head: ResponseHead | None) -> None:
        """Keep a connection for reuse, or close it; without `head` its response is incomplete."""
        key = _PoolKey(used.address, used.for_orders)
        kept = (self._tunnels if used.gateway else self._direct).setdefault(key, [])
        is_kept = head is not None and used.is_reusable and len(kept) < MAX_IDLE_PER_TARGET
        if not is_kept or "close" in head.header(b"connection").lower():
            used.connection.close()
            return
        limit_ms = _keep_alive_timeout_ms(head.header(b"keep-alive"))
        usable_ms = DEFAULT_IDLE_TIMEOUT_MS if limit_ms is None else limit_ms - IDLE_MARGIN_MS
        usable_until_ms = self._clock.monotonic_ms() + usable_ms
        kept.append(_KeptConnection(used.connection, used.opened_ms, used.gateway, usable_until_ms))

    def close_expired(self) -> None:
        """Close kept connections that have expired or were closed by their targets."""
        now_ms = self._clock.monotonic_ms()
        for pool in (self._direct, self._tunnels):
            _close_unless(
                pool,
                lambda item: now_ms < item.usable_until_ms and not item.connection.has_input(),
            )

    def close_tunnels(self, is_unwanted: Callable[[str], bool]) -> None:
        """Close the kept tunnels through unwanted gateways."""
        _close_unless(self._tunnels, lambda item: not is_unwanted(item.gateway))

    def _take_kept(
        self,
        pool: dict[_PoolKey, list[_KeptConnection]],
        key: _PoolKey,
        is_usable: Callable[[str], bool],
    ) -> TargetConnection | None:
        kept = pool.get(key, [])
        while kept:
            item = kept.pop()
            is_current = self._clock.monotonic_ms() < item.usable_until_ms
            if is_current and is_usable(item.gateway) and not item.connection.has_input():
                return _wrap(key.address, item.connection, True, item.opened_ms, item.gateway)
            item.connection.close()
        return None


def _close_unless(
    pool: dict[_PoolKey, list[_KeptConnection]], is_kept: Callable[[_KeptConnection], bool]
) -> None:
    for key, items in list(pool.items()):
        kept: list[_KeptConnection] = []
        for item in items:
            if is_kept(item):
                kept.append(item)
            else:
                item.connection.close()
        if kept:
            pool[key] = kept
        else:
            del pool[key]


def _wrap(
    address: str, connection: Connection, is_reused: bool, opened_ms: Millis, gateway: str
) -> TargetConnection:
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    return TargetConnection(address, connection, protocol, is_reused, opened_ms, gateway)


def _keep_alive_timeout_ms(keep_alive: str) -> Millis | None:
    """Return the timeout of a `Keep-Alive` header, which is in whole seconds there."""
    for item in keep_alive.split(","):
        name, _, value = item.strip().partition("=")
        seconds = parse_whole_number(value, MAX_IDLE_SECONDS)
        if name.lower() == "timeout" and seconds is not None:
            return seconds * 1000.0
    return None
