"""Tests of memory reservations at helpers that send faulty responses."""

from __future__ import annotations

import unittest

import logbook
import trio

from marigoldarch.serving.evacuations import Evacuations
from marigoldarch.serving.memory_leases import LEASE_MS, MAX_UNUSED_MS
from marigoldarch.tests.serving.support import target
from marigoldarch_node.serving.entry_state import EntryState
from marigoldarch_node.serving.memory_reservations import ReservationManager
from marigoldarch_node.serving.settings import ServingSettings
from marigoldarch_node.serving.target_connections import TargetConnectionPool
from marigoldarch_node.serving.target_paths import TargetPaths
from marigoldarch_node.tests.serving.support import PlainDialect, read_until, scripted_target

SETTINGS = ServingSettings("e1", "10.0.0.1", "dc1", 7340, ["10.0.1.1:80"])
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"


class EvacuatedHelperTests(unittest.TestCase):
    """A helper whose data centre is evacuated after it was chosen."""

    def test_nothing_is_reserved_at_the_helper(self) -> None:
        received: list[bytes] = []

        async def talk(stream: trio.SocketStream) -> None:
            received.append(await read_until(stream, b"\r\n\r\n"))

        async def run() -> None:
            state = EntryState(SETTINGS, 1)
            state.adopt_evacuations(Evacuations(5, ("dc1",)), "c1")
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address:
                helper = target("t", address=address)
                self.assertEqual(await manager.reserve(manager.create([helper], 1000)), helper)

        trio.run(run)
        self.assertEqual(received, [])


class KeptConnectionTests(unittest.TestCase):
    """Helpers that keep the connections of orders open."""

    def test_connection_of_an_order_carries_no_request(self) -> None:
        """Guards against a caller that gets the second copy of an answer to an order, which has no id."""

        async def talk(stream: trio.SocketStream) -> None:
            while await read_until(stream, b"\r\n\r\n"):
                await stream.send_all(OK + b"\r\n")

        async def run() -> tuple[bool, bool]:
            state = EntryState(SETTINGS, 1)
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address:
                helper = target("t", address=address)
                await manager.reserve(manager.create([helper], 1000))
                request = await paths.acquire(helper, must_be_new=False)
                order = await paths.acquire(helper, must_be_new=False, for_orders=True)
                return request.is_reused, order.is_reused

        self.assertEqual(trio.run(run), (False, True))


class FaultyHelperTests(unittest.TestCase):
    """Helpers whose responses no sound target sends."""

    def release_after_response(self, response: bytes) -> int:
        """Reserve memory at a helper that sends `response` each time, then release it.

        Returns the number of leases that are left. Raises what ends the manager, and with it the
        process of an entry.
        """

        async def talk(stream: trio.SocketStream) -> None:
            while await read_until(stream, b"\r\n\r\n"):
                await stream.send_all(response)

        async def run() -> int:
            state = EntryState(SETTINGS, 1)
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address, trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                reservations = manager.create([target("t", address=address)], 1000)
                await manager.reserve(reservations)
                manager.release(reservations)
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            return manager.lease_count

        return trio.run(run)

    # Guards against the end of an entry's process by one header of a helper.
    def test_unreadable_idle_timeout_of_a_helper_does_not_end_the_manager(self) -> None:
        for value in (b"\xb2", b"9" * 400, b"9" * 5000):
            response = OK + b"keep-alive: timeout=" + value + b"\r\n\r\n"
            self.assertEqual(self.release_after_response(response), 0)

    # Guards against a helper that holds the processor with the response to an order.
    def test_body_without_end_of_a_helper_ends_the_order(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1_000_000)
            await trio.sleep_forever()

        async def run() -> str:
            state = EntryState(SETTINGS, 1)
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address:
                reservations = manager.create([target("t", address=address)], 1000)
                refusing_target = await manager.reserve(reservations)
            return refusing_target.target_id

        with logbook.TestHandler() as handler:
            self.assertEqual(trio.run(run), "t")
        lines = [item for item in handler.records if item.message == "response over a limit"]
        self.assertEqual([line.extra["target"] for line in lines], ["t"])

    # Guards against a lease that begins when its host is back, long after its request has ended.
    def test_order_without_a_response_is_dropped_with_its_connection(self) -> None:
        resets: list[bool] = []

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            try:
                await stream.receive_some(1)
                resets.append(False)
            except trio.BrokenResourceError:
                resets.append(True)

        async def run() -> None:
            state = EntryState(SETTINGS, 1)
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address:
                reservations = manager.create([target("t", address=address)], 1000)
                await manager.reserve(reservations)
                await trio.sleep(0.1)

        trio.run(run)
        self.assertEqual(resets, [True])

    def test_lease_of_a_silent_first_target_is_withheld_then_lapses(self) -> None:
        orders: list[float] = []

        async def talk(stream: trio.SocketStream) -> None:
            while await read_until(stream, b"\r\n\r\n"):
                orders.append(trio.current_time())
                await stream.send_all(OK + b"\r\n")

        async def run() -> float:
            state = EntryState(SETTINGS, 1)
            paths = TargetPaths(state, PlainDialect(), TargetConnectionPool(state.clock))
            manager = ReservationManager(state, PlainDialect(), paths)
            async with scripted_target(talk) as address, trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                reservations = manager.create([target("t", address=address)], 1000)
                await manager.reserve(reservations)
                began_s = trio.current_time()
                manager.watch(reservations, lambda: (trio.current_time() - began_s) * 1000.0)
                await trio.sleep(4.0)
                nursery.cancel_scope.cancel()
            return orders[-1] - began_s

        with logbook.TestHandler() as handler:
            last_order_s = trio.run(run)
        self.assertLessEqual(last_order_s, (MAX_UNUSED_MS - LEASE_MS) / 1000.0)
        events = [item.message for item in handler.records if item.message.startswith("lease")]
        self.assertEqual(events, ["lease withheld", "lease lapsed"])
