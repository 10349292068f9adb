"""Messages between nodes.

A message carries no monotonic instants of its sender that the receiver interprets: durations travel
instead, and `sent_ms` fields are only echoed back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.codec import Codec
from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.repair_state import RepairState
from marigoldarch.identifiers import NodeAddress, PermitId, PoolId, TargetAddress


@dataclass(frozen=True)
class VoteRequest:
    """Ask for a vote, or with `is_probe` only whether one would be given.

    With `is_transfer` the leader has given its leadership up, so voters need not wait for it.
    """

    term: int
    last_index: int
    last_term: int
    is_probe: bool
    from_replica: str
    to_replica: str
    is_transfer: bool = False


@dataclass(frozen=True)
class LeadershipTransfer:
    """Tell a voter that the leader of `term` has stepped down for it to be elected at once."""

    term: int
    to_replica: str


@dataclass(frozen=True)
class VoteReply:
    """Answer a vote request.

    `grants_end_in_ms` is the time until no earlier leader that the voter knows of can grant a
    lease; it is negative when that time has passed.
    """

    term: int
    is_granted: bool
    is_probe: bool
    from_replica: str
    grants_end_in_ms: Millis


@dataclass(frozen=True)
class AppendRequest:
    """Replicate entries after (`previous_index`, `previous_term`)."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    sent_ms: Millis
    to_replica: str


@dataclass(frozen=True)
class AppendReply:
    """Report the highest index known to match, or on refusal a hint where to go back to."""

    term: int
    is_success: bool
    match_index: int
    sent_ms: Millis
    from_replica: str


@dataclass(frozen=True)
class SnapshotPiece:
    """A piece of the snapshot at `index`; lengths and offsets are in characters of its text."""

    term: int
    index: int
    index_term: int
    configuration: Configuration
    length: int
    offset: int
    data: str
    sent_ms: Millis
    to_replica: str


@dataclass(frozen=True)
class SnapshotReply:
    """Name the offset of the next piece wanted."""

    term: int
    index: int
    offset: int
    sent_ms: Millis
    from_replica: str


@dataclass(frozen=True)
class BootstrapQuery:
    """Ask a listed voter at an installation's first start whether its disk is blank."""

    coordinator_replica: str


@dataclass(frozen=True)
class BootstrapReply:
    """Tell the coordinator that asked that this replica has a blank disk."""

    coordinator_replica: str
    from_replica: str


@dataclass(frozen=True)
class Propose:
    """Ask the leader to commit a command; resent until answered."""

    proposal_id: str
    command: list[Any]


@dataclass(frozen=True)
class ProposeReply:
    """The result of a committed command."""

    proposal_id: str
    result: list[Any]


@dataclass(frozen=True)
class NotLeader:
    """The receiver of a proposal or heartbeat does not lead."""

    leader: str
    proposal_id: str = ""


class ViewUpdate(NamedTuple):
    """One change of the cluster view; `revision` is the log index that made it."""

    revision: int
    command: list[Any]


class NodeLoad(NamedTuple):
    """A node as the directory sees it; `active` counts requests in progress."""

    address: NodeAddress
    active: int
    is_leaving: bool


@dataclass(frozen=True)
class Heartbeat:
    """Renew a node's session and configuration lease, and report all that is periodic."""

    load: NodeLoad
    incarnation: str
    revision: int
    wanted_pools: list[PoolId]
    sent_ms: Millis
    replica_id: str = ""


@dataclass(frozen=True)
class HeartbeatAck:
    """Grant a lease of `lease_ms` from the heartbeat's `sent_ms` on.

    A lease of 0 asks to come again soon. `nodes` is bounded: those of the receiver's data centre go
    first.
    """

    sent_ms: Millis
    lease_ms: Millis
    revision: int
    nodes: list[NodeLoad]


@dataclass(frozen=True)
class PoolRelinquished:
    """Give up a pool held under `fence`; the sender has stopped acting on it for good."""

    pool: PoolId
    fence: int


@dataclass(frozen=True)
class NodeLeaving:
    """Give up the session: the sender acts on its lease no more."""

    incarnation: str


@dataclass(frozen=True)
class RepairRequest:
    """Ask the leader for the next step of a repair; resent until the state is final."""

    request_id: str
    lost: str
    replacement: str


@dataclass(frozen=True)
class RepairReply:
    """Report how far a repair is."""

    request_id: str
    state: RepairState


@dataclass(frozen=True)
class ViewDelta:
    """Bring a node's view from `base_revision` forward."""

    base_revision: int
    updates: list[ViewUpdate]


@dataclass(frozen=True)
class ViewSnapshot:
    """Replace a node's view that is too far behind for a delta."""

    view: dict[str, Any]


@dataclass(frozen=True)
class ViewAck:
    """Acknowledge that the node acts on `revision`."""

    revision: int


@dataclass(frozen=True)
class AwaitInForce:
    """Ask the leader to tell when `revision` is in force; resent until answered."""

    revision: int


@dataclass(frozen=True)
class InForce:
    """Every node acts on `revision` or has lost its lease."""

    revision: int


class WorkItem(NamedTuple):
    """What a scheduler needs to know of a request; token counts, and time left in milliseconds.

    `asked_ms` is the entry's own clock at this sending, for the grant to echo.
    """

    request_id: str
    attempt: int
    customer: str
    team: str
    kind: str
    rank: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    time_left_ms: Millis
    model: str = ""
    adapter: str = ""
    version: str = ""
    prefix: tuple[str, ...] = ()
    avoid: tuple[str, ...] = ()
    asked_ms: Millis = 0.0


