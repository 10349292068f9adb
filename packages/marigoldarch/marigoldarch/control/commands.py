"""Commands of the replicated log and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from marigoldarch.codec import Codec
from marigoldarch.identifiers import PoolId


@dataclass(frozen=True)
class Noop:
    """Commit the log of earlier terms at the start of a leader's term."""


@dataclass(frozen=True)
class Declare:
    """Replace a team's subtree, if it is still at `base_revision`."""

    change_id: str
    operator: str
    team: str
    base_revision: int
    declaration: dict[str, Any]


@dataclass(frozen=True)
class AssignPool:
    """Make `node` the only scheduler of `pool`; the log index is the fencing number."""

    pool: PoolId
    node: str
    incarnation: str


@dataclass(frozen=True)
class LedgerStart:
    """Record that `node` alone may send the call to `target`, until `deadline_wall_ms`."""

    customer: str
    key: str
    digest: str
    node: str
    request_id: str
    target: str
    deadline_wall_ms: int


@dataclass(frozen=True)
class LedgerFinish:
    """Record the answer of a started call."""

    customer: str
    key: str
    request_id: str
    answer: str


@dataclass(frozen=True)
class LedgerAbandon:
    """Forget a started call of which the sending node proves that no byte was sent."""

    customer: str
    key: str
    request_id: str


Command = Noop | Declare | AssignPool | LedgerStart | LedgerFinish | LedgerAbandon


@dataclass(frozen=True)
class Done:
    """The command took effect and has nothing to report."""


@dataclass(frozen=True)
class Declared:
    """The declaration stands at `revision`."""

    revision: int


@dataclass(frozen=True)
class DeclareConflict:
    """Another change came first; the team is at `revision`, made by `winner`."""

    revision: int
    winner: str
    winner_operator: str


@dataclass(frozen=True)
class LedgerStarted:
    """This request holds the only right to send the call."""


@dataclass(frozen=True)
class LedgerRunning:
    """Another request with the same key was started and has no recorded answer."""

    request_id: str


@dataclass(frozen=True)
class LedgerAnswered:
    """The call was finished before with this answer."""

    answer: str


@dataclass(frozen=True)
class LedgerMismatch:
    """The key was used before with another body."""


CommandResult = (
    Done
    | Declared
    | DeclareConflict
    | LedgerStarted
    | LedgerRunning
    | LedgerAnswered
    | LedgerMismatch
)

COMMANDS = Codec((Noop, Declare, AssignPool, LedgerStart, LedgerFinish, LedgerAbandon))
RESULTS = Codec(
    (
        Done,
        Declared,
        DeclareConflict,
        LedgerStarted,
        LedgerRunning,
        LedgerAnswered,
        LedgerMismatch,
    )
)


class Entry(NamedTuple):
    """An entry of the replicated log; `command` is in the plain form of `COMMANDS`."""

    index: int
    term: int
    command: list[Any]
