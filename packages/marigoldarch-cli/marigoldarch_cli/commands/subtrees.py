"""Declaration files, and the subtrees that a node acts on."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from marigoldarch.declarations import loader
from marigoldarch.exceptions import DeclarationError, MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError


class Subtree(NamedTuple):
    """A subtree's declaration in its plain form with all defaults, and the revision that set it."""

    name: str
    revision: int
    plain: dict[str, Any]


def read_declaration_file(path: Path) -> Result[Subtree, MarigoldarchError]:
    """Read and validate a declaration file; its revision is 0."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(DeclarationError(f"{path}: {error.strerror}"))
    return loader.parse_plain(text).map(lambda plain: _subtree(0, plain))


def fetch_subtree(client: NodeClient, name: str) -> Result[Subtree, MarigoldarchError]:
    """Return a subtree that a node acts on; an empty one of revision 0 if there is none."""
    match client.request("GET", "/v1/operator/view"):
        case Result(tag="ok", ok=answer) if answer.status == 200:
            return Ok(_find_in_view(answer.body, name))
        case Result(tag="ok", ok=answer):
            return Error(RequestError(f"the node refuses: {answer.body}"))
        case Result(error=problem):
            return Error(problem)


def _find_in_view(view: dict[str, Any], name: str) -> Subtree:
    if name == loader.OPERATORS_SUBTREE:
        revisions = {team: changes[-1][0] for team, changes in view["changes"]}
        return Subtree(name, revisions.get(name, 0), view["operators"])
    for revision, _, _, plain in view["teams"]:
        if plain["team"] == name:
            return _subtree(revision, plain)
    return Subtree(name, 0, {})


def _subtree(revision: int, plain: dict[str, Any]) -> Subtree:
    if "operators" in plain:
        return Subtree(loader.OPERATORS_SUBTREE, revision, plain)
    declaration = loader.from_plain(plain).ok
    return Subtree(declaration.team, revision, loader.to_plain(declaration))
