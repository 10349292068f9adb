"""Computes the cost of each role at the target size from the measured slopes."""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.slopes import Slope, format_cost

HEARTBEATS_PER_S = 2.0
RENEWALS_PER_S = 1.0
REPORTS_PER_S = 1.0
TICKS_PER_S = 20.0
EVENTS_PER_REQUEST = 6
LEDGER_CALLS_PER_S = 100.0
"""Rate of non-idempotent calls assumed for the ledger; each takes two commands."""

SUBJECTS_PER_REQUEST = 3
VOTER_COUNT = 5
HTTP_REQUEST_CPU_MS = 0.48
"""Processor time of one JSON request on the server side, a budgeted value."""

LINK_BATCH_CPU_MS = 0.078
"""Processor time to send and to receive one batch on a peer link, a budgeted value."""


class RoleCost(NamedTuple):
    """The cost of one role on a host that has it.

    Messages, bytes and processor time in milliseconds are per second; memory is in bytes.
    """

    role: str
    host: str
    state: str
    messages: float
    bytes_: float
    cpu_ms: float
    memory: float

    def to_row(self) -> str:
        """Return one row of a Markdown table."""
        costs = [self.messages, self.bytes_, self.cpu_ms, self.memory]
        cells = [self.role, self.host, self.state, *(format_cost(cost) for cost in costs)]
        return f"| {' | '.join(cells)} |"


ROLE_TABLE_HEADER = (
    "| role | host | state held | messages/s | bytes/s | processor ms/s | memory, bytes |",
    "|---|---|---|---|---|---|---|",
)


class Costs:
    """Looks up costs by the name and unit of their slope."""

    def __init__(self, slopes: list[Slope]) -> None:
        self._by_key = {(slope.name, slope.unit): slope for slope in slopes}

    def at(self, name: str, unit: str, size: float | None = None) -> float:
        """Return the cost at `size`, by default at the slope's target size."""
        slope = self._by_key[name, unit]
        if size is not None:
            slope = slope._replace(target_size=size)
        return slope.cost_at_target


def compute_role_costs(slopes: list[Slope]) -> list[RoleCost]:
    """Return the cost of each role at the target size."""
    costs = Costs(slopes)
    return [
        _entry(costs),
        _directory(costs),
        _scheduler(costs),
        _announcements(costs),
        _limits(costs),
        _limit_owner(costs),
        _member(costs),
        _timeline(costs),
        _leader(costs),
        _replica(costs),
        _ledger(costs),
    ]


def _entry(costs: Costs) -> RoleCost:
    requests = sizes.NODE_REQUESTS_PER_S
    permit_bytes = costs.at("permit messages of all requests", "bytes", requests)
    renewal_bytes = costs.at("entry: one renewal of permits", "bytes")
    request_ms = costs.at("entry and scheduler: a whole request", "us") / 1000
    tick_ms = costs.at("entry: one tick", "us") / 1000
    return RoleCost(
        "entry",
        "every node",
        f"{sizes.NODE_ACTIVE_REQUESTS:.0f} requests in progress",
        3 * requests + RENEWALS_PER_S,
        permit_bytes + RENEWALS_PER_S * renewal_bytes,
        requests * request_ms + TICKS_PER_S * tick_ms,
        costs.at("entry: requests in memory", "bytes"),
    )


def _directory(costs: Costs) -> RoleCost:
    answers = sizes.NODE_REQUESTS_PER_S
    answer_ms = costs.at("directory: one answer", "us") / 1000
    return RoleCost(
        "directory (one question a request)",
        "every node",
        "load of the nodes",
        2 * answers,
        answers * costs.at("directory: one answer", "bytes"),
        answers * (answer_ms + HTTP_REQUEST_CPU_MS),
        costs.at("directory: loads in memory", "bytes"),
    )


def _scheduler(costs: Costs) -> RoleCost:
    requests = sizes.POOL_REQUESTS_PER_S
    reports = sizes.POOL_TARGETS * REPORTS_PER_S
    report_bytes = costs.at("a target's report", "bytes")
    grant_ms = costs.at("scheduler: grant and release", "us") / 1000
    report_ms = costs.at("scheduler: a target's report", "us") / 1000
    tick_ms = costs.at("scheduler: one tick", "us") / 1000
    permit_bytes = costs.at("permit messages of all requests", "bytes", requests)
    return RoleCost(
        "pool scheduler (one pool)",
        f"{sizes.POOLS} of {sizes.NODES} nodes",
        f"{sizes.POOL_TARGETS:.0f} targets",
        3 * requests + reports,
        permit_bytes + reports * report_bytes,
        requests * grant_ms + reports * (report_ms + LINK_BATCH_CPU_MS / 2) + TICKS_PER_S * tick_ms,
        costs.at("scheduler: pool in memory", "bytes"),
    )


def _announcements(costs: Costs) -> RoleCost:
    reports = sizes.NODE_TARGETS * REPORTS_PER_S
    return RoleCost(
        "target announcements",
        "every node",
        "none; forwarded",
        2 * reports,
        2 * reports * costs.at("a target's report", "bytes"),
        reports * (HTTP_REQUEST_CPU_MS + LINK_BATCH_CPU_MS / 2),
        0.0,
    )


