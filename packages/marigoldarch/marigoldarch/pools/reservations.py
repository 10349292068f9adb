"""Reservations: targets set apart for a request that needs several, or most of one's memory.

They give a gang of engines all its members at once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.pools.placement import ReservationPlan
    from marigoldarch.pools.waiting_request import WaitingRequest
    from marigoldarch.settings import PoolSettings

CHECK_LIMIT = 8
"""How many reservations are checked per scheduling pass."""


@dataclass(eq=False)
class Reservation:
    """The targets reserved for one request, which starts once all have the memory free.

    `start_ms` is when that is expected.
    """

    waiting: WaitingRequest
    targets: list[Target]
    tokens_per_target: int
    start_ms: Millis


class Reservations:
    """The reservations of a pool.

    A target is in at most one reservation, so that no reservation waits for another.
    """

    def __init__(self, fleet: Fleet, settings: PoolSettings) -> None:
        self._settings = settings
        self._fleet = fleet
        self._by_request: OrderedDict[tuple[str, int], Reservation] = OrderedDict()

    def next_to_check(self) -> list[Reservation]:
        """Return the reservations to check in this pass; over several passes all get their turn."""
        chosen = list(islice(self._by_request.values(), CHECK_LIMIT))
        if len(self._by_request) > CHECK_LIMIT:
            for reservation in chosen:
                self._by_request.move_to_end(reservation.waiting.key)
        return chosen

    def __len__(self) -> int:
        return len(self._by_request)

    def may_reserve(self, count: int) -> bool:
        """Return whether `count` more targets may be reserved.

        The share of reserved targets is limited, but the first reservation is always allowed.
        """
        if not self._by_request:
            return True
        return len(self._fleet.reserved) + count <= self._settings.reserved_share * len(self._fleet)

    def reserve(self, waiting: WaitingRequest, plan: ReservationPlan) -> None:
        """Reserve the targets of a plan for a request."""
        reservation = Reservation(waiting, plan.targets, plan.tokens_per_target, plan.start_ms)
        self._by_request[waiting.key] = reservation
        for target in plan.targets:
            self._fleet.reserve(target, plan.tokens_per_target, plan.start_ms)

    def is_ready(self, reservation: Reservation, backlog_ms: Millis, now_ms: Millis) -> bool:
        """Return whether the request can start on all its targets.

        Each must accept work, have the memory free, and have a wait of at most `backlog_ms`.
        """
        return all(
            target.accepts_work
            and target.free_tokens >= reservation.tokens_per_target
            and target.wait_ms(reservation.waiting.lane, now_ms) <= backlog_ms
            for target in reservation.targets
        )

    def is_broken(self, reservation: Reservation) -> bool:
        """Return whether some target is gone or no longer accepts work."""
        return any(
            self._fleet.find(target.name) is not target or not target.accepts_work
            for target in reservation.targets
        )

    def release(self, reservation: Reservation) -> None:
        """End a reservation, so that its targets take other work again."""
        del self._by_request[reservation.waiting.key]
        for target in reservation.targets:
            self._fleet.end_reservation(target)

    def find(self, key: tuple[str, int]) -> Reservation | None:
        """Return the reservation of a request's attempt, or None."""
        return self._by_request.get(key)
