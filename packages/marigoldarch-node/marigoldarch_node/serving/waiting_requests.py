"""The requests of an entry that wait for engines, and their order over the entries nearby."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.waiting_line import Served, WaitingHead, WaitingLine
from marigoldarch.serving.waiting_tickets import Lane
from marigoldarch.serving.work_reports import HeadReport, ServedReport, WaitingReport

if TYPE_CHECKING:
    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.waiting_tickets import Ticket
    from marigoldarch_node.serving.shared_workload import SharedWorkload

RETELL_INTERVAL_MS: Millis = 200.0
"""How often the others are told of waiting requests: two such reports may be lost."""

MAX_WOKEN = 4
"""How many requests of a lane try again when work ends; each one that leaves wakes the next."""

KNOWN_LANES = frozenset(int(lane) for lane in Lane)
"""Later builds may have others."""

MAX_RECEIVED_HEADS = 16
MAX_TOLD_SERVED = 64
"""How many waiting requests and customers of a service are read from, and put into, one report."""


class WaitingRequests:
    """The lines of all services at an entry."""

    def __init__(self, entry: str, workload: SharedWorkload, clock: Clock) -> None:
        self._entry = entry
        self._workload = workload
        self._clock = clock
        self._lines: dict[int, WaitingLine] = {}
        self._events: dict[int, trio.Event] = {}
        self._served: dict[int, list[Served]] = {}
        self._numbers = itertools.count(1)
        self._told_ms: Millis = float("-inf")
        workload.waiting_to_tell = self._reports
        workload.on_waiting = self._receive
        workload.on_work_end = self._wake_all

    def next_number(self) -> int:
        """Return a number for the ticket of a request."""
        return next(self._numbers)

    def count(self, lane: Lane) -> int:
        """Return how many requests of this entry wait in a lane of any service."""
        return sum(line.count_own(lane) for line in self._lines.values())

    def is_waiting(self, service: str, lane: Lane) -> bool:
        """Return whether a request of a lane waits at any entry of the data centre."""
        line = self._lines.get(cached_name_hash(service))
        return line is not None and line.count(lane, self._clock.monotonic_ms()) > 0

    def line(self, service: str) -> WaitingLine:
        """Return the line of a service."""
        return self._line(cached_name_hash(service))

    async def wait(self, service: str, ticket: Ticket, timeout_ms: Millis) -> None:
        """Wait until a request's turn may have come, at most for a time."""
        now_ms = self._clock.monotonic_ms()
        is_new = not ticket.is_queued
        self.line(service).join(ticket, now_ms)
        if is_new or now_ms >= self._told_ms + RETELL_INTERVAL_MS:
            self._told_ms = now_ms
            self._workload.report_waiting()
        event = self._events[ticket.number] = trio.Event()
        with trio.move_on_after(timeout_ms / 1000.0):
            await event.wait()

    def leave(self, service: str, ticket: Ticket, *, is_served: bool) -> None:
        """Remove a request that waits no longer, and wake the next one."""
        self._events.pop(ticket.number, None)
        was_queued = ticket.is_queued
        key = cached_name_hash(service)
        line = self._lines.get(key)
        if line is None:
            return
        served = line.leave(ticket, self._clock.monotonic_ms(), is_served=is_served)
        if served is not None:
            items = self._served.setdefault(key, [])
            if len(items) < MAX_TOLD_SERVED:
                items.append(served)
        if was_queued or served is not None:
            self._workload.report_waiting()
        if was_queued:
            self._wake(line, ticket.lane)

    def _line(self, key: int) -> WaitingLine:
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = WaitingLine(self._entry)
        return line

    def _wake_all(self) -> None:
        for line in self._lines.values():
            for lane in Lane:
                self._wake(line, lane)

    def _wake(self, line: WaitingLine, lane: Lane) -> None:
        if not line.count_own(lane):
            return
        for ticket in line.own_heads(lane, self._clock.monotonic_ms(), MAX_WOKEN):
            event = self._events.get(ticket.number)
            if event is not None:
                event.set()

    def _reports(self) -> list[WaitingReport]:
        """Return what a report to the other entries tells of waiting requests."""
        now_ms = self._clock.monotonic_ms()
        reports: list[WaitingReport] = []
        for key, line in self._lines.items():
            heads = line.heads_to_tell(now_ms) if any(map(line.count_own, Lane)) else []
            served = self._served.get(key, [])
            if heads or served:
                reports.append(
                    WaitingReport(
                        key,
                        [HeadReport(*head) for head in heads],
                        [ServedReport(*item) for item in served],
                    )
                )
        self._served.clear()
        return reports

    def _receive(self, entry: str, reports: list[WaitingReport]) -> None:
        """Apply what a report of another entry tells; services it doesn't name have none waiting."""
        now_ms = self._clock.monotonic_ms()
        by_service = {report.service: report for report in reports}
        for key in by_service.keys() | self._lines.keys():
            report = by_service.get(key)
            if report is None:
                self._lines[key].receive(entry, [], [], now_ms)
                continue
            heads = [
                WaitingHead(
                    item.number,
                    Lane(item.lane),
                    item.is_urgent,
                    item.customer,
                    item.tag,
                    item.start_tag,
                    item.virtual_time,
                    float(item.start_in_ms),
                )
                for item in report.heads[:MAX_RECEIVED_HEADS]
                if item.lane in KNOWN_LANES
            ]
            served = [
                Served(Lane(item.lane), item.customer, item.engine_ms)
                for item in report.served[:MAX_TOLD_SERVED]
                if item.lane in KNOWN_LANES
            ]
            self._line(key).receive(entry, heads, served, now_ms)
