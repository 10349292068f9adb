"""Authentication and authorization of operators by the key of a request.

The keys of the settings belong to the root operator, who has all rights. Other operators are
declared in the replicated state with digests of their keys. An installation with neither is open:
every request has all rights, and gives the operator's name itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch_node.edge.http import HttpError, HttpRequest
from marigoldarch_node.security.keys import Role, digest_of

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

ROOT_OPERATOR = "root"


class Operator(NamedTuple):
    """An operator; with `has_all_rights` it may change every subtree and every node."""

    name: str
    has_all_rights: bool


def identify_operator(runtime: Runtime, request: HttpRequest) -> Operator:
    """Return the operator whose key a request carries.

    Raises `HttpError` when the key belongs to no operator.
    """
    keys = runtime.keys
    view = runtime.state.control.member.view
    accepts_any_key = keys.accepts_any_key(Role.OPERATOR)
    if accepts_any_key and not view.operators:
        return Operator("", True)
    presented_key = request.bearer_key
    if not accepts_any_key and keys.allows(Role.OPERATOR, presented_key):
        return Operator(ROOT_OPERATOR, True)
    name = view.find_operator(digest_of(presented_key)) if presented_key else None
    if name is None:
        raise HttpError(401, "unknown_operator_key", "the operator key is wrong")
    return Operator(name, False)


def require_all_rights(runtime: Runtime, request: HttpRequest) -> Operator:
    """Return the operator of a request; raise `HttpError` unless it has all rights."""
    operator = identify_operator(runtime, request)
    if not operator.has_all_rights:
        raise HttpError(403, "forbidden", f"{operator.name} lacks the right; use the root key")
    return operator
