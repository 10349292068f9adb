"""Commands of the replicated log and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from marigoldarch.codec import Codec
from marigoldarch.control.configuration import Configuration
from marigoldarch.identifiers import PoolId


@dataclass(frozen=True)
class Noop:
    """Commit the log of earlier terms at the start of a leader's term."""


@dataclass(frozen=True)
class Configure:
    """Change the replicas of the log; takes effect as soon as a replica holds the entry."""

    configuration: Configuration


@dataclass(frozen=True)
class NodeJoined:
    """Make a node known to every later leader; only known nodes are granted leases."""

    node: str


@dataclass(frozen=True)
class NodeLeft:
    """Forget a node that has left, or whose lease ran out long ago."""

    node: str


@dataclass(frozen=True)
class Declare:
    """Replace a subtree, if it is still at `base_revision` and the operator has the right to."""

    change_id: str
    operator: str
    team: str
    base_revision: int
    declaration: dict[str, Any]
    has_all_rights: bool = True


@dataclass(frozen=True)
class AssignPool:
    """Make `node` the only scheduler of `pool`; the log index is the fencing number."""

    pool: PoolId
    node: str
    incarnation: str


@dataclass(frozen=True)
class LedgerStart:
    """Record that `node` alone may send the call to `target`, until `deadline_wall_ms`.

    `time_left_ms` is the time until that deadline when the command was made.
    """

    customer: str
    key: str
    digest: str
    node: str
    request_id: str
    target: str
    deadline_wall_ms: int
    time_left_ms: int = 0


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


@dataclass(frozen=True)
class LedgerExpire:
    """Forget the calls that were started before an instant of the log's own time."""

    started_before_ms: int


@dataclass(frozen=True)
class PutDocument:
    """Replace the stored document, if `version` is higher than the one held.

    `text` is compressed and in base64, as it stays in the log and on the disk.
    """

    version: int
    text: str


Command = (
    Noop
    | Configure
    | NodeJoined
    | NodeLeft
    | Declare
    | AssignPool
    | LedgerStart
    | LedgerFinish
    | LedgerAbandon
    | LedgerExpire
    | PutDocument
)


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
class DeclareForbidden:
    """The operator has no right to change this team's subtree."""

    operator: str
    team: str


@dataclass(frozen=True)
class DeclareKeyTaken:
    """A customer's key in the declaration is already a key of another team's customer."""

    customer: str


@dataclass(frozen=True)
class LedgerStarted:
    """This request holds the only right to send the call."""


@dataclass(frozen=True)
class LedgerRunning:
    """Another request with the same key was started and has no recorded answer."""

    request_id: str


@dataclass(frozen=True)
class LedgerUnknown:
    """Another request with the same key passed its deadline without a recorded answer."""

    request_id: str


@dataclass(frozen=True)
class LedgerFull:
    """The ledger has no room for another call; nothing was recorded."""

    retry_after_ms: int


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
    | DeclareForbidden
    | DeclareKeyTaken
    | LedgerStarted
    | LedgerRunning
    | LedgerUnknown
    | LedgerFull
    | LedgerAnswered
    | LedgerMismatch
)

COMMANDS = Codec(
    (
        Noop,
        Configure,
        NodeJoined,
        NodeLeft,
        Declare,
        AssignPool,
        LedgerStart,
        LedgerFinish,
        LedgerAbandon,
        LedgerExpire,
        PutDocument,
    )
)
RESULTS = Codec(
    (
        Done,
        Declared,
        DeclareConflict,
        DeclareForbidden,
        DeclareKeyTaken,
        LedgerStarted,
        LedgerRunning,
        LedgerUnknown,
        LedgerFull,
        LedgerAnswered,
        LedgerMismatch,
    )
)


class Entry(NamedTuple):
    """An entry of the replicated log; `command` is in the plain form of `COMMANDS`.

    `log_ms` is the log's own time: what the leaders so far have measured on monotonic clocks.
    """

    index: int
    term: int
    command: list[Any]
    log_ms: int = 0
