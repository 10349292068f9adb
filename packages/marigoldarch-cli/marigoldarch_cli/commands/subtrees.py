"""Reads declarations from files and from nodes.

A subtree is the part of the declarations that is changed as one: a team's, or the operators'.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from marigoldarch.declarations import loader
from marigoldarch.exceptions import DeclarationError, MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError


class Subtree(NamedTuple):
    """A subtree's declaration, and the revision that set it.

    `plain` holds the declaration as built-in types; that of a team has all defaults filled in.
    `get` prints the fields under these names.
    """

    name: str
    revision: int
    plain: dict[str, Any]


def read_declaration_file(path: Path) -> Result[Subtree, MarigoldarchError]:
    """Read and validate a declaration file; its revision is 0."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(DeclarationError(f"{path}: {error.strerror}"))
    return loader.parse_plain(text).map(lambda plain: _subtree_from_plain(0, plain))


def fetch_subtree(client: NodeClient, name: str) -> Result[Subtree, MarigoldarchError]:
    """Return the subtree that a node acts on, or an empty one of revision 0 if it has none."""
    match client.request("GET", "/v1/operator/view"):
        case Result(tag="ok", ok=response) if response.status == 200:
            return Ok(_find_subtree_in_view(response.body, name))
        case Result(tag="ok", ok=response):
            return Error(RequestError(f"the node refuses: {response.body}"))
        case Result(error=error):
            return Error(error)


def _find_subtree_in_view(view: dict[str, Any], name: str) -> Subtree:
    if name == loader.OPERATORS_SUBTREE:
        revisions = {subtree: changes[-1][0] for subtree, changes in view["changes"]}
        return Subtree(name, revisions.get(name, 0), view["operators"])
    for revision, _, _, plain in view["teams"]:
        if plain["team"] == name:
            return _subtree_from_plain(revision, plain)
    return Subtree(name, 0, {})


def _subtree_from_plain(revision: int, plain: dict[str, Any]) -> Subtree:
    if "operators" in plain:
        return Subtree(loader.OPERATORS_SUBTREE, revision, plain)
    declaration = loader.from_plain(plain).ok
    return Subtree(declaration.team, revision, loader.to_plain(declaration))
