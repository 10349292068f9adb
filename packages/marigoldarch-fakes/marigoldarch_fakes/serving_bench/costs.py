"""Processor time of an entry's decisions and reports: `python -m marigoldarch_fakes.serving_bench.costs`."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.placement import (
    Candidate,
    EnginePlacer,
    PlacementRequest,
    PlacementWeights,
)
from marigoldarch.serving.pool_view import RunningAttempt, TargetLoad
from marigoldarch.serving.retry_budget import RetryBudgetSettings
from marigoldarch.serving.targets import MergedTargetView, Target, TargetRegistry
from marigoldarch.serving.work_reports import WorkReport
from marigoldarch_node.serving.shared_workload import SharedWorkload

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (16, 50, 200, 800)
ENGINE = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
SHORT = PlacementRequest(5000, 1300, 300.0, 10_000.0, 250.0, 2000.0)
LONG = PlacementRequest(182_000, 650, 3000.0, 15_000.0, 1000.0, 12_000.0)
WORK = RunningAttempt(0, 1, (1, 2, 3), 100.0, 5000, 0, 250.0, 300.0, False)
LEAST_S = 0.2


def cost_us(action: Callable[[], object]) -> float:
    """Return the processor time of an action in microseconds."""
    count = 0
    began_ns = time.process_time_ns()
    while time.process_time_ns() - began_ns < LEAST_S * 1e9:
        action()
        count += 1
    return (time.process_time_ns() - began_ns) / count / 1000.0


def targets(count: int) -> list[Target]:
    """Return targets of one service."""
    return [
        Target(f"i-{n}", 0, 1, "engines", f"10.0.{n // 250}.{n % 250}:80", "dc1", 8, False)
        for n in range(count)
    ]


def placement_us(job: PlacementRequest, count: int) -> float:
    """Return the cost of one placement among `count` targets, each with two streams."""
    placer = EnginePlacer(ENGINE, PlacementWeights())
    candidates: list[Candidate] = []
    for number, target in enumerate(targets(count)):
        load = TargetLoad()
        for stream in range(2):
            load.running[("e", stream)] = WORK
        candidates.append(Candidate(target, load, 1.0, True, False, number / count))
    return cost_us(lambda: placer.place(job, candidates, 0.0))


def report_us() -> tuple[float, float, int]:
    """Return the cost of taking a report and of making one, and its bytes."""
    clock = ManualClock()
    budget = RetryBudgetSettings()
    board = SharedWorkload("10.0.0.1:7340", 1, clock, budget)
    peer = SharedWorkload("10.0.0.2:7340", 2, clock, budget)
    peer.start(WORK)
    data = trio.run(peer.next_report)
    decoder = msgspec.msgpack.Decoder(WorkReport)
    serial = 0

    def take() -> None:
        nonlocal serial
        serial += 1
        report = decoder.decode(data)
        board.receive(msgspec.structs.replace(report, serial=serial, ended=[1]))

    report = decoder.decode(data)
    return cost_us(take), cost_us(lambda: msgspec.msgpack.encode(report)), len(data)


def renewal_us(count: int) -> float:
    """Return the cost of a renewal at a control host with `count` targets."""
    registry = TargetRegistry()
    known = targets(count)
    for target in known:
        registry.record_announcement(target, 0.0)
    serial = 1

    def renew() -> None:
        nonlocal serial
        serial += 1
        registry.record_announcement(known[serial % count]._replace(serial=serial), float(serial))

    return cost_us(renew)


def change_us(count: int) -> float:
    """Return the cost of a changed target at an entry with `count` targets and three views."""
    roster = MergedTargetView()
    known = targets(count)
    for host in ("c1", "c2", "c3"):
        roster.connect(host)
        for target in known:
            roster.update_target(host, target)
        roster.mark_complete(host)
    serial = 1

    def change() -> None:
        nonlocal serial
        serial += 1
        roster.update_target(
            "c1", known[serial % count]._replace(serial=serial, slots=serial % 7 + 1)
        )

    return cost_us(change)


def main() -> None:
    """Print the costs by the number of targets."""
    print(f"{'targets':>8} {'short us':>9} {'long us':>9} {'renewal us':>11} {'change us':>10}")
    for count in SIZES:
        print(
            f"{count:8} {placement_us(SHORT, count):9.0f} {placement_us(LONG, count):9.0f} "
            f"{renewal_us(count):11.1f} {change_us(count):10.0f}"
        )
    taken, made, size = report_us()
    print(f"a report of one start: {size} bytes, made in {made:.1f} us, taken in {taken:.1f} us")


if __name__ == "__main__":
    main()
