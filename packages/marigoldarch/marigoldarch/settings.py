"""Settings of the core; each part gets the settings class that it needs."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.crash_suspects import SuspectSettings
from marigoldarch.identifiers import NodeAddress


@dataclass(frozen=True)
class ControlSettings:
    """Timing and sizes of the replicated log, sessions, leases and the ledger."""

    append_interval_ms: Millis = 250.0
    election_timeout_min_ms: Millis = 600.0
    election_timeout_max_ms: Millis = 1200.0
    session_lease_ms: Millis = 2000.0
    heartbeat_interval_ms: Millis = 500.0
    heartbeat_retry_ms: Millis = 300.0
    # How far the clocks of two nodes may drift apart during a lease.
    clock_drift_ms: Millis = 50.0
    proposal_retry_ms: Millis = 300.0
    append_batch_entries: int = 256
    # Changes of the view kept for nodes that lag behind; others get a snapshot.
    view_history_entries: int = 1024
    # Applied entries after which the log is replaced by a snapshot.
    snapshot_entries: int = 4096
    # Entries kept in memory before a snapshot, for replicas that lag a little.
    log_tail_entries: int = 1024
    snapshot_piece_chars: int = 128 * 1024
    bootstrap_interval_ms: Millis = 100.0
    # Time without a session after which a node is removed from the view.
    node_removal_delay_ms: Millis = 60_000.0
    join_retry_ms: Millis = 100.0
    # Most nodes that a heartbeat is answered with.
    directory_nodes: int = 32
    ledger_retention_ms: Millis = 72 * 3_600_000.0
    ledger_max_bytes: int = 16 * 1024 * 1024


@dataclass(frozen=True)
class EntrySettings:
    """Timing and limits of requests, retries and limit shares at an entry node."""

    default_deadline_ms: Millis = 60_000.0
    max_deadline_ms: Millis = 36 * 3_600_000.0
    # A permit request is repeated at this interval, or at the next one once it is queued.
    permit_retry_ms: Millis = 400.0
    queued_retry_ms: Millis = 1500.0
    # A grant that answers an older permit request is ignored. This must stay below
    # `PoolSettings.permit_renewal_timeout_ms`, after which the scheduler ends the permit.
    grant_max_age_ms: Millis = 5000.0
    # Requests in progress go on for this long after the lease of their node has ended.
    permit_grace_ms: Millis = 4000.0
    attempt_limit: int = 3
    # Retries that each request adds to the retry budget, and those added each second.
    retry_ratio: float = 0.2
    retry_floor_per_s: float = 1.0
    retry_burst: float = 20.0
    # Idempotent service calls are sent to a second target after this time.
    hedge_after_ms: Millis = 250.0
    resume_streams: bool = True
    # Time without a reply to a permit request after which another pool is tried.
    scheduler_timeout_ms: Millis = 1500.0
    # How long lent requests and tokens may be used, and lent slots.
    limit_lease_ms: Millis = 1000.0
    slot_lease_ms: Millis = 3000.0
    slot_renewal_ms: Millis = 1000.0
    # Burst of a request rate, in seconds of that rate; it is at least one request.
    limit_burst_s: float = 1.0
    # How long a new owner of a subject lends only slots that are in use.
    limit_recovery_ms: Millis = 1500.0
    # Time after which a request that waits for limit shares is refused.
    limit_timeout_ms: Millis = 2500.0
    directory_ttl_ms: Millis = 2000.0
    default_output_tokens: int = 256


@dataclass(frozen=True)
class PoolSettings:
    """Limits and policy of a pool scheduler.

    `short_weight` is the objective: 1.0 weights only the slowdown of short requests, 0.0 only the
    time to first token over all lengths. It sets how busy the engines reserved for short work may
    be.
    """

    queue_limit: int = 10_000
    customer_queue_limit: int = 4_000
    target_ttl_ms: Millis = 3000.0
    holdings_interval_ms: Millis = 1000.0
    # Assumed speed of engines, until it has been measured.
    prefill_tokens_per_s: float = 18_000.0
    decode_token_ms: Millis = 30.0
    short_weight: float = 0.5
    # Longest prompts of the lanes for short, medium and long work; longer ones are huge.
    short_prompt_tokens: int = 4096
    medium_prompt_tokens: int = 16_384
    long_prompt_tokens: int = 102_400
    # Share of the largest engine's memory that a gang uses on each member, if it can.
    gang_memory_share: float = 0.8
    # Largest share of the targets that may be reserved for gangs.
    reserved_share: float = 0.35
    # Huge work that has waited this long is granted before other work.
    huge_priority_after_ms: Millis = 30_000.0
    # Share of an engine's memory that other work leaves free for short work.
    short_headroom_share: float = 0.05
    # Work is granted to a target whose wait is at most its lane's backlog limit.
    short_backlog_ms: Millis = 250.0
    long_backlog_ms: Millis = 500.0
    # Wait added when work of one lane is placed on a target of the other lane.
    medium_overflow_ms: Millis = 1000.0
    short_overflow_ms: Millis = 150.0
    # Work is queued as if it had arrived this much later for each step of its rank.
    rank_step_ms: Millis = 5000.0
    # Work is urgent from at least this long before the latest start that meets its deadline.
    urgent_margin_ms: Millis = 2000.0
    # Factor on the estimated wait when a request is checked against its deadline.
    estimate_margin: float = 1.25
    # Time without a repeat after which a queued request is dropped.
    queued_request_timeout_ms: Millis = 8000.0
    # Time without a listing by its entry node after which a permit ends.
    permit_renewal_timeout_ms: Millis = 6_500.0
    # Failures in a row after which a target is set aside, and the largest share set aside.
    set_aside_failures: int = 3
    set_aside_share: float = 0.34
    # Most targets that load an adapter or version at a time: the lower of both limits.
    loading_share: float = 0.25
    loading_limit: int = 4
    # How long an unconfirmed order may still arrive; no other is sent to its target.
    order_delivery_timeout_ms: Millis = 5000.0
    # When a prefix of prompts counts as the cause of crashes, and how many prefixes are remembered.
    crash_suspects: SuspectSettings = SuspectSettings(max_parts=2048)


@dataclass(frozen=True)
class CoreSettings:
    """Settings of one node's core: its address, the other nodes and the settings of each part."""

    address: NodeAddress
    voters: tuple[str, ...]
    peers: tuple[NodeAddress, ...]
    incarnation: str
    seed: int = 0
    control: ControlSettings = field(default_factory=ControlSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    pools: PoolSettings = field(default_factory=PoolSettings)
    has_data_folder: bool = False

    @property
    def node(self) -> str:
        """Return the name of this node."""
        return self.address.node

    @property
    def is_voter(self) -> bool:
        """Return whether this node holds a replica of the log from its first start."""
        return self.node in self.voters

    @property
    def hosts_replica(self) -> bool:
        """Return whether this node holds a replica of the log, or can get one by a repair."""
        return self.is_voter or self.has_data_folder
