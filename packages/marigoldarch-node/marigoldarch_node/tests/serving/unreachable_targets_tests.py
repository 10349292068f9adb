"""Tests of targets to which no connection can be opened."""

from __future__ import annotations

import unittest

import trio

from marigoldarch.tests.serving.support import call_once, target
from marigoldarch_node.tests.serving.support import (
    entry,
    free_address,
    open_stream,
    read_until,
    unanswering_address,
)

CALL = call_once(is_public=True)


class UnreachableTargetsTests(unittest.TestCase):
    """Requests to an entry whose only target cannot be reached."""

    async def find_suspensions(self, address: str, requests: int) -> list[bool]:
        """Return whether the target is suspended after each request."""
        suspensions: list[bool] = []
        async with entry(CALL) as (state, caller_address):
            state.target_view.update_target("c1", target("t", address=address))
            for _ in range(requests):
                stream = await open_stream(caller_address)
                await stream.send_all(b"GET /post/x HTTP/1.1\r\nhost: desk.example\r\n\r\n")
                status = (await read_until(stream, b"\r\n")).split(b" ")[1]
                self.assertEqual(status, b"503")
                await stream.aclose()
                suspensions.append(state.health.is_suspended("t", state.clock.monotonic_ms()))
        return suspensions

    # Guards against the suspension of a sound target at all entries because one packet was lost.
    def test_connection_that_times_out_once_does_not_suspend_the_target(self) -> None:
        with unanswering_address() as address:
            suspensions = trio.run(self.find_suspensions, address, 2)
        self.assertEqual(suspensions, [False, True])

    def test_refused_connection_suspends_the_target_at_once(self) -> None:
        async def run() -> list[bool]:
            return await self.find_suspensions(await free_address(), 1)

        self.assertEqual(trio.run(run), [True])
