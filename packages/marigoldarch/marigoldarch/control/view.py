"""The cluster view: the part of the replicated state that is sent to every node."""

from __future__ import annotations

import hmac
from typing import Any, NamedTuple

from expression import Result

from marigoldarch.control.commands import COMMANDS, AssignPool, Command, Configure, Declare
from marigoldarch.declarations import loader
from marigoldarch.declarations.model import (
    CustomerDeclaration,
    KindDeclaration,
    MethodDeclaration,
    OperatorDeclaration,
    TeamDeclaration,
)
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import ViewUpdate


class Assignment(NamedTuple):
    """The process that schedules a pool; the fencing token `fence` grows with each assignment."""

    node: str
    incarnation: str
    fence: int


class Change(NamedTuple):
    """A change of a subtree: the revision it created, its id, and the operator who made it."""

    revision: int
    change_id: str
    operator: str


class TeamState(NamedTuple):
    """A team's declaration with the revision, id and operator of the change that set it."""

    revision: int
    change_id: str
    operator: str
    declaration: TeamDeclaration


class CustomerRecord(NamedTuple):
    """A customer with its team and declaration, as looked up at admission."""

    team: str
    customer: str
    declaration: CustomerDeclaration


MAX_CHANGES_PER_SUBTREE = 32
"""How many changes of each subtree are remembered; must be the same on all replicas."""


