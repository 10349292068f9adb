"""Tests of a stopping entry: what the requests get that wait for a target meanwhile."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import logbook
import trio

from marigoldarch.serving import stopping
from marigoldarch.serving.declaration import RepeatRule, WeightedService
from marigoldarch.serving.routing import RoutingTable
from marigoldarch.tests.serving.support import call_once, declaration, route, target
from marigoldarch_node.serving import entry_host
from marigoldarch_node.serving.entry_host import EntryHost
from marigoldarch_node.serving.entry_state import EntryState
from marigoldarch_node.serving.settings import Bounds, ServingSettings
from marigoldarch_node.tests.serving.support import (
    PlainDialect,
    free_address,
    open_stream,
    read_all,
    read_until,
    scripted_target,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.serving.declaration import Route

STOP_GRACE_MS = 2400.0
STOP_END_MS = 2000.0
LATEST_REFUSAL_MS = 1500.0
"""Some time before the connections end, so that slow links and busy callers get the refusal too."""

SAFE = route(
    is_public=True,
    has_prompt=False,
    is_stream=False,
    is_resumable=False,
    repeat_rule=RepeatRule.IDEMPOTENT,
    timeout_ms=60_000.0,
)
STREAM = SAFE._replace(is_stream=True, is_resumable=True)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 0\ndata: a\n\n"


async def never(stream: trio.SocketStream) -> None:
    """Send nothing."""
    await trio.sleep_forever()


class EntryStopTests(unittest.TestCase):
    """One request to an entry that stops while the request waits."""

    def setUp(self) -> None:
        self.state: EntryState | None = None
        self.log = logbook.TestHandler()

    def request_while_stopping(
        self,
        used: Route | None,
        talk: Callable[[trio.SocketStream], Awaitable[None]],
        *,
        grace_ms: float = STOP_GRACE_MS,
    ) -> tuple[bytes, float]:
        """Return the response, and how long after the begin of the stop it was complete.

        Without a route there is no declaration either.
        """

        async def run() -> tuple[bytes, float]:
            host, caller_address = await self.create_host(grace_ms)
            if used is not None:
                self.state.apply_table(RoutingTable(declaration(used)))
            async with scripted_target(talk) as address, trio.open_nursery() as nursery:
                self.state.target_view.connect("c1")
                self.state.target_view.mark_complete("c1")
                if used is not None:
                    self.state.target_view.update_target("c1", target("t", address=address))
                nursery.start_soon(host.run)
                await trio.sleep(0.1)
                stream = await open_stream(caller_address)
                await stream.send_all(b"GET /quiz/x HTTP/1.1\r\nhost: desk.example\r\n\r\n")
                await trio.sleep(0.1)
                began_s = trio.current_time()
                nursery.start_soon(self.stop, host, nursery.cancel_scope)
                with trio.CancelScope(shield=True):
                    response = await read_all(stream)
                    elapsed_ms = (trio.current_time() - began_s) * 1000.0
                    await stream.aclose()
            return response, elapsed_ms

        with self.log, patch.object(stopping, "ACCEPT_WHILE_STOPPING_MS", 100.0):
            return trio.run(run)

    async def create_host(self, grace_ms: float) -> tuple[EntryHost, str]:
        """Return an entry, whose state the test holds, and its address for callers."""
        caller, health, peers = [await free_address() for _ in range(3)]
        settings = ServingSettings(
            "e1",
            "127.0.0.1",
            "dc1",
            int(peers.rpartition(":")[2]),
            ["127.0.0.9:1"],
            caller_address=caller,
            health_address=health,
            bounds=Bounds(stop_grace_ms=grace_ms),
        )
        self.state = EntryState(settings, 1)
        with patch.object(entry_host, "EntryState", lambda *_: self.state):
            return EntryHost(settings, PlainDialect(), 1), caller

    async def stop(self, host: EntryHost, scope: trio.CancelScope) -> None:
        """Stop the entry as its process does."""
        await host.stop()
        scope.cancel()

    def outcomes(self) -> list[object]:
        """Return the outcomes that were logged of requests."""
        ended = [item for item in self.log.records if item.message == "request ended"]
        return [item.extra["outcome"] for item in ended]

    def lose_target(self) -> None:
        """Let the entry forget its only target, so that a request waits for another one."""
        self.state.target_view.remove_target("c1", "t")

    # Guards against a stop that cuts requests of which nothing was sent anywhere.
    def test_request_that_waits_for_room_is_refused_before_the_end(self) -> None:
        without_targets = SAFE._replace(services=(WeightedService("desk", 1.0),))
        response, elapsed_ms = self.request_while_stopping(without_targets, never)
        self.assertEqual(response.split(b"\r\n")[0], b"HTTP/1.1 503 ")
        self.assertLess(elapsed_ms, LATEST_REFUSAL_MS)
        self.assertEqual(self.outcomes(), ["refused: node is stopping"])

    # Guards against a stop that cuts requests which may have run and wait for another target.
    def test_request_that_may_have_run_gets_an_error_before_the_end(self) -> None:
        async def reset(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            self.lose_target()

        response, elapsed_ms = self.request_while_stopping(SAFE, reset)
        self.assertEqual(response.split(b"\r\n")[0], b"HTTP/1.1 502 ")
        self.assertLess(elapsed_ms, LATEST_REFUSAL_MS)
        self.assertEqual(self.outcomes(), ["refused: outcome unknown"])

    # Guards against a begun stream that is kept to the end though nothing can continue it any more.
    def test_stream_that_waits_for_another_target_is_cut_before_the_end(self) -> None:
        async def cut(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(HEAD + b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
            await trio.sleep(0.02)
            self.lose_target()

        response, elapsed_ms = self.request_while_stopping(STREAM, cut)
        self.assertIn(EVENT, response)
        self.assertFalse(response.endswith(b"0\r\n\r\n"))
        self.assertLess(elapsed_ms, LATEST_REFUSAL_MS)
        self.assertEqual(self.outcomes(), ["stream cut: node is stopping"])

    # Guards against a stop that cuts requests which wait for the first declaration.
    def test_request_without_a_declaration_is_refused_before_the_end(self) -> None:
        response, elapsed_ms = self.request_while_stopping(
            None, trio.aclose_forcefully, grace_ms=800
        )
        self.assertEqual(response.split(b"\r\n")[0], b"HTTP/1.1 503 ")
        self.assertLess(elapsed_ms, 350.0)
        self.assertEqual(self.outcomes(), ["refused: node is stopping"])

    def test_request_that_gets_room_too_late_is_refused_as_not_run(self) -> None:
        """Guards against requests that are sent in the grace time and cut at its end.

        The target answers each call after 1.6 s. A call waits until it is back, 0.7 s after the begin of the stop, which
        ends 1.3 s later.
        """
        ran: list[bytes] = []

        async def answer_slowly(stream: trio.SocketStream) -> None:
            ran.append(await read_until(stream, b"\r\n\r\n"))
            await trio.sleep(1.6)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")

        async def run() -> tuple[bytes, bytes, float]:
            host, caller_address = await self.create_host(STOP_GRACE_MS)
            self.state.apply_table(RoutingTable(declaration(SAFE, call_once(is_public=True))))
            async with scripted_target(answer_slowly) as address, trio.open_nursery() as nursery:
                view, slow = self.state.target_view, target("t", address=address)
                view.connect("c1")
                view.mark_complete("c1")
                view.update_target("c1", slow)
                nursery.start_soon(host.run)
                await trio.sleep(0.1)
                first = await self.call(caller_address)
                view.remove_target("c1", "t")
                stop_s = trio.current_time()
                nursery.start_soon(self.stop, host, nursery.cancel_scope)

                async def return_target() -> None:
                    await trio.sleep(0.7)
                    view.update_target("c1", slow)

                nursery.start_soon(return_target)
                with trio.CancelScope(shield=True):
                    second = await self.call(caller_address)
                return first, second, (trio.current_time() - stop_s) * 1000.0

        with self.log:
            first, second, elapsed_ms = trio.run(run)
        self.assertTrue(first.endswith(b"ab"))
        self.assertEqual(second.split(b"\r\n")[0], b"HTTP/1.1 503 ")
        self.assertLess(elapsed_ms, LATEST_REFUSAL_MS)
        self.assertEqual(len(ran), 1)

    def test_stop_ends_within_a_short_grace_time(self) -> None:
        """Guards against requests that are taken for 3 s although the process is killed after 2.4 s."""

        async def run() -> float:
            host, _ = await self.create_host(STOP_GRACE_MS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.run)
                await trio.sleep(0.1)
                began_s = trio.current_time()
                await self.stop(host, nursery.cancel_scope)
            return (trio.current_time() - began_s) * 1000.0

        self.assertLess(trio.run(run), STOP_GRACE_MS)

    async def call(self, address: str) -> bytes:
        """Return the response to a call that may run once."""
        stream = await open_stream(address)
        await stream.send_all(
            b"POST /post/x HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\r\n"
        )
        try:
            return await read_all(stream)
        finally:
            await stream.aclose()

    def test_attempt_in_progress_goes_on_to_the_end(self) -> None:
        async def respond_late(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await trio.sleep((STOP_END_MS - 200.0) / 1000.0)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")

        response, elapsed_ms = self.request_while_stopping(SAFE, respond_late)
        self.assertTrue(response.endswith(b"\r\n\r\nab"), response)
        self.assertGreater(elapsed_ms, LATEST_REFUSAL_MS)
        self.assertEqual(self.outcomes(), ["delivered"])
