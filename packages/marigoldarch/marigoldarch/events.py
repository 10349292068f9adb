"""Events: all inputs that can change a node's state, each with the time at which it happened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.messages import Message
from marigoldarch.targets import Announcement


@dataclass(frozen=True)
class Started:
    """The node has started with the state restored from its disk."""

    at_ms: Millis


@dataclass(frozen=True)
class Tick:
    """Time has passed; sent at a short interval."""

    at_ms: Millis


@dataclass(frozen=True)
class MessageArrived:
    """A message from another node, or from this node to itself, has arrived."""

    at_ms: Millis
    sender: str
    message: Message


@dataclass(frozen=True)
class Persisted:
    """All persists and checkpoints up to and including `persist_id` are synced."""

    at_ms: Millis
    persist_id: int


class CallInfo(NamedTuple):
    """A caller's request without its payload.

    `service` and `method` are set for a plain service call, `model` for a prompt. `deadline_ms` is
    the caller's own time limit in milliseconds, None for the default of its kind or method. `identity`
    is what the request and its repeats have in common.
    """

    request_id: str
    customer_key_sha256: str
    kind: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    service: str = ""
    method: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    deadline_ms: Millis | None = None
    prefix: tuple[str, ...] = ()
    idempotency_key: str = ""
    body_sha256: str = ""
    wall_ms: int = 0
    identity: str = ""


@dataclass(frozen=True)
class CallArrived:
    """A caller's request was received and parsed."""

    at_ms: Millis
    call: CallInfo


@dataclass(frozen=True)
class CallerGone:
    """The caller closed its connection before the final frame."""

    at_ms: Millis
    request_id: str


@dataclass(frozen=True)
class FirstToken:
    """The first frame of an attempt was relayed to the caller."""

    at_ms: Millis
    request_id: str
    attempt: int


@dataclass(frozen=True)
class TargetAnswered:
    """An attempt ended with a whole answer: consecutive offsets and the end marker."""

    at_ms: Millis
    request_id: str
    attempt: int
    output_tokens: int
    body: str = ""


@dataclass(frozen=True)
class TargetFailed:
    """An attempt failed; `is_unsent` is true only if no byte has reached the target.

    `relayed_tokens` is the offset up to which the caller has received the answer.
    `is_connection_lost` tells that the target closed the connection before the end of the answer.
    """

    at_ms: Millis
    request_id: str
    attempt: int
    target: str
    is_unsent: bool
    relayed_tokens: int
    is_connection_lost: bool = False


@dataclass(frozen=True)
class TargetAnnounced:
    """A target has sent or renewed its announcement at this node."""

    at_ms: Millis
    announcement: Announcement


@dataclass(frozen=True)
class CacheEventsArrived:
    """A target has sent prefix-cache events to this node: prefixes stored and removed."""

    at_ms: Millis
    pool: PoolId
    target: str
    sequence: int
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True)
class TargetCommandEnded:
    """A cancellation, deletion or order sent to a target was confirmed or has failed."""

    at_ms: Millis
    pool: PoolId
    target: str
    command_id: str
    is_confirmed: bool
    permit: PermitId | None = None


@dataclass(frozen=True)
class DeclareRequested:
    """An operator asks to replace a team's declaration."""

    at_ms: Millis
    request_id: str
    change_id: str
    operator: str
    team: str
    base_revision: int
    declaration: dict[str, Any]
    timeout_ms: Millis
    has_all_rights: bool = True


@dataclass(frozen=True)
class RepairRequested:
    """An operator asks to replace the replica lost on a node by one on another or the same node."""

    at_ms: Millis
    request_id: str
    lost: str
    replacement: str
    timeout_ms: Millis


@dataclass(frozen=True)
class DrainRequested:
    """The node is asked to stop gracefully, by an operator or a signal."""

    at_ms: Millis


Event = (
    Started
    | Tick
    | MessageArrived
    | Persisted
    | CallArrived
    | CallerGone
    | FirstToken
    | TargetAnswered
    | TargetFailed
    | TargetAnnounced
    | CacheEventsArrived
    | TargetCommandEnded
    | DeclareRequested
    | RepairRequested
    | DrainRequested
)
