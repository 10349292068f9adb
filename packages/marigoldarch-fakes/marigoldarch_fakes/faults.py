"""Faults that a stand-in applies to its next streams or calls when told to over HTTP."""

from __future__ import annotations

import os
import signal
from enum import StrEnum

from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

MAX_FAULT_COUNT = 1_000_000


class Fault(StrEnum):
    """The kinds of fault that a stand-in can apply to a stream or call."""

    HANG = "hang"
    CUT = "cut"
    LATE = "late"
    DUPLICATE = "duplicate"
    CROSS = "cross"
    REFUSE = "refuse"
    IGNORE_CANCEL = "ignore_cancel"
    ERROR_AFTER_RUN = "error_after_run"


class FaultPlan:
    """Counts how many times each fault is still to be applied."""

    def __init__(self) -> None:
        self._remaining: dict[Fault, int] = {}

    @property
    def routes(self) -> list[Route]:
        """Return the routes `/fault/show/<name>?count=N`, `/fault/clear` and `/fault/die`."""
        return [
            Route("POST", "/fault/die", self._serve_die),
            Route("POST", "/fault/clear", self._serve_clear),
            Route("POST", "/fault/show/", self._serve_show, is_prefix=True),
        ]

    def consume(self, fault: Fault) -> bool:
        """Return whether the fault is to be applied now, and decrement its count if so."""
        remaining = self._remaining.get(fault, 0)
        if remaining <= 0:
            return False
        self._remaining[fault] = remaining - 1
        return True

    def schedule(self, fault: Fault, count: int) -> None:
        """Schedule a fault for `count` more streams or calls."""
        self._remaining[fault] = self._remaining.get(fault, 0) + count

    async def _serve_show(self, request: HttpRequest) -> None:
        name = request.path.rpartition("/")[2]
        count = request.query.get("count", "1")
        if name not in list(Fault) or not count.isdigit() or int(count) > MAX_FAULT_COUNT:
            raise HttpError(
                400,
                "unknown_fault",
                f"known faults, up to {MAX_FAULT_COUNT:,} times each: {', '.join(Fault)}",
            )
        self.schedule(Fault(name), int(count))
        await request.send_json(200, {})

    async def _serve_clear(self, request: HttpRequest) -> None:
        self._remaining.clear()
        await request.send_json(200, {})

    async def _serve_die(self, request: HttpRequest) -> None:
        os.kill(os.getpid(), signal.SIGKILL)
