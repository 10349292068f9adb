"""HTTP interface for operators: status, drain, time line, health checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aioprometheus
import msgspec

from marigoldarch.events import DrainRequested
from marigoldarch_node.edge.declarations import DeclarationRoutes
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route
from marigoldarch_node.edge.operator_keys import identify_operator, require_all_rights
from marigoldarch_node.timeline.recorder import MAX_BUFFERED_EVENTS, Filter

if TYPE_CHECKING:
    from marigoldarch.control.replica import Replica
    from marigoldarch_node.runtime import Runtime

DEFAULT_TIMELINE_EVENTS = 2_000


class OperatorRoutes:
    """The routes for operators, health checks and metrics."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    @property
    def routes(self) -> list[Route]:
        """Return the routes for operators."""
        return [
            *DeclarationRoutes(self._runtime).routes,
            Route("GET", "/v1/operator/status", self._serve_status),
            Route("GET", "/v1/operator/timeline", self._serve_timeline),
            Route("POST", "/v1/operator/drain", self._serve_drain),
            Route("GET", "/healthz", self._serve_health),
            Route("GET", "/readyz", self._serve_ready),
            Route("GET", "/metrics", self._serve_metrics),
        ]

    async def _serve_status(self, request: HttpRequest) -> None:
        identify_operator(self._runtime, request)
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
            "replica": _replica_status(replica) if replica else None,
            "voters": member.view.voters,
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
        identify_operator(self._runtime, request)
        query = request.query
        event_filter = Filter(*(query.get(name, "") for name in Filter._fields))
        events = self._runtime.recorder.select(event_filter, _parse_limit(query.get("limit", "")))
        nodes = self._runtime.state.control.member.nodes
        addresses = {name: load.address.caller_address for name, load in nodes.items()}
        body = {"events": [msgspec.to_builtins(event) for event in events], "nodes": addresses}
        await request.send_json(200, body)

    async def _serve_drain(self, request: HttpRequest) -> None:
        require_all_rights(self._runtime, request)
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
        runtime = self._runtime
        runtime.metrics.update_gauges(runtime.state, runtime.links, runtime.clock.monotonic_ms())
        accepts = [request.headers.get("accept", "text/plain")]
        content, headers = aioprometheus.render(runtime.metrics.registry, accepts)
        content_type = headers.get("Content-Type", "text/plain")
        await request.start(200, content_type, {})
        await request.send_chunk(content, is_last=True)


def _parse_limit(text: str) -> int:
    if not text:
        return DEFAULT_TIMELINE_EVENTS
    if not (text.isascii() and text.isdigit() and 0 < int(text[:9]) <= MAX_BUFFERED_EVENTS):
        raise HttpError(400, "invalid_query", f"limit must be from 1 to {MAX_BUFFERED_EVENTS}")
    return int(text)


def _replica_status(replica: Replica) -> dict[str, Any]:
    configuration = replica.configuration
    return {
        "name": str(replica.name),
        "term": replica.term,
        "commit_index": replica.commit_index,
        "log_entries": len(replica.log),
        "voters": [str(voter) for voter in configuration.voters],
        "learners": [str(learner) for learner in configuration.learners],
    }
