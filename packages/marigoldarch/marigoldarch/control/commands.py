"""Commands of the replicated log, and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from marigoldarch.codec import Codec
from marigoldarch.control.configuration import Configuration
from marigoldarch.identifiers import PoolId
from marigoldarch.serving.evacuations import EvacuationOrder


@dataclass(frozen=True)
class Noop:
    """Change nothing; proposed by a new leader, so that entries of earlier terms are committed."""


@dataclass(frozen=True)
class Configure:
    """Change the configuration of the log; a replica uses it once the entry is in its log."""

    configuration: Configuration


@dataclass(frozen=True)
class NodeJoined:
    """Add a node to the known nodes; a leader grants leases to known nodes only."""

    node: str


@dataclass(frozen=True)
class NodeLeft:
    """Remove a node that has left, or whose lease ran out `node_removal_delay_ms` ago."""

    node: str


@dataclass(frozen=True)
class Declare:
    """Replace a subtree, if it is at `base_revision` and the operator has the right to."""

    change_id: str
    operator: str
    team: str
    base_revision: int
    declaration: dict[str, Any]
    has_all_rights: bool = True


@dataclass(frozen=True)
class AssignPool:
    """Make `node` the only scheduler of `pool`; the log index is the fencing token."""

    pool: PoolId
    node: str
    incarnation: str


@dataclass(frozen=True)
class LedgerStart:
    """Give `node` the exclusive right to send the call to `target` until `deadline_wall_ms`.

    `time_left_ms` is the time left until that deadline when the command was created.
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
    """Remove a started call of which the sending node knows that no byte was sent."""

    customer: str
    key: str
    request_id: str


@dataclass(frozen=True)
class LedgerExpire:
    """Remove the calls that were started before a log time."""

    started_before_ms: int


@dataclass(frozen=True)
class PutDocument:
    """Replace the stored document, if `version` is higher than the stored one.

    `text` is compressed and base64-encoded, and is stored in this form in the log and on disk.

    With `evacuation` the command is an order instead, of version 0. Hosts of builds that know no
    orders cannot decode commands of other classes; a document of version 0 changes nothing there.
    """

    version: int
    text: str
    evacuation: EvacuationOrder | None = None


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
    """The command was applied; it has no other result."""


@dataclass(frozen=True)
class Declared:
    """The declaration was applied as `revision`."""

    revision: int


@dataclass(frozen=True)
class DeclareConflict:
    """Another change came first: the subtree is at `revision`, set by the change `winner`."""

    revision: int
    winner: str
    winner_operator: str


@dataclass(frozen=True)
class DeclareForbidden:
    """The operator has no right to change the team's subtree."""

    operator: str
    team: str


@dataclass(frozen=True)
class DeclareKeyTaken:
    """A key of `customer` in the declaration already belongs to another team's customer."""

    customer: str


@dataclass(frozen=True)
class LedgerStarted:
    """The request has the exclusive right to send the call."""


@dataclass(frozen=True)
class LedgerRunning:
    """Another request with the same key has started the call; no answer is recorded yet."""

    request_id: str


@dataclass(frozen=True)
class LedgerUnknown:
    """Another request with the same key passed its deadline; no answer was recorded."""

    request_id: str


@dataclass(frozen=True)
class LedgerFull:
    """The ledger is full; the call was not recorded."""

    retry_after_ms: int


@dataclass(frozen=True)
class LedgerAnswered:
    """An earlier request with the same key finished the call with this answer."""

    answer: str


@dataclass(frozen=True)
class LedgerMismatch:
    """The key was used before with a different body."""


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
    """An entry of the replicated log; `command` is encoded by `COMMANDS`.

    `log_ms` is the log time in milliseconds: the time that all leaders so far have measured on
    their monotonic clocks.
    """

    index: int
    term: int
    command: list[Any]
    log_ms: int = 0
