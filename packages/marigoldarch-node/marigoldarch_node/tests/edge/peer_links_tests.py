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


class LinkEnd:
    """The links of one node, and the events that arrived over them."""

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
        """Return the revisions of the messages that arrived, in order."""
        return [event.message.revision for event in self.events]


class PeerLinkTests(unittest.TestCase):
    """Messages arrive in order, also after a reconnect; malformed input is dropped."""

    def test_messages_arrive_in_order_and_advance_the_hybrid_clock(self) -> None:
        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    receiver = LinkEnd("n2")
                    listener = Listener(
                        Router(receiver.links.routes), ListenerSettings("127.0.0.1:0")
                    )
                    port = await nursery.start(listener.serve, trio.Event())
                    sender = LinkEnd("n1", port)
                    sent = sender.recorder.stamp(SystemClock().wall_ms() + 1000)
                    nursery.start_soon(sender.links.run)
                    for revision in range(5):
                        sender.links.send("n2", InForce(revision))
                    while len(receiver.events) < 5:
                        await trio.sleep(0.001)
                    self.assertEqual(receiver.revisions, [0, 1, 2, 3, 4])
                    self.assertGreater(receiver.recorder.stamp(0), sent)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_link_reconnects_after_its_peer_restarted(self) -> None:
        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    receiver = LinkEnd("n2")
                    router = Router(receiver.links.routes)
                    first = trio.CancelScope()
                    port = await nursery.start(self.serve, router, "127.0.0.1:0", first)
                    sender = LinkEnd("n1", port)
                    nursery.start_soon(sender.links.run)
                    sender.links.send("n2", InForce(1))
                    while not receiver.events:
                        await trio.sleep(0.001)
                    first.cancel()
                    await trio.sleep(0.05)
                    address = f"127.0.0.1:{port}"
                    await nursery.start(self.serve, router, address, trio.CancelScope())
                    while receiver.revisions[-1] == 1:
                        sender.links.send("n2", InForce(2))
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

    def test_queued_messages_are_limited_and_drops_are_counted(self) -> None:
        link_end = LinkEnd("n1")
        for revision in range(peer_links.MAX_QUEUED_MESSAGES + 3):
            link_end.links.send("n2", InForce(revision))
        self.assertEqual(link_end.links.dropped_messages, 3)

    def post(self, link_end: LinkEnd, line: bytes, key: str = KEY, node: str = "n1") -> Any:
        """Send a request with one batch."""
        headers = [(peer_links.NODE_HEADER, node)]
        router = Router(link_end.links.routes)
        return trio.run(send, router, "POST", peer_links.LINK_PATH, headers, line, key)

    def test_malformed_message_does_not_affect_the_rest_of_its_batch(self) -> None:
        link_end = LinkEnd("n2")
        good = MESSAGES.to_plain(InForce(7))
        batch = [*HybridTimestamp(5, 0), [["FromTheFuture", {}], 3, good]]
        self.assertEqual(self.post(link_end, encode_json(batch) + b"\n").status, 200)
        self.assertEqual(link_end.revisions, [7])

    def test_malformed_batches_are_dropped(self) -> None:
        link_end = LinkEnd("n2")
        for line in (b"{", b"[]", b"[1,2]", b'["a",0,[]]', b"[" * 10_000, b"\xff"):
            self.assertEqual(self.post(link_end, line + b"\n").status, 200)
        self.assertEqual(link_end.events, [])

    def test_wrong_key_and_unknown_node_are_refused(self) -> None:
        link_end = LinkEnd("n2")
        self.assertEqual(self.post(link_end, b"", key="wrong").status, 401)
        self.assertEqual(self.post(link_end, b"", node="n9").status, 401)
