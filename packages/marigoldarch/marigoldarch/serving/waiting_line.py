"""The order in which the waiting requests of a service get room, over all entries of a data centre.

Each entry orders its own waiting requests with the fair queue of the pools' schedulers, and tells the
others the first ones with their places in that order. All compare the same places, so that they find
one order without an owner. The queues exchange what each customer was served.

Load patterns, each with its answer:

- More short prompts come than there are places for. Those of a customer that can still be in time are
  before its late ones, and these are still served while their callers wait.
- One customer sends much more than the others, or its callers repeat at once. Customers share the
  engines' time, so that its own requests wait.
- Requests of a lower rank fill the places. A request of rank `n` counts `n + 1` times its engine
  time, and is `n` goals later among those of its customer.
- Long prompts wait for several idle engines, while smaller ones keep coming. They have a lane of
  their own; others run ahead of its head only if they end before the head can begin.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.fair_queue import FairQueue
from marigoldarch.serving.waiting_tickets import KnownPosition, Lane, Place, Ticket

if TYPE_CHECKING:
    from collections.abc import Iterable

TOLD_LIFETIME_MS: Millis = 500.0
"""What another entry has told of its waiting requests counts this long: a lost datagram must not
hold a place for longer."""

MAX_TOLD_HEADS = 4
"""How many of its waiting requests of a lane an entry tells the others."""

MAX_ORDERED = 64
"""How many requests of a lane are put in order; those behind them wait for these."""

SETTLE_MS: Millis = 2000.0
"""When nothing has waited for this long, what customers were served before counts no longer."""

MEASURED_STARTS = 16
"""From how many starts of requests, while others wait, the expected wait is found."""


class WaitingHead(NamedTuple):
    """What an entry tells the others of one of its waiting requests; times are in milliseconds.

    `tag` is its virtual finish time, `start_tag` the virtual start time of its customer and
    `virtual_time` that of the queue. The request is expected to find room after `start_in_ms`.
    """

    number: int
    lane: Lane
    is_urgent: bool
    customer: str
    tag: float
    start_tag: float
    virtual_time: float
    start_in_ms: Millis


class Served(NamedTuple):
    """Engine time that a customer was given in a lane."""

    lane: Lane
    customer: str
    engine_ms: Millis


class _Told(NamedTuple):
    """What another entry told at `told_ms`: the places of its requests by lane, in order.

    `long_start_ms` is when the first of its long prompts is expected to start.
    """

    told_ms: Millis
    places: dict[Lane, list[Place]]
    long_start_ms: Millis


class _LaneQueue(FairQueue[Ticket]):
    """The requests of one lane at an entry, and what customers were served in it."""

    def __init__(self, entry: str) -> None:
        super().__init__()
        self._entry = entry

    def in_order(self, now_ms: Millis, limit: int) -> list[Ticket]:
        """Return the first requests in order, each with its place."""
        while (ticket := self.find_late(now_ms)) is not None:
            self.remove(ticket, is_served=False)
            ticket.is_late = True
            self.push(ticket)
        found: list[Ticket] = []
        for ticket, tag in self.upcoming_tags(now_ms, limit):
            is_waiting = ticket.urgent_from_ms > now_ms
            ticket.place = Place(is_waiting, tag, self._entry, ticket.number)
            found.append(ticket)
        return found


class WaitingLine:
    """The waiting requests of one service at an entry, and the first ones of the other entries."""

    def __init__(self, entry: str) -> None:
        self._lanes = {lane: _LaneQueue(entry) for lane in Lane}
        self._told: dict[str, _Told] = {}
        self._last_waiting_ms: Millis = -math.inf
        self._changes = 0
        self._starts_ms: dict[Lane, deque[Millis]] = {
            lane: deque(maxlen=MEASURED_STARTS) for lane in Lane
        }

    def count_own(self, lane: Lane) -> int:
        """Return how many requests of this entry wait in a lane."""
        return len(self._lanes[lane])

    def count(self, lane: Lane, now_ms: Millis) -> int:
        """Return how many requests are known to wait in a lane, here or at other entries."""
        self._drop_old(now_ms)
        return len(self._lanes[lane]) + sum(len(told.places[lane]) for told in self._told.values())

    def is_waiting(self, now_ms: Millis) -> bool:
        """Return whether any request waits at an entry of the data centre."""
        self._drop_old(now_ms)
        if not any(self._lanes.values()) and not self._told:
            return False
        self._last_waiting_ms = now_ms
        return True

    def join(self, ticket: Ticket, now_ms: Millis) -> None:
        """Add a request, unless it waits already."""
        if ticket.is_queued:
            return
        if not self.is_waiting(now_ms) and now_ms >= self._last_waiting_ms + SETTLE_MS:
            for lane, queue in self._lanes.items():
                queue.settle()
                self._starts_ms[lane].clear()
        self._lanes[ticket.lane].push(ticket)
        self._changes += 1
        self._last_waiting_ms = now_ms

    def leave(self, ticket: Ticket, now_ms: Millis, *, is_served: bool) -> Served | None:
        """Remove a request, and charge its engine time to its customer if it is served.

        Return what the other entries need to know of that: nothing while no request waits.
        """
        was_waiting = self.is_waiting(now_ms)
        self._changes += 1
        if ticket.is_queued:
            self._lanes[ticket.lane].remove(ticket, is_served=is_served)
        elif is_served and was_waiting:
            self._lanes[ticket.lane].charge(ticket.customer, ticket.cost, 1.0)
        if not is_served or not was_waiting:
            return None
        self._starts_ms[ticket.lane].append(now_ms)
        return Served(ticket.lane, ticket.customer, ticket.cost)

    def own_heads(self, lane: Lane, now_ms: Millis, limit: int) -> list[Ticket]:
        """Return the first requests of this entry in a lane."""
        return self._lanes[lane].in_order(now_ms, limit)

    def position(self, ticket: Ticket, now_ms: Millis) -> int:
        """Return how many requests are before one that waits or that would join now."""
        self._drop_old(now_ms)
        known = ticket.position
        if known is not None and known.is_current(self._changes, now_ms):
            return known.position
        position = self._find_position(ticket, now_ms)
        ticket.position = KnownPosition(position, self._changes, now_ms)
        return position

    def _find_position(self, ticket: Ticket, now_ms: Millis) -> int:
        queue = self._lanes[ticket.lane]
        is_new = not ticket.is_queued
        if is_new:
            queue.push(ticket)
        order = queue.in_order(now_ms, MAX_ORDERED)
        if is_new:
            queue.remove(ticket, is_served=False)
        if ticket not in order:
            return len(queue)
        # The others compare with the place that they were told.
        own_place = ticket.told_place or ticket.place
        told = sum(
            bisect.bisect_left(told.places[ticket.lane], own_place) for told in self._told.values()
        )
        return order.index(ticket) + told

    def may_begin(self, ticket: Ticket, first_token_ms: Millis, now_ms: Millis) -> bool:
        """Return whether a long prompt for which there is room may take it.

        One that is in time, with its first token after `first_token_ms`, leaves nothing to late ones.
        A late one goes ahead of others only if it has been read before the first of them is expected
        to start. Of short prompts each takes the place with the number of its position instead.
        """
        end_ms = now_ms + first_token_ms
        is_in_time = end_ms <= ticket.goal_until_ms
        if is_in_time or self.position(ticket, now_ms) == 0:
            return True
        return first_token_ms <= self.first_start_in_ms(now_ms)

    def first_start_in_ms(self, now_ms: Millis) -> Millis:
        """Return after how long the first long request is expected to find room, infinity without any."""
        starts_ms = [item.expected_start_ms for item in self.own_heads(Lane.LONG, now_ms, 1)]
        starts_ms += [told.long_start_ms for told in self._told.values()]
        return min(starts_ms, default=math.inf) - now_ms

    def expected_wait_ms(self, ticket: Ticket, now_ms: Millis) -> Millis:
        """Return how long a request waits if requests of its lane start as often as of late.

        It is 0 while too few have started to tell.
        """
        starts_ms = self._starts_ms[ticket.lane]
        if len(starts_ms) < MEASURED_STARTS:
            return 0.0
        interval_ms = (now_ms - starts_ms[0]) / MEASURED_STARTS
        return (self.position(ticket, now_ms) + 1) * interval_ms

    def lead_ms(self, ticket: Ticket) -> Millis:
        """Return by how much engine time its customer is ahead of the least served one of late."""
        queue = self._lanes[ticket.lane]
        return queue.start_tag(ticket.customer) - queue.virtual_time

    def heads_to_tell(self, now_ms: Millis) -> list[WaitingHead]:
        """Return the first waiting requests of this entry, of both lanes."""
        heads: list[WaitingHead] = []
        for lane, queue in self._lanes.items():
            for ticket in queue.in_order(now_ms, MAX_TOLD_HEADS):
                ticket.told_place = ticket.place
                is_waiting, tag, _, _ = ticket.place
                start_in_ms = ticket.expected_start_ms - now_ms
                heads.append(
                    WaitingHead(
                        ticket.number,
                        lane,
                        not is_waiting,
                        ticket.customer,
                        tag,
                        queue.start_tag(ticket.customer),
                        queue.virtual_time,
                        start_in_ms,
                    )
                )
        return heads

    def receive(
        self, entry: str, heads: list[WaitingHead], served: Iterable[Served], now_ms: Millis
    ) -> None:
        """Replace what another entry has told of its waiting requests, and charge its customers."""
        for item in served:
            self._lanes[item.lane].charge(item.customer, item.engine_ms, 1.0)
            self._starts_ms[item.lane].append(now_ms)
        for head in heads:
            queue = self._lanes[head.lane]
            queue.advance(head.virtual_time)
            queue.raise_start_tag(head.customer, head.start_tag, 1.0)
        self._told.pop(entry, None)
        if not heads:
            return
        places: dict[Lane, list[Place]] = {lane: [] for lane in Lane}
        for head in heads:
            places[head.lane].append(Place(not head.is_urgent, head.tag, entry, head.number))
        starts_ms = [now_ms + head.start_in_ms for head in heads if head.lane is Lane.LONG]
        in_order = {lane: sorted(items) for lane, items in places.items()}
        self._told[entry] = _Told(now_ms, in_order, min(starts_ms, default=math.inf))

    def _drop_old(self, now_ms: Millis) -> None:
        for entry, told in list(self._told.items()):
            if now_ms >= told.told_ms + TOLD_LIFETIME_MS:
                del self._told[entry]
                self._changes += 1
