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

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import CALLER_BOUNDS, listen, set_tcp_options

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch_node.serving.limit_history import LimitHistory

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65_536
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

MAX_CONNECTIONS = 3000
"""Below the limit of 4,096 file descriptors per process, less 200 for files, with room left for
connections to targets."""

BODY_READ_TIMEOUT_S = 5.0
"""How long a caller may pause while it sends a body."""

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
        """Send a part of the body."""
        await self.connection.send(self.connection.protocol.send(h11.Data(data=data)))

    async def end(self) -> None:
        """Complete the response."""
        self.is_complete = True
        await self.connection.send(self.connection.protocol.send(h11.EndOfMessage()) or b"")

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response in one write."""
        protocol = self.connection.protocol
        if not any(name == b"content-length" for name, _ in headers):
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        data = self.connection.encode_head(status, headers)
        if body and self.request.method != "HEAD":
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage()) or b""
        self.is_head_sent = self.is_complete = True
        await self.connection.send(data)

    def abort(self) -> None:
        """Close the connection after the handler; the caller sees an incomplete response."""
        self.is_aborted = True

    def close_after(self) -> None:
        """Announce on the response that the connection closes after it."""
        self.connection.is_closing = True


@dataclass
class ServerState:
    """The handler, limits and connections of a server.

    `idle_timeouts` counts the connections that were closed at the idle timeout.
    """

    handler: Callable[[Exchange], Awaitable[None]]
    limits: LimitHistory
    clock: Clock
    is_closing: bool = False
    idle_timeouts: int = 0
    connections: set[_ServerConnection] = field(default_factory=set)


class _ServerConnection:
    """The connection of one caller."""

    def __init__(self, stream: trio.SocketStream, state: ServerState) -> None:
        self._stream = stream
        self._state = state
        self._caller = _peer_address(stream)
        self._idle_scope: trio.CancelScope | None = None
        self._is_told_to_close = False
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES)
        self.is_closing = False

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if self._idle_scope is not None:
            self._is_told_to_close = True
            self._idle_scope.cancel()

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response."""
        if self.is_closing or self._state.is_closing:
            headers = [*headers, (b"connection", b"close")]
        return self.protocol.send(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Send bytes; raise `CallerDisconnectedError` when the caller has closed."""
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                self.protocol.start_next_cycle()
        except (CallerDisconnectedError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint)
        finally:
            self._stream.socket.close()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can be used for another."""
        request = await self._read_request()
        if request is None:
            return False
        exchange = Exchange(request, self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, exchange, nursery.cancel_scope)
            await self._run_handler(exchange)
            nursery.cancel_scope.cancel()
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

        Pipelined requests are kept in the parser. After `READ_BYTES` of them nothing more is read
        until the current request has ended, and a disconnect goes unnoticed until then.
        """
        received = 0
        while received < READ_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                exchange.has_caller_disconnected = True
                scope.cancel()
                return
            received += len(data)
            self.protocol.receive_data(data)

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
        with trio.move_on_after(limits.header_timeout_ms / 1000.0) as scope:
            while event is h11.NEED_DATA:
                await self._receive()
                event = self.protocol.next_event()
        if scope.cancelled_caught:
            await self._refuse(408)
            return None
        if not isinstance(event, h11.Request):
            return None
        if sum(len(name) + len(value) + 4 for name, value in event.headers) > limits.header_bytes:
            await self._refuse(431)
            return None
        if self.protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self.protocol.send(continue_response))
        body = await self._read_body(limits)
        if body is None:
            return None
        return Request(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            list(event.headers),
            body,
            received_ms,
        )

    async def _wait_for_input(self) -> bool:
        """Receive the first bytes of a request; return False if the connection is to be closed.

        Callers reuse an idle connection by the limits that they know. It is therefore closed only
        after the longest idle timeout that was in force since the wait began.
        """
        limits = self._state.limits
        began_ms, began_s = self._state.clock.monotonic_ms(), trio.current_time()
        timeout_ms = limits.current.idle_timeout_ms
        while True:
            with trio.CancelScope(deadline=began_s + timeout_ms / 1000.0) as self._idle_scope:
                await self._receive()
            was_idle = self._idle_scope.cancelled_caught
            self._idle_scope = None
            if not was_idle:
                return True
            longest_ms = limits.longest_idle_timeout_ms(began_ms)
            if self._stream.socket.is_readable():
                # A request has arrived at the same moment: it is served.
                await self._receive()
                return True
            if self._is_told_to_close:
                return False
            if longest_ms <= timeout_ms:
                self._state.idle_timeouts += 1
                return False
            timeout_ms = longest_ms

    async def _read_body(self, limits: ServerLimits) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                with trio.move_on_after(BODY_READ_TIMEOUT_S) as scope:
                    await self._receive()
                if scope.cancelled_caught:
                    await self._refuse(408)
                    return None
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    await self._refuse(413)
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                return None

    async def _receive(self) -> None:
        data = await self._stream.receive_some(READ_BYTES)
        self.protocol.receive_data(data)

    async def _refuse(self, status: int) -> None:
        """Send an error response to a request that cannot be read; the connection closes then."""
        if self.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send_refusal(status)

    async def _send_refusal(self, status: int) -> None:
        """Send an error response in place of any other, of which nothing may have been sent.

        It is encoded apart from the connection's state, which accepts no response once one could
        not be encoded.
        """
        protocol = h11.Connection(h11.SERVER)
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = protocol.send(h11.Response(status_code=status, headers=headers))
        try:
            await self.send(data + (protocol.send(h11.EndOfMessage()) or b""))
            await self._stream.send_eof()
            with trio.move_on_after(LINGER_TIMEOUT_S):
                while await self._stream.receive_some(READ_BYTES):
                    pass
        except (CallerDisconnectedError, trio.BrokenResourceError, trio.ClosedResourceError):
            return


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
        if len(self._state.connections) >= MAX_CONNECTIONS:
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
