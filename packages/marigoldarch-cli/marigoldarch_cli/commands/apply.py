"""Apply a declaration and wait until it is in force."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError, Response
from marigoldarch_cli.commands.subtrees import Subtree, fetch_subtree, read_declaration_file

MAX_ATTEMPTS = 3
"""Limits how often a change is sent while its response is lost.

All attempts carry the same change ID, so that the change is made at most once.
"""

COMMIT_WAIT_MS = 1_000.0
"""How long a node waits for a change to come into force if only its commit is asked for."""


class ApplyOptions(NamedTuple):
    """A declaration file and how to apply it.

    Without `base_revision`, the change is made from the revision that the node acts on now.
    """

    path: Path
    operator: str
    base_revision: int | None
    change_id: str
    waits_until_in_force: bool


def apply(client: NodeClient, options: ApplyOptions) -> Result[str, MarigoldarchError]:
    """Apply a declaration file; return a line that says which revision is in force or committed."""
    match read_declaration_file(options.path):
        case Result(tag="error", error=error):
            return Error(error)
        case Result(tag="ok", ok=subtree):
            pass
    base_revision = options.base_revision
    if base_revision is None:
        match fetch_subtree(client, subtree.name):
            case Result(tag="error", error=error):
                return Error(error)
            case Result(tag="ok", ok=current):
                base_revision = current.revision
    body = {
        "change_id": options.change_id or uuid.uuid4().hex,
        "operator": options.operator,
        "base_revision": base_revision,
        "declaration": subtree.plain,
    }
    if not options.waits_until_in_force:
        body["wait_ms"] = COMMIT_WAIT_MS
    return _send_with_retries(client, body).bind(
        lambda response: _describe_result(subtree, response, options)
    )


def _send_with_retries(
    client: NodeClient, body: dict[str, Any]
) -> Result[Response, MarigoldarchError]:
    result = client.request("POST", "/v1/operator/apply", body)
    for _ in range(MAX_ATTEMPTS - 1):
        if result.is_ok():
            break
        result = client.request("POST", "/v1/operator/apply", body)
    return result


def _describe_result(
    subtree: Subtree, response: Response, options: ApplyOptions
) -> Result[str, MarigoldarchError]:
    body = response.body
    match body.get("status"):
        case "in_force":
            return Ok(f"{subtree.name} is in force at revision {body['revision']}")
        case "committed" if not options.waits_until_in_force:
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
            message = f"a key of customer {body['customer']} belongs to another team"
            return Error(RequestError(message))
    return Error(RequestError(f"not in force: {body}"))
