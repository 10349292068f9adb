"""Weighted fair queueing among customers by cost; requests close to their latest start go first.

Customers are served in order of their virtual finish tags (start-time fair queueing: P. Goyal,
H. Vin and H. Cheng, 1996, with finish tags for the order). As under deficit round robin, an item of
a customer is served once all others have had their weighted share of its cost. Unlike deficit round
robin, one decision takes logarithmic time even when items are much larger than a quantum. Within a
customer, items are sorted by arrival time plus an offset for rank and size, so that every item
ages.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from marigoldarch.clock import Millis

COMPACTION_SLACK = 64
"""A heap is rebuilt when it exceeds twice the number of live entries by more than this."""


class QueuedItem(Protocol):
    """An item of a fair queue; times are in milliseconds of the queue's clock.

    `cost` is in the unit of the queue's user. From `urgent_from_ms` on the item is served before all
    others; after `latest_start_ms` it can no longer finish by its deadline. `sort_key_ms` is its
    position among its customer's items.
    """

    is_queued: bool

    @property
    def customer(self) -> str:
        """Return the customer's name."""

    @property
    def weight(self) -> float:
        """Return the customer's weight, which is positive."""

    @property
    def cost(self) -> float:
        """Return what serving the item takes."""

    @property
    def urgent_from_ms(self) -> Millis:
        """Return from when on the item is served first."""

    @property
    def latest_start_ms(self) -> Millis:
        """Return until when the item may be served in time."""

    @property
    def sort_key_ms(self) -> Millis:
        """Return the item's position among those of its customer."""


Item = TypeVar("Item", bound=QueuedItem)


@dataclass(eq=False)
class CustomerQueue(Generic[Item]):
    """The waiting items of one customer.

    `start_tag` is the virtual start time of its next item. `items` is a heap that may still hold
    removed items; `count` and `cost` leave those out. An entry in the heap of heads is
    valid only if it carries the current `version`.
    """

    weight: float
    start_tag: float
    items: list[tuple[Millis, int, Item]] = field(default_factory=list)
    count: int = 0
    cost: float = 0.0
    version: int = 0


