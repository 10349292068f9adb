"""The cluster view: the part of the replicated state that every node holds."""

from __future__ import annotations

from typing import Any, NamedTuple

from expression import Result

from marigoldarch.control.commands import COMMANDS, AssignPool, Command, Declare
from marigoldarch.declarations import loader
from marigoldarch.declarations.model import (
    CustomerDeclaration,
    KindDeclaration,
    MethodDeclaration,
    TeamDeclaration,
)
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import ViewUpdate


class Assignment(NamedTuple):
    """The scheduler of a pool; `fence` grows with every new assignment."""

    node: str
    incarnation: str
    fence: int


class TeamState(NamedTuple):
    """A team's subtree, the revision that set it, and the change that did."""

    revision: int
    change_id: str
    operator: str
    declaration: TeamDeclaration


class CustomerRecord(NamedTuple):
    """A customer as admission sees it."""

    team: str
    customer: str
    declaration: CustomerDeclaration


class ClusterView:
    """Teams and pool assignments at one revision; a revision is the log index that made it."""

    def __init__(self) -> None:
        self._revision = 0
        self._teams: dict[str, TeamState] = {}
        self._assignments: dict[PoolId, Assignment] = {}
        self._customers: dict[str, CustomerRecord] = {}

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
        """Return the scheduler of each pool."""
        return self._assignments

    def find_customer(self, key_sha256: str) -> CustomerRecord | None:
        """Return the customer with this key digest."""
        return self._customers.get(key_sha256)

    def find_kind(self, team: str, kind: str) -> KindDeclaration | None:
        """Return a team's kind of work."""
        state = self._teams.get(team)
        return state.declaration.kinds.get(kind) if state else None

    def find_method(self, team: str, service: str, method: str) -> MethodDeclaration | None:
        """Return a method of a plain service that the team declares."""
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
        """Apply the next change; changes at or below the own revision are ignored."""
        if update.revision <= self._revision:
            return
        self.apply_command(update.revision, COMMANDS.from_plain(update.command))

    def apply_command(self, revision: int, command: Command) -> None:
        """Apply a decoded change."""
        self._revision = revision
        match command:
            case Declare():
                self._set_team(revision, command)
            case AssignPool():
                self._assignments[PoolId(*command.pool)] = Assignment(
                    command.node, command.incarnation, revision
                )
            case _:
                pass

    def to_plain(self) -> dict[str, Any]:
        """Return the whole view as plain JSON types."""
        return {
            "revision": self._revision,
            "teams": [
                [
                    state.revision,
                    state.change_id,
                    state.operator,
                    loader.to_plain(state.declaration),
                ]
                for state in self._teams.values()
            ],
            "assignments": [[*pool, *value] for pool, value in self._assignments.items()],
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> ClusterView:
        """Build a view from the form that `to_plain` gives."""
        view = cls()
        for revision, change_id, operator, declaration in plain["teams"]:
            team = declaration["team"]
            view._set_team(revision, Declare(change_id, operator, team, 0, declaration))
        for data_centre, name, node, incarnation, fence in plain["assignments"]:
            view._assignments[PoolId(data_centre, name)] = Assignment(node, incarnation, fence)
        view._revision = plain["revision"]
        return view

    def _set_team(self, revision: int, command: Declare) -> None:
        match loader.from_plain(command.declaration):
            case Result(tag="ok", ok=declaration):
                state = TeamState(revision, command.change_id, command.operator, declaration)
                self._teams[command.team] = state
                self._index_customers()
            case _:
                # Only validated declarations are proposed; an invalid one changes nothing.
                pass

    def _index_customers(self) -> None:
        self._customers = {
            digest: CustomerRecord(team, name, customer)
            for team, state in self._teams.items()
            for name, customer in state.declaration.customers.items()
            for digest in customer.key_sha256
        }
