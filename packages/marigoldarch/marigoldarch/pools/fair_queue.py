"""A queue that shares service among customers by cost, and serves urgent work first.

Customers are served by their virtual finish tags (start-time fair queueing: P. Goyal, H. Vin and
H. Cheng, 1996, with finish tags for the order). Under it, like under deficit round robin, a
customer is served an item once all others had their weighted share of its cost; unlike there, one
decision costs a logarithm also when items are much larger than a quantum. Within a customer the
order is by rank and size, shifted by the time of arrival, so that everything ages.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.messages import WorkItem
from marigoldarch.pools.estimates import Lane

COMPACTION_SLACK = 64
"""How many removed items a heap may hold beyond the live ones before it is rebuilt."""


@dataclass(eq=False)
class Waiting:
    """A request that waits for its permit; instants in the scheduler's milliseconds."""

    node: str
    item: WorkItem
    lane: Lane
    cost_tokens: int
    since_ms: Millis
    heard_ms: Millis
    deadline_ms: Millis
    latest_start_ms: Millis
    urgent_ms: Millis
    order: Millis
    is_queued: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return the request and attempt."""
        return self.item.request_id, self.item.attempt

    @property
    def weight(self) -> float:
        """Return the customer's weight."""
        return self.item.weight if self.item.weight > 0 else 1.0


@dataclass(eq=False)
class CustomerQueue:
    """One customer's waiting items; `start_tag` is that of its next item."""

    weight: float
    start_tag: float
    items: list[tuple[Millis, int, Waiting]] = field(default_factory=list)
    count: int = 0
    cost_tokens: int = 0
    version: int = 0


class FairQueue:
    """The waiting items of one lane; `changes` counts those of customers' next items."""

    def __init__(self) -> None:
        self._customers: dict[str, CustomerQueue] = {}
        self._heads: list[tuple[float, int, str, int]] = []
        self._urgent: list[tuple[Millis, int, Waiting]] = []
        self._late: list[tuple[Millis, int, Waiting]] = []
        self._serial = itertools.count()
        self._virtual_time = 0.0
        self._count = 0
        self.changes = 0
        self._cost_tokens = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._count

    @property
    def cost_tokens(self) -> int:
        """Return the cost of everything that waits."""
        return self._cost_tokens

    def customer_count(self, customer: str) -> int:
        """Return how many items of a customer wait."""
        queue = self._customers.get(customer)
        return queue.count if queue else 0

    def cost_ahead(self, customer: str, cost_tokens: int, weight: float) -> float:
        """Return the cost that is served before a new item of a customer, at most.

        That is everything that waits, or less if the customer's fair share comes sooner.
        """
        queue = self._customers.get(customer)
        own = queue.cost_tokens if queue else 0
        total_weight = self._active_weight + (0.0 if queue and queue.count else weight)
        share = weight / total_weight
        return min(float(self._cost_tokens), (own + cost_tokens) / share - cost_tokens)

    def push(self, waiting: Waiting) -> None:
        """Add an item."""
        customer = waiting.item.customer
        queue = self._customers.get(customer)
        if queue is None:
            queue = CustomerQueue(waiting.weight, self._virtual_time)
            self._customers[customer] = queue
        if queue.count == 0:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            queue.weight = waiting.weight
            self._active_weight += queue.weight
        waiting.is_queued = True
        serial = next(self._serial)
        heapq.heappush(queue.items, (waiting.order, serial, waiting))
        heapq.heappush(self._urgent, (waiting.urgent_ms, serial, waiting))
        heapq.heappush(self._late, (waiting.latest_start_ms, serial, waiting))
        queue.count += 1
        queue.cost_tokens += waiting.cost_tokens
        self._count += 1
        self._cost_tokens += waiting.cost_tokens
        if queue.items[0][2] is waiting:
            self._post_head(customer, queue)

    def urgent(self, now_ms: Millis) -> Waiting | None:
        """Return the item that would soon start too late, if there is one."""
        first = _first(self._urgent)
        return first if first is not None and first.urgent_ms <= now_ms else None

    def late(self, now_ms: Millis) -> Waiting | None:
        """Return an item that can no longer start in time, if there is one."""
        first = _first(self._late)
        return first if first is not None and first.latest_start_ms < now_ms else None

    def candidates(self, now_ms: Millis, limit: int) -> list[Waiting]:
        """Return who may be served next: an item about to be too late, then customers in turn."""
        urgent = self.urgent(now_ms)
        found = [urgent] if urgent is not None else []
        taken: list[tuple[float, int, str, int]] = []
        while self._heads and len(found) < limit:
            entry = heapq.heappop(self._heads)
            queue = self._customers.get(entry[2])
            if queue is None or queue.version != entry[3] or queue.count == 0:
                continue
            taken.append(entry)
            head = queue.items[0][2]
            if head not in found:
                found.append(head)
        for entry in taken:
            heapq.heappush(self._heads, entry)
        return found

    def remove(self, waiting: Waiting, *, is_served: bool) -> None:
        """Take an item out; a served one is charged to its customer."""
        if not waiting.is_queued:
            return
        waiting.is_queued = False
        customer = waiting.item.customer
        queue = self._customers[customer]
        queue.count -= 1
        queue.cost_tokens -= waiting.cost_tokens
        self._count -= 1
        self._cost_tokens -= waiting.cost_tokens
        if is_served:
            self._virtual_time = max(self._virtual_time, queue.start_tag)
            queue.start_tag += waiting.cost_tokens / queue.weight
        if queue.count == 0:
            self._active_weight -= queue.weight
            self._forget(customer, queue)
        else:
            self._prune(queue)
            self._post_head(customer, queue)
        self._compact()

    def __iter__(self) -> Iterator[Waiting]:
        for queue in self._customers.values():
            for _, _, waiting in queue.items:
                if waiting.is_queued:
                    yield waiting

    def _forget(self, customer: str, queue: CustomerQueue) -> None:
        queue.items.clear()
        queue.version = next(self._serial)
        if queue.start_tag <= self._virtual_time:
            del self._customers[customer]

    def _prune(self, queue: CustomerQueue) -> None:
        while not queue.items[0][2].is_queued:
            heapq.heappop(queue.items)

    def _post_head(self, customer: str, queue: CustomerQueue) -> None:
        queue.version = next(self._serial)
        self.changes += 1
        head = queue.items[0][2]
        finish_tag = queue.start_tag + head.cost_tokens / queue.weight
        heapq.heappush(self._heads, (finish_tag, next(self._serial), customer, queue.version))

    def _compact(self) -> None:
        if len(self._urgent) > 2 * self._count + COMPACTION_SLACK:
            self._urgent = [entry for entry in self._urgent if entry[2].is_queued]
            heapq.heapify(self._urgent)
        if len(self._late) > 2 * self._count + COMPACTION_SLACK:
            self._late = [entry for entry in self._late if entry[2].is_queued]
            heapq.heapify(self._late)
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


def _first(heap: list[tuple[Millis, int, Waiting]]) -> Waiting | None:
    while heap and not heap[0][2].is_queued:
        heapq.heappop(heap)
    return heap[0][2] if heap else None
