"""Tests of the connections to targets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import httpcore
import trio

from marigoldarch_node.edge.connections import MAX_IDLE_PER_TARGET, Connections
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings

TIME_LIMIT_S = 20.0


class ConnectionsTests(unittest.TestCase):
    """Connections are used again while they are good."""

    def setUp(self) -> None:
        self.clients: list[object] = []

    async def answer(self, request: HttpRequest) -> None:
        """Answer, and note the connection."""
        self.clients.append(request.client)
        await request.send_json(200, {})

    def run_with(self, test: Callable[[str, trio.Event], Awaitable[None]]) -> None:
        """Run a test against a target that ends when the event is set."""

        async def main() -> None:
            router = Router([Route("GET", "/", self.answer)])
            stopped = trio.Event()
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    listener = Listener(router, ListenerSettings("127.0.0.1:0"))
                    port = await nursery.start(listener.serve, stopped)
                    await test(f"127.0.0.1:{port}", stopped)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def get(self, connections: Connections, address: str) -> None:
        """Send one request."""
        async with connections.use(address) as connection:
            await connection.request("GET", f"http://{address}/")

    def test_connection_is_used_again(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            connections = Connections()
            for _ in range(3):
                await self.get(connections, address)
            self.assertEqual(len(set(self.clients)), 1)
            self.assertEqual((connections.in_use, connections.idle), (0, 1))

        self.run_with(test)

    def test_connection_closed_by_its_target_is_not_used(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            connections = Connections()
            await self.get(connections, address)
            stopped.set()
            await trio.sleep(0.2)
            with self.assertRaises(httpcore.ConnectError):
                await self.get(connections, address)
            self.assertEqual((connections.in_use, connections.idle), (0, 0))

        self.run_with(test)

    def test_response_that_was_not_read_to_its_end_closes_its_connection(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            connections = Connections()
            async with (
                connections.use(address) as connection,
                connection.stream("GET", f"http://{address}/"),
            ):
                pass
            self.assertEqual((connections.in_use, connections.idle), (0, 0))

        self.run_with(test)

    def test_connections_in_use_are_bounded(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            connections = Connections(limit=2)
            async with connections.use(address), connections.use(address):
                with self.assertRaises(httpcore.ConnectError):
                    await self.get(connections, address)
            await self.get(connections, address)
            self.assertEqual(connections.in_use, 0)

        self.run_with(test)

    def test_idle_connections_are_bounded(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            connections = Connections()
            async with AsyncExitStack() as stack:
                for _ in range(MAX_IDLE_PER_TARGET + 5):
                    lent = await stack.enter_async_context(connections.use(address))
                    await lent.request("GET", f"http://{address}/")
            self.assertEqual((connections.in_use, connections.idle), (0, MAX_IDLE_PER_TARGET))

        self.run_with(test)
