"""Servers and raw connections on loopback for these tests."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import TYPE_CHECKING

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.routing import RoutingTable
from marigoldarch.tests.serving.support import declaration
from marigoldarch_node.serving.attempt_plan import EntryContext
from marigoldarch_node.serving.dialect import RequestInfo, ResponseInfo
from marigoldarch_node.serving.entry_state import EntryState
from marigoldarch_node.serving.http_server import HttpServer, Request, ServerLimits, ServerState
from marigoldarch_node.serving.limit_history import LimitHistory
from marigoldarch_node.serving.memory_reservations import ReservationManager
from marigoldarch_node.serving.proxy import Proxy
from marigoldarch_node.serving.settings import ServingSettings
from marigoldarch_node.serving.target_connections import TargetConnectionPool, TargetRequest
from marigoldarch_node.serving.target_paths import TargetPaths

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import Route
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.dialect import ForwardingInfo
    from marigoldarch_node.serving.http_server import Exchange, Headers
    from marigoldarch_node.serving.target_connections import ResponseHead

READ_TIMEOUT_S = 3.0
SETTINGS = ServingSettings("e1", "10.0.0.1", "dc1", 7340, ["10.0.1.1:80"])


class PlainDialect:
    """A dialect that takes each request for `r1` at the host of `declaration`, and signs nothing."""

    def read_request(self, request: Request) -> RequestInfo:
        """Decode the path; the rest is fixed."""
        return RequestInfo("r1", "desk.example", request.target, "", None, None, None)

    def target_headers(self, request: Request, forwarding: ForwardingInfo) -> Headers:
        """Return the one header that each request needs."""
        return [(b"host", b"target")]

    def reservation(
        self, target: Target, reservation_id: str, tokens: int, hold_ms: Millis
    ) -> TargetRequest:
        """Return a request without a body."""
        return TargetRequest("PUT", f"/memory/{reservation_id}", [(b"host", b"target")], b"")

    def release(self, target: Target, reservation_id: str) -> TargetRequest:
        """Return a request without a body."""
        return TargetRequest("DELETE", f"/memory/{reservation_id}", [(b"host", b"target")], b"")

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Take each response for a signed one to `r1`."""
        is_event_stream = head.header(b"content-type") == "text/event-stream"
        return ResponseInfo("r1", False, True, is_event_stream, None, "")

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return no headers."""
        return []

    def refusal_headers(self, request_id: str, retry_after_ms: Millis | None) -> Headers:
        """Return no headers."""
        return []


@contextmanager
def unanswering_address() -> Iterator[str]:
    """Yield a loopback address that drops each SYN: its listener has as many connections as it may."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        first.connect(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@asynccontextmanager
async def entry(*routes: Route) -> AsyncIterator[tuple[EntryState, str]]:
    """Run the caller's side of an entry that knows no targets; yield its state and its address."""
    state = EntryState(SETTINGS, 1)
    state.apply_table(RoutingTable(declaration(*routes)))
    state.target_view.connect("c1")
    state.target_view.mark_complete("c1")
    dialect = PlainDialect()
    paths = TargetPaths(state, dialect, TargetConnectionPool(state.clock))
    reservations = ReservationManager(state, dialect, paths)
    proxy = Proxy(EntryContext(state, dialect, paths, reservations))
    server = HttpServer(ServerState(proxy.handle, state.limits, state.clock))
    address = await free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, address)
        yield state, address
        nursery.cancel_scope.cancel()


async def free_address() -> str:
    """Return a loopback address on which nothing listens, nor receives datagrams."""
    while True:
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        address = listener.socket.getsockname()
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                datagrams.bind(address)
        except OSError:
            continue
        finally:
            await listener.aclose()
        return f"127.0.0.1:{address[1]}"


@asynccontextmanager
async def serving(
    handler: Callable[[Exchange], Awaitable[None]],
    limits: ServerLimits | None = None,
    history: LimitHistory | None = None,
) -> AsyncIterator[tuple[HttpServer, str]]:
    """Run a server with fixed limits or with a history of them; yield it and its address."""
    history = history or LimitHistory(limits or ServerLimits())
    address = await free_address()
    state = ServerState(handler, history, ManualClock())
    server = HttpServer(state)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, address)
        yield server, address
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def scripted_target(
    talk: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[str]:
    """Run a target that calls `talk` with each connection; yield its address."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]

    async def handle(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await talk(stream)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def open_stream(address: str) -> trio.SocketStream:
    """Open a TCP connection."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def read_until(stream: trio.SocketStream, mark: bytes) -> bytes:
    """Read until the data contains `mark` or the connection ends."""
    data = b""
    with trio.fail_after(READ_TIMEOUT_S):
        while mark not in data:
            chunk = await stream.receive_some(65_536)
            if not chunk:
                break
            data += chunk
    return data


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the connection ends."""
    data = b""
    with trio.fail_after(READ_TIMEOUT_S):
        while chunk := await stream.receive_some(65_536):
            data += chunk
    return data


class RecordingExchange:
    """An exchange whose answer is recorded."""

    def __init__(self, body: bytes) -> None:
        self.request = Request("PUT", "/", [], body, 0.0)
        self.status = 0

    async def answer(self, status: int, headers: object, body: bytes = b"") -> None:
        """Record the status."""
        self.status = status
