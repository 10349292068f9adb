"""Carries out operators' orders to evacuate data centres, at any control host."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import JSON_HEADERS

if TYPE_CHECKING:
    from collections.abc import Collection

    from marigoldarch.clock import Clock, Millis
    from marigoldarch_node.serving.http_server import Exchange
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.store_runtime import StoreRuntime

CALLER_END_MS: Millis = 20.0
"""How long an order waits for the end of its caller's connection: an operator that has gone has asked
another control host, and perhaps ordered something else since."""

log = EventLog("control")


class OrderOutcome(Enum):
    """The outcome of an order, with the status of the answer and the label of the metric."""

    STORED = (200, "stored")
    UNSURE = (503, "unsure")
    EARLIER_ENTRIES = (503, "entries of an earlier build")
    UNKNOWN_DATA_CENTRE = (404, "unknown data centre")


class OrderContext(NamedTuple):
    """What a control host knows when an order arrives.

    `earlier_entries` are live entries whose builds would go on to send requests to an evacuated data
    centre.
    """

    data_centres: Collection[str]
    earlier_entries: Collection[str]


class EvacuationOrders:
    """Answers the orders that one control host receives, each within `timeout_ms`."""

    def __init__(
        self, store: StoreRuntime, clock: Clock, metrics: ServingMetrics, timeout_ms: Millis
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._timeout_ms = timeout_ms

    async def handle(
        self, exchange: Exchange, data_centre: str, context: OrderContext, *, is_withdrawn: bool
    ) -> None:
        """Evacuate a data centre or end that; answer 200 once that is durable."""
        outcome = await self._outcome(data_centre, context, is_withdrawn=is_withdrawn)
        status, label = outcome.value
        evacuations = self._store.store.evacuations
        log.info(
            "evacuation ordered",
            data_centre=data_centre,
            is_withdrawn=is_withdrawn,
            outcome=label,
            revision=evacuations.revision,
            data_centres=evacuations.data_centres,
            earlier_entries=len(context.earlier_entries),
        )
        self._metrics.evacuation_orders.inc({"outcome": label})
        await exchange.answer(status, JSON_HEADERS, b"{}")

    async def _outcome(
        self, data_centre: str, context: OrderContext, *, is_withdrawn: bool
    ) -> OrderOutcome:
        evacuated = self._store.store.evacuations.data_centres
        if data_centre not in context.data_centres and data_centre not in evacuated:
            return OrderOutcome.UNKNOWN_DATA_CENTRE
        if context.earlier_entries and not is_withdrawn:
            return OrderOutcome.EARLIER_ENTRIES
        is_stored = await self._store_order(data_centre, is_withdrawn=is_withdrawn)
        return OrderOutcome.STORED if is_stored else OrderOutcome.UNSURE

    async def _store_order(self, data_centre: str, *, is_withdrawn: bool) -> bool:
        """Return whether a data centre is known to be as ordered, durably.

        The order is based on what is in force after it has arrived, so that a copy of it that is
        carried out later, after another order, has no effect. It is acknowledged only after a change
        of revision, so that copies of earlier orders have none either.
        """
        # The end of a connection follows bytes that were held up; it cancels this call.
        await trio.sleep(CALLER_END_MS / 1000.0)
        end_ms = self._clock.monotonic_ms() + self._timeout_ms - CALLER_END_MS
        if await self._store.read(self._timeout_ms) is None:
            return False
        evacuations = self._store.store.evacuations
        while (left_ms := end_ms - self._clock.monotonic_ms()) > 0:
            order = evacuations.order_for(data_centre, is_withdrawn=is_withdrawn)
            evacuations = await self._store.order(order, left_ms)
            if evacuations is None:
                return False
            # Another order may have come first; then this one follows it.
            if evacuations.is_as_ordered(data_centre, is_withdrawn=is_withdrawn):
                return True
        return False
