"""The schema of the declarations of teams and operators.

They are msgspec structs and not `TypedDict`s, as decoding must reject unknown fields.
"""

from __future__ import annotations

import msgspec


class ModelDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that a team uses, with its adapters and versions."""

    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()


class KindDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of work: its rank (0 is scheduled first), deadline and limits.

    Durations are in milliseconds; a limit of zero means that the kind has none of its own.
    """

    rank: int = 0
    max_prompt_tokens: int = 1_000_000
    deadline_ms: int = 60_000
    rate_per_s: float = 0.0
    concurrency: int = 0
    tokens_per_s: float = 0.0


class CustomerDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer: SHA-256 digests of its keys, its allowed kinds of work and its limits.

    Without `kinds` it may use all kinds of work that its team declares.
    """

    key_sha256: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    concurrency: int = 0
    tokens_per_s: float = 0.0
    weight: float = 1.0


class MethodDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A method of a service; one that is not declared idempotent runs at most once.

    The deadline is in milliseconds.
    """

    idempotent: bool = False
    deadline_ms: int = 10_000

    def is_idempotent_or_keyed(self, idempotency_key: str) -> bool:
        """Return whether a call with this idempotency key can be kept from running twice.

        It can if the method is idempotent or the key is not empty.
        """
        return self.idempotent or bool(idempotency_key)


class ServiceDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that is not a model, and its methods."""

    methods: dict[str, MethodDeclaration] = {}


class TeamDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team's whole subtree; its own limits apply to all its customers together."""

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
