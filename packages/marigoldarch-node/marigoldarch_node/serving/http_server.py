"""An HTTP/1.1 server on h11 and trio, for callers, targets, operators and peers.

It is used instead of hypercorn because an entry has to notice when a caller disconnects, to
announce on each response whether the connection closes, to close idle connections only between
requests, and to abort a response so that the caller sees it is incomplete.
"""

from __future__ import annotations

import traceback
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from marigoldarch.serving.connection_limits import MAX_CONNECTIONS, WaitingConnections
from marigoldarch.serving.request_memory import RequestMemory, request_memory_limits
from marigoldarch_node.serving.body_reader import BodyReader, Refusal, no_memory
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.refusal_counts import RefusalCounts
from marigoldarch_node.serving.sockets import (
    CALLER_BOUNDS,
    has_peer_ended,
    listen,
    set_tcp_options,
    unsent_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch_node.serving.body_reader import HeadCheck
    from marigoldarch_node.serving.limit_history import LimitHistory

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65_536
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

HEAD_READ_BYTES = 16_384
"""How much is read at once where the length of what follows is not known."""

MAX_AHEAD_BYTES = 8192
"""How much of the requests behind the current one is read before that has ended."""

CROWDED_SHARE = 1 / 64
"""With more than this share of its connections in use, a server closes those that send far ahead."""

REQUEST_LINE_BYTES = 8192
"""What an incomplete head may have beyond the limit of its headers."""

LARGE_WRITE_BYTES = 65_536
"""A response body above this size is sent in pieces of it, and not joined to its head first."""

DEFAULT_MEMORY_BYTES = 200_000_000

CLOSE_POLL_INTERVAL_S = 0.2
"""How often to look whether a caller has closed from whom nothing more is read now."""

AHEAD_LINGER_TIMEOUT_S = 2.0
"""How long a caller that has sent many requests ahead may take to read the last response."""

LINGER_TIMEOUT_S = 0.5
"""How long to wait for the caller to read an error response before the connection is closed."""

log = EventLog("http")


class ServerLimits(NamedTuple):
    """Limits on the size and the duration of what a caller sends."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3000.0
    idle_timeout_ms: Millis = 15_000.0


class Request(NamedTuple):
    """A complete request; header names are in lower case, `target` is path and query as sent."""

    method: str
    target: str
    headers: Headers
    body: bytes
    received_ms: Millis

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


class CallerDisconnectedError(Exception):
    """The caller has closed the connection."""


@dataclass
class Exchange:
    """One request and its response.

    `is_head_sent` is set as soon as any byte of the response may have been sent. The handler sets
    `log_name` to the name of the request in logs once it has read one.
    """

    request: Request
    connection: _ServerConnection
    is_head_sent: bool = False
    is_complete: bool = False
    is_aborted: bool = False
    has_caller_disconnected: bool = False
    log_name: str = ""

    @property
    def lacks_response(self) -> bool:
        """Return whether the caller still waits for a response of which nothing was sent."""
        return not (self.is_head_sent or self.is_aborted or self.has_caller_disconnected)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Begin the response; without `content-length` the body is sent chunked."""
        data = self.connection.encode_head(status, headers)
        self.is_head_sent = True
        await self.connection.send(data)

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; returns once the caller's host has taken it or buffers it."""
        await self.connection.send(self.connection.protocol.send(h11.Data(data=data)))

    async def end(self) -> None:
        """Complete the response."""
        self.is_complete = True
        await self.connection.send(self.connection.protocol.send(h11.EndOfMessage()) or b"")

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response, in one write unless it is large."""
        protocol = self.connection.protocol
        if not any(name == b"content-length" for name, _ in headers):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        data = self.connection.encode_head(status, headers)
        parts = [data]
        if body and self.request.method != "HEAD":
            parts.append(protocol.send(h11.Data(data=body)))
        parts.append(protocol.send(h11.EndOfMessage()) or b"")
        self.is_head_sent = self.is_complete = True
        if len(body) <= LARGE_WRITE_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self.connection.send(part)

    def abort(self) -> None:
        """Close the connection after the handler; the caller sees an incomplete response."""
        self.is_aborted = True

    def close_after(self) -> None:
        """Announce on the response that the connection closes after it."""
        self.connection.is_closing = True


@dataclass
class ServerState:
    """The handler, limits and connections of a server.

    `memory` is for the requests of all servers of the process. `check_head` is asked before a large
    body is read. `idle_timeouts` counts the connections that were closed at the idle timeout.
    """

    handler: Callable[[Exchange], Awaitable[None]]
    limits: LimitHistory
    clock: Clock
    memory: RequestMemory = field(
        default_factory=lambda: RequestMemory(request_memory_limits(DEFAULT_MEMORY_BYTES, 0))
    )
    check_head: HeadCheck | None = None
    max_connections: int = MAX_CONNECTIONS
    refusals: RefusalCounts = field(default_factory=RefusalCounts)
    is_closing: bool = False
    idle_timeouts: int = 0
    connections: set[_ServerConnection] = field(default_factory=set)
    waiting: WaitingConnections = field(default_factory=WaitingConnections)

    def accepts_connection(self) -> bool:
        """Return whether there is room for one more connection, if need be in place of another."""
        if len(self.connections) < self.max_connections:
            return True
        now_ms = self.clock.monotonic_ms()
        return self.waiting.close_one(now_ms) or self.memory.refuse_slow(now_ms)

    @property
    def is_crowded(self) -> bool:
        """Return whether so many connections are open that busy ones keep new ones waiting."""
        return len(self.connections) > self.max_connections * CROWDED_SHARE

    def close_unread(self) -> None:
        """Close the connections whose callers read nothing for too long; called once a second."""
        now_ms = self.clock.monotonic_ms()
        for connection in self.connections:
            connection.note_unread(now_ms)
        for _ in range(self.waiting.close_unread(now_ms)):
            self.refusals.add("response unread")


class _ServerConnection:
    """The connection of one caller."""

    def __init__(self, stream: trio.SocketStream, state: ServerState) -> None:
        self._stream = stream
        self._state = state
        self._caller = _peer_address(stream)
        self._idle_scope: trio.CancelScope | None = None
        self._is_told_to_close = False
        self._is_used = False
        # Counted, as a deadline for each write would cost half as much as the write.
        self._sent_pieces = 0
        self._noted_progress: tuple[int, int | None] = (0, None)
        self._is_sending = False
        self._unparsed_bytes = 0
        self._body: BodyReader | None = None
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES)
        self.is_closing = False

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if self._idle_scope is not None:
            self._is_told_to_close = True
            self._idle_scope.cancel()

    def close_if_unread(self) -> None:
        """Close the connection if its caller has still not read the response."""
        if self._is_stalled:
            self._stream.socket.close()

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response, which announces whether the connection closes."""
        if self.is_closing or self._state.is_closing or self._is_far_ahead:
            headers = [*headers, (b"connection", b"close")]
        return self.protocol.send(h11.Response(status_code=status, headers=headers))

    @property
    def _is_far_ahead(self) -> bool:
        """Return whether the caller has sent many requests ahead while others wait for their turn."""
        return self._unparsed_bytes >= MAX_AHEAD_BYTES and self._state.is_crowded

    async def send(self, data: bytes) -> None:
        """Send bytes; raise `CallerDisconnectedError` when the caller has closed or reads nothing."""
        if not data:
            return
        self._is_sending = True
        try:
            if len(data) <= LARGE_WRITE_BYTES:
                self._sent_pieces += 1
                await self._stream.send_all(data)
                return
            view = memoryview(data)
            for start in range(0, len(data), LARGE_WRITE_BYTES):
                self._sent_pieces += 1
                await self._stream.send_all(view[start : start + LARGE_WRITE_BYTES])
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
        finally:
            self._is_sending = False

    @property
    def _is_stalled(self) -> bool:
        """Return whether the caller has taken nothing of a response since that was noted."""
        return self._is_sending and self._progress() == self._noted_progress

    def _progress(self) -> tuple[int, int | None]:
        """Return how much was sent: pieces, and bytes of them that the caller has not taken."""
        return (self._sent_pieces, unsent_bytes(self._stream.socket))

    def note_unread(self, now_ms: Millis) -> None:
        """Note whether the caller has taken nothing of a response since the last call."""
        is_stalled = self._is_stalled
        if self._is_sending:
            self._noted_progress = self._progress()
        if is_stalled:
            self._state.waiting.add_unread(self, now_ms)
        else:
            self._state.waiting.remove_unread(self)

    async def receive(self, max_bytes: int = HEAD_READ_BYTES) -> None:
        """Receive bytes into the parser, `max_bytes` at most."""
        self.protocol.receive_data(await self._stream.receive_some(max_bytes))

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                self.protocol.start_next_cycle()
            if self._count_unparsed() >= MAX_AHEAD_BYTES:
                # The kernel would drop the end of the response if the connection were closed now.
                self.protocol = h11.Connection(h11.SERVER)
                self._count_unparsed()
                await self._linger(AHEAD_LINGER_TIMEOUT_S)
        except (CallerDisconnectedError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint)
        finally:
            self._free_request()
            self._state.waiting.remove_unread(self)
            self.protocol = h11.Connection(h11.SERVER)
            self._count_unparsed()
            self._stream.socket.close()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can be used for another."""
        request = await self._read_request()
        if request is None:
            return False
        self._is_used = True
        exchange = Exchange(request, self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, exchange, nursery.cancel_scope)
            await self._run_handler(exchange)
            nursery.cancel_scope.cancel()
        self._free_request()
        if exchange.lacks_response:
            await self._send_refusal(500)
            return False
        if exchange.is_aborted or exchange.has_caller_disconnected or not exchange.is_complete:
            return False
        # After a response that announced the end of the connection, h11 is not in these states.
        return self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE

    async def _run_handler(self, exchange: Exchange) -> None:
        """Run the handler; if it raises, only this connection is closed.

        A response that has begun is cut then; `_serve_request` sends one if none has.
        """
        try:
            await self._state.handler(exchange)
        except CallerDisconnectedError:
            exchange.has_caller_disconnected = True
        except Exception as error:
            self._log_failure(exchange, type(error).__name__, traceback.format_exc(limit=-4))
            if exchange.is_head_sent:
                exchange.abort()
        else:
            if exchange.lacks_response:
                self._log_failure(exchange, "no response", "")

    def _log_failure(self, exchange: Exchange, error: str, trace: str) -> None:
        log.error(
            "handler failed",
            request=exchange.log_name,
            method=exchange.request.method,
            target=exchange.request.target,
            caller=self._caller,
            error=error,
            is_head_sent=exchange.is_head_sent,
            trace=trace,
        )

    async def _watch_for_disconnect(self, exchange: Exchange, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes the connection.

        Pipelined requests are kept in the parser. After `MAX_AHEAD_BYTES` of them nothing more is read
        until the current request has ended, and the kernel is asked whether the caller has closed.
        """
        while self._count_unparsed() < MAX_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(MAX_AHEAD_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                exchange.has_caller_disconnected = True
                scope.cancel()
                return
            self.protocol.receive_data(data)
        while not has_peer_ended(self._stream.socket):
            await trio.sleep(CLOSE_POLL_INTERVAL_S)
        exchange.has_caller_disconnected = True
        scope.cancel()

    def _count_unparsed(self) -> int:
        """Count the bytes in the parser in the memory for requests; return their number."""
        size = len(self.protocol.trailing_data[0])
        self._state.memory.change_unparsed(size - self._unparsed_bytes)
        self._unparsed_bytes = size
        return size

    def _free_request(self) -> None:
        if self._body is not None:
            self._body.close()
            self._body = None

    async def _read_request(self) -> Request | None:
        """Return the next request, or None if the connection ends before one is complete."""
        limits = self._state.limits.current
        event = self.protocol.next_event()
        if event is h11.NEED_DATA:
            # Bytes behind the last request are the begin of the next one, so this is no idle time.
            has_begun = bool(self.protocol.trailing_data[0])
            if not has_begun and not await self._wait_for_input():
                return None
            limits = self._state.limits.current
            event = self.protocol.next_event()
        received_ms = self._state.clock.monotonic_ms()
        refusal = None
        with trio.move_on_after(limits.header_timeout_ms / 1000.0) as scope:
            while event is h11.NEED_DATA and refusal is None:
                refusal = self._check_incomplete_head(limits)
                if refusal is None:
                    await self.receive()
                    event = self.protocol.next_event()
        if scope.cancelled_caught:
            refusal = Refusal(408, "head paused", [])
        if refusal is not None:
            await self._refuse_request(refusal)
            return None
        if not isinstance(event, h11.Request):
            return None
        if sum(len(name) + len(value) + 4 for name, value in event.headers) > limits.header_bytes:
            await self._refuse_request(Refusal(431, "head too large", []))
            return None
        request = Request(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            b"",
            received_ms,
        )
        # The event has the fields once more, as they were sent.
        del event
        return await self._read_body(request, limits)

    async def _wait_for_input(self) -> bool:
        """Receive the first bytes of a request; return False if the connection is to be closed.

        Callers reuse an idle connection by the limits that they know. It is therefore closed only
        after the longest idle timeout that was in force since the wait began.
        """
        limits = self._state.limits
        began_ms, began_s = self._state.clock.monotonic_ms(), trio.current_time()
        timeout_ms = limits.current.idle_timeout_ms
        self._count_unparsed()
        while True:
            self._state.waiting.add_idle(self, began_ms, is_used=self._is_used)
            try:
                with trio.CancelScope(deadline=began_s + timeout_ms / 1000.0) as self._idle_scope:
                    await self.receive()
            finally:
                self._state.waiting.remove_idle(self)
            was_idle = self._idle_scope.cancelled_caught
            self._idle_scope = None
            if not was_idle:
                return True
            longest_ms = limits.longest_idle_timeout_ms(began_ms)
            if self._stream.socket.is_readable():
                # A request has arrived at the same moment: it is served.
                await self.receive()
                return True
            if self._is_told_to_close:
                return False
            if longest_ms <= timeout_ms:
                self._state.idle_timeouts += 1
                return False
            timeout_ms = longest_ms

    def _check_incomplete_head(self, limits: ServerLimits) -> Refusal | None:
        """Return why the incomplete head of a request is refused, None if it is not."""
        size = self._count_unparsed()
        if size > limits.header_bytes + REQUEST_LINE_BYTES:
            return Refusal(431, "head too large", [])
        return no_memory() if size and self._state.memory.is_full else None

    async def _read_body(self, request: Request, limits: ServerLimits) -> Request | None:
        """Return a request with its body, None if it was refused or the connection has ended."""
        state = self._state
        self._body = BodyReader(state, request, limits.body_bytes)
        body: bytes | Refusal | None = self._body.check()
        if body is None:
            if self.protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self.send(self.protocol.send(continue_response))
            body = await self._body.read(self)
        if isinstance(body, Refusal):
            await self._refuse_request(body)
            return None
        return request._replace(body=body) if body else request if body is not None else None

    async def _refuse_request(self, refusal: Refusal) -> None:
        """Answer a request that no handler sees; the connection closes then."""
        self._state.refusals.add(refusal.reason)
        await self._refuse(refusal.status, refusal.headers)

    async def _refuse(self, status: int, headers: Headers | None = None) -> None:
        """Send an error response to a request that cannot be read; the connection closes then."""
        if self.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send_refusal(status, headers)

    async def _send_refusal(self, status: int, headers: Headers | None = None) -> None:
        """Send an error response in place of any other, of which nothing may have been sent.

        It is encoded apart from the connection's state, which accepts no response once one could
        not be encoded. What is held of the request is dropped first.
        """
        protocol = self.protocol = h11.Connection(h11.SERVER)
        self._free_request()
        self._count_unparsed()
        sent = [*(headers or []), (b"content-length", b"0"), (b"connection", b"close")]
        data = protocol.send(h11.Response(status_code=status, headers=sent))
        try:
            await self.send(data + (protocol.send(h11.EndOfMessage()) or b""))
            await self._linger(LINGER_TIMEOUT_S)
        except (CallerDisconnectedError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _linger(self, timeout_s: float) -> None:
        """End this side of the connection, and drop what comes until the caller ends its side."""
        await self._stream.send_eof()
        with trio.move_on_after(timeout_s):
            while await self._stream.receive_some(READ_BYTES):
                pass


def _peer_address(stream: trio.SocketStream) -> str:
    """Return `IP:PORT` of the other end, empty if the connection has ended already."""
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"


class HttpServer:
    """A server on one listening address."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._listener: trio.SocketListener | None = None
        self._accept_scope = trio.CancelScope()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._state.connections)

    @property
    def idle_timeouts(self) -> int:
        """Return how many connections were closed at the idle timeout so far."""
        return self._state.idle_timeouts

    async def serve(
        self, address: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled or closed; report as started once it listens."""
        listener = await listen(address)
        task_status.started()
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._handle_connection, [listener], handler_nursery=nursery
                )

    def announce_closing(self) -> None:
        """Announce on each response from now on that its connection closes."""
        self._state.is_closing = True

    def close_idle(self) -> None:
        """Stop accepting connections, and close those that wait for a request."""
        self._accept_scope.cancel()
        for connection in list(self._state.connections):
            connection.close_if_idle()

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        if not self._state.accepts_connection():
            self._state.refusals.add("connection")
            stream.socket.close()
            return
        connection = _ServerConnection(stream, self._state)
        self._state.connections.add(connection)
        try:
            set_tcp_options(stream.socket, CALLER_BOUNDS)
            await connection.run()
        except OSError:
            stream.socket.close()
        except Exception as error:
            # For example of a handler whose tasks failed while it was cancelled.
            stream.socket.close()
            log.error(
                "connection failed",
                error=type(error).__name__,
                trace=traceback.format_exc(limit=-4),
            )
        finally:
            self._state.connections.discard(connection)
