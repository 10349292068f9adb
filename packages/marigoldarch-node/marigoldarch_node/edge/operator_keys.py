"""Who an operator is, by the key of the request.

The keys of the settings belong to the root operator, who has all rights. Other operators are
declared in the replicated state with digests of their keys. Where neither exists, an installation
is open: every request has all rights under the name that it gives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch_node.edge.http import HttpError, HttpRequest
from marigoldarch_node.security.keys import Role, digest_of

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

ROOT = "root"


class Operator(NamedTuple):
    """An operator, and whether every subtree and every node is its to change."""

    name: str
    has_all_rights: bool


def identify(runtime: Runtime, request: HttpRequest) -> Operator:
    """Return the operator of a request; raise `HttpError` when the key is of none."""
    keys = runtime.keys
    view = runtime.state.control.member.view
    accepts_any_key = keys.accepts_any_key(Role.OPERATOR)
    if accepts_any_key and not view.operators:
        return Operator("", True)
    presented = request.bearer
    if not accepts_any_key and keys.allows(Role.OPERATOR, presented):
        return Operator(ROOT, True)
    name = view.find_operator(digest_of(presented)) if presented else None
    if name is None:
        raise HttpError(401, "unknown_operator_key", "the operator key is wrong")
    return Operator(name, False)


def require_all_rights(runtime: Runtime, request: HttpRequest) -> Operator:
    """Return the operator of a request; raise `HttpError` unless it has all rights."""
    operator = identify(runtime, request)
    if not operator.has_all_rights:
        raise HttpError(403, "forbidden", f"{operator.name} lacks the right; use the root key")
    return operator
