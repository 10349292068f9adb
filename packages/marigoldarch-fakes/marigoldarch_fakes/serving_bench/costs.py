"""Measures the processor time of an entry's decisions and reports.

Run it with `python -m marigoldarch_fakes.serving_bench.costs`.
"""

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

TARGET_COUNTS = (16, 50, 200, 800)
ENGINE_SPEC = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
SHORT_REQUEST = PlacementRequest(5000, 1300, 300.0, 10_000.0, 250.0, 2000.0)
LONG_REQUEST = PlacementRequest(182_000, 650, 3000.0, 15_000.0, 1000.0, 12_000.0)
ATTEMPT = RunningAttempt(0, 1, (1, 2, 3), 100.0, 5000, 0, 250.0, 300.0, False)
MIN_MEASURE_S = 0.2


def measure_cpu_us(action: Callable[[], object]) -> float:
    """Return the mean processor time of an action in microseconds.

    The action is repeated for `MIN_MEASURE_S` of processor time.
    """
    count = 0
    began_ns = time.process_time_ns()
    while time.process_time_ns() - began_ns < MIN_MEASURE_S * 1e9:
        action()
        count += 1
    return (time.process_time_ns() - began_ns) / count / 1000.0


def make_targets(count: int) -> list[Target]:
    """Return `count` targets of one service."""
    return [
        Target(f"i-{n}", 0, 1, "engines", f"10.0.{n // 250}.{n % 250}:80", "dc1", 8, False)
        for n in range(count)
    ]


def placement_cpu_us(request: PlacementRequest, count: int) -> float:
    """Return the microseconds of a placement on `count` targets, each with two streams."""
    placer = EnginePlacer(ENGINE_SPEC, PlacementWeights())
    candidates: list[Candidate] = []
    for number, target in enumerate(make_targets(count)):
        load = TargetLoad()
        for stream in range(2):
            load.running[("e", stream)] = ATTEMPT
        candidates.append(Candidate(target, load, 1.0, True, False, number / count))
    return measure_cpu_us(lambda: placer.place(request, candidates, 0.0))


def report_cpu_us() -> tuple[float, float, int]:
    """Return the microseconds to receive and to encode a work report, and its size in bytes."""
    clock = ManualClock()
    budget = RetryBudgetSettings()
    board = SharedWorkload("10.0.0.1:7340", 1, clock, budget)
    peer = SharedWorkload("10.0.0.2:7340", 2, clock, budget)
    peer.start(ATTEMPT)
    data = trio.run(peer.next_report).whole
    decoder = msgspec.msgpack.Decoder(WorkReport)
    serial = 0

    def receive_report() -> None:
        nonlocal serial
        serial += 1
        report = decoder.decode(data)
        board.receive(msgspec.structs.replace(report, serial=serial, ended=[1]))

    report = decoder.decode(data)
    return (
        measure_cpu_us(receive_report),
        measure_cpu_us(lambda: msgspec.msgpack.encode(report)),
        len(data),
    )


def renewal_cpu_us(count: int) -> float:
    """Return the microseconds that a control host with `count` targets needs for a renewal."""
    registry = TargetRegistry()
    targets = make_targets(count)
    for target in targets:
        registry.record_announcement(target, 0.0)
    serial = 1

    def renew() -> None:
        nonlocal serial
        serial += 1
        registry.record_announcement(targets[serial % count]._replace(serial=serial), float(serial))

    return measure_cpu_us(renew)


def target_change_cpu_us(count: int) -> float:
    """Return the microseconds that an entry with `count` targets needs for a changed target.

    The entry merges the views of three control hosts.
    """
    view = MergedTargetView()
    targets = make_targets(count)
    for host in ("c1", "c2", "c3"):
        view.connect(host)
        for target in targets:
            view.update_target(host, target)
        view.mark_complete(host)
    serial = 1

    def change() -> None:
        nonlocal serial
        serial += 1
        view.update_target(
            "c1", targets[serial % count]._replace(serial=serial, slots=serial % 7 + 1)
        )

    return measure_cpu_us(change)


def main() -> None:
    """Print the processor times by the number of targets."""
    print(f"{'targets':>8} {'short us':>9} {'long us':>9} {'renewal us':>11} {'change us':>10}")
    for count in TARGET_COUNTS:
        print(
            f"{count:8} {placement_cpu_us(SHORT_REQUEST, count):9.0f} "
            f"{placement_cpu_us(LONG_REQUEST, count):9.0f} "
            f"{renewal_cpu_us(count):11.1f} {target_change_cpu_us(count):10.0f}"
        )
    receive_us, encode_us, size_bytes = report_cpu_us()
    print(
        f"a work report with one started attempt: {size_bytes} bytes, "
        f"encoded in {encode_us:.1f} us, received in {receive_us:.1f} us"
    )


if __name__ == "__main__":
    main()
