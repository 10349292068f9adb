"""Tests of datagrams between nodes on loopback."""

from __future__ import annotations

import unittest

import trio

from marigoldarch.serving.presence import HostsKnown
from marigoldarch_node.serving.datagrams import DatagramSocket
from marigoldarch_node.tests.serving.support import free_address

TEST_TIMEOUT_S = 5.0


class DatagramTests(unittest.TestCase):
    """Load pattern: many reports arrive while a node is busy."""

    def test_all_that_waits_is_handled_in_order_and_undecodable_datagrams_are_dropped(self) -> None:
        handled: list[str] = []
        count = 100

        async def handle(message: HostsKnown) -> None:
            handled.extend(message.hosts)

        async def main() -> None:
            address = await free_address()
            receiver = await DatagramSocket.open(address, HostsKnown)
            sender = await DatagramSocket.open(await free_address(), HostsKnown)
            for number in range(count):
                await sender.send(HostsKnown([str(number)]), address)
                await sender.send_encoded(b"\xc1", address)
            with trio.move_on_after(TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(receiver.receive, handle)
                    while len(handled) < count:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(handled, [str(number) for number in range(count)])

    def test_datagram_that_is_nested_too_deeply_does_not_end_the_receiver(self) -> None:
        # msgspec raises RecursionError for a field that it skips, not one of its own errors.
        deep = b"\x93\xa5hosts\x91\xa1b" + b"\x91" * 60_000
        handled: list[str] = []

        async def handle(message: HostsKnown) -> None:
            handled.extend(message.hosts)

        async def main() -> None:
            address = await free_address()
            receiver = await DatagramSocket.open(address, HostsKnown)
            sender = await DatagramSocket.open(await free_address(), HostsKnown)
            await sender.send_encoded(deep, address)
            await sender.send(HostsKnown(["a"]), address)
            with trio.move_on_after(TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(receiver.receive, handle)
                    while not handled:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(handled, ["a"])

    def test_datagram_that_cannot_be_sent_does_not_keep_others_from_their_nodes(self) -> None:
        handled: list[str] = []

        async def handle(message: HostsKnown) -> None:
            handled.extend(message.hosts)

        async def main() -> None:
            address = await free_address()
            receiver = await DatagramSocket.open(address, HostsKnown)
            sender = await DatagramSocket.open(await free_address(), HostsKnown)
            await sender.send(HostsKnown(["a"]), "127.0.0.1:0", address)
            with trio.move_on_after(TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(receiver.receive, handle)
                    while not handled:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(handled, ["a"])
