"""Tests of the HTTP server."""

from __future__ import annotations

import os
import time
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import logbook
import trio

from marigoldarch_node.serving.http_server import Exchange, HttpServer, ServerLimits
from marigoldarch_node.serving.limit_history import LimitHistory
from marigoldarch_node.tests.serving.support import open_stream, read_all, read_until, serving

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch_node.serving.http_server import Headers

    Handler = Callable[[Exchange], Awaitable[None]]

GET = b"GET /x?y=1 HTTP/1.1\r\nhost: a\r\n\r\n"
LIMITS = ServerLimits(header_bytes=300, body_bytes=10, header_timeout_ms=200, idle_timeout_ms=300)


async def echo(exchange: Exchange) -> None:
    """Respond with the method, the target and the body of the request."""
    request = exchange.request
    await exchange.answer(200, [], f"{request.method} {request.target} ".encode() + request.body)


class HttpServerTests(unittest.TestCase):
    """Sends raw bytes to a server on loopback."""

    def talk(
        self, *sent: bytes, limits: ServerLimits | None = None, handler: Handler = echo
    ) -> bytes:
        """Send bytes; return all that the server sends until it closes the connection."""

        async def run() -> bytes:
            async with serving(handler, limits) as (_, address):
                stream = await open_stream(address)
                for data in sent:
                    await stream.send_all(data)
                return await read_all(stream)

        return trio.run(run)

    def test_target_and_body_arrive_unchanged(self) -> None:
        data = self.talk(
            b"POST /%7Ea//b?c=%20 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertTrue(data.endswith(b"POST /%7Ea//b?c=%20 abcde"), data)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        last = b"GET /z HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        data = self.talk(GET + GET + last)
        self.assertEqual(data.count(b"GET /x?y=1"), 2)
        self.assertTrue(data.endswith(b"GET /z "))

    def test_exceeded_limits_get_their_statuses(self) -> None:
        long_header = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 400 + b"\r\n\r\n"
        self.assertIn(b" 431 ", self.talk(long_header, limits=LIMITS))
        long_body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\nabcdefghijk"
        self.assertIn(b" 413 ", self.talk(long_body, limits=LIMITS))
        self.assertIn(b" 408 ", self.talk(b"GET / HT", limits=LIMITS))
        self.assertIn(b" 400 ", self.talk(b"nonsense\r\n\r\n", limits=LIMITS))

    def test_idle_connection_is_closed_without_a_response(self) -> None:
        self.assertEqual(self.talk(limits=LIMITS), b"")

    def test_caller_disconnect_cancels_the_handler_at_once(self) -> None:
        cancelled = trio.Event()

        async def wait(exchange: Exchange) -> None:
            try:
                await trio.sleep_forever()
            finally:
                cancelled.set()

        async def run() -> None:
            async with serving(wait) as (_, address):
                stream = await open_stream(address)
                await stream.send_all(GET)
                await trio.sleep(0.05)
                await stream.aclose()
                with trio.fail_after(0.5):
                    await cancelled.wait()

        trio.run(run)

    def test_aborted_response_is_incomplete_for_the_caller(self) -> None:
        async def abort(exchange: Exchange) -> None:
            await exchange.send_head(200, [])
            await exchange.send_data(b"part")
            exchange.abort()

        async def run() -> bytes:
            async with serving(abort) as (_, address):
                stream = await open_stream(address)
                await stream.send_all(GET)
                return await read_all(stream)

        data = trio.run(run)
        self.assertIn(b"part", data)
        self.assertNotIn(b"0\r\n\r\n", data)

    def test_exception_in_a_handler_leaves_no_caller_without_a_status(self) -> None:
        async def fail(exchange: Exchange) -> None:
            if exchange.request.target == "/bad":
                raise ValueError("bad")
            await exchange.answer(200, [], b"fine")

        async def run() -> tuple[bytes, bytes]:
            async with serving(fail) as (_, address):
                bad, good = await open_stream(address), await open_stream(address)
                await bad.send_all(b"GET /bad HTTP/1.1\r\nhost: a\r\n\r\n")
                await good.send_all(GET)
                return await read_all(bad), await read_until(good, b"fine")

        bad, good = trio.run(run)
        self.assert_whole_failure(bad)
        self.assertIn(b"fine", good)

    def test_response_that_cannot_be_encoded_leaves_no_caller_without_a_status(self) -> None:
        # h11 checks some headers when it encodes a response, and accepts no other one after that.
        invalid_heads = (
            (200, [(b"x", b"two\nlines")]),
            (99, []),
            (200, [(b"content-length", b"many")]),
            (200, [(b"transfer-encoding", b"gzip")]),
        )
        for method in (b"GET", b"HEAD", b"CONNECT"):
            for status, headers in invalid_heads:

                async def fail(
                    exchange: Exchange, status: int = status, headers: Headers = headers
                ) -> None:
                    await exchange.answer(status, headers, b"body")

                request = method + b" /bad HTTP/1.1\r\nhost: a\r\n\r\n"
                self.assert_whole_failure(self.talk(request, handler=fail))

    def test_handler_that_returns_without_a_response_leaves_no_caller_without_a_status(
        self,
    ) -> None:
        async def forget(exchange: Exchange) -> None:
            return

        self.assert_whole_failure(self.talk(GET, handler=forget))

    def test_exception_after_the_head_of_a_response_makes_it_incomplete(self) -> None:
        async def fail(exchange: Exchange) -> None:
            await exchange.send_head(200, [])
            await exchange.send_data(b"part")
            raise ValueError("bad")

        data = self.talk(GET, handler=fail)
        self.assertIn(b"part", data)
        self.assertNotIn(b"0\r\n\r\n", data)
        self.assertNotIn(b" 500 ", data)

    def test_failed_handler_is_logged_with_its_request(self) -> None:
        async def fail(exchange: Exchange) -> None:
            exchange.log_name = "r-17"
            raise ValueError("bad")

        with logbook.TestHandler() as handler:
            self.talk(b"PUT /bad HTTP/1.1\r\nhost: a\r\n\r\n", handler=fail)
        (record,) = [item for item in handler.records if item.message == "handler failed"]
        self.assertEqual(
            (record.extra["request"], record.extra["method"], record.extra["target"]),
            ("r-17", "PUT", "/bad"),
        )
        self.assertRegex(record.extra["caller"], r"^127\.0\.0\.1:\d+$")

    def test_failure_beside_a_disconnect_does_not_end_the_server(self) -> None:
        # Both together are a BaseExceptionGroup, of which only the cancellation is absorbed.
        is_waiting = trio.Event()

        async def fail_when_cancelled() -> None:
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError("bad")

        async def fail(exchange: Exchange) -> None:
            if exchange.request.target != "/bad":
                await exchange.answer(200, [], b"fine")
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_when_cancelled)
                is_waiting.set()
                await trio.sleep_forever()

        async def run() -> bytes:
            async with serving(fail) as (_, address):
                bad = await open_stream(address)
                await bad.send_all(b"GET /bad HTTP/1.1\r\nhost: a\r\n\r\n")
                await is_waiting.wait()
                await bad.aclose()
                good = await open_stream(address)
                await good.send_all(GET)
                return await read_until(good, b"fine")

        self.assertIn(b"fine", trio.run(run))

    def after_change(self, first_ms: float, second_ms: float, pause_s: float) -> bytes:
        """Change the idle limit 0.1 s after a connection has begun to wait for a request.

        Return what the caller gets for one that it sends after a pause from there.
        """

        async def run() -> bytes:
            history = LimitHistory(ServerLimits(idle_timeout_ms=first_ms))
            async with serving(echo, history=history) as (_, address):
                stream = await open_stream(address)
                await trio.sleep(0.1)
                history.change(ServerLimits(idle_timeout_ms=second_ms), 0.0)
                await trio.sleep(pause_s)
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(GET)
                    return await read_until(stream, b"y=1 ")
                return b""

        return trio.run(run)

    def test_connection_idle_since_before_a_longer_limit_is_kept_for_it(self) -> None:
        self.assertIn(b" 200 ", self.after_change(300.0, 900.0, pause_s=0.5))
        self.assertEqual(self.after_change(300.0, 600.0, pause_s=0.8), b"")

    def test_connection_idle_since_before_a_shorter_limit_keeps_the_longer_one(self) -> None:
        self.assertIn(b" 200 ", self.after_change(800.0, 200.0, pause_s=0.5))
        self.assertEqual(self.after_change(400.0, 200.0, pause_s=0.6), b"")

    def test_limit_that_was_in_force_in_between_counts(self) -> None:
        async def run() -> bytes:
            history = LimitHistory(ServerLimits(idle_timeout_ms=300.0))
            async with serving(echo, history=history) as (_, address):
                stream = await open_stream(address)
                await trio.sleep(0.1)
                history.change(ServerLimits(idle_timeout_ms=900.0), 0.0)
                history.change(ServerLimits(idle_timeout_ms=200.0), 0.0)
                await trio.sleep(0.5)
                await stream.send_all(GET)
                return await read_until(stream, b"y=1 ")

        self.assertIn(b" 200 ", trio.run(run))

    def test_connections_closed_as_idle_are_counted(self) -> None:
        async def run() -> int:
            async with serving(echo, LIMITS) as (server, address):
                streams = [await open_stream(address) for _ in range(3)]
                for stream in streams:
                    self.assertEqual(await read_all(stream), b"")
                return server.idle_timeouts

        self.assertEqual(trio.run(run), 3)

    def test_request_that_has_arrived_when_the_idle_limit_strikes_is_served(self) -> None:
        async def run() -> bytes:
            async with serving(echo, LIMITS) as (_, address):
                stream = await open_stream(address)
                await trio.sleep(0.05)
                # The whole loop stands still while the request arrives and the limit passes.
                os.write(stream.socket.fileno(), GET)
                time.sleep(LIMITS.idle_timeout_ms / 1000.0)
                return await read_until(stream, b"y=1 ")

        for _ in range(5):
            self.assertIn(b" 200 ", trio.run(run))

    def test_request_that_arrives_after_the_idle_limit_has_struck_is_served(self) -> None:
        class SlowHistory(LimitHistory):
            """A request arrives while the server looks up the limits before it closes."""

            def longest_idle_timeout_ms(self, since_ms: float) -> float:
                os.write(stream.socket.fileno(), GET)
                return super().longest_idle_timeout_ms(since_ms)

        async def run() -> bytes:
            nonlocal stream
            async with serving(echo, history=SlowHistory(LIMITS)) as (_, address):
                stream = await open_stream(address)
                return await read_until(stream, b"y=1 ")

        stream: trio.SocketStream
        self.assertIn(b" 200 ", trio.run(run))

    def test_request_that_has_arrived_at_a_stopping_server_is_served(self) -> None:
        async def run() -> bytes:
            async with serving(echo) as (server, address):
                stream = await open_stream(address)
                await trio.sleep(0.05)
                server.announce_closing()
                os.write(stream.socket.fileno(), GET)
                server.close_idle()
                return await read_all(stream)

        data = trio.run(run)
        self.assertIn(b" 200 ", data)
        self.assertIn(b"connection: close", data)

    def test_connection_opened_to_a_stopping_server_is_served(self) -> None:
        async def run() -> bytes:
            async with serving(echo) as (server, address):
                server.announce_closing()
                stream = await open_stream(address)
                await trio.sleep(0.05)
                await stream.send_all(GET)
                return await read_all(stream)

        data = trio.run(run)
        self.assertIn(b" 200 ", data)
        self.assertIn(b"connection: close", data)

    def test_connection_without_notice_of_its_end_is_served_while_the_server_stops(self) -> None:
        async def run() -> bytes:
            async with serving(answer_and_stop) as (server, address):
                servers.append(server)
                stream = await open_stream(address)
                await stream.send_all(GET)
                first = await read_until(stream, b"fine")
                self.assertNotIn(b"connection: close", first)
                await stream.send_all(GET)
                return await read_all(stream)

        servers: list[HttpServer] = []

        async def answer_and_stop(exchange: Exchange) -> None:
            await exchange.answer(200, [], b"fine")
            servers[0].announce_closing()

        data = trio.run(run)
        self.assertIn(b" 200 ", data)
        self.assertIn(b"connection: close", data)

    def test_part_of_a_request_behind_another_one_is_not_idle(self) -> None:
        async def run() -> bytes:
            async with serving(slow_echo, LIMITS._replace(header_timeout_ms=2000.0)) as (
                _,
                address,
            ):
                stream = await open_stream(address)
                await stream.send_all(GET + b"GET /z HT")
                await read_until(stream, b"y=1 ")
                await trio.sleep(0.6)
                await stream.send_all(b"TP/1.1\r\nhost: a\r\n\r\n")
                return await read_until(stream, b"/z ")

        async def slow_echo(exchange: Exchange) -> None:
            await trio.sleep(0.05)
            await echo(exchange)

        self.assertIn(b"GET /z", trio.run(run))

    def assert_whole_failure(self, data: bytes) -> None:
        """Check that the data is one complete response with status 500 and no body."""
        head, separator, body = data.partition(b"\r\n\r\n")
        self.assertRegex(data, rb"^HTTP/1\.1 500 ")
        self.assertEqual((separator, body), (b"\r\n\r\n", b""))
        lines = head.lower().split(b"\r\n")
        self.assertIn(b"content-length: 0", lines)
        self.assertIn(b"connection: close", lines)

    def test_closing_server_announces_it_and_closes_idle_connections(self) -> None:
        async def run() -> tuple[bytes, bytes]:
            async with serving(echo) as (server, address):
                busy, idle = await open_stream(address), await open_stream(address)
                await idle.send_all(GET)
                first = await read_until(idle, b"y=1 ")
                server.announce_closing()
                await busy.send_all(GET)
                answer = await read_all(busy)
                server.close_idle()
                self.assertEqual(await read_all(idle), b"")
                return first, answer

        first, answer = trio.run(run)
        self.assertNotIn(b"connection: close", first)
        self.assertIn(b"connection: close", answer)
