"""Tests of reading from a peer that sends bytes without end."""

from __future__ import annotations

import time
import unittest
from collections.abc import Awaitable, Callable

import trio

from marigoldarch_node.serving.peer_stream import fetch_body, fetch_lines
from marigoldarch_node.serving.target_connections import ResponseError
from marigoldarch_node.tests.serving.support import read_until, scripted_target

LATEST_END_S = 8.0
MAX_SENT_BYTES = 80 * 1024 * 1024
"""What a scripted peer sends at most, so that a failing test does not fill the machine."""


class EndlessPeerTests(unittest.TestCase):
    """One faulty peer must not fill the memory or hold the processor of a node."""

    def read_from_endless_peer(self, read: Callable[[str], Awaitable[object]]) -> float:
        """Read from a peer that sends a body without end; return the processor time of the failure."""

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
            for _ in range(MAX_SENT_BYTES // 65_536):
                await stream.send_all(b"x" * 65_536)
            await trio.sleep_forever()

        async def run() -> float:
            async with scripted_target(talk) as address:
                began_s = time.process_time()
                with trio.fail_after(LATEST_END_S), self.assertRaises(ResponseError):
                    await read(address)
                return time.process_time() - began_s

        return trio.run(run)

    # Guards against a peer whose line is searched from its start with each read.
    def test_line_without_end_ends_the_stream(self) -> None:
        async def read(address: str) -> None:
            async for _ in fetch_lines(address, "/x", lambda: LATEST_END_S):
                pass

        self.assertLess(self.read_from_endless_peer(read), 5.0)

    # Guards against a peer that fills a node with a document.
    def test_body_without_end_is_a_failure(self) -> None:
        async def read(address: str) -> bytes:
            return await fetch_body(address, "/x", LATEST_END_S)

        self.read_from_endless_peer(read)
