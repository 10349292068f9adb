"""Tests of connections: how long they outlast a silent peer, and odd addresses."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.memory_leases import MAX_UNHEARD_MS, MAX_UNUSED_MS
from marigoldarch.serving.presence import HostsKnown
from marigoldarch.tests.addresses_tests import ODD_ADDRESSES
from marigoldarch_node.serving import peer_stream, sockets
from marigoldarch_node.serving.datagrams import DatagramSocket
from marigoldarch_node.serving.peer_stream import fetch_body
from marigoldarch_node.serving.sockets import connect
from marigoldarch_node.serving.target_connections import TargetConnectionPool, TargetRequest
from marigoldarch_node.tests.serving.support import free_address, read_until, scripted_target

if TYPE_CHECKING:
    from marigoldarch_node.serving.sockets import Connection

PAUSE_S = 2.5
"""How long a sound target reads nothing."""

SHORTEST_TARGET_BOUND_MS = 4000
"""A sound target may be silent for a second, and much longer on a slow machine."""

LONGEST_TARGET_BOUND_MS = 6000
"""A dead host is found within a few seconds."""

PEER_BOUND_MS = 1500


def option(sock: socket.socket, name: int) -> int:
    """Return a TCP option of a socket."""
    return sock.getsockopt(socket.IPPROTO_TCP, name)


class SilentPeerTests(unittest.TestCase):
    """Connections to targets and peers on loopback."""

    def send_to_paused_target(self, body_bytes: int) -> bytes:
        """Send a body to a target that reads nothing for a while; return the response's body.

        The body must not fit into the buffers of the connection.
        """

        async def talk(stream: trio.SocketStream) -> None:
            await trio.sleep(PAUSE_S)
            await read_until(stream, b"END")
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
            await trio.sleep(1)

        async def run() -> bytes:
            connections = TargetConnectionPool(ManualClock())
            body = b"x" * body_bytes + b"END"
            length = str(len(body)).encode()
            headers = [(b"host", b"a"), (b"content-length", length)]
            async with scripted_target(talk) as address:
                connection = await connections.acquire(address, must_be_new=True)
                with trio.fail_after(2 * PAUSE_S):
                    await connection.send(TargetRequest("POST", "/x", headers, body))
                    await connection.read_head()
                    return await connection.read_body(100)

        return trio.run(run)

    # Guards against giving up a sound target because it does not read for a moment.
    def test_target_that_reads_nothing_for_a_moment_keeps_its_connection(self) -> None:
        self.assertEqual(self.send_to_paused_target(8_000_000), b"ab")

    # Guards against giving up a sound target whose host answers no keep-alive probe for a moment.
    def test_silent_target_is_given_up_after_a_few_seconds(self) -> None:
        async def run() -> None:
            async with scripted_target(lambda _: trio.sleep(1)) as address:
                connection = await TargetConnectionPool(ManualClock()).acquire(
                    address, must_be_new=True
                )
                sock = connection.connection.socket
                self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
                first_ms = option(sock, socket.TCP_KEEPIDLE) * 1000
                rest_ms = (
                    option(sock, socket.TCP_KEEPINTVL) * option(sock, socket.TCP_KEEPCNT) * 1000
                )
                for bound_ms in (option(sock, socket.TCP_USER_TIMEOUT), first_ms + rest_ms):
                    self.assertGreaterEqual(bound_ms, SHORTEST_TARGET_BOUND_MS)
                    self.assertLessEqual(bound_ms, LONGEST_TARGET_BOUND_MS)

        trio.run(run)

    # Guards against memory that stays reserved at others for a target whose host has gone dark, and
    # against a request that is lost with a single probe.
    def test_target_whose_request_holds_memory_at_others_is_given_up_in_time(self) -> None:
        async def run() -> None:
            async with scripted_target(lambda _: trio.sleep(1)) as address:
                connection = await sockets.connect(address, 1000.0, sockets.TARGET_BOUNDS)
                connection.bound_silence(holds_memory=True)
                idle_ms = option(connection.socket, socket.TCP_KEEPIDLE) * 1000
                interval_ms = option(connection.socket, socket.TCP_KEEPINTVL) * 1000
                bound_ms = option(connection.socket, socket.TCP_USER_TIMEOUT)
                self.assertGreater(bound_ms, idle_ms + interval_ms)
                # The kernel looks at the bound when a probe is due.
                probe_ms = idle_ms
                while probe_ms < bound_ms:
                    probe_ms += interval_ms
                self.assertLess(probe_ms, MAX_UNUSED_MS)
                probes = option(connection.socket, socket.TCP_KEEPCNT)
                self.assertGreater(probes, 1)
                self.assertLess(idle_ms + probes * interval_ms, MAX_UNUSED_MS)
                connection.bound_silence(holds_memory=False)
                self.assertEqual(option(connection.socket, socket.TCP_USER_TIMEOUT), 5000)
                connection.close()

        trio.run(run)

    # Guards against memory that is taken from a sound target which sends nothing as it reads a prompt.
    def test_host_of_a_silent_target_is_heard_each_second(self) -> None:
        async def run() -> list[float]:
            async with scripted_target(lambda _: trio.sleep_forever()) as address:
                connection = await sockets.connect(address, 1000.0)
                unheard_ms: list[float] = []
                for _ in range(25):
                    await trio.sleep(0.1)
                    unheard_ms.append(connection.unheard_ms())
                connection.close()
            return unheard_ms

        unheard_ms = trio.run(run)
        self.assertLess(max(unheard_ms), MAX_UNHEARD_MS)
        self.assertGreater(max(unheard_ms), 800)

    # Guards against slow detection of a lost node, with whose streams an entry learns of changes.
    def test_silent_node_is_given_up_sooner(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        bounds: list[int] = []

        async def connect(address: str, *args: Any) -> Connection:
            connection = await sockets.connect(address, *args)
            bounds.append(option(connection.socket, socket.TCP_USER_TIMEOUT))
            return connection

        async def run() -> None:
            async with scripted_target(talk) as address:
                await fetch_body(address, "/x", 1.0)

        with patch.object(peer_stream, "connect", connect):
            trio.run(run)
        self.assertEqual(bounds, [PEER_BOUND_MS])


class OddAddressTests(unittest.TestCase):
    """Load pattern: a node is told of a target or a node with an address that is none."""

    def test_connecting_and_sending_fail_like_those_to_a_dead_host(self) -> None:
        """Guards against processes that end, again after each start, as the port is out of range."""

        async def run() -> None:
            datagrams = await DatagramSocket.open(await free_address(), HostsKnown)
            for address in ODD_ADDRESSES:
                with self.assertRaises(OSError):
                    await connect(address, 1000.0)
                await datagrams.send(HostsKnown(()), address)

        trio.run(run)
