"""Tests of the pool of connections to targets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import httpcore
import trio

from marigoldarch_node.edge.connection_pool import MAX_IDLE_PER_TARGET, HttpcoreConnectionPool
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings

TIME_LIMIT_S = 20.0


class TargetConnectionPoolTests(unittest.TestCase):
    """Connections are reused while they are usable, and their number is limited."""

    def setUp(self) -> None:
        self.clients: list[object] = []

    async def answer(self, request: HttpRequest) -> None:
        """Answer, and record the client address of the connection."""
        self.clients.append(request.client)
        await request.send_json(200, {})

    def run_with(self, test: Callable[[str, trio.Event], Awaitable[None]]) -> None:
        """Run a test against a target that stops when the event is set."""

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

    async def get(self, pool: HttpcoreConnectionPool, address: str) -> None:
        """Send one request."""
        async with pool.acquire(address) as connection:
            await connection.request("GET", f"http://{address}/")

    def test_idle_connection_is_reused(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            pool = HttpcoreConnectionPool()
            for _ in range(3):
                await self.get(pool, address)
            self.assertEqual(len(set(self.clients)), 1)
            self.assertEqual((pool.in_use, pool.idle), (0, 1))

        self.run_with(test)

    def test_connection_closed_by_its_target_is_not_reused(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            pool = HttpcoreConnectionPool()
            await self.get(pool, address)
            stopped.set()
            await trio.sleep(0.2)
            with self.assertRaises(httpcore.ConnectError):
                await self.get(pool, address)
            self.assertEqual((pool.in_use, pool.idle), (0, 0))

        self.run_with(test)

    def test_connection_is_closed_after_an_unread_response(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            pool = HttpcoreConnectionPool()
            async with (
                pool.acquire(address) as connection,
                connection.stream("GET", f"http://{address}/"),
            ):
                pass
            self.assertEqual((pool.in_use, pool.idle), (0, 0))

        self.run_with(test)

    def test_connections_in_use_are_limited(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            pool = HttpcoreConnectionPool(max_in_use=2)
            async with pool.acquire(address), pool.acquire(address):
                with self.assertRaises(httpcore.ConnectError):
                    await self.get(pool, address)
            await self.get(pool, address)
            self.assertEqual(pool.in_use, 0)

        self.run_with(test)

    def test_idle_connections_per_target_are_limited(self) -> None:
        async def test(address: str, stopped: trio.Event) -> None:
            pool = HttpcoreConnectionPool()
            async with AsyncExitStack() as stack:
                for _ in range(MAX_IDLE_PER_TARGET + 5):
                    connection = await stack.enter_async_context(pool.acquire(address))
                    await connection.request("GET", f"http://{address}/")
            self.assertEqual((pool.in_use, pool.idle), (0, MAX_IDLE_PER_TARGET))

        self.run_with(test)
