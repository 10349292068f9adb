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
LATE_FAULT_DELAY_S = 2.0


class ServiceSettings(NamedTuple):
    """The service's identity and the duration of a call."""

    target: str
    address: str
    data_centre: str
    service: str
    nodes: tuple[str, ...]
    key: str = ""
    call_ms: float = 5.0


class Service:
    """Executes calls and keeps a list of all executions."""

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._executions: list[dict[str, Any]] = []
        self._faults = FaultPlan()

    @property
    def routes(self) -> list[Route]:
        """Return the routes of the target interface, `/executions` and the fault controls."""
        return [
            Route("POST", CALL_PREFIX, self._serve_call, is_prefix=True),
            Route("GET", "/executions", self._serve_executions),
            Route("DELETE", "/v1/streams/", self._serve_release, is_prefix=True),
            *self._faults.routes,
        ]

    async def run(self) -> None:
        """Serve calls and announce the service until cancelled."""
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
        call = await request.read_json()
        method = request.path[len(CALL_PREFIX) :]
        if self._faults.consume(Fault.REFUSE):
            raise HttpError(503, "busy", "the service refuses this call as a fault")
        self._executions.append({"method": method, "call": call["call"], "body": call["body"]})
        await trio.sleep(self._settings.call_ms / 1000.0)
        if self._faults.consume(Fault.HANG):
            await trio.sleep_forever()
        if self._faults.consume(Fault.LATE):
            await trio.sleep(LATE_FAULT_DELAY_S)
        if self._faults.consume(Fault.ERROR_AFTER_RUN):
            raise HttpError(
                500, "broken", "the service failed after it executed the call", run="unknown"
            )
        if self._faults.consume(Fault.CROSS):
            await request.send_json(200, {"call": "0-0", "body": "crossed"})
            return
        answer = {"target": self._settings.target, "method": method, "ok": True}
        body = encode_json(answer).decode()
        await request.send_json(200, {"call": call["call"], "body": body})

    async def _serve_executions(self, request: HttpRequest) -> None:
        await request.send_json(200, {"executions": self._executions})

    async def _serve_release(self, request: HttpRequest) -> None:
        await request.send_json(200, {})