@dataclass(frozen=True)
class PermitRequest:
    """Ask the pool's scheduler for targets to run one attempt; resent until answered."""

    pool: PoolId
    item: WorkItem


@dataclass(frozen=True)
class PermitGranted:
    """Allow one attempt on `targets`; more than one target is a gang whose first streams.

    `asked_ms` echoes the latest `PermitRequest`: an entry uses no grant whose request it sent too
    long ago, so that the scheduler may drop a permit that its entry has not listed for longer.
    `priority` is the one to give the engines (0 goes first), None for the rank of the kind.
    """

    pool: PoolId
    request_id: str
    attempt: int
    permit: PermitId
    targets: list[TargetAddress]
    asked_ms: Millis = 0.0
    priority: int | None = None


@dataclass(frozen=True)
class PermitQueued:
    """Acknowledge a waiting request, so that its entry may ask less often; wait in milliseconds."""

    pool: PoolId
    request_id: str
    attempt: int
    wait_estimate_ms: Millis


@dataclass(frozen=True)
class PermitRefused:
    """Refuse an attempt, with the time to come back."""

    pool: PoolId
    request_id: str
    attempt: int
    reason: str
    retry_after_ms: Millis


@dataclass(frozen=True)
class PermitWithdrawn:
    """Take a granted permit back; the attempt is cancelled and queued again by its entry."""

    pool: PoolId
    request_id: str
    attempt: int
    permit: PermitId


@dataclass(frozen=True)
class PermitReleased:
    """End a permit, or withdraw a request that still waits (`permit` is None).

    `failed_target` names the member that failed, where the entry knows it. `first_token_ms` is the
    time from the target call to its first frame (0 if there was none), and `output_tokens` the
    length of a whole answer.
    """

    pool: PoolId
    request_id: str
    attempt: int
    permit: PermitId | None
    is_target_failure: bool = False
    failed_target: str = ""
    first_token_ms: Millis = 0.0
    output_tokens: int = 0


class HeldPermit(NamedTuple):
    """A permit that an entry still uses."""

    permit: PermitId
    item: WorkItem
    targets: list[TargetAddress]


@dataclass(frozen=True)
class PermitsHeld:
    """List all live permits of one entry in one pool: a renewal, or recovery of a new scheduler.

    Sent at an interval while there are any, with their ids in `renewed` only, and once for each new
    `epoch`, even if empty, with all that its scheduler has to know in `held`.
    """

    pool: PoolId
    epoch: int
    held: list[HeldPermit]
    renewed: list[PermitId] = field(default_factory=list)


class LimitNeed(NamedTuple):
    """What an entry needs under one limit.

    `requests` and `tokens` come on top of earlier shares, `first_tokens` of them for the oldest
    waiting request alone; `slots` is the whole number of requests in progress that the entry wants
    to be allowed, `used_slots` of which it has in progress already.
    """

    subject: str
    requests: float
    tokens: float
    first_tokens: float
    slots: int
    used_slots: int


class LimitShare(NamedTuple):
    """What a keeper lends; `slots` is the whole number, the others come on top."""

    subject: str
    requests: float
    tokens: float
    slots: int
    retry_after_ms: Millis


@dataclass(frozen=True)
class PresentPermits:
    """Ask an entry to list its permits in full, for it has renewed some that are not known."""

    pool: PoolId


@dataclass(frozen=True)
class LimitAsk:
    """Ask the keeper of some limits for shares; `round` is echoed."""

    round: int
    needs: list[LimitNeed]


@dataclass(frozen=True)
class LimitAnswer:
    """Lend shares for `lease_ms` from the sending of the ask on."""

    round: int
    lease_ms: Millis
    shares: list[LimitShare]


@dataclass(frozen=True)
class TargetReport:
    """A target's announcement, forwarded to its pool's scheduler."""

    pool: PoolId
    announcement: dict[str, Any]


@dataclass(frozen=True)
class CacheReport:
    """Prefix-cache events of a target, forwarded to its pool's scheduler."""

    pool: PoolId
    target: str
    sequence: int
    stored: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


MESSAGE_CLASSES = (
    VoteRequest,
    LeadershipTransfer,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotPiece,
    SnapshotReply,
    BootstrapQuery,
    BootstrapReply,
    Propose,
    ProposeReply,
    NotLeader,
    Heartbeat,
    HeartbeatAck,
    PoolRelinquished,
    NodeLeaving,
    RepairRequest,
    RepairReply,
    ViewDelta,
    ViewSnapshot,
    ViewAck,
    AwaitInForce,
    InForce,
    PermitRequest,
    PermitGranted,
    PermitQueued,
    PermitRefused,
    PermitWithdrawn,
    PermitReleased,
    PermitsHeld,
    PresentPermits,
    LimitAsk,
    LimitAnswer,
    TargetReport,
    CacheReport,
)

MESSAGES = Codec(MESSAGE_CLASSES)

Message = (
    VoteRequest
    | LeadershipTransfer
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotPiece
    | SnapshotReply
    | BootstrapQuery
    | BootstrapReply
    | Propose
    | ProposeReply
    | NotLeader
    | Heartbeat
    | HeartbeatAck
    | PoolRelinquished
    | NodeLeaving
    | RepairRequest
    | RepairReply
    | ViewDelta
    | ViewSnapshot
    | ViewAck
    | AwaitInForce
    | InForce
    | PermitRequest
    | PermitGranted
    | PermitQueued
    | PermitRefused
    | PermitWithdrawn
    | PermitReleased
    | PermitsHeld
    | PresentPermits
    | LimitAsk
    | LimitAnswer
    | TargetReport
    | CacheReport
)
