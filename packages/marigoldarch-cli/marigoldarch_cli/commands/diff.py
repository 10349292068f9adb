"""Show what applying a declaration would change."""

from __future__ import annotations

from pathlib import Path

from expression import Error, Result

from marigoldarch.declarations.diff import compare
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient
from marigoldarch_cli.commands.subtrees import Subtree, fetch_subtree, read_declaration_file


def diff(client: NodeClient, path: Path) -> Result[str, MarigoldarchError]:
    """Return how the declaration in a file differs from the one that a node acts on."""
    match read_declaration_file(path):
        case Result(tag="error", error=error):
            return Error(error)
        case Result(tag="ok", ok=subtree):
            pass
    return fetch_subtree(client, subtree.name).map(
        lambda current: _format_differences(current, subtree)
    )


def _format_differences(current: Subtree, desired: Subtree) -> str:
    lines = [str(difference) for difference in compare(current.plain, desired.plain)]
    if not lines:
        return f"{desired.name}: no difference from revision {current.revision}"
    return "\n".join([f"{desired.name} against revision {current.revision}:", *lines])
