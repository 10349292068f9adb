"""HTTP interface for operators: declarations, their history, and replica repairs."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import trio
from expression import Result

from marigoldarch.declarations import loader
from marigoldarch.events import DeclareRequested, RepairRequested
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route
from marigoldarch_node.edge.operator_keys import Operator, identify_operator, require_all_rights
from marigoldarch_node.security.keys import Role

if TYPE_CHECKING:
    from marigoldarch.events import Event
    from marigoldarch_node.runtime import Runtime

MAX_DECLARATION_BYTES = 4 * 1024 * 1024
DEFAULT_WAIT_MS = 10_000.0
MAX_WAIT_MS = 60_000.0
REPLY_WAIT_MARGIN_MS = 2_000.0
"""How much longer than `wait_ms` a request waits for the reducer's reply."""

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Wait = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]

_APPLY_STATUS_CODES = {
    "in_force": 200,
    "committed": 202,
    "conflict": 409,
    "key_taken": 409,
    "forbidden": 403,
}
_REPAIR_STATUS_CODES = {"done": 200, "unknown_replica": 409, "is_leader": 409}


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """A change of one subtree of the declared state, based on revision `base_revision`."""

    change_id: Label
    operator: Label
    base_revision: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    declaration: dict[str, Any]
    wait_ms: Wait = DEFAULT_WAIT_MS


class RepairBody(msgspec.Struct, forbid_unknown_fields=True):
    """The node of a lost replica, and the node whose replica replaces it."""

    lost: Label
    replacement: Label
    wait_ms: Wait = DEFAULT_WAIT_MS


class DeclarationRoutes:
    """The operator routes that change and show the declared state, and that repair replicas."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    @property
    def routes(self) -> list[Route]:
        """Return the routes for declarations and repairs."""
        return [
            Route("POST", "/v1/operator/apply", self._serve_apply),
            Route("GET", "/v1/operator/view", self._serve_view),
            Route("GET", "/v1/operator/history", self._serve_history),
            Route("POST", "/v1/operator/repair", self._serve_repair),
        ]

    async def _serve_apply(self, request: HttpRequest) -> None:
        operator = identify_operator(self._runtime, request)
        body = await _read_struct(request, ApplyBody)
        match loader.subtree_of(body.declaration):
            case Result(tag="error", error=error):
                raise HttpError(400, "invalid_declaration", str(error))
            case Result(tag="ok", ok=subtree):
                pass
        if subtree == loader.OPERATORS_SUBTREE and self._runtime.keys.accepts_any_key(
            Role.OPERATOR
        ):
            # Once operators are declared, only a root key can change them.
            message = "set --operator-key before operators are declared"
            raise HttpError(409, "no_root_key", message)
        request_id = f"op-{uuid.uuid4().hex}"
        event = self._declare_event(request_id, body, operator, subtree)
        answer = await self._submit_and_wait(request_id, event, body.wait_ms)
        await request.send_json(_APPLY_STATUS_CODES.get(answer["status"], 504), answer)

    def _declare_event(
        self, request_id: str, body: ApplyBody, operator: Operator, subtree: str
    ) -> DeclareRequested:
        return DeclareRequested(
            self._runtime.clock.monotonic_ms(),
            request_id,
            body.change_id,
            body.operator if operator.has_all_rights else operator.name,
            subtree,
            body.base_revision,
            body.declaration,
            body.wait_ms,
            operator.has_all_rights,
        )

    async def _serve_repair(self, request: HttpRequest) -> None:
        require_all_rights(self._runtime, request)
        body = await _read_struct(request, RepairBody)
        request_id = f"op-{uuid.uuid4().hex}"
        event = RepairRequested(
            self._runtime.clock.monotonic_ms(),
            request_id,
            body.lost,
            body.replacement,
            body.wait_ms,
        )
        answer = await self._submit_and_wait(request_id, event, body.wait_ms)
        await request.send_json(_REPAIR_STATUS_CODES.get(answer["status"], 202), answer)

    async def _submit_and_wait(
        self, request_id: str, event: Event, wait_ms: float
    ) -> dict[str, Any]:
        """Submit an event and return the reply; `{"status": "unknown"}` if none comes in time.

        Waits up to `REPLY_WAIT_MARGIN_MS` longer than `wait_ms`.
        """
        sender, receiver = trio.open_memory_channel[dict[str, Any]](1)
        self._runtime.operator_replies[request_id] = sender
        try:
            self._runtime.submit(event)
            with trio.move_on_after((wait_ms + REPLY_WAIT_MARGIN_MS) / 1000.0):
                return await receiver.receive()
            return {"status": "unknown"}
        finally:
            self._runtime.operator_replies.pop(request_id, None)

    async def _serve_view(self, request: HttpRequest) -> None:
        identify_operator(self._runtime, request)
        await request.send_json(200, self._runtime.state.control.member.view.to_plain())

    async def _serve_history(self, request: HttpRequest) -> None:
        identify_operator(self._runtime, request)
        view = self._runtime.state.control.member.view
        team_filter = request.query.get("team", "")
        changes = {
            team: [change._asdict() for change in view.changes(team)]
            for team in sorted([*view.teams, loader.OPERATORS_SUBTREE])
            if team_filter in ("", team)
        }
        await request.send_json(200, {"revision": view.revision, "changes": changes})


async def _read_struct(request: HttpRequest, struct_type: type[Any]) -> Any:
    body = await request.read_json(MAX_DECLARATION_BYTES)
    try:
        return msgspec.convert(body, struct_type)
    except msgspec.ValidationError as error:
        raise HttpError(400, "invalid_change", str(error)) from error
