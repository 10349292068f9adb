"""Effects: the I/O that the core asks of the process around it, as data."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Snapshot
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import Message
from marigoldarch.outcomes import Outcome


@dataclass(frozen=True)
class Send:
    """Send a message to a node once persist `after_persist_id` is synced, at once if it is 0."""

    node: str
    message: Message
    after_persist_id: int = 0


class VoteRecord(NamedTuple):
    """A replica's term, and the candidate that it voted for in that term."""

    term: int
    voted_for: str


class TruncateRecord(NamedTuple):
    """Remove all log entries from `index` on."""

    index: int


LogRecord = VoteRecord | TruncateRecord | Snapshot | Entry


@dataclass(frozen=True)
class Persist:
    """Append records to the log and sync them; answered by `Persisted`."""

    persist_id: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True)
class Checkpoint:
    """Replace all records of the log by these atomically; answered by `Persisted`.

    The records are a vote, a snapshot and the entries after it. Persists and checkpoints are
    written in the order of their ids.
    """

    persist_id: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True)
class Reply:
    """Reply the final outcome of a request to its caller."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True)
class CallTarget:
    """Send one attempt of a request to its targets, until `deadline_ms` of this node's clock.

    The stream starts at token `offset`, or after the tokens that the caller already has if these are more:
    a cancelled attempt doesn't report them. Lower `priority` values are served first.
    """

    request_id: str
    attempt: int
    permit: PermitId
    targets: tuple[TargetAddress, ...]
    deadline_ms: Millis
    priority: int
    offset: int = 0


@dataclass(frozen=True)
class CancelCall:
    """Cancel an attempt's target call."""

    request_id: str
    attempt: int


@dataclass(frozen=True)
class ReleaseMemory:
    """Tell a target to cancel a permit's stream and delete its exported KV cache; idempotent."""

    pool: PoolId
    target: TargetAddress
    permit: PermitId


@dataclass(frozen=True)
class OrderTarget:
    """Send a target an order with the pool's fencing token, such as loading an adapter."""

    pool: PoolId
    target: TargetAddress
    order_id: str
    fence: int
    order: dict[str, Any]


@dataclass(frozen=True)
class OperatorReply:
    """Reply to an operator's request with data that JSON can hold."""

    request_id: str
    body: dict[str, Any]


@dataclass(frozen=True)
class RecordEvent:
    """Add an event to the time line; `fields` holds identifiers and counts, never a payload."""

    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Exit:
    """Exit the process, as the graceful stop is complete."""


Effect = (
    Send
    | Persist
    | Checkpoint
    | Reply
    | CallTarget
    | CancelCall
    | ReleaseMemory
    | OrderTarget
    | OperatorReply
    | RecordEvent
    | Exit
)
