"""Tests of the connection pool: reuse, and which bytes belong to which response."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.attempts import FailureReason
from marigoldarch_node.serving.target_connections import (
    ResponseError,
    TargetConnection,
    TargetConnectionPool,
    TargetRequest,
    UnreachableError,
)
from marigoldarch_node.tests.serving.support import (
    free_address,
    read_until,
    scripted_target,
    unanswering_address,
)

REQUEST = TargetRequest("GET", "/x", [(b"host", b"a")], b"")
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
Talk = Callable[[trio.SocketStream], Awaitable[None]]


def responding(*responses: bytes) -> Talk:
    """Return a script that sends one of the responses for each request on a connection."""

    async def talk(stream: trio.SocketStream) -> None:
        for response in responses:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(response)
        await trio.sleep(5)

    return talk


async def send_request(
    connections: TargetConnectionPool, address: str, *, must_be_new: bool = False
):  # noqa: ANN201
    """Send one request; return the connection, and the body or the reason of the failure."""
    connection = await connections.acquire(address, must_be_new=must_be_new)
    head = None
    try:
        await connection.send(REQUEST)
        response = await connection.read_head()
        body = b"".join([chunk async for chunk in connection.chunks()])
        head = response
        return connection, body
    except ResponseError as error:
        return connection, error.reason
    finally:
        connections.release(connection, head)


class TargetConnectionsTests(unittest.TestCase):
    """Requests to scripted targets."""

    def run_twice(self, talk: Talk, *, pause_ms: float = 0.0, must_be_new: bool = False) -> list:
        """Send two requests in sequence, with a pause between them."""

        async def run() -> list:
            clock = ManualClock()
            connections = TargetConnectionPool(clock)
            async with scripted_target(talk) as address:
                results = [await send_request(connections, address)]
                clock.advance(pause_ms)
                await trio.sleep(0.02)
                results.append(await send_request(connections, address, must_be_new=must_be_new))
                return results

        return trio.run(run)

    def test_kept_connection_serves_the_next_request(self) -> None:
        first, second = self.run_twice(responding(HEAD + b"\r\nab", HEAD + b"\r\ncd"))
        self.assertEqual((first[1], second[1]), (b"ab", b"cd"))
        self.assertTrue(second[0].is_reused)

    def test_bytes_after_a_complete_response_never_reach_the_next_request(self) -> None:
        first, second = self.run_twice(responding(HEAD + b"\r\nab" + HEAD + b"\r\nXX"))
        self.assertEqual(first[1], b"ab")
        self.assertFalse(second[0].is_reused)
        self.assertEqual(second[1], b"ab")

    def test_connection_is_not_reused_close_to_its_announced_idle_timeout(self) -> None:
        keep = HEAD + b"keep-alive: timeout=2\r\n\r\nab"
        self.assertTrue(self.run_twice(responding(keep, keep), pause_ms=1200)[1][0].is_reused)
        self.assertFalse(self.run_twice(responding(keep, keep), pause_ms=1400)[1][0].is_reused)

    def test_connection_that_the_target_closes_is_not_reused(self) -> None:
        close = HEAD + b"connection: close\r\n\r\nab"
        self.assertFalse(self.run_twice(responding(close))[1][0].is_reused)

    def test_request_that_must_not_run_twice_gets_a_new_connection(self) -> None:
        response = HEAD + b"\r\nab"
        second = self.run_twice(responding(response, response), must_be_new=True)[1]
        self.assertFalse(second[0].is_reused)

    def run_once(self, talk: Talk) -> tuple[TargetConnection, object]:
        """Send one request."""

        async def run() -> tuple[TargetConnection, object]:
            async with scripted_target(talk) as address:
                return await send_request(TargetConnectionPool(ManualClock()), address)

        return trio.run(run)

    def test_response_without_a_length_ends_with_its_connection(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nabc")
            await stream.aclose()

        self.assertEqual(self.run_once(talk)[1], b"abc")

    def test_truncated_response_is_a_failure(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(HEAD + b"\r\na")
            await stream.aclose()

        self.assertEqual(self.run_once(talk)[1], FailureReason.CUT)

    def test_invalid_response_is_garbled(self) -> None:
        self.assertEqual(
            self.run_once(responding(b"\x00\x01\x02\r\n\r\n"))[1], FailureReason.GARBLED
        )

    def test_close_without_a_response_is_a_reset(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.aclose()

        self.assertEqual(self.run_once(talk)[1], FailureReason.RESET)

    def test_refused_connection_raises_unreachable_error(self) -> None:
        async def run() -> None:
            await TargetConnectionPool(ManualClock()).acquire(
                await free_address(), must_be_new=False
            )

        with self.assertRaises(UnreachableError) as caught:
            trio.run(run)
        self.assertTrue(caught.exception.is_refused)

    def test_connection_that_times_out_does_not_count_as_refused(self) -> None:
        async def run() -> None:
            with unanswering_address() as address:
                await TargetConnectionPool(ManualClock()).acquire(address, must_be_new=False)

        with self.assertRaises(UnreachableError) as caught:
            trio.run(run)
        self.assertFalse(caught.exception.is_refused)

    def test_response_that_arrives_before_the_request_is_sent_does_not_fail_it(self) -> None:
        # h11 can send no request once it has read a response.
        async def talk(stream: trio.SocketStream) -> None:
            await stream.send_all(HEAD + b"\r\nab")
            await trio.sleep(5)

        async def run() -> list[int]:
            statuses: list[int] = []
            connections = TargetConnectionPool(ManualClock())

            async def read() -> None:
                statuses.append((await connection.read_head()).status)

            async with scripted_target(talk) as address:
                connection = await connections.acquire(address, must_be_new=True)
                with trio.fail_after(1.0):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(read)
                        await trio.sleep(0.05)
                        await connection.send(REQUEST)
                connections.release(connection, None)
            return statuses

        self.assertEqual(trio.run(run), [200])
