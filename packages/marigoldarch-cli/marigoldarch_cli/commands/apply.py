"""Apply a declaration and wait until it is in force."""

from __future__ import annotations

import uuid
from pathlib import Path

from expression import Error, Ok, Result

from marigoldarch.declarations import loader
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError


def apply(
    client: NodeClient, path: Path, operator: str, base: int | None, change_id: str
) -> Result[str, MarigoldarchError]:
    """Apply the declaration at `path`; without `base`, from the revision in force now."""
    match loader.parse_toml(path.read_text()):
        case Result(tag="error", error=problem):
            return Error(problem)
        case Result(tag="ok", ok=declaration):
            pass
    if base is None:
        match current_revision(client, declaration.team):
            case Result(tag="error", error=problem):
                return Error(problem)
            case Result(tag="ok", ok=base):
                pass
    body = {
        "change_id": change_id or uuid.uuid4().hex,
        "operator": operator,
        "base_revision": base,
        "declaration": loader.to_plain(declaration),
    }
    match client.request("POST", "/v1/operator/apply", body):
        case Result(tag="error", error=problem):
            return Error(problem)
        case Result(tag="ok", ok=answer):
            pass
    if answer.body.get("status") == "in_force":
        return Ok(f"{declaration.team} is in force at revision {answer.body['revision']}")
    return Error(RequestError(f"not in force: {answer.body}"))


def current_revision(client: NodeClient, team: str) -> Result[int, MarigoldarchError]:
    """Return the revision of a team's subtree, 0 if there is none."""
    match client.request("GET", "/v1/operator/view"):
        case Result(tag="ok", ok=answer) if answer.status == 200:
            revisions = {item[3]["team"]: item[0] for item in answer.body["teams"]}
            return Ok(revisions.get(team, 0))
        case Result(tag="ok", ok=answer):
            return Error(RequestError(f"the node refuses: {answer.body}"))
        case Result(error=problem):
            return Error(problem)
