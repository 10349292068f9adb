"""Memory reservations at helpers, the targets that hold parts of a prompt too large for one engine.

A reservation is a short lease that is renewed while its request runs, so that the target frees the
memory by itself if this entry is lost, or if it executes a reservation late. It isn't renewed while the
host of the request's first target acknowledges nothing.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch.serving.memory_leases import (
    LEASE_MS,
    ORDER_TIMEOUT_MS,
    LeaseState,
    LeaseStep,
    next_lease_step,
)
from marigoldarch.serving.response_origin import ResponseOrigin
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.target_connections import ResponseError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.target_connections import (
        ResponseHead,
        TargetConnection,
        TargetRequest,
    )
    from marigoldarch_node.serving.target_paths import TargetPaths

MAX_RESPONSE_BYTES = 64 * 1024
CHECK_INTERVAL_S = 0.1

LOGGED_EVENTS = {LeaseStep.WITHHOLD: "lease withheld", LeaseStep.LAPSED: "lease lapsed"}

log = EventLog("tickets")


class MemoryReservation(NamedTuple):
    """Memory to reserve, or reserved, at one target."""

    reservation_id: str
    target: Target
    tokens: int


def _never_silent() -> Millis:
    return 0.0


@dataclass
class _Lease:
    """A reservation that is renewed until it is released or has lapsed.

    Its last order was sent at `sent_ms`. `unheard_ms` returns how long the host of the first target of
    the request has been silent.
    """

    reservation: MemoryReservation
    sent_ms: Millis
    unheard_ms: Callable[[], Millis] = field(default=_never_silent)
    step: LeaseStep = LeaseStep.WAIT
    is_released: bool = False


class ReservationManager:
    """Reserves, renews and releases the memory of an entry's attempts."""

    def __init__(self, state: EntryState, dialect: Dialect, paths: TargetPaths) -> None:
        self._state = state
        self._clock = state.clock
        self._dialect = dialect
        self._paths = paths
        self._leases: dict[str, _Lease] = {}
        self._has_leases = trio.Event()

    @property
    def lease_count(self) -> int:
        """Return the number of leases."""
        return len(self._leases)

    def create(self, targets: Sequence[Target], tokens: int) -> list[MemoryReservation]:
        """Return reservations with new ids; no memory is reserved yet."""
        return [MemoryReservation(secrets.token_hex(6), target, tokens) for target in targets]

    async def reserve(self, reservations: list[MemoryReservation]) -> Target | None:
        """Reserve memory at all targets; return one that refused, None if all have reserved it.

        The memory is used only if all have reserved it; otherwise the caller releases all of them.
        """
        refused: list[Target] = []

        async def reserve_one(reservation: MemoryReservation) -> None:
            request = self._dialect.reservation(
                reservation.target, reservation.reservation_id, reservation.tokens, LEASE_MS
            )
            is_barred = self._wait_left_ms(reservation.target) > 0
            is_barred = is_barred or self._state.evacuations.include(reservation.target)
            if is_barred or await self._send_request(reservation.target, request) != 200:
                refused.append(reservation.target)

        sent_ms = self._clock.monotonic_ms()
        for reservation in reservations:
            self._leases[reservation.reservation_id] = _Lease(reservation, sent_ms)
        self._has_leases.set()
        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(reserve_one, reservation)
        return refused[0] if refused else None

    def watch(
        self, reservations: list[MemoryReservation], unheard_ms: Callable[[], Millis]
    ) -> None:
        """Renew leases only while the host of the first target, which uses the memory, is heard.

        `unheard_ms` returns how long the host has neither sent nor acknowledged anything.
        """
        for reservation in reservations:
            lease = self._leases.get(reservation.reservation_id)
            if lease is not None:
                lease.unheard_ms = unheard_ms

    def release(self, reservations: list[MemoryReservation]) -> None:
        """Release memory soon; where that fails, the target frees it at the end of the lease.

        Nothing is sent to targets that have asked for a wait, whose leases end by themselves.
        """
        for reservation in reservations:
            lease = self._leases.get(reservation.reservation_id)
            if lease is not None:
                lease.is_released = True

    async def run(self) -> None:
        """Renew and release leases until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._leases:
                    self._has_leases = trio.Event()
                    await self._has_leases.wait()
                await trio.sleep(CHECK_INTERVAL_S)
                now_ms = self._clock.monotonic_ms()
                for reservation_id, lease in list(self._leases.items()):
                    if lease.is_released:
                        del self._leases[reservation_id]
                        nursery.start_soon(self._release_one, lease.reservation)
                    elif self._is_renewal_due(lease, now_ms):
                        lease.sent_ms = now_ms
                        nursery.start_soon(self._renew_one, lease)

    def _is_renewal_due(self, lease: _Lease, now_ms: Millis) -> bool:
        """Return whether to renew a lease now; log where that is withheld and where it lapses."""
        if lease.step is LeaseStep.LAPSED:
            return False
        unheard_ms = lease.unheard_ms()
        previous = lease.step
        lease.step = next_lease_step(LeaseState(lease.sent_ms, unheard_ms), now_ms)
        if lease.step is not previous and {lease.step, previous} & LOGGED_EVENTS.keys():
            log.info(
                LOGGED_EVENTS.get(lease.step, "lease renewed again"),
                target=lease.reservation.target.target_id,
                reservation=lease.reservation.reservation_id,
                unheard_ms=round(unheard_ms),
            )
        return lease.step is LeaseStep.RENEW

    async def _renew_one(self, lease: _Lease) -> None:
        reservation = lease.reservation
        request = self._dialect.reservation(
            reservation.target, reservation.reservation_id, reservation.tokens, LEASE_MS
        )
        status = await self._send_request(reservation.target, request)
        if status != 200 and not lease.is_released:
            log.warning("lease not renewed", target=reservation.target.target_id, status=status)

    def _wait_left_ms(self, target: Target) -> Millis:
        return self._state.waits.left_ms(target.start, self._clock.monotonic_ms())

    async def _release_one(self, reservation: MemoryReservation) -> None:
        if self._wait_left_ms(reservation.target) > 0:
            return
        request = self._dialect.release(reservation.target, reservation.reservation_id)
        status = await self._send_request(reservation.target, request)
        if status != 200:
            log.warning("lease not released", target=reservation.target.target_id, status=status)

    async def _send_request(self, target: Target, request: TargetRequest) -> int:
        """Send a request; return the status of its response, 0 if none arrives in time.

        The connection of a request without a response is aborted: the kernel would go on to send it,
        and the lease would begin when it arrives.
        """
        with trio.move_on_after(ORDER_TIMEOUT_MS / 1000.0):
            try:
                connection = await self._paths.acquire(target, must_be_new=False, for_orders=True)
            except UnreachableError:
                return 0
            head: ResponseHead | None = None
            sent_ms = self._clock.monotonic_ms()
            try:
                await connection.send(request)
                response = await connection.read_head()
                await connection.read_body(MAX_RESPONSE_BYTES)
                head = response
                self._record_signals(target, connection, response, sent_ms)
            except ResponseError as error:
                if error.limit:
                    log.warning("response over a limit", target=target.target_id, limit=error.limit)
                return 0
            finally:
                if head is None:
                    connection.connection.abort()
                self._paths.release(connection, head)
            return head.status
        return 0

    def _record_signals(
        self, target: Target, connection: TargetConnection, head: ResponseHead, sent_ms: Millis
    ) -> None:
        """Record what the response to an order says of its target; orders have no request id."""
        response_info = self._dialect.read_response(head)
        self._paths.record_heard(target, connection)
        origin = ResponseOrigin("", "", not connection.is_reused, response_info.is_misdirected)
        self._state.record_signals(target, response_info, origin, sent_ms)
