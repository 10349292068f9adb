"""Settings of the core, passed whole to each part."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.identifiers import NodeAddress


@dataclass(frozen=True)
class ControlSettings:
    """Timing of the replicated log, sessions and leases, in milliseconds."""

    append_interval_ms: Millis = 250.0
    election_timeout_min_ms: Millis = 600.0
    election_timeout_max_ms: Millis = 1200.0
    session_lease_ms: Millis = 2000.0
    heartbeat_interval_ms: Millis = 500.0
    heartbeat_retry_ms: Millis = 300.0
    clock_drift_ms: Millis = 50.0
    proposal_retry_ms: Millis = 300.0
    append_batch_entries: int = 256
    view_history_entries: int = 1024
    snapshot_entries: int = 4096
    log_tail_entries: int = 1024
    snapshot_piece_chars: int = 128 * 1024
    bootstrap_interval_ms: Millis = 100.0
    forget_node_ms: Millis = 60_000.0
    join_retry_ms: Millis = 100.0
    directory_nodes: int = 32
    ledger_retention_ms: Millis = 72 * 3_600_000.0
    ledger_max_bytes: int = 16 * 1024 * 1024


@dataclass(frozen=True)
class EntrySettings:
    """Defaults and bounds of the entry role."""

    default_deadline_ms: Millis = 60_000.0
    max_deadline_ms: Millis = 36 * 3_600_000.0
    permit_retry_ms: Millis = 400.0
    queued_retry_ms: Millis = 1500.0
    grant_fresh_ms: Millis = 5000.0
    permit_grace_ms: Millis = 4000.0
    attempt_limit: int = 3
    retry_ratio: float = 0.2
    retry_floor_per_s: float = 1.0
    retry_burst: float = 20.0
    hedge_after_ms: Millis = 250.0
    resume_streams: bool = True
    scheduler_timeout_ms: Millis = 1500.0
    limit_lease_ms: Millis = 1000.0
    slot_lease_ms: Millis = 3000.0
    slot_renewal_ms: Millis = 1000.0
    limit_recovery_ms: Millis = 1500.0
    limit_timeout_ms: Millis = 2500.0
    directory_ttl_ms: Millis = 2000.0
    default_output_tokens: int = 256


@dataclass(frozen=True)
class PoolSettings:
    """Bounds and policy of a pool scheduler.

    `short_weight` is the objective: 1.0 weighs only the slowdown of short requests, 0.0 only the
    time to first token over all lengths. It sets how busy the engines kept for short work may be.
    """

    queue_limit: int = 10_000
    customer_queue_limit: int = 4_000
    target_ttl_ms: Millis = 3000.0
    holdings_interval_ms: Millis = 1000.0
    prefill_tokens_per_s: float = 18_000.0
    decode_token_ms: Millis = 30.0
    short_weight: float = 0.5
    short_prompt_tokens: int = 4096
    medium_prompt_tokens: int = 16_384
    long_prompt_tokens: int = 102_400
    gang_memory_share: float = 0.8
    reserved_share: float = 0.35
    huge_priority_after_ms: Millis = 30_000.0
    short_headroom_share: float = 0.05
    short_backlog_ms: Millis = 250.0
    long_backlog_ms: Millis = 500.0
    medium_overflow_ms: Millis = 1000.0
    short_overflow_ms: Millis = 150.0
    rank_step_ms: Millis = 5000.0
    urgent_margin_ms: Millis = 2000.0
    estimate_margin: float = 1.25
    queued_silence_ms: Millis = 8000.0
    permit_silence_ms: Millis = 6_500.0
    set_aside_failures: int = 3
    set_aside_share: float = 0.34
    loading_share: float = 0.25
    loading_limit: int = 4
    order_delay_limit_ms: Millis = 5000.0


@dataclass(frozen=True)
class CoreSettings:
    """Everything the core needs to know about its node and its peers."""

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
        """Return whether this node holds a replica of the log from the first start on."""
        return self.node in self.voters

    @property
    def hosts_replica(self) -> bool:
        """Return whether this node holds a replica of the log, or can become one by a repair."""
        return self.is_voter or self.has_data_folder
