"""Memory that helpers set aside for a prompt too large for one engine.

A reservation is a short lease that is renewed while its request runs, so that memory comes back by
itself if this entry is lost, or if an order is carried out late.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.target_connections import ResponseError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.target_connections import (
        ResponseHead,
        TargetConnectionPool,
        TargetRequest,
    )

LEASE_MS: Millis = 1900.0
"""The length of a lease: memory held for nobody counts against us after 2 s, see RULES.md."""

RENEWAL_INTERVAL_MS: Millis = 450.0
"""How often a lease is renewed: three orders in a row may be lost."""

REQUEST_TIMEOUT_S = 0.35
CHECK_INTERVAL_S = 0.1

log = EventLog("tickets")


class MemoryReservation(NamedTuple):
    """Memory at one target."""

    reservation_id: str
    target: Target
    tokens: int


@dataclass
class _Lease:
    reservation: MemoryReservation
    renewal_due_ms: Millis
    is_released: bool = False


class ReservationManager:
    """The leases of this entry."""

    def __init__(self, clock: Clock, dialect: Dialect, connections: TargetConnectionPool) -> None:
        self._clock = clock
        self._dialect = dialect
        self._connections = connections
        self._leases: dict[str, _Lease] = {}

    @property
    def lease_count(self) -> int:
        """Return how many leases there are."""
        return len(self._leases)

    def create(self, targets: Sequence[Target], tokens: int) -> list[MemoryReservation]:
        """Return tickets that nothing is set aside for yet."""
        return [MemoryReservation(secrets.token_hex(6), target, tokens) for target in targets]

    async def reserve(self, reservations: list[MemoryReservation]) -> Target | None:
        """Set memory aside for all tickets or none; return a target that refused."""
        refused: list[Target] = []

        async def reserve_one(reservation: MemoryReservation) -> None:
            request = self._dialect.reservation(
                reservation.target, reservation.reservation_id, reservation.tokens, LEASE_MS
            )
            if await self._send_request(reservation.target, request) != 200:
                refused.append(reservation.target)

        due_ms = self._clock.monotonic_ms() + RENEWAL_INTERVAL_MS
        for reservation in reservations:
            self._leases[reservation.reservation_id] = _Lease(reservation, due_ms)
        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(reserve_one, reservation)
        return refused[0] if refused else None

    def release(self, reservations: list[MemoryReservation]) -> None:
        """Give memory back soon; what cannot be told ends with its lease."""
        for reservation in reservations:
            lease = self._leases.get(reservation.reservation_id)
            if lease is not None:
                lease.is_released = True

    async def run(self) -> None:
        """Renew and release leases until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                now_ms = self._clock.monotonic_ms()
                for reservation_id, lease in list(self._leases.items()):
                    if lease.is_released:
                        del self._leases[reservation_id]
                        nursery.start_soon(self._release_one, lease.reservation)
                    elif now_ms >= lease.renewal_due_ms:
                        lease.renewal_due_ms = now_ms + RENEWAL_INTERVAL_MS
                        nursery.start_soon(self._renew_one, lease)

    async def _renew_one(self, lease: _Lease) -> None:
        reservation = lease.reservation
        request = self._dialect.reservation(
            reservation.target, reservation.reservation_id, reservation.tokens, LEASE_MS
        )
        status = await self._send_request(reservation.target, request)
        if status != 200 and not lease.is_released:
            log.warning("lease not renewed", target=reservation.target.target_id, status=status)

    async def _release_one(self, reservation: MemoryReservation) -> None:
        request = self._dialect.release(reservation.target, reservation.reservation_id)
        status = await self._send_request(reservation.target, request)
        if status != 200:
            log.warning("lease not released", target=reservation.target.target_id, status=status)

    async def _send_request(self, target: Target, request: TargetRequest) -> int:
        """Send an order; return its status, 0 if none came in time."""
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                connection = await self._connections.acquire(target.address, must_be_new=False)
            except UnreachableError:
                return 0
            head: ResponseHead | None = None
            try:
                await connection.send(request)
                answer = await connection.read_head()
                async for _ in connection.chunks():
                    pass
                head = answer
            except ResponseError:
                return 0
            finally:
                self._connections.release(connection, head)
            return head.status
        return 0
