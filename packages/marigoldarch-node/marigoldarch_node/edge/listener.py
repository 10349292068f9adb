"""TCP listeners that serve HTTP/1.1 with hypercorn, limit connections and detect dead peers."""

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

KEEP_ALIVE_TIMEOUT_S = 60.0
DEFAULT_SHUTDOWN_GRACE_S = 1.0
BACKLOG = 1024
MAX_CONNECTIONS = 10_000
MAX_CONCURRENT_REJECTIONS = 64
REJECTION_TIMEOUT_S = 1.0
TCP_KEEPALIVE_IDLE_S = 15
TCP_KEEPALIVE_INTERVAL_S = 5
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 30_000
"""How long sent data may stay unacknowledged before the kernel closes the connection."""

_OVERLOADED_BODY = encode_json({"error": {"type": "overloaded", "run": "not_run"}})
_REJECTION_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n"
    b"connection: close\r\ncontent-length: %d\r\n\r\n%s" % (len(_OVERLOADED_BODY), _OVERLOADED_BODY)
)

log = get_logger("listener")


class ListenError(MarigoldarchError):
    """The listener cannot bind its address."""


class ListenerSettings(NamedTuple):
    """The address (IP:PORT), the connection limit, and the TLS contexts if TLS is used.

    `shutdown_grace_s` is how long responses in progress may continue after the listener is
    stopped.
    """

    address: str
    max_connections: int = MAX_CONNECTIONS
    tls: TlsContexts | None = None
    shutdown_grace_s: float = DEFAULT_SHUTDOWN_GRACE_S


def tcp_socket_options(user_timeout_ms: int) -> list[tuple[int, int, int]]:
    """Return the socket options that make the kernel close connections to dead peers.

    A peer whose receive window stays closed for `user_timeout_ms` also counts as dead (RFC 5482).
    """
    tcp = socket.IPPROTO_TCP
    return [
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (tcp, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    ]


class HttpConnection(TCPServer):
    """A hypercorn connection that speaks only HTTP/1.1 and ends when the client closes it.

    By default, hypercorn keeps a connection that the client closed open until the keep-alive
    timeout, and lets connections without TLS upgrade to HTTP/2.
    """

    _has_reached_eof = False

    @property
    def protocol(self) -> ProtocolWrapper:
        """Return the HTTP protocol of the connection."""
        return self._protocol

    @protocol.setter
    def protocol(self, protocol: ProtocolWrapper) -> None:
        if isinstance(protocol.protocol, H11Protocol):
            protocol.protocol._check_protocol = _ignore_upgrade
        self._protocol = protocol

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the protocol.

        After the client has closed, `Updated` is ignored, as it would restart the idle timer.
        """
        if self._has_reached_eof and isinstance(event, Updated):
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        await super()._read_data()
        self._has_reached_eof = True
        await self.idle_task.stop()


async def _ignore_upgrade(request: Any) -> None:
    """Ignore a request to upgrade to another protocol, as RFC 9110, section 7.8, allows."""


class Listener:
    """Serves a router on one address."""

    def __init__(self, router: Router, settings: ListenerSettings) -> None:
        self._settings = settings
        self._hypercorn_config = Config()
        self._hypercorn_config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        self._hypercorn_config.accesslog = None
        self._hypercorn_config.errorlog = None
        self._app = wrap_app(router, 0, "asgi")
        self._worker_context = WorkerContext(None)
        self._open_connections = 0
        self._rejections = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return self._open_connections

    async def serve(
        self,
        stopped: trio.Event,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stopped`, then let responses in progress end within the grace period.

        `task_status` is started with the port. Raises `ListenError` when the address cannot be
        bound.
        """
        host, _, port = self._settings.address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        except OSError as error:
            message = f"cannot listen on {self._settings.address}: {error.strerror}"
            raise ListenError(message) from error
        task_status.started(listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                for listener in listeners:
                    accepting.start_soon(self._accept, listener, connections)
                await stopped.wait()
                accepting.cancel_scope.cancel()
            await self._worker_context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + self._settings.shutdown_grace_s
            )

    async def _accept(self, listener: trio.SocketListener, connections: trio.Nursery) -> None:
        await trio.serve_listeners(self._handle_connection, [listener], handler_nursery=connections)

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        if self._open_connections >= self._settings.max_connections:
            await self._reject(stream)
            return
        self._open_connections += 1
        try:
            for option in tcp_socket_options(TCP_USER_TIMEOUT_MS):
                stream.setsockopt(*option)
            state = ConnectionState({})
            await HttpConnection(
                self._app,
                self._hypercorn_config,
                self._worker_context,
                state,
                self._wrap_tls(stream),
            )
        except OSError:
            log.debug("A connection was closed before it was served.")
        except Exception as error:
            log.error("Serving a connection raised {}.", type(error).__name__, exc_info=True)
            await trio.aclose_forcefully(stream)
        finally:
            self._open_connections -= 1

    def _wrap_tls(self, stream: trio.SocketStream) -> trio.abc.Stream:
        if self._settings.tls is None:
            return stream
        context = self._settings.tls.server
        return trio.SSLStream(stream, context, server_side=True, https_compatible=True)

    async def _reject(self, stream: trio.SocketStream) -> None:
        """Answer 503 with "not_run" and close the connection.

        Reads on for up to `REJECTION_TIMEOUT_S`: closing a socket with unread data resets the
        connection, and the client could lose the answer. Connections with TLS, and those over
        `MAX_CONCURRENT_REJECTIONS`, are closed without an answer.
        """
        if self._settings.tls is not None or self._rejections >= MAX_CONCURRENT_REJECTIONS:
            await trio.aclose_forcefully(stream)
            return
        self._rejections += 1
        try:
            with trio.move_on_after(REJECTION_TIMEOUT_S):
                await stream.send_all(_REJECTION_RESPONSE)
                await stream.send_eof()
                while await stream.receive_some():
                    pass
        except trio.BrokenResourceError:
            log.debug("A rejected client closed its connection.")
        finally:
            self._rejections -= 1
            await trio.aclose_forcefully(stream)
