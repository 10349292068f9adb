"""Tests of operators' orders at a control host, before a fake store.

They guard against an order that is acknowledged without effect, and against one that is based on a
state from before its arrival, so that a late copy would have an effect.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.evacuations import EvacuationOrder, Evacuations
from marigoldarch.store.document import Document
from marigoldarch_node.serving.evacuation_orders import EvacuationOrders, OrderContext
from marigoldarch_node.serving.metrics import ServingMetrics

TIMEOUT_MS = 900.0
KNOWN = OrderContext({"dc1", "dc2"}, ())


class FakeStore:
    """A store in which other orders are applied before a read, or before an order, is answered."""

    def __init__(self, evacuations: Evacuations) -> None:
        self.store = SimpleNamespace(evacuations=evacuations)
        self.found_by_read: Evacuations | None = evacuations
        self.earlier_orders: list[Evacuations] = []
        self.bases: list[int] = []
        self.is_answering = True

    async def read(self, timeout_ms: float) -> Document | None:
        """Apply what is found by the read; return a document, None if there is no majority."""
        await trio.lowlevel.checkpoint()
        if self.found_by_read is None:
            return None
        self.store.evacuations = max(self.store.evacuations, self.found_by_read)
        return Document()

    async def read_at_once(self, timeout_ms: float) -> Document:
        """Return a document as the leader does for its own read."""
        return Document()

    async def order(self, order: EvacuationOrder, timeout_ms: float) -> Evacuations | None:
        """Apply the next earlier order, if any, and this one if it is not based on an older state."""
        self.bases.append(order.base_revision)
        await trio.lowlevel.checkpoint()
        if not self.is_answering:
            return None
        if self.earlier_orders:
            self.store.evacuations = self.earlier_orders.pop(0)
        index = self.store.evacuations.revision + 1
        self.store.evacuations = self.store.evacuations.after(order, index)
        return self.store.evacuations


class EvacuationOrdersTests(unittest.TestCase):
    """Orders about dc1 at a control host that knows dc1 and dc2."""

    def handle(
        self, store: FakeStore, context: OrderContext = KNOWN, *, is_withdrawn: bool = False
    ) -> int:
        """Handle an order about dc1; return the status of the answer."""
        statuses: list[int] = []

        async def answer(status: int, headers: object, body: bytes) -> None:
            statuses.append(status)

        orders = EvacuationOrders(store, ManualClock(), ServingMetrics(), TIMEOUT_MS)

        async def run() -> None:
            exchange = SimpleNamespace(answer=answer)
            await orders.handle(exchange, "dc1", context, is_withdrawn=is_withdrawn)

        trio.run(run)
        return statuses[0]

    def test_late_order_whose_caller_has_gone_has_no_effect(self) -> None:
        """Guards against an order that arrives seconds late with the end of its connection, at the leader.

        The leader answers its own read at once, before the task that watches the connection has run.
        """
        store = FakeStore(Evacuations(3, ("dc1",)))
        store.read = store.read_at_once

        async def run() -> None:
            async with trio.open_nursery() as nursery:

                async def watch_connection() -> None:
                    await trio.sleep(0)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch_connection)
                orders = EvacuationOrders(store, ManualClock(), ServingMetrics(), TIMEOUT_MS)
                await orders.handle(None, "dc1", KNOWN, is_withdrawn=True)

        trio.run(run)
        self.assertEqual(store.bases, [])

    def test_order_is_based_on_what_is_in_force_after_its_arrival(self) -> None:
        store = FakeStore(Evacuations(3))
        store.found_by_read = Evacuations(8, ("dc2",))
        self.assertEqual(self.handle(store), 200)
        self.assertEqual(store.bases, [8])
        self.assertEqual(store.store.evacuations.data_centres, ("dc1", "dc2"))

    def test_order_follows_others_that_come_first(self) -> None:
        store = FakeStore(Evacuations(3))
        store.earlier_orders = [Evacuations(5, ("dc2",)), Evacuations(7)]
        self.assertEqual(self.handle(store), 200)
        self.assertEqual(store.bases, [3, 5, 7])
        self.assertEqual(store.store.evacuations.data_centres, ("dc1",))

    def test_order_sent_again_is_acknowledged_and_outdates_copies_of_earlier_ones(self) -> None:
        store = FakeStore(Evacuations(3, ("dc1",)))
        late_copy = EvacuationOrder((), 3)
        self.assertEqual(self.handle(store), 200)
        self.assertEqual(store.store.evacuations, Evacuations(4, ("dc1",)))
        trio.run(store.order, late_copy, TIMEOUT_MS)
        self.assertEqual(store.store.evacuations, Evacuations(4, ("dc1",)))
        for revision in (5, 6):
            self.assertEqual(self.handle(store, is_withdrawn=True), 200)
            self.assertEqual(store.store.evacuations, Evacuations(revision))

    def test_order_without_a_majority_has_no_clear_answer(self) -> None:
        store = FakeStore(Evacuations(3, ("dc1",)))
        store.found_by_read = None
        self.assertEqual(self.handle(store), 503)
        store = FakeStore(Evacuations(3))
        store.is_answering = False
        self.assertEqual(self.handle(store), 503)

    def test_unknown_data_centre_is_not_found_unless_it_is_evacuated(self) -> None:
        context = OrderContext({"dc2"}, ())
        self.assertEqual(self.handle(FakeStore(Evacuations()), context), 404)
        evacuated = FakeStore(Evacuations(3, ("dc1",)))
        self.assertEqual(self.handle(evacuated, context, is_withdrawn=True), 200)

    def test_entries_of_earlier_builds_delay_an_evacuation_and_no_withdrawal(self) -> None:
        context = OrderContext({"dc1"}, ["10.0.0.1:7340"])
        store = FakeStore(Evacuations(3, ("dc1",)))
        self.assertEqual(self.handle(store, context), 503)
        self.assertEqual(self.handle(store, context, is_withdrawn=True), 200)
        self.assertEqual(store.store.evacuations.data_centres, ())


if __name__ == "__main__":
    unittest.main()
