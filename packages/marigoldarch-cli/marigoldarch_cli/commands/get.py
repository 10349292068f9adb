"""Show the declarations that a node acts on."""

from __future__ import annotations

from expression import Error, Ok, Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError
from marigoldarch_cli.commands.subtrees import fetch_subtree
from marigoldarch_cli.output import format_json, format_response


def get(client: NodeClient, team: str) -> Result[str, MarigoldarchError]:
    """Return the declaration of `team` as JSON, or the node's whole view if `team` is empty."""
    if not team:
        return client.request("GET", "/v1/operator/view").bind(format_response)
    match fetch_subtree(client, team):
        case Result(tag="ok", ok=subtree) if subtree.revision == 0:
            return Error(RequestError(f"there is no declaration of {team}"))
        case Result(tag="ok", ok=subtree):
            return Ok(format_json(subtree._asdict()))
        case Result(error=error):
            return Error(error)
