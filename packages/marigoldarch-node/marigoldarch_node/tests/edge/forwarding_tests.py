"""Tests of calls to targets through another node."""

from __future__ import annotations

import random
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldarch.identifiers import NodeAddress, PermitId, TargetAddress
from marigoldarch_node.calls import Payload
from marigoldarch_node.edge.forwarding import Forwarders, ForwardRoutes
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.edge.target_client import TargetClient, TargetError
from marigoldarch_node.security.keys import KeyDigests, KeyRing, digest_of
from marigoldarch_node.tests.serving.support import free_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from marigoldarch_node.edge.connection_pool import HttpcoreConnectionPool

PERMIT = PermitId(7, 1)
KEY = "peer key"
KEYS = KeyRing(KeyDigests((), (), (digest_of(KEY),)))
OWN = NodeAddress("n1", "dc1", "127.0.0.1:1", "127.0.0.1:2")


class ForwardingTests(unittest.TestCase):
    """A node whose own links are cut, another node, and a target."""

    def setUp(self) -> None:
        self.runs: list[str] = []
        self.is_cut = True
        self.ends_early = False

    async def answer(self, request: HttpRequest) -> None:
        """Run a call as a target does."""
        body = await request.read_json()
        self.runs.append(body["call"])
        if self.ends_early:
            await request.start(200, "application/json", {})
            await request.send_chunk(b'{"call": "7-')
            raise RuntimeError("the target fails in the middle of its answer")
        await request.send_json(200, {"call": body["call"], "body": "done"})

    @asynccontextmanager
    async def client(self, key: str = KEY) -> AsyncIterator[tuple[TargetClient, TargetAddress]]:
        """Run the other node and the target; yield the client of the node and the target."""
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            router = Router([Route("POST", "/v1/call/card", self.answer)])
            listener = Listener(router, ListenerSettings("127.0.0.1:0"))
            target_port = await nursery.start(listener.serve, stopped)
            self.gateway = TargetClient()
            router = Router(ForwardRoutes(self.gateway.connections, KEYS).routes)
            listener = Listener(router, ListenerSettings("127.0.0.1:0"))
            port = await nursery.start(listener.serve, stopped)
            peer = NodeAddress("n2", "dc1", "127.0.0.1:3", f"127.0.0.1:{port}")
            client = TargetClient(Forwarders(OWN, (OWN, peer), key, random.Random(30)))
            self.make_cuttable(client.connections)
            nursery.start_soon(client.run)
            yield client, TargetAddress("t", "i", f"127.0.0.1:{target_port}")
            nursery.cancel_scope.cancel()

    def make_cuttable(self, connections: HttpcoreConnectionPool) -> None:
        """Let connections fail while the links of their node are cut."""
        acquire = connections.acquire

        @asynccontextmanager
        async def acquire_unless_cut(address: str) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
            if self.is_cut:
                raise httpcore.ConnectError("the link is cut")
            async with acquire(address) as connection:
                yield connection

        connections.acquire = acquire_unless_cut

    async def call(self, client: TargetClient, target: TargetAddress) -> str:
        """Call a method of the service."""
        return await client.call_service(target, PERMIT, 1, Payload(method="card", body="x"))

    def test_call_goes_through_another_node_and_runs_once(self) -> None:
        async def run() -> None:
            async with self.client() as (client, target):
                self.assertEqual(await self.call(client, target), "done")

        trio.run(run)
        self.assertEqual(self.runs, ["7-1"])

    def test_call_that_no_node_can_send_is_known_not_to_have_run(self) -> None:
        async def run() -> None:
            async with self.client() as (client, _):
                gone = TargetAddress("t", "i", await free_address())
                with self.assertRaises(TargetError) as caught:
                    await self.call(client, gone)
                self.assertTrue(caught.exception.is_unsent)

        trio.run(run)

    def test_answer_that_ends_early_at_the_target_is_not_complete(self) -> None:
        """Guards against a call that counts as unsent, or as answered, though it has run."""
        self.ends_early = True

        async def run() -> None:
            async with self.client() as (client, target):
                with self.assertRaises(TargetError) as caught:
                    await self.call(client, target)
                self.assertFalse(caught.exception.is_unsent)

        trio.run(run)
        self.assertEqual(len(self.runs), 1)

    def test_only_nodes_may_call_targets_through_a_node(self) -> None:
        async def run() -> None:
            async with self.client("another key") as (client, target):
                with self.assertRaises(TargetError):
                    await self.call(client, target)

        trio.run(run)
        self.assertEqual(self.runs, [])

    def test_own_link_is_used_again_once_it_is_back(self) -> None:
        async def run() -> None:
            async with self.client() as (client, target):
                await self.call(client, target)
                self.is_cut = False
                await trio.sleep(0.8)
                self.gateway.connections.acquire = None
                self.assertEqual(await self.call(client, target), "done")

        trio.run(run)
