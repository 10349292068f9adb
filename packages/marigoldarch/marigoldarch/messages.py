"""Messages between nodes.

The monotonic clocks of two nodes cannot be compared. Messages therefore carry durations; a field
such as `sent_ms` is a time of its sender, which the receiver only echoes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.codec import Codec
from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.repair_state import RepairState
from marigoldarch.entry.limit_loans import LimitNeed, LimitShare
from marigoldarch.identifiers import NodeAddress, PermitId, PoolId, TargetAddress


@dataclass(frozen=True)
class VoteRequest:
    """Ask for a vote, or with `is_probe` only whether one would be granted.

    With `is_transfer` the leader has stepped down, so voters need not wait for its lease to end.
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
    """Tell a voter that the leader of `term` has stepped down; it starts an election at once."""

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
    """Report the highest index known to match, or on refusal a hint for how far to go back."""

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
    """Report the offset of the next piece of the snapshot to send."""

    term: int
    index: int
    offset: int
    sent_ms: Millis
    from_replica: str


@dataclass(frozen=True)
class BootstrapQuery:
    """Ask a listed voter at an installation's first start whether its replica is uninitialized."""

    coordinator_replica: str


@dataclass(frozen=True)
class BootstrapReply:
    """Tell the coordinator that asked that this replica is uninitialized."""

    coordinator_replica: str
    from_replica: str


@dataclass(frozen=True)
class Propose:
    """Ask the leader to commit a command; resent until answered or expired."""

    proposal_id: str
    command: list[Any]


@dataclass(frozen=True)
class ProposeReply:
    """The result of a committed command."""

    proposal_id: str
    result: list[Any]


@dataclass(frozen=True)
class NotLeader:
    """Tell the sender of a proposal or heartbeat that the receiver does not lead, and who does."""

    leader: str
    proposal_id: str = ""


class ViewUpdate(NamedTuple):
    """One change of the cluster view; `revision` is the log index of its command."""

    revision: int
    command: list[Any]


class NodeLoad(NamedTuple):
    """A node's entry in the directory; `active` counts its requests in progress."""

    address: NodeAddress
    active: int
    is_leaving: bool


@dataclass(frozen=True)
class Heartbeat:
    """Renew a node's session and its lease, and report its load, its revision and wanted pools."""

    load: NodeLoad
    incarnation: str
    revision: int
    wanted_pools: list[PoolId]
    sent_ms: Millis
    replica_id: str = ""


@dataclass(frozen=True)
class HeartbeatAck:
    """Grant a lease of `lease_ms` from the heartbeat's `sent_ms` on.

    With a lease of 0 the node should send its next heartbeat soon. `nodes` is limited in length:
    the voters come first, then the nodes of the receiver's data centre.
    """

    sent_ms: Millis
    lease_ms: Millis
    revision: int
    nodes: list[NodeLoad]


@dataclass(frozen=True)
class PoolRelinquished:
    """Relinquish a pool held under the fencing token `fence`.

    The sender has stopped scheduling the pool for good.
    """

    pool: PoolId
    fence: int


@dataclass(frozen=True)
class NodeLeaving:
    """End the session; the sender does not use its lease any more."""

    incarnation: str


@dataclass(frozen=True)
class RepairRequest:
    """Ask the leader for the next step of a repair; resent until the state is final."""

    request_id: str
    lost: str
    replacement: str


@dataclass(frozen=True)
class RepairReply:
    """Report the state of a repair."""

    request_id: str
    state: RepairState


@dataclass(frozen=True)
class ViewDelta:
    """Update a node's view from `base_revision`."""

    base_revision: int
    updates: list[ViewUpdate]


@dataclass(frozen=True)
class ViewSnapshot:
    """Replace the view of a node that is too far behind for a delta."""

    view: dict[str, Any]


@dataclass(frozen=True)
class ViewAck:
    """Acknowledge that the node uses `revision`."""

    revision: int


@dataclass(frozen=True)
class AwaitInForce:
    """Ask the leader to report when `revision` is in force; resent until answered."""

    revision: int


@dataclass(frozen=True)
class InForce:
    """Report that every node uses at least `revision` or has lost its lease."""

    revision: int


class WorkItem(NamedTuple):
    """The description of a request for its scheduler.

    `time_left_ms` is the time to its deadline. `asked_ms` is the time on the entry node's clock at
    which this message was sent; the grant echoes it. `avoid` names targets not to be used. `identity` is
    what the request and its repeats have in common.
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
    identity: str = ""


@dataclass(frozen=True)
class PermitRequest:
    """Ask the pool's scheduler for targets to run one attempt; resent until answered."""

    pool: PoolId
    item: WorkItem


@dataclass(frozen=True)
class PermitGranted:
    """Allow one attempt on `targets`; several targets are a gang, of which the first one streams.

    `asked_ms` echoes the latest `PermitRequest`. An entry node ignores a grant whose request it
    sent too long ago, so the scheduler may end a permit that was not listed for longer.
    `priority` is to be sent to the engines (0 is served first), None for the rank of the kind.
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
    """Report that a request is queued, so that its entry node may ask less often."""

    pool: PoolId
    request_id: str
    attempt: int
    wait_estimate_ms: Millis


@dataclass(frozen=True)
class PermitRefused:
    """Refuse an attempt; the request may be sent again after `retry_after_ms`.

    `specific_reason` is one that nodes of an older build do not know; these use `reason`.
    """

    pool: PoolId
    request_id: str
    attempt: int
    reason: str
    retry_after_ms: Millis
    specific_reason: str = ""


@dataclass(frozen=True)
class PermitWithdrawn:
    """Withdraw a granted permit; the entry node cancels the attempt and asks for another permit."""

    pool: PoolId
    request_id: str
    attempt: int
    permit: PermitId


@dataclass(frozen=True)
class PermitReleased:
    """Release a permit, or withdraw a request that is still queued (`permit` is None).

    `failed_target` names the target that failed, if the entry node knows it. `first_token_ms` is
    the time from the target call to its first frame (0 if there was none), `output_tokens` the
    length of a whole answer. `is_connection_lost` tells that the target closed the connection before
    the end of the answer.
    """

    pool: PoolId
    request_id: str
    attempt: int
    permit: PermitId | None
    is_target_failure: bool = False
    failed_target: str = ""
    first_token_ms: Millis = 0.0
    output_tokens: int = 0
    is_connection_lost: bool = False


class HeldPermit(NamedTuple):
    """A permit that an entry node still uses."""

    permit: PermitId
    item: WorkItem
    targets: list[TargetAddress]


@dataclass(frozen=True)
class PermitsHeld:
    """List all permits of one pool that an entry node uses.

    Sent at an interval while there are any, and some times after, with only their ids in `renewed`.
    Sent once for each new `epoch`, which is the fencing token of the pool's scheduler, even if
    empty, with all details in `held`, from which a new scheduler recovers its state.
    """

    pool: PoolId
    epoch: int
    held: list[HeldPermit]
    renewed: list[PermitId] = field(default_factory=list)


@dataclass(frozen=True)
class PresentPermits:
    """Ask an entry node to list its permits in full, as it has renewed unknown ones."""

    pool: PoolId


@dataclass(frozen=True)
class LimitAsk:
    """Ask the owner of some subjects for shares of their limits; `round` is echoed."""

    round: int
    needs: list[LimitNeed]


@dataclass(frozen=True)
class LimitAnswer:
    """Lend shares for `lease_ms` from the time at which the ask was sent."""

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