class ClusterView:
    """Teams, operators, voters and pool assignments at one revision.

    A revision is the log index of the change that created it.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._teams: dict[str, TeamState] = {}
        self._assignments: dict[PoolId, Assignment] = {}
        self._customers: dict[str, CustomerRecord] = {}
        self._voters: tuple[str, ...] = ()
        self._operators: dict[str, OperatorDeclaration] = {}
        self._operators_plain: dict[str, Any] = {}
        self._changes: dict[str, list[Change]] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def teams(self) -> dict[str, TeamState]:
        """Return the teams by name."""
        return self._teams

    @property
    def assignments(self) -> dict[PoolId, Assignment]:
        """Return the assigned scheduler of each pool."""
        return self._assignments

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the nodes with a voting replica of the log."""
        return self._voters

    @property
    def operators(self) -> dict[str, OperatorDeclaration]:
        """Return the declared operators by name."""
        return self._operators

    def changes(self, team: str) -> list[Change]:
        """Return the remembered changes of a subtree, oldest first."""
        return self._changes.get(team, [])

    def last_change(self, team: str) -> Change | None:
        """Return the last change of a subtree, or None if it was never changed."""
        changes = self._changes.get(team)
        return changes[-1] if changes else None

    def find_operator(self, key_sha256: str) -> str | None:
        """Return the name of the operator with this key digest, or None."""
        for name, operator in self._operators.items():
            if any(hmac.compare_digest(key_sha256, digest) for digest in operator.key_sha256):
                return name
        return None

    def may_change(self, operator: str, team: str) -> bool:
        """Return whether a declared operator has the right to change a team's subtree."""
        declared = self._operators.get(operator)
        if declared is None or team == loader.OPERATORS_SUBTREE:
            return False
        return team in declared.teams or loader.ALL_TEAMS in declared.teams

    def find_customer_with_taken_key(self, team: str, plain: dict[str, Any]) -> str:
        """Return a customer of the declaration whose key another team has, or an empty string."""
        for name, customer in plain.get("customers", {}).items():
            for digest in customer.get("key_sha256", ()):
                owner = self._customers.get(digest)
                if owner is not None and owner.team != team:
                    return name
        return ""

    def find_customer(self, key_sha256: str) -> CustomerRecord | None:
        """Return the customer with this key digest, or None."""
        return self._customers.get(key_sha256)

    def find_kind(self, team: str, kind: str) -> KindDeclaration | None:
        """Return a kind of work that the team declares, or None."""
        state = self._teams.get(team)
        return state.declaration.kinds.get(kind) if state else None

    def find_method(self, team: str, service: str, method: str) -> MethodDeclaration | None:
        """Return a method of a service that the team declares, or None."""
        state = self._teams.get(team)
        declared = state.declaration.services.get(service) if state else None
        return declared.methods.get(method) if declared else None

    def has_model(self, team: str, model: str) -> bool:
        """Return whether the team declares the model."""
        state = self._teams.get(team)
        return state is not None and model in state.declaration.models

    def pools_of(self, name: str) -> list[PoolId]:
        """Return the assigned pools of a model or service."""
        return [pool for pool in self._assignments if pool.name == name]

    def apply(self, update: ViewUpdate) -> None:
        """Apply an update; one at or below the current revision is ignored."""
        if update.revision <= self._revision:
            return
        self.apply_command(update.revision, COMMANDS.from_plain(update.command))

    def apply_command(self, revision: int, command: Command) -> None:
        """Set the revision and apply a decoded command, if it concerns the view."""
        self._revision = revision
        match command:
            case Declare():
                self._declare(revision, command)
            case Configure(configuration=configuration):
                self._voters = tuple(voter.node for voter in configuration.voters)
            case AssignPool():
                self._assignments[PoolId(*command.pool)] = Assignment(
                    command.node, command.incarnation, revision
                )
            case _:
                pass

    def to_plain(self) -> dict[str, Any]:
        """Return the view as values that JSON can encode; declarations are not copied."""
        return {
            "revision": self._revision,
            "teams": [
                [state.revision, state.change_id, state.operator, state.declaration]
                for state in self._teams.values()
            ],
            "assignments": [[*pool, *value] for pool, value in self._assignments.items()],
            "voters": self._voters,
            "operators": self._operators_plain,
            "changes": [[team, list(changes)] for team, changes in self._changes.items()],
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> ClusterView:
        """Build a view from the result of `to_plain`."""
        view = cls()
        for revision, change_id, operator, declaration in plain["teams"]:
            view._set_team(Change(revision, change_id, operator), declaration)
        for data_centre, name, node, incarnation, fence in plain["assignments"]:
            view._assignments[PoolId(data_centre, name)] = Assignment(node, incarnation, fence)
        view._voters = tuple(plain["voters"])
        view._set_operators(plain["operators"])
        view._changes = {
            team: [Change(*change) for change in changes] for team, changes in plain["changes"]
        }
        view._revision = plain["revision"]
        return view

    def _declare(self, revision: int, command: Declare) -> None:
        change = Change(revision, command.change_id, command.operator)
        self._changes.setdefault(command.team, []).append(change)
        del self._changes[command.team][:-MAX_CHANGES_PER_SUBTREE]
        if command.team == loader.OPERATORS_SUBTREE:
            self._set_operators(command.declaration)
            return
        self._set_team(change, command.declaration)

    def _set_operators(self, plain: dict[str, Any]) -> None:
        match loader.operators_from_plain(plain):
            case Result(tag="ok", ok=declared):
                self._operators = dict(declared.operators)
                self._operators_plain = plain

    def _set_team(self, change: Change, plain: dict[str, Any]) -> None:
        match loader.from_plain(plain):
            case Result(tag="ok", ok=declaration):
                state = TeamState(*change, declaration)
                self._index_customers(self._teams.get(declaration.team), state)
                self._teams[declaration.team] = state
            case _:
                # Declarations are validated before they are proposed; an invalid one is ignored.
                pass

    def _index_customers(self, previous: TeamState | None, state: TeamState) -> None:
        """Replace the indexed customers of one team, without iterating over other teams."""
        if previous is not None:
            for customer in previous.declaration.customers.values():
                for digest in customer.key_sha256:
                    self._customers.pop(digest, None)
        team = state.declaration.team
        for name, customer in state.declaration.customers.items():
            record = CustomerRecord(team, name, customer)
            self._customers.update(dict.fromkeys(customer.key_sha256, record))
