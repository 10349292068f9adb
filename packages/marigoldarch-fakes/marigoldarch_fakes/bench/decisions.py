"""Measure the processor time of the scheduler's decisions by size of the pool."""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import fire

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, Send
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import PermitGranted, PermitReleased, PermitRequest, WorkItem
from marigoldarch.pools.scheduler import PoolScheduler
from marigoldarch.settings import PoolSettings
from marigoldarch.targets import Announcement, TargetLoad
from marigoldarch_fakes.bench.report import percentile

REPLICAS = (50, 500, 5000)
QUEUED = 10_000
SAMPLES = 2000
WORK_MS: Millis = 500.0
"""The prefill that passes between two decisions, over all targets."""
CUSTOMERS = 500
POOL = PoolId("dc1", "coach")
MEMORY_TOKENS = 400_000
LENGTHS = ((0.6, 1_000, 4_000), (0.25, 4_000, 16_000), (0.13, 16_000, 100_000))


class Row(NamedTuple):
    """Processor time in microseconds of one decision: a step, or a grant made in it."""

    replicas: int
    decision: str
    mean_us: float
    p99_us: float


class LoadedPool:
    """A scheduler whose targets are full and whose queue is long."""

    def __init__(self, replicas: int, seed: int = 1) -> None:
        settings = PoolSettings(
            queue_limit=2 * QUEUED,
            customer_queue_limit=2 * QUEUED,
            estimate_margin=0.0,
            queued_request_timeout_ms=float("inf"),
        )
        self.chooser = random.Random(seed)
        self.now_ms: Millis = 0.0
        self.scheduler = PoolScheduler(POOL, 1, settings, 0.0, 0.0)
        self.granted: list[PermitGranted] = []
        self.serial = 0
        self.grants = 0
        for number in range(replicas):
            self.scheduler.report_target(self._announcement(number), self.now_ms)
        while len(self.scheduler.waiting) < QUEUED:
            self.ask()

    def ask(self) -> None:
        """Send a new request."""
        self.serial += 1
        self.take(self.scheduler.request("n1", PermitRequest(POOL, self._item()), self.now_ms))

    def prepare(self) -> None:
        """Let some prefill pass, and keep the queue long and the targets in use."""
        self.now_ms += WORK_MS / len(self.scheduler.fleet)
        while len(self.scheduler.waiting) < QUEUED or not self.granted:
            self.ask()

    def ask_again(self) -> None:
        """Resend the request that was heard of the longest ago."""
        waiting = next(iter(self.scheduler.waiting.values()))
        request = PermitRequest(POOL, waiting.item)
        self.take(self.scheduler.request("n1", request, self.now_ms))

    def release(self) -> None:
        """End the oldest permits, which lets queued requests start."""
        granted = self.granted.pop(self.chooser.randrange(len(self.granted)))
        released = PermitReleased(POOL, granted.request_id, granted.attempt, granted.permit)
        self.take(self.scheduler.release(released, self.now_ms))

    def report(self) -> None:
        """Renew a target with its load."""
        number = self.chooser.randrange(len(self.scheduler.fleet))
        self.take(self.scheduler.report_target(self._announcement(number), self.now_ms))

    def tick(self) -> None:
        """Pass time."""
        self.take(self.scheduler.tick(self.now_ms))

    def take(self, effects: list[Effect]) -> None:
        """Remember the permits that were granted."""
        for effect in effects:
            match effect:
                case Send(message=PermitGranted() as granted):
                    self.granted.append(granted)
                    self.grants += 1

    def _item(self) -> WorkItem:
        _, low, high = self.chooser.choices(LENGTHS, [item[0] for item in LENGTHS])[0]
        customer = f"c{self.chooser.randrange(CUSTOMERS)}"
        tokens = self.chooser.randrange(low, high)
        return WorkItem(
            f"r{self.serial}", 1, customer, "t", "k", 0, 1.0, tokens, 256, 1e9, POOL.name
        )

    def _announcement(self, number: int) -> Announcement:
        load = TargetLoad(4, 0, MEMORY_TOKENS // 2, 10_000)
        return Announcement(
            f"e{number}",
            "i1",
            "engine",
            POOL.name,
            f"host{number}:1",
            POOL.data_centre,
            ttl_ms=60_000.0,
            memory_tokens=MEMORY_TOKENS,
            load=load,
        )


def measure(replicas: int) -> list[Row]:
    """Measure every kind of decision in a pool of `replicas`."""
    pool = LoadedPool(replicas)
    steps: dict[str, Callable[[], Any]] = {
        "queue a request": pool.ask,
        "acknowledge a resent request": pool.ask_again,
        "release, and grant what fits": pool.release,
        "take a load report": pool.report,
        "tick": pool.tick,
    }
    rows: list[Row] = []
    for name, step in steps.items():
        samples = _time(step, pool)
        mean_us = sum(samples) / len(samples)
        rows.append(Row(replicas, name, mean_us, percentile(samples, 0.99)))
    return rows


def _time(step: Callable[[], Any], pool: LoadedPool) -> list[float]:
    samples: list[float] = []
    gc.collect()
    gc.disable()
    try:
        for _ in range(SAMPLES):
            pool.prepare()
            granted = pool.grants
            begin = time.process_time_ns()
            step()
            elapsed_us = (time.process_time_ns() - begin) / 1000.0
            samples.append(elapsed_us / (1 + pool.grants - granted))
    finally:
        gc.enable()
    return samples


def run(reports: str = "reports") -> None:
    """Print the table and write it."""
    lines = [f"{QUEUED} queued requests of {CUSTOMERS} customers; microseconds of processor time"]
    lines.append(f"{'replicas':>8}  {'decision':<32}{'mean':>8}{'p99':>8}")
    for replicas in REPLICAS:
        for row in measure(replicas):
            lines.append(
                f"{row.replicas:>8}  {row.decision:<32}{row.mean_us:>8.1f}{row.p99_us:>8.1f}"
            )
    table = "\n".join(lines) + "\n"
    print(table, end="")
    folder = Path(reports)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "decisions.txt").write_text(table)


if __name__ == "__main__":
    fire.Fire(run)
