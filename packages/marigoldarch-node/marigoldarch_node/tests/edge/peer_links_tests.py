"""Tests of the links between nodes over real sockets."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from marigoldarch.codec import encode_json
from marigoldarch.events import Event
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import MESSAGES, InForce
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.edge import peer_links
from marigoldarch_node.edge.http import Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.edge.peer_links import LinkSettings, PeerLinks
from marigoldarch_node.security.keys import KeyDigests, KeyRing, digest_of
from marigoldarch_node.security.tls import TlsContexts
from marigoldarch_node.tests.harness import send
from marigoldarch_node.timeline.hybrid_clock import HybridTimestamp
from marigoldarch_node.timeline.recorder import TimelineRecorder

KEY = "peer-test-key"
TIME_LIMIT_S = 20.0


class Side:
    """One node's links and what has arrived over them."""

    def __init__(
        self, node: str, peer_port: int = 1, key: str = KEY, tls: TlsContexts | None = None
    ) -> None:
        peers = tuple(
            NodeAddress(name, "dc1", "127.0.0.1:1", f"127.0.0.1:{peer_port}")
            for name in ("n1", "n2")
        )
        self.events: list[Event] = []
        self.recorder = TimelineRecorder(node)
        keys = KeyRing(KeyDigests(peer=(digest_of(KEY),)))
        settings = LinkSettings(node, key, SystemClock(), self.recorder, keys, tls)
        self.links = PeerLinks(settings, peers, self.events.append)

    @property
    def revisions(self) -> list[int]:
        """Return the revisions that have arrived."""
        return [event.message.revision for event in self.events]


class PeerLinkTests(unittest.TestCase):
    """Messages arrive in order, also after a break; what is malformed is dropped alone."""

    def test_messages_and_the_clock_travel(self) -> None:
        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    there = Side("n2")
                    listener = Listener(Router(there.links.routes), ListenerSettings("127.0.0.1:0"))
                    port = await nursery.start(listener.serve, trio.Event())
                    here = Side("n1", port)
                    sent = here.recorder.stamp(SystemClock().wall_ms() + 1000)
                    nursery.start_soon(here.links.run)
                    for revision in range(5):
                        here.links.send("n2", InForce(revision))
                    while len(there.events) < 5:
                        await trio.sleep(0.001)
                    self.assertEqual(there.revisions, [0, 1, 2, 3, 4])
                    self.assertGreater(there.recorder.stamp(0), sent)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_link_is_opened_anew_after_its_peer_restarted(self) -> None:
        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    there = Side("n2")
                    router = Router(there.links.routes)
                    first = trio.CancelScope()
                    port = await nursery.start(self.serve, router, "127.0.0.1:0", first)
                    here = Side("n1", port)
                    nursery.start_soon(here.links.run)
                    here.links.send("n2", InForce(1))
                    while not there.events:
                        await trio.sleep(0.001)
                    first.cancel()
                    await trio.sleep(0.05)
                    address = f"127.0.0.1:{port}"
                    await nursery.start(self.serve, router, address, trio.CancelScope())
                    while there.revisions[-1] == 1:
                        here.links.send("n2", InForce(2))
                        await trio.sleep(0.02)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def serve(
        self,
        router: Router,
        address: str,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[int],
    ) -> None:
        """Serve until the scope is cancelled."""
        with scope:
            listener = Listener(router, ListenerSettings(address))
            await listener.serve(trio.Event(), task_status=task_status)

    def test_waiting_messages_are_bounded_and_counted(self) -> None:
        side = Side("n1")
        for revision in range(peer_links.OUTBOX_MESSAGES + 3):
            side.links.send("n2", InForce(revision))
        self.assertEqual(side.links.dropped_messages, 3)

    def post(self, side: Side, line: bytes, key: str = KEY, node: str = "n1") -> Any:
        """Send one batch in a request of its own."""
        headers = [(peer_links.NODE_HEADER, node)]
        router = Router(side.links.routes)
        return trio.run(send, router, "POST", peer_links.LINK_PATH, headers, line, key)

    def test_malformed_message_does_not_take_the_rest_of_its_batch_along(self) -> None:
        side = Side("n2")
        good = MESSAGES.to_plain(InForce(7))
        batch = [*HybridTimestamp(5, 0), [["FromTheFuture", {}], 3, good]]
        self.assertEqual(self.post(side, encode_json(batch) + b"\n").status, 200)
        self.assertEqual(side.revisions, [7])

    def test_malformed_batches_are_dropped(self) -> None:
        side = Side("n2")
        for line in (b"{", b"[]", b"[1,2]", b'["a",0,[]]', b"[" * 10_000, b"\xff"):
            self.assertEqual(self.post(side, line + b"\n").status, 200)
        self.assertEqual(side.events, [])

    def test_wrong_key_and_unknown_node_are_refused(self) -> None:
        side = Side("n2")
        self.assertEqual(self.post(side, b"", key="wrong").status, 401)
        self.assertEqual(self.post(side, b"", node="n9").status, 401)
