"""Apply a declaration and wait until it is in force."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError, Response
from marigoldarch_cli.commands.subtrees import Subtree, fetch_subtree, read_declaration_file

ATTEMPTS = 3
"""How often a change is sent whose answer was lost; its identity stays the same."""


class Change(NamedTuple):
    """What to apply; without `base` the change is made from the revision in force now."""

    path: Path
    operator: str
    base: int | None
    change_id: str
    waits: bool


def apply(client: NodeClient, change: Change) -> Result[str, MarigoldarchError]:
    """Apply a declaration file."""
    match read_declaration_file(change.path):
        case Result(tag="error", error=problem):
            return Error(problem)
        case Result(tag="ok", ok=subtree):
            pass
    base = change.base
    if base is None:
        match fetch_subtree(client, subtree.name):
            case Result(tag="error", error=problem):
                return Error(problem)
            case Result(tag="ok", ok=held):
                base = held.revision
    body = {
        "change_id": change.change_id or uuid.uuid4().hex,
        "operator": change.operator,
        "base_revision": base,
        "declaration": subtree.plain,
    }
    if not change.waits:
        body["wait_ms"] = 1000.0
    return _send(client, body).bind(lambda answer: _report(subtree, answer, change))


def _send(client: NodeClient, body: dict[str, Any]) -> Result[Response, MarigoldarchError]:
    result = client.request("POST", "/v1/operator/apply", body)
    for _ in range(ATTEMPTS - 1):
        if result.is_ok():
            break
        result = client.request("POST", "/v1/operator/apply", body)
    return result


def _report(subtree: Subtree, answer: Response, change: Change) -> Result[str, MarigoldarchError]:
    body = answer.body
    match body.get("status"):
        case "in_force":
            return Ok(f"{subtree.name} is in force at revision {body['revision']}")
        case "committed" if not change.waits:
            return Ok(f"{subtree.name} is committed at revision {body['revision']}")
        case "conflict":
            winner = f"change {body['winner']} of {body['winner_operator']}"
            remedy = "run diff, then apply again"
            return Error(
                RequestError(
                    f"conflict: {winner} came first, revision {body['revision']}; {remedy}"
                )
            )
        case "forbidden":
            return Error(RequestError(f"{body['operator']} may not change {body['team']}"))
        case "key_taken":
            problem = f"a key of customer {body['customer']} belongs to another team"
            return Error(RequestError(problem))
    return Error(RequestError(f"not in force: {body}"))