def _limits(costs: Costs) -> RoleCost:
    requests = sizes.NODE_REQUESTS_PER_S
    active_requests = sizes.NODE_ACTIVE_REQUESTS
    ask = ("limits: an ask and its answer", "bytes")
    asks_bytes = requests * costs.at(*ask, size=SUBJECTS_PER_REQUEST)
    tick_ms = costs.at("entry and keeper: one tick", "us") / 1000
    tick_without_limits_ms = costs.at("entry: one tick", "us") / 1000
    return RoleCost(
        "limits, at the entry",
        "every node",
        f"shares of {active_requests:.0f} customers",
        2 * SUBJECTS_PER_REQUEST * requests + 2 * VOTER_COUNT,
        asks_bytes + RENEWALS_PER_S * costs.at(*ask, size=active_requests),
        TICKS_PER_S * max(0.0, tick_ms - tick_without_limits_ms),
        0.0,
    )


def _limit_owner(costs: Costs) -> RoleCost:
    asks = SUBJECTS_PER_REQUEST * sizes.REQUESTS_PER_S / VOTER_COUNT
    renewals = RENEWALS_PER_S * sizes.NODE_ACTIVE_REQUESTS * sizes.NODES / VOTER_COUNT
    ask = ("limits: an ask and its answer", "bytes")
    asks_bytes = asks * costs.at(*ask, size=1)
    renewal_bytes = sizes.NODES * costs.at(*ask, size=sizes.NODE_ACTIVE_REQUESTS / VOTER_COUNT)
    loan_ms = costs.at("keeper: one loan", "us") / 1000
    return RoleCost(
        "limits, at the keeper",
        f"{VOTER_COUNT} control hosts",
        f"{sizes.CUSTOMERS // VOTER_COUNT:,} accounts at most",
        2 * (asks + sizes.NODES),
        asks_bytes + RENEWALS_PER_S * renewal_bytes,
        (asks + renewals) * loan_ms + asks * LINK_BATCH_CPU_MS,
        costs.at("keeper: accounts in memory", "bytes", sizes.CUSTOMERS / VOTER_COUNT),
    )


def _member(costs: Costs) -> RoleCost:
    change_bytes = costs.at("node: delta of a changed team", "bytes")
    ack_bytes = costs.at("leader: answer to a heartbeat", "bytes")
    apply_ms = costs.at("node: apply a small change", "us") / 1000
    heartbeat_ms = HEARTBEATS_PER_S * LINK_BATCH_CPU_MS
    return RoleCost(
        "member: lease and declarations",
        "every node",
        f"{sizes.CUSTOMERS:,} customers",
        2 * HEARTBEATS_PER_S + 2 * sizes.CHANGES_PER_S,
        HEARTBEATS_PER_S * ack_bytes + sizes.CHANGES_PER_S * change_bytes,
        heartbeat_ms + sizes.CHANGES_PER_S * apply_ms,
        costs.at("node: view in memory", "bytes"),
    )


def _timeline(costs: Costs) -> RoleCost:
    events = EVENTS_PER_REQUEST * sizes.NODE_REQUESTS_PER_S
    return RoleCost(
        "time line",
        "every node",
        "20,000 events",
        0.0,
        0.0,
        events * costs.at("time line: one event", "us") / 1000,
        costs.at("time line: buffer", "bytes"),
    )


def _leader(costs: Costs) -> RoleCost:
    heartbeats = sizes.NODES * HEARTBEATS_PER_S
    ack_bytes = costs.at("leader: answer to a heartbeat", "bytes")
    change_bytes = sizes.NODES * costs.at("node: delta of a changed team", "bytes")
    return RoleCost(
        "leader",
        "one control host",
        f"{sizes.NODES} sessions",
        2 * heartbeats + 2 * sizes.NODES * sizes.CHANGES_PER_S,
        heartbeats * ack_bytes + sizes.CHANGES_PER_S * change_bytes,
        heartbeats * costs.at("leader: one heartbeat", "us") / 1000.0
        + TICKS_PER_S * costs.at("leader: one tick", "us") / 1000.0
        + sizes.CHANGES_PER_S * costs.at("leader: a change to all nodes", "us") / 1000.0
        + 2 * heartbeats * LINK_BATCH_CPU_MS,
        costs.at("node: view in memory", "bytes"),
    )


def _replica(costs: Costs) -> RoleCost:
    entries = sizes.CHANGES_PER_S + 2 * LEDGER_CALLS_PER_S
    entry_bytes = costs.at("leader: append to a voter", "bytes", 1.0)
    team_bytes = costs.at("node: delta of a changed team", "bytes")
    bytes_ = 2 * LEDGER_CALLS_PER_S * entry_bytes + sizes.CHANGES_PER_S * team_bytes
    command_ms = costs.at("leader: a ledger command", "us") / 1000
    return RoleCost(
        "control replica",
        f"{VOTER_COUNT} control hosts",
        "the log and the view",
        2 * entries,
        bytes_,
        entries * (command_ms + LINK_BATCH_CPU_MS),
        costs.at("node: view in memory", "bytes"),
    )


def _ledger(costs: Costs) -> RoleCost:
    command_ms = costs.at("leader: a ledger command", "us") / 1000
    commands = 2 * LEDGER_CALLS_PER_S
    return RoleCost(
        f"ledger ({LEDGER_CALLS_PER_S:g} calls a second)",
        "voters",
        "kept calls up to their bound",
        2 * commands,
        VOTER_COUNT * commands * costs.at("leader: append to a voter", "bytes", 1.0),
        commands * command_ms,
        costs.at("voter: ledger in memory", "bytes"),
    )
