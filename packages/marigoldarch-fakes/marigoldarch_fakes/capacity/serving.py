"""Slopes of serving requests: schedulers, entries, the directory and target announcements."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from marigoldarch.effects import CallTarget, Send
from marigoldarch.entry.directory import order_addresses
from marigoldarch.events import CallArrived, CallInfo, TargetAnnounced, TargetAnswered
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    HeldPermit,
    NodeLoad,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    TargetReport,
    WorkItem,
)
from marigoldarch.settings import ControlSettings
from marigoldarch.targets import Announcement, TargetLoad
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import commit_declaration, make_declaration
from marigoldarch_fakes.capacity.core import (
    CoreDriver,
    encode,
    message_cpu_time_us,
    min_cpu_time_us,
    node_address,
    retained_bytes,
    sent_bytes,
)
from marigoldarch_fakes.capacity.slopes import Measurement

TARGET_COUNTS = (20, 40, 80, 160)
REQUEST_COUNTS = (50, 100, 200, 400)
STREAM_COUNTS = (10, 20, 40, 80)
NODE_COUNTS = (40, 80, 160, 320)
TIMED_RUNS = 40
EXTRA_ENGINES = 64
"""Engines beyond one per request; a scheduler limits the prefill that an engine gets at once."""
POOL = PoolId("dc00", "model0")
MAX_KNOWN_NODES = ControlSettings().directory_nodes
"""The most nodes that a node knows, however large the installation is."""

RECOVERY_WAIT_MS = 3000.0
PREFILL_MS = 100.0
"""Time between requests, enough for an engine to prefill the previous prompt."""

STREAMS_PER_TARGET = sizes.REQUESTS_PER_S * sizes.REQUEST_SECONDS / sizes.TARGETS


def make_announcement(number: int, streams: int = 10) -> Announcement:
    """Return the announcement of an engine that runs this many streams."""
    return Announcement(
        f"engine{number:05}",
        "run1",
        "engine",
        POOL.name,
        f"10.9.{number // 250}.{number % 250}:21001",
        POOL.data_centre,
        ttl_ms=60_000.0,
        memory_tokens=1_000_000,
        versions=("1",),
        load=TargetLoad(streams, 0, streams * 1000),
        holdings=(),
    )


def make_item(number: int) -> WorkItem:
    """Return a short request as the scheduler sees it."""
    return WorkItem(
        f"req-{number:032}",
        1,
        "guild-customer1",
        "guild",
        "quiz",
        0,
        1.0,
        1000,
        int(sizes.REQUEST_TOKENS),
        60_000.0,
        "model0",
    )


def make_pool_scheduler(targets: int) -> CoreDriver:
    """Return a node that schedules a pool of `targets` engines and is ready to grant permits."""
    driver = CoreDriver(2)
    commit_declaration(driver, "guild", 10)
    announce_pool(driver, targets)
    return driver


def announce_pool(driver: CoreDriver, targets: int) -> None:
    """Announce engines until their scheduler has recovered and can grant permits."""
    for _ in range(2):
        for number in range(targets):
            driver.submit(TargetAnnounced(driver.now_ms, make_announcement(number)))
        driver.advance(RECOVERY_WAIT_MS)


def _report_time_us(targets: int) -> float:
    driver = make_pool_scheduler(targets)
    report = TargetReport(POOL, msgspec.to_builtins(make_announcement(3)))
    return min(message_cpu_time_us(driver, "node0001", report) for _ in range(TIMED_RUNS))


def _grant_time_us(targets: int) -> float:
    driver = make_pool_scheduler(targets)
    times_us: list[float] = []
    for number in range(TIMED_RUNS):
        request = PermitRequest(POOL, make_item(number))
        request_us = message_cpu_time_us(driver, "node0001", request)
        (permit,) = _permits(driver)
        released = PermitReleased(POOL, make_item(number).request_id, 1, permit)
        times_us.append(request_us + message_cpu_time_us(driver, "node0001", released))
    return min(times_us)


def _permits(driver: CoreDriver) -> list[Any]:
    return list(driver.state.pools.schedulers[POOL].permits)


def _scheduler_tick_time_us(targets: int) -> float:
    driver = make_pool_scheduler(targets)
    return min_cpu_time_us(lambda: driver.advance(50.0), TIMED_RUNS)


def _permit_bytes(requests: int) -> float:
    """Return the total bytes of the permit requests, grants and releases of all requests."""
    driver = make_pool_scheduler(requests + EXTRA_ENGINES)
    total = 0
    for number in range(requests):
        request = PermitRequest(POOL, make_item(number))
        granted = driver.arrive("node0001", request)
        permit = next(e.message.permit for e in granted if isinstance(e, Send))
        released = PermitReleased(POOL, make_item(number).request_id, 1, permit)
        total += len(encode(request)) + sent_bytes(granted) + len(encode(released))
        driver.arrive("node0001", released)
        driver.advance(PREFILL_MS)
    return total


def make_entry(requests: int) -> CoreDriver:
    """Return a node with `requests` requests in progress, each sent to an engine."""
    driver = make_pool_scheduler(requests + EXTRA_ENGINES)
    for number in range(requests):
        driver.submit(CallArrived(driver.now_ms, make_call(number)))
        driver.advance(PREFILL_MS)
    return driver


def make_call(number: int) -> CallInfo:
    """Return a call with a short prompt."""
    declared = make_declaration("guild", 2)["customers"]["guild-customer1"]
    return CallInfo(
        f"req-{number:032}",
        declared["key_sha256"][0],
        "quiz",
        "model0",
        prompt_tokens=1000,
        output_tokens=int(sizes.REQUEST_TOKENS),
    )


def _request_time_us(requests: int) -> float:
    """Return the median processor time of a whole request, entry and scheduler together."""
    driver = make_entry(requests)
    times_us: list[float] = []
    for number in range(10**6, 10**6 + TIMED_RUNS):
        driver.advance(PREFILL_MS)
        call = make_call(number)
        times_us.append(min_cpu_time_us(lambda call=call: _run_call(driver, call), 1, repeats=1))
    return sorted(times_us)[TIMED_RUNS // 2]


def _run_call(driver: CoreDriver, call: CallInfo) -> None:
    effects = driver.submit(CallArrived(driver.now_ms, call))
    if not any(isinstance(effect, CallTarget) for effect in effects):
        raise RuntimeError(f"request {call.request_id} was not sent to a target")
    driver.submit(TargetAnswered(driver.now_ms, call.request_id, 1, 10))


def _entry_tick_time_us(requests: int) -> float:
    driver = make_entry(requests)
    return min_cpu_time_us(lambda: driver.advance(50.0), TIMED_RUNS)


def _renewal_bytes(requests: int) -> float:
    """Return the bytes of one message that renews all permits of an entry."""
    permits = [PermitId(120_000, number) for number in range(requests)]
    return len(encode(PermitsHeld(POOL, 1, [], permits)))


def _recovery_bytes(requests: int) -> float:
    """Return the bytes of the message that reports all permits of an entry to a new scheduler."""
    targets = [TargetAddress("engine00001", "run1", "10.9.0.1:21001")]
    held = [
        HeldPermit(PermitId(120_000, number), make_item(number), targets)
        for number in range(requests)
    ]
    return len(encode(PermitsHeld(POOL, 1, held)))


def _announcement_bytes(streams: int) -> float:
    holdings = tuple(f"{120_000 + number}-{number * 1000}" for number in range(streams))
    announcement = msgspec.structs.replace(make_announcement(3, streams), holdings=holdings)
    return len(encode(TargetReport(POOL, msgspec.to_builtins(announcement))))


def _make_loads(nodes: int) -> list[NodeLoad]:
    return [NodeLoad(node_address(number), number % 50, False) for number in range(nodes)]


def _directory_time_us(nodes: int) -> float:
    loads = _make_loads(nodes)
    rng = random.Random(1)
    return min_cpu_time_us(lambda: order_addresses(loads, "dc03", 2000.0, rng), TIMED_RUNS)


def _directory_bytes(nodes: int) -> float:
    answer = order_addresses(_make_loads(nodes), "dc03", 2000.0, random.Random(1))
    return len(msgspec.json.encode(answer._asdict()))


SERVING = (
    Measurement(
        "scheduler: a target's report",
        "targets",
        "us",
        TARGET_COUNTS,
        sizes.POOL_TARGETS,
        _report_time_us,
    ),
    Measurement(
        "scheduler: grant and release",
        "targets",
        "us",
        TARGET_COUNTS,
        sizes.POOL_TARGETS,
        _grant_time_us,
    ),
    Measurement(
        "scheduler: one tick",
        "targets",
        "us",
        TARGET_COUNTS,
        sizes.POOL_TARGETS,
        _scheduler_tick_time_us,
    ),
    Measurement(
        "permit messages of all requests",
        "requests",
        "bytes",
        REQUEST_COUNTS,
        sizes.NODE_REQUESTS_PER_S,
        _permit_bytes,
    ),
    Measurement(
        "entry and scheduler: a whole request",
        "requests in progress",
        "us",
        REQUEST_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _request_time_us,
    ),
    Measurement(
        "entry: one tick",
        "requests in progress",
        "us",
        REQUEST_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _entry_tick_time_us,
    ),
    Measurement(
        "entry: one renewal of permits",
        "requests in progress",
        "bytes",
        REQUEST_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _renewal_bytes,
    ),
    Measurement(
        "entry: permits for a new scheduler",
        "requests in progress",
        "bytes",
        REQUEST_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _recovery_bytes,
    ),
    Measurement(
        "entry: requests in memory",
        "requests in progress",
        "bytes",
        REQUEST_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        lambda count: retained_bytes(lambda: make_entry(count)),
    ),
    Measurement(
        "scheduler: pool in memory",
        "targets",
        "bytes",
        TARGET_COUNTS,
        sizes.POOL_TARGETS,
        lambda count: retained_bytes(lambda: make_pool_scheduler(count)),
    ),
    Measurement(
        "directory: loads in memory",
        "nodes",
        "bytes",
        NODE_COUNTS,
        MAX_KNOWN_NODES,
        lambda count: retained_bytes(lambda: _make_loads(count)),
    ),
    Measurement(
        "a target's report",
        "streams on the target",
        "bytes",
        STREAM_COUNTS,
        STREAMS_PER_TARGET,
        _announcement_bytes,
    ),
    Measurement(
        "directory: one answer", "nodes", "us", NODE_COUNTS, MAX_KNOWN_NODES, _directory_time_us
    ),
    Measurement(
        "directory: one answer", "nodes", "bytes", NODE_COUNTS, MAX_KNOWN_NODES, _directory_bytes
    ),
)
"""All measurements of serving requests."""
