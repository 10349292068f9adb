"""Tests of the listener over real sockets: limits, malformed requests and disconnects."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable

import httpcore
import trio

from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import DEFAULT_SHUTDOWN_GRACE_S, Listener, ListenerSettings

TIME_LIMIT_S = 20.0
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
MALFORMED_REQUESTS = (
    b"\x00" * 100,
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 5000,
    b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 100_000,
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"GET /%ff%00 HTTP/1.1\r\nhost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n"
    b"sec-websocket-version: 13\r\nsec-websocket-key: eA==\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 50,
    b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\nhttp2-settings: !\r\n\r\n",
)


async def answer(request: HttpRequest) -> None:
    """Answer after the body is read."""
    await request.read_body()
    await request.send_json(200, {})


class ListenerTests(unittest.TestCase):
    """One connection does not affect the others."""

    def run_with(self, test: Callable[[Listener, int], Awaitable[None]], limit: int = 100) -> None:
        """Run a test against a listener."""

        async def main() -> None:
            routes = [Route("GET", "/", answer), Route("POST", "/", answer)]
            settings = ListenerSettings("127.0.0.1:0", max_connections=limit)
            listener = Listener(Router(routes), settings)
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    port = await nursery.start(listener.serve, trio.Event())
                    await test(listener, port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def ask(self, port: int, data: bytes = GET) -> bytes:
        """Send bytes and return the first part of the answer; empty if the connection ended."""
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            try:
                await stream.send_all(data)
                await stream.send_eof()
                return await stream.receive_some()
            except trio.BrokenResourceError:
                return b""

    def test_malformed_requests_do_not_affect_other_connections(self) -> None:
        async def test(listener: Listener, port: int) -> None:
            for data in MALFORMED_REQUESTS:
                first = await self.ask(port, data)
                self.assertNotIn(b" 500 ", first[:20], data[:60])
                self.assertIn(b" 200 ", await self.ask(port), data[:60])
            while listener.connections:
                await trio.sleep(0.001)

        self.run_with(test)

    def test_randomly_corrupted_requests_do_not_affect_other_connections(self) -> None:
        chooser = random.Random(1)

        async def test(listener: Listener, port: int) -> None:
            for _ in range(200):
                data = bytearray(GET)
                for _ in range(chooser.randrange(1, 6)):
                    data[chooser.randrange(len(data))] = chooser.randrange(256)
                await self.ask(port, bytes(data[: chooser.randrange(1, len(data) + 1)]))
            self.assertIn(b" 200 ", await self.ask(port))

        self.run_with(test)

    def test_connection_over_the_limit_is_answered_with_not_run(self) -> None:
        async def test(listener: Listener, port: int) -> None:
            first = await trio.open_tcp_stream("127.0.0.1", port)
            while not listener.connections:
                await trio.sleep(0.001)
            refusal = await self.ask(port)
            self.assertIn(b" 503 ", refusal[:20])
            self.assertIn(b'"run":"not_run"', refusal)
            self.assertIn(b"retry-after: 1", refusal)
            await first.aclose()
            while listener.connections:
                await trio.sleep(0.001)
            self.assertIn(b" 200 ", await self.ask(port))

        self.run_with(test, limit=1)

    def test_connection_closed_in_the_middle_of_a_body_is_released(self) -> None:
        async def test(listener: Listener, port: int) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab")
            while not listener.connections:
                await trio.sleep(0.001)
            await trio.aclose_forcefully(stream)
            while listener.connections:
                await trio.sleep(0.001)

        self.run_with(test)

    def test_response_in_progress_completes_after_a_stop(self) -> None:
        stopped = trio.Event()

        async def slow(request: HttpRequest) -> None:
            await request.start(200, "text/plain", {})
            stopped.set()
            await trio.sleep(DEFAULT_SHUTDOWN_GRACE_S + 0.3)
            await request.send_chunk(b"whole", is_last=True)

        async def main() -> None:
            settings = ListenerSettings("127.0.0.1:0", shutdown_grace_s=TIME_LIMIT_S)
            listener = Listener(Router([Route("GET", "/", slow)]), settings)
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    port = await nursery.start(listener.serve, stopped)
                    async with httpcore.AsyncConnectionPool() as pool:
                        response = await pool.request("GET", f"http://127.0.0.1:{port}/")
                    self.assertEqual(response.content, b"whole")

        trio.run(main)
