"""Reservations: targets kept together for work that needs several, or one nearly whole."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fair_queue import WaitingRequest
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.pools.placement import Plan
    from marigoldarch.settings import PoolSettings

CHECK_LIMIT = 8
"""How many reservations are looked at in one step."""


@dataclass(eq=False)
class Reservation:
    """All targets of one request; it starts when every one of them has the memory."""

    waiting: WaitingRequest
    targets: list[Target]
    tokens_per_target: int
    start_ms: Millis


class Reservations:
    """The reservations of a pool; a target is in one at most, so that none waits for another."""

    def __init__(self, fleet: Fleet, settings: PoolSettings) -> None:
        self._settings = settings
        self._fleet = fleet
        self._by_request: OrderedDict[tuple[str, int], Reservation] = OrderedDict()

    def next_to_check(self) -> list[Reservation]:
        """Return some reservations to look at, in turn."""
        chosen = list(islice(self._by_request.values(), CHECK_LIMIT))
        if len(self._by_request) > CHECK_LIMIT:
            for reservation in chosen:
                self._by_request.move_to_end(reservation.waiting.key)
        return chosen

    def __len__(self) -> int:
        return len(self._by_request)

    def may_reserve(self, count: int) -> bool:
        """Return whether `count` more targets may be reserved."""
        if not self._by_request:
            return True
        return len(self._fleet.reserved) + count <= self._settings.reserved_share * len(self._fleet)

    def reserve(self, waiting: WaitingRequest, plan: Plan) -> None:
        """Reserve the targets of a plan."""
        reservation = Reservation(waiting, plan.targets, plan.tokens_per_target, plan.start_ms)
        self._by_request[waiting.key] = reservation
        for target in plan.targets:
            self._fleet.reserve(target, plan.tokens_per_target, plan.start_ms)

    def is_ready(self, reservation: Reservation, backlog_ms: Millis, now_ms: Millis) -> bool:
        """Return whether every target has the memory, and no more than a backlog of prefill."""
        return all(
            target.accepts_work
            and target.free_tokens >= reservation.tokens_per_target
            and target.wait_ms(reservation.waiting.lane, now_ms) <= backlog_ms
            for target in reservation.targets
        )

    def is_broken(self, reservation: Reservation) -> bool:
        """Return whether a target has gone, or takes no new work any more."""
        return any(
            self._fleet.find(target.name) is not target or not target.accepts_work
            for target in reservation.targets
        )

    def release(self, reservation: Reservation) -> None:
        """Give the targets back to all work."""
        del self._by_request[reservation.waiting.key]
        for target in reservation.targets:
            self._fleet.end_reservation(target)

    def find(self, key: tuple[str, int]) -> Reservation | None:
        """Return the reservation of a request's attempt."""
        return self._by_request.get(key)
