"""Listening sockets: bounded connections, dead peers noticed, hypercorn on each connection."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.events import Event, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from marigoldarch.codec import encode_json
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_node.logs import get_logger

if TYPE_CHECKING:
    from hypercorn.protocol import ProtocolWrapper

    from marigoldarch_node.edge.http import Router
    from marigoldarch_node.security.tls import TlsContexts

KEEP_ALIVE_S = 60.0
SHUTDOWN_S = 1.0
BACKLOG = 1024
MAX_CONNECTIONS = 10_000
MAX_TURNED_AWAY = 64
TURN_AWAY_S = 1.0
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 30_000
"""How long sent data may stay unacknowledged before the connection counts as dead."""

_OVERLOADED = encode_json({"error": {"type": "overloaded", "run": "not_run"}})
_TURN_AWAY = (
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n"
    b"connection: close\r\ncontent-length: %d\r\n\r\n%s" % (len(_OVERLOADED), _OVERLOADED)
)

log = get_logger("listener")


class ListenError(MarigoldarchError):
    """An address cannot be listened at."""


class ListenerSettings(NamedTuple):
    """Where to listen, the most connections at once, and the certificates, if any.

    `flush_s` is how long answers in progress may go on once the node has stopped.
    """

    address: str
    max_connections: int = MAX_CONNECTIONS
    tls: TlsContexts | None = None
    flush_s: float = SHUTDOWN_S


def connection_options(unacknowledged_ms: int) -> list[tuple[int, int, int]]:
    """Return the socket options by which the kernel ends a connection to a dead peer.

    A peer whose window stays closed for `unacknowledged_ms` also counts as dead (RFC 5482).
    """
    tcp = socket.IPPROTO_TCP
    return [
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ]


class Connection(TCPServer):
    """A connection of hypercorn that speaks HTTP/1.1 only and ends when its caller has closed it.

    Left to itself it would keep a closed connection open until its keep-alive time has passed, and
    let plain connections switch to HTTP/2.
    """

    _is_read_to_end = False

    @property
    def protocol(self) -> ProtocolWrapper:
        """Return the protocol."""
        return self._protocol

    @protocol.setter
    def protocol(self, protocol: ProtocolWrapper) -> None:
        if isinstance(protocol.protocol, H11Protocol):
            protocol.protocol._check_protocol = _keep_protocol
        self._protocol = protocol

    async def protocol_send(self, event: Event) -> None:
        """Act on an event of the protocol; nothing is idle once the caller has closed."""
        if self._is_read_to_end and isinstance(event, Updated):
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        await super()._read_data()
        self._is_read_to_end = True
        await self.idle_task.stop()


async def _keep_protocol(request: Any) -> None:
    """Ignore a request's wish for another protocol (RFC 9110, section 7.8)."""


class Listener:
    """Serve a router on one address."""

    def __init__(self, router: Router, settings: ListenerSettings) -> None:
        self._settings = settings
        self._config = Config()
        self._config.keep_alive_timeout = KEEP_ALIVE_S
        self._config.accesslog = None
        self._config.errorlog = None
        self._app = wrap_app(router, 0, "asgi")
        self._context = WorkerContext(None)
        self._connections = 0
        self._turned_away = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return self._connections

    async def serve(
        self,
        stopped: trio.Event,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stopped`, then let answers in progress end; started with the port."""
        host, _, port = self._settings.address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        except OSError as error:
            message = f"cannot listen at {self._settings.address}: {error.strerror}"
            raise ListenError(message) from error
        task_status.started(listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                for listener in listeners:
                    accepting.start_soon(self._accept, listener, connections)
                await stopped.wait()
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + self._settings.flush_s

    async def _accept(self, listener: trio.SocketListener, connections: trio.Nursery) -> None:
        await trio.serve_listeners(self._handle, [listener], handler_nursery=connections)

    async def _handle(self, stream: trio.SocketStream) -> None:
        if self._connections >= self._settings.max_connections:
            await self._turn_away(stream)
            return
        self._connections += 1
        try:
            for option in connection_options(UNACKNOWLEDGED_MS):
                stream.setsockopt(*option)
            state = ConnectionState({})
            await Connection(self._app, self._config, self._context, state, self._secured(stream))
        except OSError:
            log.debug("A connection ended before it was served.")
        except Exception as error:
            log.error("A connection failed with {}.", type(error).__name__, exc_info=True)
            await trio.aclose_forcefully(stream)
        finally:
            self._connections -= 1

    def _secured(self, stream: trio.SocketStream) -> trio.abc.Stream:
        if self._settings.tls is None:
            return stream
        context = self._settings.tls.server
        return trio.SSLStream(stream, context, server_side=True, https_compatible=True)

    async def _turn_away(self, stream: trio.SocketStream) -> None:
        """Answer that nothing was run, and read on for a moment so that the answer arrives."""
        if self._settings.tls is not None or self._turned_away >= MAX_TURNED_AWAY:
            await trio.aclose_forcefully(stream)
            return
        self._turned_away += 1
        try:
            with trio.move_on_after(TURN_AWAY_S):
                await stream.send_all(_TURN_AWAY)
                await stream.send_eof()
                while await stream.receive_some():
                    pass
        except trio.BrokenResourceError:
            log.debug("A caller that was turned away is gone.")
        finally:
            self._turned_away -= 1
            await trio.aclose_forcefully(stream)
