"""The declared limits of teams, kinds of work and customers.

Limits hold over all nodes: keepers lend shares to entries for a short time (`limit_keeper`,
`limit_shares`). Each limited subject has one keeper. A subject that nobody uses has no state
anywhere and costs no message.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.control.view import ClusterView


class Limit(NamedTuple):
    """The declared limits of a subject; zero means none of that sort."""

    rate_per_s: float
    tokens_per_s: float
    concurrency: int

    @property
    def is_none(self) -> bool:
        """Return whether nothing is limited."""
        return not (self.rate_per_s or self.tokens_per_s or self.concurrency)


NO_LIMIT = Limit(0.0, 0.0, 0)


def subjects_of(team: str, kind: str, customer: str) -> tuple[str, ...]:
    """Return the subjects that a request counts for."""
    subjects = (f"team/{team}", f"customer/{team}/{customer}")
    return (*subjects, f"kind/{team}/{kind}") if kind else subjects


def find_limit(view: ClusterView, subject: str) -> Limit:
    """Return the declared limits of a subject."""
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
