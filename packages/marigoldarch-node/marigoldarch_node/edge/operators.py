"""The interface to operators: declarations, status, drain and the time line."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Annotated, Any

import aioprometheus
import msgspec
import trio
from expression import Result

from marigoldarch.declarations import loader
from marigoldarch.events import DeclareRequested, DrainRequested
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route
from marigoldarch_node.timeline.recorder import BUFFER_EVENTS, Filter

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

MAX_DECLARATION_BYTES = 4 * 1024 * 1024
DEFAULT_WAIT_MS = 10_000.0
MAX_WAIT_MS = 60_000.0
REPLY_MARGIN_MS = 2_000.0
DEFAULT_EVENTS = 2_000

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """A change of one team's subtree, made from `base_revision`."""

    change_id: Label
    operator: Label
    base_revision: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    declaration: dict[str, Any]
    wait_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_MS)] = DEFAULT_WAIT_MS


class OperatorRoutes:
    """Serve operators, and the health and metrics that they watch."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    @property
    def routes(self) -> list[Route]:
        """Return the routes for operators."""
        return [
            Route("POST", "/v1/operator/apply", self._serve_apply),
            Route("GET", "/v1/operator/view", self._serve_view),
            Route("GET", "/v1/operator/status", self._serve_status),
            Route("GET", "/v1/operator/timeline", self._serve_timeline),
            Route("POST", "/v1/operator/drain", self._serve_drain),
            Route("GET", "/healthz", self._serve_health),
            Route("GET", "/readyz", self._serve_ready),
            Route("GET", "/metrics", self._serve_metrics),
        ]

    async def _serve_apply(self, request: HttpRequest) -> None:
        self._check_key(request)
        body = await self._read_apply(request)
        answer = await self._declare(body)
        status = {"in_force": 200, "committed": 202, "conflict": 409}.get(answer["status"], 504)
        await request.send_json(status, answer)

    async def _declare(self, body: ApplyBody) -> dict[str, Any]:
        """Submit a change and wait for its answer, at most a margin longer than asked for."""
        request_id = f"op-{uuid.uuid4().hex}"
        sender, receiver = trio.open_memory_channel[dict[str, Any]](1)
        self._runtime.operator_replies[request_id] = sender
        try:
            self._runtime.submit(
                DeclareRequested(
                    self._runtime.clock.monotonic_ms(),
                    request_id,
                    body.change_id,
                    body.operator,
                    body.declaration["team"],
                    body.base_revision,
                    body.declaration,
                    body.wait_ms,
                )
            )
            with trio.move_on_after((body.wait_ms + REPLY_MARGIN_MS) / 1000.0):
                return await receiver.receive()
            return {"status": "unknown"}
        finally:
            self._runtime.operator_replies.pop(request_id, None)

    async def _read_apply(self, request: HttpRequest) -> ApplyBody:
        plain = await request.read_json(MAX_DECLARATION_BYTES)
        try:
            body = msgspec.convert(plain, ApplyBody)
        except msgspec.ValidationError as error:
            raise HttpError(400, "invalid_change", str(error)) from error
        match loader.from_plain(body.declaration):
            case Result(tag="error", error=problem):
                raise HttpError(400, "invalid_declaration", str(problem))
        return body

    async def _serve_view(self, request: HttpRequest) -> None:
        self._check_key(request)
        await request.send_json(200, self._runtime.state.control.member.view.to_plain())

    async def _serve_status(self, request: HttpRequest) -> None:
        self._check_key(request)
        state = self._runtime.state
        member = state.control.member
        now_ms = self._runtime.clock.monotonic_ms()
        replica = state.control.replica
        body = {
            "node": state.settings.node,
            "revision": member.view.revision,
            "has_lease": member.has_lease(now_ms),
            "leader": member.leader,
            "role": str(replica.role) if replica else "member",
            "is_leaving": state.is_leaving,
            "active": state.active,
            "link_bytes": {
                "sent": self._runtime.links.sent_bytes,
                "received": self._runtime.links.received_bytes,
            },
            "nodes": sorted(member.nodes),
            "pools": {
                str(pool): assignment._asdict()
                for pool, assignment in member.view.assignments.items()
            },
            "targets": {
                str(pool): sorted(scheduler.targets)
                for pool, scheduler in state.pools.schedulers.items()
            },
        }
        await request.send_json(200, body)

    async def _serve_timeline(self, request: HttpRequest) -> None:
        self._check_key(request)
        query = request.query
        wanted = Filter(*(query.get(name, "") for name in Filter._fields))
        events = self._runtime.recorder.select(wanted, _read_limit(query.get("limit", "")))
        nodes = self._runtime.state.control.member.nodes
        addresses = {name: load.address.caller_address for name, load in nodes.items()}
        body = {"events": [msgspec.to_builtins(event) for event in events], "nodes": addresses}
        await request.send_json(200, body)

    async def _serve_drain(self, request: HttpRequest) -> None:
        self._check_key(request)
        self._runtime.submit(DrainRequested(self._runtime.clock.monotonic_ms()))
        await request.send_json(202, {"status": "draining"})

    async def _serve_health(self, request: HttpRequest) -> None:
        await request.send_json(200, {"status": "ok"})

    async def _serve_ready(self, request: HttpRequest) -> None:
        state = self._runtime.state
        has_lease = state.control.member.has_lease(self._runtime.clock.monotonic_ms())
        is_ready = has_lease and not state.is_leaving
        await request.send_json(200 if is_ready else 503, {"ready": is_ready})

    async def _serve_metrics(self, request: HttpRequest) -> None:
        accepts = [request.headers.get("accept", "text/plain")]
        content, headers = aioprometheus.render(aioprometheus.REGISTRY, accepts)
        content_type = headers.get("Content-Type", "text/plain")
        await request.start(200, content_type, {})
        await request.send_chunk(content, is_last=True)

    def _check_key(self, request: HttpRequest) -> None:
        expected = self._runtime.settings.operator_key
        if expected and request.bearer != expected:
            raise HttpError(401, "unknown_operator_key", "the operator key is wrong")


def _read_limit(text: str) -> int:
    if not text:
        return DEFAULT_EVENTS
    if not (text.isascii() and text.isdigit() and 0 < int(text[:9]) <= BUFFER_EVENTS):
        raise HttpError(400, "invalid_query", f"limit must be from 1 to {BUFFER_EVENTS}")
    return int(text)
