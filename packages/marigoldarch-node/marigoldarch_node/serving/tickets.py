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

HOLD_MS: Millis = 1900.0
"""The length of a lease: memory held for nobody counts against us after 2 s, see RULES.md."""

RENEWAL_MS: Millis = 450.0
"""How often a lease is renewed: three orders in a row may be lost."""

ORDER_TIMEOUT_S = 0.35
TICK_S = 0.1

log = EventLog("tickets")


class Ticket(NamedTuple):
    """Memory at one target."""

    reservation_id: str
    target: Target
    tokens: int


@dataclass
class _Lease:
    ticket: Ticket
    renewal_due_ms: Millis
    is_released: bool = False


class TicketOffice:
    """The leases of this entry."""

    def __init__(self, clock: Clock, dialect: Dialect, connections: TargetConnectionPool) -> None:
        self._clock = clock
        self._dialect = dialect
        self._connections = connections
        self._leases: dict[str, _Lease] = {}

    @property
    def held(self) -> int:
        """Return how many leases there are."""
        return len(self._leases)

    def make(self, targets: Sequence[Target], tokens: int) -> list[Ticket]:
        """Return tickets that nothing is set aside for yet."""
        return [Ticket(secrets.token_hex(6), target, tokens) for target in targets]

    async def reserve(self, tickets: list[Ticket]) -> Target | None:
        """Set memory aside for all tickets or none; return a target that refused."""
        refused: list[Target] = []

        async def reserve_one(ticket: Ticket) -> None:
            order = self._dialect.reservation(
                ticket.target, ticket.reservation_id, ticket.tokens, HOLD_MS
            )
            if await self._order(ticket.target, order) != 200:
                refused.append(ticket.target)

        due_ms = self._clock.monotonic_ms() + RENEWAL_MS
        for ticket in tickets:
            self._leases[ticket.reservation_id] = _Lease(ticket, due_ms)
        async with trio.open_nursery() as nursery:
            for ticket in tickets:
                nursery.start_soon(reserve_one, ticket)
        return refused[0] if refused else None

    def release(self, tickets: list[Ticket]) -> None:
        """Give memory back soon; what cannot be told ends with its lease."""
        for ticket in tickets:
            lease = self._leases.get(ticket.reservation_id)
            if lease is not None:
                lease.is_released = True

    async def run(self) -> None:
        """Renew and release leases until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_S)
                now_ms = self._clock.monotonic_ms()
                for reservation_id, lease in list(self._leases.items()):
                    if lease.is_released:
                        del self._leases[reservation_id]
                        nursery.start_soon(self._release_one, lease.ticket)
                    elif now_ms >= lease.renewal_due_ms:
                        lease.renewal_due_ms = now_ms + RENEWAL_MS
                        nursery.start_soon(self._renew_one, lease)

    async def _renew_one(self, lease: _Lease) -> None:
        ticket = lease.ticket
        order = self._dialect.reservation(
            ticket.target, ticket.reservation_id, ticket.tokens, HOLD_MS
        )
        status = await self._order(ticket.target, order)
        if status != 200 and not lease.is_released:
            log.warning("lease not renewed", target=ticket.target.target_id, status=status)

    async def _release_one(self, ticket: Ticket) -> None:
        order = self._dialect.release(ticket.target, ticket.reservation_id)
        status = await self._order(ticket.target, order)
        if status != 200:
            log.warning("lease not released", target=ticket.target.target_id, status=status)

    async def _order(self, target: Target, request: TargetRequest) -> int:
        """Send an order; return its status, 0 if none came in time."""
        with trio.move_on_after(ORDER_TIMEOUT_S):
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