class FairQueue(Generic[Item]):
    """The waiting items of one lane.

    `head_changes` counts how often some customer's next item may have changed.
    """

    def __init__(self) -> None:
        self._customers: dict[str, CustomerQueue[Item]] = {}
        self._heads: list[tuple[float, int, str, int]] = []
        self._by_urgent_from: list[tuple[Millis, int, Item]] = []
        self._by_latest_start: list[tuple[Millis, int, Item]] = []
        self._serial = itertools.count()
        self._live: dict[int, int] = {}
        self._virtual_time = 0.0
        self._count = 0
        self.head_changes = 0
        self._total_cost = 0.0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._count

    @property
    def total_cost(self) -> float:
        """Return the total cost of the waiting items."""
        return self._total_cost

    def waiting_count(self, customer: str) -> int:
        """Return the number of a customer's waiting items."""
        queue = self._customers.get(customer)
        return queue.count if queue else 0

    def cost_ahead(self, customer: str, cost: float, weight: float) -> float:
        """Return an upper bound of the cost served before a new item of a customer.

        The bound is the cost of all waiting items, or less if the customer's weighted share of
        service reaches the new item sooner.
        """
        queue = self._customers.get(customer)
        own_cost = queue.cost if queue else 0
        total_weight = self._active_weight + (0.0 if queue and queue.count else weight)
        share = weight / total_weight
        return min(float(self._total_cost), (own_cost + cost) / share - cost)

    def push(self, waiting: Item) -> None:
        """Add an item."""
        customer = waiting.customer
        queue = self._customers.get(customer)
        if queue is None:
            queue = CustomerQueue(waiting.weight, self._virtual_time)
            self._customers[customer] = queue
        if queue.count == 0:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            queue.weight = waiting.weight
            self._active_weight += queue.weight
        waiting.is_queued = True
        serial = self._live[id(waiting)] = next(self._serial)
        heapq.heappush(queue.items, (waiting.sort_key_ms, serial, waiting))
        heapq.heappush(self._by_urgent_from, (waiting.urgent_from_ms, serial, waiting))
        heapq.heappush(self._by_latest_start, (waiting.latest_start_ms, serial, waiting))
        queue.count += 1
        queue.cost += waiting.cost
        self._count += 1
        self._total_cost += waiting.cost
        if queue.items[0][2] is waiting:
            self._push_head(customer, queue)

    def find_urgent(self, now_ms: Millis) -> Item | None:
        """Return the most urgent item if it has become urgent, else None."""
        first = self._first_live(self._by_urgent_from)
        return first if first is not None and first.urgent_from_ms <= now_ms else None

    def find_late(self, now_ms: Millis) -> Item | None:
        """Return an item whose latest start has passed, or None."""
        first = self._first_live(self._by_latest_start)
        return first if first is not None and first.latest_start_ms < now_ms else None

    def candidates(self, now_ms: Millis, limit: int) -> list[Item]:
        """Return up to `limit` items to serve next: an urgent one, then the customers' heads."""
        urgent = self.find_urgent(now_ms)
        found = [urgent] if urgent is not None else []
        popped: list[tuple[float, int, str, int]] = []
        while self._heads and len(found) < limit:
            entry = heapq.heappop(self._heads)
            queue = self._customers.get(entry[2])
            if queue is None or queue.version != entry[3] or queue.count == 0:
                continue
            popped.append(entry)
            head = queue.items[0][2]
            if head not in found:
                found.append(head)
        for entry in popped:
            heapq.heappush(self._heads, entry)
        return found

    def remove(self, waiting: Item, *, is_served: bool) -> None:
        """Remove an item; the cost of a served one is charged to its customer."""
        if self._live.pop(id(waiting), None) is None:
            return
        waiting.is_queued = False
        customer = waiting.customer
        queue = self._customers[customer]
        queue.count -= 1
        queue.cost -= waiting.cost
        self._count -= 1
        self._total_cost -= waiting.cost
        if is_served:
            self._virtual_time = max(self._virtual_time, queue.start_tag)
            queue.start_tag += waiting.cost / queue.weight
        if queue.count == 0:
            self._active_weight -= queue.weight
            self._deactivate(customer, queue)
        else:
            self._drop_removed(queue)
            self._push_head(customer, queue)
        self._compact()

    @property
    def virtual_time(self) -> float:
        """Return the virtual time, in the unit of the costs for a weight of 1."""
        return self._virtual_time

    def charge(self, customer: str, cost: float, weight: float) -> None:
        """Charge a customer for service that it got without an item of this queue."""
        start_tag = self.start_tag(customer) + cost / weight
        self.raise_start_tag(customer, start_tag, weight)

    def start_tag(self, customer: str) -> float:
        """Return the virtual start time of a customer's next item."""
        queue = self._customers.get(customer)
        return max(self._virtual_time, queue.start_tag if queue else 0.0)

    def raise_start_tag(self, customer: str, start_tag: float, weight: float) -> None:
        """Raise the virtual start time of a customer's next item, unless it is later already."""
        queue = self._customers.get(customer)
        if queue is None:
            queue = CustomerQueue(weight, self._virtual_time)
            self._customers[customer] = queue
        if start_tag <= queue.start_tag:
            return
        queue.start_tag = start_tag
        if queue.count:
            self._push_head(customer, queue)
        self._compact()

    def advance(self, virtual_time: float) -> None:
        """Raise the virtual time to that of another queue with the same customers."""
        self._virtual_time = max(self._virtual_time, virtual_time)

    def settle(self) -> None:
        """Forget what customers without items were served; items of the others stay."""
        self._customers = {name: queue for name, queue in self._customers.items() if queue.count}

    def upcoming(self, now_ms: Millis, limit: int) -> list[Item]:
        """Return the next `limit` items in the order of service, if no others come meanwhile."""
        return [item for item, _ in self.upcoming_tags(now_ms, limit)]

    def upcoming_tags(self, now_ms: Millis, limit: int) -> list[tuple[Item, float]]:
        """Return the same with the virtual finish time of each, that of urgent ones unchanged."""
        urgent = heapq.nsmallest(
            limit,
            [
                entry
                for entry in self._by_urgent_from
                if self._is_live(entry) and entry[0] <= now_ms
            ],
        )
        found = [
            (item, self.start_tag(item.customer) + item.cost / item.weight) for _, _, item in urgent
        ]
        serials = {serial for _, serial, _ in urgent}
        urgent_costs: Counter[str] = Counter()
        for item, _ in found:
            urgent_costs[item.customer] += item.cost
        heads: list[tuple[float, int, Item, Iterator[tuple[Millis, int, Item]], float]] = []
        for customer, queue in self._customers.items():
            if queue.count:
                others = [
                    entry
                    for entry in queue.items
                    if self._is_live(entry) and entry[1] not in serials
                ]
                tag = queue.start_tag + urgent_costs[customer] / queue.weight
                _push_next(heads, iter(heapq.nsmallest(limit, others)), tag, queue.weight)
        while heads and len(found) < limit:
            finish_tag, _, item, rest, weight = heapq.heappop(heads)
            found.append((item, finish_tag))
            _push_next(heads, rest, finish_tag, weight)
        return found

    def __iter__(self) -> Iterator[Item]:
        for queue in self._customers.values():
            for entry in queue.items:
                if self._is_live(entry):
                    yield entry[2]

    def _is_live(self, entry: tuple[Millis, int, Item]) -> bool:
        """Return whether an entry of a heap stands for an item that still waits.

        An item may have been removed and added again meanwhile, here or to another queue.
        """
        return self._live.get(id(entry[2])) == entry[1]

    def _first_live(self, heap: list[tuple[Millis, int, Item]]) -> Item | None:
        while heap and not self._is_live(heap[0]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _deactivate(self, customer: str, queue: CustomerQueue[Item]) -> None:
        queue.items.clear()
        queue.version = next(self._serial)
        if queue.start_tag <= self._virtual_time:
            del self._customers[customer]

    def _drop_removed(self, queue: CustomerQueue[Item]) -> None:
        while not self._is_live(queue.items[0]):
            heapq.heappop(queue.items)

    def _push_head(self, customer: str, queue: CustomerQueue[Item]) -> None:
        queue.version = next(self._serial)
        self.head_changes += 1
        head = queue.items[0][2]
        finish_tag = queue.start_tag + head.cost / queue.weight
        heapq.heappush(self._heads, (finish_tag, next(self._serial), customer, queue.version))

    def _compact(self) -> None:
        if len(self._by_urgent_from) > 2 * self._count + COMPACTION_SLACK:
            self._by_urgent_from = [entry for entry in self._by_urgent_from if self._is_live(entry)]
            heapq.heapify(self._by_urgent_from)
        if len(self._by_latest_start) > 2 * self._count + COMPACTION_SLACK:
            self._by_latest_start = [
                entry for entry in self._by_latest_start if self._is_live(entry)
            ]
            heapq.heapify(self._by_latest_start)
        if len(self._heads) > 2 * len(self._customers) + COMPACTION_SLACK:
            self._heads = [
                entry
                for entry in self._heads
                if entry[2] in self._customers and self._customers[entry[2]].version == entry[3]
            ]
            heapq.heapify(self._heads)
        if len(self._customers) > 2 * self._count + COMPACTION_SLACK:
            self._customers = {
                name: queue
                for name, queue in self._customers.items()
                if queue.count or queue.start_tag > self._virtual_time
            }


def _push_next(
    heads: list[tuple[float, int, Item, Iterator[tuple[Millis, int, Item]], float]],
    rest: Iterator[tuple[Millis, int, Item]],
    start_tag: float,
    weight: float,
) -> None:
    entry = next(rest, None)
    if entry is not None:
        _, serial, item = entry
        heapq.heappush(heads, (start_tag + item.cost / weight, serial, item, rest, weight))
