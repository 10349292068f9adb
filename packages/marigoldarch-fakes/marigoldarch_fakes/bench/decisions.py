"""Measures the processor time of the pool scheduler's decisions, by the size of the pool."""

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

REPLICA_COUNTS = (50, 500, 5000)
QUEUE_LENGTH = 10_000
SAMPLE_COUNT = 2000
PREFILL_MS_BETWEEN_DECISIONS: Millis = 500.0
"""The prefill work that all targets together complete between two decisions."""

CUSTOMERS = 500
POOL = PoolId("dc1", "coach")
MEMORY_TOKENS = 400_000
PROMPT_LENGTHS = ((0.6, 1_000, 4_000), (0.25, 4_000, 16_000), (0.13, 16_000, 100_000))
"""Shares of the requests, each with the range of their prompt lengths in tokens."""


class DecisionCost(NamedTuple):
    """The processor time of one kind of decision, in microseconds.

    A call that grants permits counts as one decision for itself and one for each grant.
    """

    replicas: int
    decision: str
    mean_us: float
    p99_us: float


class LoadedPool:
    """A scheduler with full targets and a long queue."""

    def __init__(self, replicas: int, seed: int = 1) -> None:
        settings = PoolSettings(
            queue_limit=2 * QUEUE_LENGTH,
            customer_queue_limit=2 * QUEUE_LENGTH,
            estimate_margin=0.0,
            queued_request_timeout_ms=float("inf"),
        )
        self.rng = random.Random(seed)
        self.now_ms: Millis = 0.0
        self.scheduler = PoolScheduler(POOL, 1, settings, 0.0, 0.0)
        self.granted: list[PermitGranted] = []
        self.serial = 0
        self.grant_count = 0
        for number in range(replicas):
            self.scheduler.report_target(self._announcement(number), self.now_ms)
        while len(self.scheduler.waiting) < QUEUE_LENGTH:
            self.send_request()

    def send_request(self) -> None:
        """Send a new request to the scheduler."""
        self.serial += 1
        self.record_grants(
            self.scheduler.request("n1", PermitRequest(POOL, self._new_work_item()), self.now_ms)
        )

    def prepare_decision(self) -> None:
        """Advance the time, then send requests until the queue is long and a permit is in use."""
        self.now_ms += PREFILL_MS_BETWEEN_DECISIONS / len(self.scheduler.fleet)
        while len(self.scheduler.waiting) < QUEUE_LENGTH or not self.granted:
            self.send_request()

    def resend_request(self) -> None:
        """Resend the waiting request whose last message is the oldest."""
        waiting = next(iter(self.scheduler.waiting.values()))
        request = PermitRequest(POOL, waiting.item)
        self.record_grants(self.scheduler.request("n1", request, self.now_ms))

    def release_permit(self) -> None:
        """Release a random permit, so that waiting requests may start."""
        granted = self.granted.pop(self.rng.randrange(len(self.granted)))
        released = PermitReleased(POOL, granted.request_id, granted.attempt, granted.permit)
        self.record_grants(self.scheduler.release(released, self.now_ms))

    def report_load(self) -> None:
        """Renew a random target, with its load."""
        number = self.rng.randrange(len(self.scheduler.fleet))
        self.record_grants(self.scheduler.report_target(self._announcement(number), self.now_ms))

    def tick(self) -> None:
        """Tick the scheduler."""
        self.record_grants(self.scheduler.tick(self.now_ms))

    def record_grants(self, effects: list[Effect]) -> None:
        """Record the permits that the effects grant."""
        for effect in effects:
            match effect:
                case Send(message=PermitGranted() as granted):
                    self.granted.append(granted)
                    self.grant_count += 1

    def _new_work_item(self) -> WorkItem:
        _, low, high = self.rng.choices(PROMPT_LENGTHS, [item[0] for item in PROMPT_LENGTHS])[0]
        customer = f"c{self.rng.randrange(CUSTOMERS)}"
        tokens = self.rng.randrange(low, high)
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


def measure(replicas: int) -> list[DecisionCost]:
    """Measure every kind of decision in a pool of this many replicas."""
    pool = LoadedPool(replicas)
    decisions: dict[str, Callable[[], Any]] = {
        "queue a request": pool.send_request,
        "acknowledge a resent request": pool.resend_request,
        "release, and grant what fits": pool.release_permit,
        "take a load report": pool.report_load,
        "tick": pool.tick,
    }
    costs: list[DecisionCost] = []
    for name, decision in decisions.items():
        samples = _measure_samples(decision, pool)
        mean_us = sum(samples) / len(samples)
        costs.append(DecisionCost(replicas, name, mean_us, percentile(samples, 0.99)))
    return costs


def _measure_samples(decision: Callable[[], Any], pool: LoadedPool) -> list[float]:
    samples: list[float] = []
    gc.collect()
    gc.disable()
    try:
        for _ in range(SAMPLE_COUNT):
            pool.prepare_decision()
            earlier_grants = pool.grant_count
            began_ns = time.process_time_ns()
            decision()
            elapsed_us = (time.process_time_ns() - began_ns) / 1000.0
            samples.append(elapsed_us / (1 + pool.grant_count - earlier_grants))
    finally:
        gc.enable()
    return samples


def run(reports: str = "reports") -> None:
    """Measure pools of several sizes, print the table, and write it to the folder `reports`."""
    lines = [
        f"{QUEUE_LENGTH} queued requests of {CUSTOMERS} customers; microseconds of processor time"
    ]
    lines.append(f"{'replicas':>8}  {'decision':<32}{'mean':>8}{'p99':>8}")
    for replicas in REPLICA_COUNTS:
        for cost in measure(replicas):
            lines.append(
                f"{cost.replicas:>8}  {cost.decision:<32}{cost.mean_us:>8.1f}{cost.p99_us:>8.1f}"
            )
    table = "\n".join(lines) + "\n"
    print(table, end="")
    folder = Path(reports)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "decisions.txt").write_text(table)


if __name__ == "__main__":
    fire.Fire(run)
