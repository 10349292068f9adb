"""Show the latest changes of declarations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient

if TYPE_CHECKING:
    from expression import Result


def history(client: NodeClient, team: str) -> Result[str, MarigoldarchError]:
    """Return one line for each change of `team`, or of all teams if empty.

    The changes of a team are listed from the oldest to the latest.
    """
    path = f"/v1/operator/history?team={team}" if team else "/v1/operator/history"
    return client.request("GET", path).map(lambda response: _format_changes(response.body))


def _format_changes(body: dict[str, Any]) -> str:
    lines = [
        f"{team}  revision {change['revision']}  {change['operator']}  {change['change_id']}"
        for team, changes in body.get("changes", {}).items()
        for change in changes
    ]
    return "\n".join(lines) or "no changes"
