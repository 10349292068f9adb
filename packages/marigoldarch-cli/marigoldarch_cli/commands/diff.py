"""Show what applying a declaration would change."""

from __future__ import annotations

from pathlib import Path

from expression import Error, Result

from marigoldarch.declarations.diff import compare
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient
from marigoldarch_cli.commands.subtrees import Subtree, fetch_subtree, read_declaration_file


def diff(client: NodeClient, path: Path) -> Result[str, MarigoldarchError]:
    """Compare a declaration file with what a node acts on."""
    match read_declaration_file(path):
        case Result(tag="error", error=problem):
            return Error(problem)
        case Result(tag="ok", ok=subtree):
            pass
    return fetch_subtree(client, subtree.name).map(lambda held: _show(held, subtree))


def _show(held: Subtree, wanted: Subtree) -> str:
    lines = [str(difference) for difference in compare(held.plain, wanted.plain)]
    if not lines:
        return f"{wanted.name}: no difference from revision {held.revision}"
    return "\n".join([f"{wanted.name} against revision {held.revision}:", *lines])
