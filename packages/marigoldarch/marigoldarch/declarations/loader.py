"""Loading and validation of declarations."""

from __future__ import annotations

import re
import tomllib
from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.declarations.model import OperatorsDeclaration, TeamDeclaration
from marigoldarch.exceptions import DeclarationError

OPERATORS_SUBTREE = "_operators"
"""The name of the operators' subtree; not a valid team name."""

ALL_TEAMS = "*"
"""Means all teams in an operator's `teams`."""

_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$")
_SHA256 = re.compile(r"^[0-9a-f]{64}$")


def parse_plain(text: str) -> Result[dict[str, Any], DeclarationError]:
    """Parse and validate the TOML text of a team or of the operators; return built-in types."""
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(DeclarationError(f"not valid TOML: {error}"))
    return subtree_of(plain).map(lambda _: plain)


def from_plain(plain: Any) -> Result[TeamDeclaration, DeclarationError]:
    """Validate built-in types as one team's declaration."""
    try:
        declaration = msgspec.convert(plain, TeamDeclaration)
    except msgspec.ValidationError as error:
        return Error(DeclarationError(str(error)))
    message = _find_error(declaration)
    return Error(DeclarationError(message)) if message else Ok(declaration)


def operators_from_plain(plain: Any) -> Result[OperatorsDeclaration, DeclarationError]:
    """Validate built-in types as the declaration of all operators."""
    try:
        declaration = msgspec.convert(plain, OperatorsDeclaration)
    except msgspec.ValidationError as error:
        return Error(DeclarationError(str(error)))
    for name, operator in declaration.operators.items():
        teams = [team for team in operator.teams if team != ALL_TEAMS]
        if not all(_NAME.match(item) for item in [name, *teams]):
            message = (
                f"operators.{name}: names need 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"
            )
            return Error(DeclarationError(message))
        if not all(_SHA256.match(digest) for digest in operator.key_sha256):
            message = f"operators.{name}.key_sha256 must hold lower-case SHA-256 digests"
            return Error(DeclarationError(message))
    return Ok(declaration)


def subtree_of(plain: Any) -> Result[str, DeclarationError]:
    """Validate a declaration of a team or of the operators; return the subtree it replaces."""
    if isinstance(plain, dict) and "operators" in plain:
        return operators_from_plain(plain).map(lambda _: OPERATORS_SUBTREE)
    return from_plain(plain).map(lambda declaration: declaration.team)


def to_plain(declaration: TeamDeclaration) -> dict[str, Any]:
    """Return the declaration as built-in types that JSON can encode."""
    return msgspec.to_builtins(declaration)


def _find_error(declaration: TeamDeclaration) -> str:
    names = [declaration.team, *declaration.models, *declaration.kinds]
    names += [*declaration.customers, *declaration.services]
    for name in names:
        if not _NAME.match(name):
            return f"name {name!r} must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"
    for name, customer in declaration.customers.items():
        if not all(_SHA256.match(digest) for digest in customer.key_sha256):
            return f"customers.{name}.key_sha256 must hold lower-case SHA-256 digests"
        undeclared = set(customer.kinds) - set(declaration.kinds)
        if undeclared:
            return f"customers.{name}.kinds names undeclared kinds: {sorted(undeclared)}"
    digests = [key for item in declaration.customers.values() for key in item.key_sha256]
    if len(set(digests)) < len(digests):
        return "customers: a key_sha256 digest may be listed only once"
    for name, kind in declaration.kinds.items():
        if kind.deadline_ms <= 0 or kind.max_prompt_tokens <= 0:
            return f"kinds.{name}: deadline_ms and max_prompt_tokens must be positive"
    return ""
