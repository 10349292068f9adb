"""Connections to targets: one request at a time each, kept open for the next one.

Taking and giving back costs the same however many are open; the pool of `httpcore` looks at all of
its connections for each request.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import trio

from marigoldarch_node.edge.listener import connection_options

KEEP_ALIVE_S = 30.0
UNACKNOWLEDGED_MS = 10_000
MAX_CONNECTIONS = 10_000
MAX_IDLE_PER_TARGET = 64
SWEEP_S = 10.0
CLOSE_LIMIT_S = 1.0


class Connections:
    """The open connections, by the address of their target."""

    def __init__(self, limit: int = MAX_CONNECTIONS) -> None:
        self._limit = limit
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Return how many connections carry a request."""
        return self._in_use

    @property
    def idle(self) -> int:
        """Return how many connections wait for a request."""
        return sum(len(connections) for connections in self._idle.values())

    @asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        """Lend a connection to `address`.

        Raises `httpcore.ConnectError` when too many are in use: nothing was sent.
        """
        if self._in_use >= self._limit:
            raise httpcore.ConnectError("too many connections are in use")
        self._in_use += 1
        connection = await self._take(address)
        try:
            yield connection
        finally:
            self._in_use -= 1
            await self._give_back(address, connection)

    async def sweep(self) -> None:
        """Close what has been idle for too long or was closed by its target, until cancelled."""
        while True:
            await trio.sleep(SWEEP_S)
            for address in list(self._idle):
                await self._drop_expired(address)

    async def _take(self, address: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await _close(connection)
        host, _, port = address.rpartition(":")
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), int(port)),
            keepalive_expiry=KEEP_ALIVE_S,
            socket_options=connection_options(UNACKNOWLEDGED_MS),
        )

    async def _give_back(self, address: str, connection: httpcore.AsyncHTTPConnection) -> None:
        idle = self._idle.setdefault(address, [])
        is_usable = connection.is_idle() and not connection.is_closed()
        if is_usable and len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(connection)
            return
        await _close(connection)

    async def _drop_expired(self, address: str) -> None:
        connections = self._idle.pop(address, [])
        kept = [item for item in connections if not item.has_expired()]
        if kept:
            self._idle[address] = kept
        for connection in connections:
            if connection not in kept:
                await _close(connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.move_on_after(CLOSE_LIMIT_S) as scope:
        scope.shield = True
        await connection.aclose()
