"""The declared limits of teams, kinds of work and customers.

A subject is a team, a kind of work or a customer. Its limits hold over all nodes together: one
node owns the subject (`owner_placement`) and lends shares of its limits to entry nodes for a short
time (`limit_owner`, `limit_shares`). A subject without requests has no state on any node and costs
no messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.control.view import ClusterView


class Limit(NamedTuple):
    """The declared limits of a subject; 0 means unlimited.

    `concurrency` limits the requests in progress, the rates are per second. `burst_s` is the burst of
    requests in seconds of their rate, None for that of the settings.
    """

    rate_per_s: float
    tokens_per_s: float
    concurrency: int
    burst_s: float | None = None

    @property
    def is_unlimited(self) -> bool:
        """Return whether neither rates nor concurrency are limited."""
        return not (self.rate_per_s or self.tokens_per_s or self.concurrency)


NO_LIMIT = Limit(0.0, 0.0, 0)


def counted_subjects(team: str, kind: str, customer: str) -> tuple[str, ...]:
    """Return the subjects whose limits a request counts against."""
    subjects = (f"team/{team}", f"customer/{team}/{customer}")
    return (*subjects, f"kind/{team}/{kind}") if kind else subjects


def find_limit(view: ClusterView, subject: str) -> Limit:
    """Return the declared limits of a subject, `NO_LIMIT` if it is not declared."""
    scope, team, *rest = subject.split("/")
    state = view.teams.get(team)
    if state is None:
        return NO_LIMIT
    declaration = state.declaration
    match scope:
        case "team":
            declared = declaration
        case "kind":
            declared = declaration.kinds.get(rest[0])
        case _:
            declared = declaration.customers.get(rest[0])
    if declared is None:
        return NO_LIMIT
    return Limit(declared.rate_per_s, declared.tokens_per_s, declared.concurrency)
