"""Faults that a stand-in shows on command, one for each next stream or until cleared."""

from __future__ import annotations

import os
import signal
from enum import StrEnum

from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

MAX_COUNT = 1_000_000


class Fault(StrEnum):
    """What can go wrong with a stream or call."""

    HANG = "hang"
    CUT = "cut"
    LATE = "late"
    DUPLICATE = "duplicate"
    CROSS = "cross"
    REFUSE = "refuse"
    IGNORE_CANCEL = "ignore_cancel"
    ERROR_AFTER_RUN = "error_after_run"


class FaultPlan:
    """The faults that wait to be shown."""

    def __init__(self) -> None:
        self._left: dict[Fault, int] = {}

    @property
    def routes(self) -> list[Route]:
        """Return the routes that command faults: `/fault/<name>?count=N`, `/fault/clear`."""
        return [
            Route("POST", "/fault/die", self._serve_die),
            Route("POST", "/fault/clear", self._serve_clear),
            Route("POST", "/fault/show/", self._serve_show, is_prefix=True),
        ]

    def take(self, fault: Fault) -> bool:
        """Return whether the fault is due, and count it off."""
        left = self._left.get(fault, 0)
        if left <= 0:
            return False
        self._left[fault] = left - 1
        return True

    def add(self, fault: Fault, count: int) -> None:
        """Show a fault `count` times."""
        self._left[fault] = self._left.get(fault, 0) + count

    async def _serve_show(self, request: HttpRequest) -> None:
        name = request.path.rpartition("/")[2]
        count = request.query.get("count", "1")
        if name not in list(Fault) or not count.isdigit() or int(count) > MAX_COUNT:
            raise HttpError(400, "unknown_fault", f"faults: {', '.join(Fault)}")
        self.add(Fault(name), int(count))
        await request.send_json(200, {})

    async def _serve_clear(self, request: HttpRequest) -> None:
        self._left.clear()
        await request.send_json(200, {})

    async def _serve_die(self, request: HttpRequest) -> None:
        os.kill(os.getpid(), signal.SIGKILL)
