"""A pool of HTTP/1.1 connections to targets, each of which carries one request at a time.

Acquiring and releasing a connection takes constant time; `httpcore.AsyncConnectionPool` scans all
of its connections for each request.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldarch_node.edge.bounded_connection import BoundedConnection
from marigoldarch_node.edge.listener import tcp_socket_options

if TYPE_CHECKING:
    from marigoldarch_node.security.tls import TlsContexts

KEEP_ALIVE_TIMEOUT_S = 30.0
TCP_USER_TIMEOUT_MS = 10_000
MAX_CONNECTIONS_IN_USE = 10_000
MAX_IDLE_PER_TARGET = 64
EXPIRY_CHECK_INTERVAL_S = 10.0
CLOSE_TIMEOUT_S = 1.0


class HttpcoreConnectionPool:
    """Connections of `httpcore` to all targets; idle ones are kept by the address of their target."""

    def __init__(
        self, max_in_use: int = MAX_CONNECTIONS_IN_USE, tls: TlsContexts | None = None
    ) -> None:
        self._max_in_use = max_in_use
        self._tls = tls
        self._idle: dict[str, list[BoundedConnection]] = {}
        self._in_use = 0

    @property
    def scheme(self) -> str:
        """Return the scheme of the URLs of all connections."""
        return "https" if self._tls else "http"

    @property
    def in_use(self) -> int:
        """Return how many connections carry a request."""
        return self._in_use

    @property
    def idle(self) -> int:
        """Return how many connections are open and carry no request."""
        return sum(len(connections) for connections in self._idle.values())

    @asynccontextmanager
    async def acquire(self, address: str) -> AsyncIterator[BoundedConnection]:
        """Provide a connection to `address` (IP:PORT) for one request.

        Raises `httpcore.ConnectError` when too many connections are in use: the request was not
        sent.
        """
        if self._in_use >= self._max_in_use:
            raise httpcore.ConnectError("too many connections are in use")
        self._in_use += 1
        connection = await self._take_idle_or_create(address)
        try:
            yield connection
        finally:
            self._in_use -= 1
            await self._release(address, connection)

    async def close_expired_periodically(self) -> None:
        """Close connections that were idle too long or closed by their target, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for address in list(self._idle):
                await self._close_expired(address)

    async def _take_idle_or_create(self, address: str) -> BoundedConnection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        host, _, port = address.rpartition(":")
        return BoundedConnection(
            httpcore.Origin(self.scheme.encode(), host.encode(), int(port)),
            ssl_context=self._tls.client if self._tls else None,
            keepalive_expiry=KEEP_ALIVE_TIMEOUT_S,
            socket_options=tcp_socket_options(TCP_USER_TIMEOUT_MS),
        )

    async def _release(self, address: str, connection: BoundedConnection) -> None:
        idle = self._idle.setdefault(address, [])
        is_usable = connection.is_idle() and not connection.is_closed()
        if is_usable and len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(connection)
            return
        await _close(connection)

    async def _close_expired(self, address: str) -> None:
        connections = self._idle.pop(address, [])
        unexpired = [item for item in connections if not item.has_expired()]
        if unexpired:
            self._idle[address] = unexpired
        for connection in connections:
            if connection not in unexpired:
                await _close(connection)


async def _close(connection: BoundedConnection) -> None:
    with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
        scope.shield = True
        await connection.aclose()
