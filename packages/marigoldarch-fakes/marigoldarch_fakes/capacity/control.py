"""Slopes of the control state: heartbeats, changes, the view, the ledger and the time line."""

from __future__ import annotations

import hashlib
from typing import Any

from marigoldarch.control.commands import COMMANDS, Declare, Entry, LedgerFinish, LedgerStart
from marigoldarch.control.ledger import RECORD_OVERHEAD_BYTES, Ledger
from marigoldarch.control.view import ClusterView
from marigoldarch.effects import Effect, RecordEvent
from marigoldarch.events import DeclareRequested
from marigoldarch.messages import AppendRequest, Propose, ViewAck, ViewDelta, ViewSnapshot
from marigoldarch.settings import ControlSettings
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.core import (
    CoreDriver,
    encode,
    message_cpu_time_us,
    min_cpu_time_us,
    retained_bytes,
    sent_bytes,
)
from marigoldarch_fakes.capacity.slopes import Measurement
from marigoldarch_node.timeline.recorder import TimelineRecorder

NODE_COUNTS = (40, 80, 160, 320)
CUSTOMER_COUNTS = (500, 1000, 2000, 4000)
TEAM_CUSTOMER_COUNTS = (125, 250, 500, 1000)
LEDGER_COUNTS = (1000, 2000, 4000, 8000)
EVENT_COUNTS = (1000, 2000, 4000, 8000)
TIMED_RUNS = 40
CUSTOMERS_PER_TEAM = sizes.CUSTOMERS // sizes.TEAMS
MAX_LEDGER_RECORDS = ControlSettings().ledger_max_bytes // RECORD_OVERHEAD_BYTES
"""The most ledger records that a voter keeps, if each has the least size."""


def make_declaration(team: str, customers: int, *, has_limits: bool = False) -> dict[str, Any]:
    """Return a declaration of a team with `customers` customers, with limits if `has_limits`."""
    limits = {"rate_per_s": 5.0, "concurrency": 20} if has_limits else {}
    return {
        "team": team,
        "models": {f"model{number}": {"versions": ["1"]} for number in range(sizes.MODELS)},
        "kinds": {
            "quiz": {"rank": 0, "deadline_ms": 600_000},
            "binder": {"rank": 2, "deadline_ms": 3_600_000},
        },
        "customers": {
            f"{team}-customer{number}": {
                "key_sha256": [hashlib.sha256(f"{team}/{number}".encode()).hexdigest()],
                "kinds": ["quiz", "binder"],
                **limits,
            }
            for number in range(customers)
        },
        "services": {"gradebook": {"methods": {"post": {}, "look": {"idempotent": True}}}},
    }


def commit_declaration(
    driver: CoreDriver,
    team: str,
    customers: int,
    base_revision: int = 0,
    *,
    has_limits: bool = False,
) -> list[Effect]:
    """Commit a declaration; return the remaining effects, such as messages to other nodes."""
    change_id = f"{team}-{base_revision}-{customers}"
    return driver.submit(
        DeclareRequested(
            driver.now_ms,
            f"op-{change_id}",
            change_id,
            "ada",
            team,
            base_revision,
            make_declaration(team, customers, has_limits=has_limits),
            8000.0,
        )
    )


def _make_declare(team: str, customers: int) -> Declare:
    return Declare("c", "ada", team, 0, make_declaration(team, customers, has_limits=True))


def make_view(customers: int) -> ClusterView:
    """Return a view with `customers` customers in teams of at most `CUSTOMERS_PER_TEAM`."""
    view = ClusterView()
    revision = 0
    while customers > 0:
        revision += 1
        count = min(customers, CUSTOMERS_PER_TEAM)
        team = f"team{revision}"
        view.apply_command(revision, _make_declare(team, count))
        customers -= count
    return view


