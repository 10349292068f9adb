"""The schema of a team's declaration.

Structs replace `TypedDict` here because unknown fields must be rejected on decoding.
"""

from __future__ import annotations

import msgspec


class ModelDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that a team uses, with its adapters and versions."""

    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()


class KindDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of work: its rank (0 goes first) and what it is allowed.

    Durations are in milliseconds; zero means no limit of its own.
    """

    rank: int = 0
    max_prompt_tokens: int = 1_000_000
    deadline_ms: int = 60_000
    rate_per_s: float = 0.0
    concurrency: int = 0
    tokens_per_s: float = 0.0


class CustomerDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer: SHA-256 digests of its keys and its own limits."""

    key_sha256: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    concurrency: int = 0
    tokens_per_s: float = 0.0
    weight: float = 1.0


class MethodDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A method of a plain service; a method that is not declared idempotent runs at most once."""

    idempotent: bool = False
    deadline_ms: int = 10_000

    def is_idempotent_or_keyed(self, idempotency_key: str) -> bool:
        """Return whether a call with this idempotency key can be kept from running twice."""
        return self.idempotent or bool(idempotency_key)


class ServiceDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and its methods."""

    methods: dict[str, MethodDeclaration] = {}


class TeamDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team's whole subtree; the limits of its own hold over all its customers together."""

    team: str
    rate_per_s: float = 0.0
    concurrency: int = 0
    tokens_per_s: float = 0.0
    models: dict[str, ModelDeclaration] = {}
    kinds: dict[str, KindDeclaration] = {}
    customers: dict[str, CustomerDeclaration] = {}
    services: dict[str, ServiceDeclaration] = {}


class OperatorDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator: SHA-256 digests of its keys, and the teams whose subtrees it may change."""

    key_sha256: tuple[str, ...] = ()
    teams: tuple[str, ...] = ()


class OperatorsDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All operators of the installation; only the root operator may change them."""

    operators: dict[str, OperatorDeclaration] = {}
