"""A stand-in plain service that records every execution."""

from __future__ import annotations

import secrets
from typing import Any, NamedTuple

import trio

from marigoldarch.codec import encode_json
from marigoldarch_fakes.announcer import Announcer, TargetIdentity
from marigoldarch_fakes.faults import Fault, FaultPlan
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

CALL_PREFIX = "/v1/call/"
LATE_S = 2.0


class ServiceSettings(NamedTuple):
    """The service's identity and speed."""

    target: str
    address: str
    data_centre: str
    service: str
    nodes: tuple[str, ...]
    key: str = ""
    call_ms: float = 5.0


class Service:
    """Run calls, and keep a list of them."""

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._executions: list[dict[str, Any]] = []
        self._faults = FaultPlan()

    @property
    def routes(self) -> list[Route]:
        """Return the service's routes."""
        return [
            Route("POST", CALL_PREFIX, self._serve_call, is_prefix=True),
            Route("GET", "/executions", self._serve_executions),
            Route("DELETE", "/v1/streams/", self._serve_release, is_prefix=True),
            *self._faults.routes,
        ]

    async def run(self) -> None:
        """Serve and announce."""
        settings = self._settings
        identity = TargetIdentity(
            settings.target,
            secrets.token_hex(4),
            "service",
            settings.service,
            settings.address,
            settings.data_centre,
        )
        announcer = Announcer(identity, settings.nodes, settings.key, dict)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_routes, self.routes, settings.address)
            nursery.start_soon(announcer.run)

    async def _serve_call(self, request: HttpRequest) -> None:
        order = await request.read_json()
        method = request.path[len(CALL_PREFIX) :]
        if self._faults.take(Fault.REFUSE):
            raise HttpError(503, "busy", "the service does not take this")
        self._executions.append({"method": method, "call": order["call"], "body": order["body"]})
        await trio.sleep(self._settings.call_ms / 1000.0)
        if self._faults.take(Fault.HANG):
            await trio.sleep_forever()
        if self._faults.take(Fault.LATE):
            await trio.sleep(LATE_S)
        if self._faults.take(Fault.ERROR_AFTER_RUN):
            raise HttpError(500, "broken", "the service failed after it ran", run="unknown")
        if self._faults.take(Fault.CROSS):
            await request.send_json(200, {"call": "0-0", "body": "crossed"})
            return
        answer = {"target": self._settings.target, "method": method, "ok": True}
        body = encode_json(answer).decode()
        await request.send_json(200, {"call": order["call"], "body": body})

    async def _serve_executions(self, request: HttpRequest) -> None:
        await request.send_json(200, {"executions": self._executions})

    async def _serve_release(self, request: HttpRequest) -> None:
        await request.send_json(200, {})