def _heartbeat_time_us(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    sender = driver.addresses[5].node
    heartbeat = driver.make_heartbeat(5)
    return min(message_cpu_time_us(driver, sender, heartbeat) for _ in range(TIMED_RUNS))


def _heartbeat_ack_bytes(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    return sent_bytes(driver.heartbeat(5))


def _change_bytes(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    return sent_bytes(commit_declaration(driver, "guild", 10))


def _change_time_us(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    return min_cpu_time_us(lambda: [encode(e.message) for e in _declare_next_revision(driver)], 1)


def _declare_next_revision(driver: CoreDriver) -> list[Any]:
    teams = driver.state.control.state_machine.view.teams
    base_revision = teams["guild"].revision if "guild" in teams else 0
    effects = commit_declaration(driver, "guild", 10, base_revision)
    return [effect for effect in effects if hasattr(effect, "message")]


def _ack_time_us(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    commit_declaration(driver, "guild", 10)
    revision = driver.state.control.state_machine.view.revision
    sender = driver.addresses[5].node
    return min(message_cpu_time_us(driver, sender, ViewAck(revision)) for _ in range(TIMED_RUNS))


def _delta_bytes(customers: int) -> float:
    driver = CoreDriver(2)
    driver.join_all()
    effects = commit_declaration(driver, "guild", customers, has_limits=True)
    return sum(
        len(encode(effect.message))
        for effect in effects
        if isinstance(getattr(effect, "message", None), ViewDelta)
    )


def _apply_time_us(customers: int) -> float:
    view = make_view(customers)
    command = _make_declare("small", 1)
    return min_cpu_time_us(lambda: view.apply_command(view.revision + 1, command), 5)


def _snapshot_bytes(customers: int) -> float:
    return len(_encode_view_snapshot(customers))


def _encode_view_snapshot(customers: int) -> bytes:
    """Return the encoded message of a view snapshot."""
    return encode(ViewSnapshot(make_view(customers).to_plain()))


def _idle_tick_time_us(nodes: int) -> float:
    driver = CoreDriver(nodes)
    driver.join_all()
    return min_cpu_time_us(lambda: driver.advance(50.0), TIMED_RUNS)


def _ledger_start(number: int) -> LedgerStart:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    key = f"key-{number:08}"
    return LedgerStart(
        "harbor", key, digest, "node0001", f"req-{digest[:32]}", "gradebook1", 10**12
    )


def _build_ledger(calls: int) -> Ledger:
    ledger = Ledger()
    for number in range(calls):
        start = _ledger_start(number)
        ledger.start(start, number)
        answer = f'{{"posted":{number}}}'
        ledger.finish(LedgerFinish(start.customer, start.key, start.request_id, answer))
    return ledger


def _ledger_time_us(calls: int) -> float:
    driver = CoreDriver(1)
    commands = [COMMANDS.to_plain(_ledger_start(number)) for number in range(calls)]
    proposals = iter(
        [Propose(f"p{number}", encoded_command) for number, encoded_command in enumerate(commands)]
    )
    return min_cpu_time_us(
        lambda: message_cpu_time_us(driver, "node0001", next(proposals)), calls // 4
    )


def _append_bytes(entries: int) -> float:
    log_entries = [Entry(n + 1, 3, COMMANDS.to_plain(_ledger_start(n))) for n in range(entries)]
    return len(encode(AppendRequest(3, 0, 3, log_entries, 0, 1234.5, "replica1")))


def _timeline_event() -> RecordEvent:
    return RecordEvent(
        "permit_granted",
        {"request": f"req-{'0' * 32}", "permit": "120-34567", "targets": ["engine1"]},
    )


def _timeline_time_us(events: int) -> float:
    recorder = TimelineRecorder("node0001")
    event = _timeline_event()
    return min_cpu_time_us(lambda: recorder.record(event, 10**12), events)


def _timeline_memory_bytes(events: int) -> float:
    def build() -> TimelineRecorder:
        recorder = TimelineRecorder("node0001")
        for _ in range(events):
            recorder.record(_timeline_event(), 10**12)
        return recorder

    return retained_bytes(build)


CONTROL = (
    Measurement(
        "leader: one heartbeat", "nodes", "us", NODE_COUNTS, sizes.NODES, _heartbeat_time_us
    ),
    Measurement(
        "leader: answer to a heartbeat",
        "nodes",
        "bytes",
        NODE_COUNTS,
        sizes.NODES,
        _heartbeat_ack_bytes,
    ),
    Measurement("leader: one tick", "nodes", "us", NODE_COUNTS, sizes.NODES, _idle_tick_time_us),
    Measurement(
        "leader: a change to all nodes", "nodes", "us", NODE_COUNTS, sizes.NODES, _change_time_us
    ),
    Measurement(
        "leader: a change of a team of 10 customers",
        "nodes",
        "bytes",
        NODE_COUNTS,
        sizes.NODES,
        _change_bytes,
    ),
    Measurement(
        "leader: one acknowledged change", "nodes", "us", NODE_COUNTS, sizes.NODES, _ack_time_us
    ),
    Measurement(
        "node: delta of a changed team",
        "customers of the team",
        "bytes",
        TEAM_CUSTOMER_COUNTS,
        CUSTOMERS_PER_TEAM,
        _delta_bytes,
    ),
    Measurement(
        "node: apply a small change",
        "customers",
        "us",
        CUSTOMER_COUNTS,
        sizes.CUSTOMERS,
        _apply_time_us,
    ),
    Measurement(
        "node: view in memory",
        "customers",
        "bytes",
        CUSTOMER_COUNTS,
        sizes.CUSTOMERS,
        lambda count: retained_bytes(lambda: make_view(count)),
    ),
    Measurement(
        "node: view snapshot",
        "customers",
        "bytes",
        CUSTOMER_COUNTS,
        sizes.CUSTOMERS,
        _snapshot_bytes,
    ),
    Measurement(
        "voter: ledger in memory",
        "finished calls",
        "bytes",
        LEDGER_COUNTS,
        MAX_LEDGER_RECORDS,
        lambda count: retained_bytes(lambda: _build_ledger(count)),
    ),
    Measurement(
        "leader: a ledger command",
        "calls kept",
        "us",
        LEDGER_COUNTS,
        MAX_LEDGER_RECORDS,
        _ledger_time_us,
    ),
    Measurement(
        "leader: append to a voter", "entries", "bytes", (1, 4, 16, 64), 256, _append_bytes
    ),
    Measurement("time line: one event", "events", "us", EVENT_COUNTS, 20_000, _timeline_time_us),
    Measurement(
        "time line: buffer", "events", "bytes", EVENT_COUNTS, 20_000, _timeline_memory_bytes
    ),
)
"""All measurements of the control state."""
