"""The seeded load of the bench: deployments, length classes and arrivals."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens
from marigoldarch_fakes.bench.engine import EngineModelSettings


class LengthClass(NamedTuple):
    """Prompts of similar length, as one kind of work.

    Prompt lengths are log-uniform in `[low_tokens, high_tokens)`; `share` is of all requests.
    """

    name: str
    share: float
    low_tokens: int
    high_tokens: int
    output_tokens: int
    rank: int
    deadline_ms: Millis

    @property
    def mean_tokens(self) -> float:
        """Return the mean prompt length."""
        return (self.high_tokens - self.low_tokens) / math.log(self.high_tokens / self.low_tokens)


GUILD_CLASSES = (
    LengthClass("1k-4k", 0.60, 1_000, 4_000, 128, 0, 15_000.0),
    LengthClass("4k-16k", 0.25, 4_000, 16_000, 256, 1, 60_000.0),
    LengthClass("16k-100k", 0.13, 16_000, 100_000, 512, 2, 600_000.0),
    LengthClass("100k-1M", 0.02, 100_000, 1_000_000, 512, 2, 1_800_000.0),
)
"""Quiz answers, coaching role-plays, course binders, and the largest binders."""

VETTING_CLASSES = (
    LengthClass("1k-4k", 0.60, 1_000, 4_000, 128, 0, 3_600_000.0),
    LengthClass("4k-16k", 0.25, 4_000, 16_000, 256, 0, 3_600_000.0),
    LengthClass("16k-100k", 0.13, 16_000, 100_000, 512, 1, 28_800_000.0),
    LengthClass("100k-1M", 0.02, 100_000, 1_000_000, 512, 2, 86_400_000.0),
)
"""Quick checks within the hour, dossiers by evening, registry sweeps by the next day."""


class Deployment(NamedTuple):
    """A fleet of one model over three data centres, with its entry hosts and customers."""

    name: str
    replicas: int
    entries: int
    customers: int
    classes: tuple[LengthClass, ...]
    engine: EngineModelSettings = EngineModelSettings()

    def requests_per_s(self, load: float) -> float:
        """Return the arrival rate that uses `load` of the fleet's capacity.

        Capacity is that of engines which never idle and always fill their prefill chunks, so that
        decode steps ride along; no cached prefix is counted.
        """
        engine = self.engine
        token_ms = engine.prefill_token_ms + engine.step_ms / engine.chunk_tokens
        request_ms = sum(
            item.share * (item.mean_tokens * token_ms + item.output_tokens * engine.decode_token_ms)
            for item in self.classes
        )
        return load * self.replicas * 1000.0 / request_ms


GUILD = Deployment("guild", 16, 6, 10, GUILD_CLASSES)
VETTING = Deployment("vetting", 23, 9, 10, VETTING_CLASSES)
DEPLOYMENTS = (GUILD, VETTING)

LARGE_CUSTOMERS = 3
LARGE_CUSTOMER_SHARE = 0.7
PREFIXES_PER_CUSTOMER = 20
SHARED_PREFIX_SHARE = 0.25
LONGEST_SHARED_PREFIXES = 6


class Job(NamedTuple):
    """One request of the load; `prefix` names its shared beginning as entries do."""

    request_id: str
    arrival_ms: Millis
    entry: int
    customer: str
    length_class: LengthClass
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]

    @property
    def deadline_ms(self) -> Millis:
        """Return the instant by which the whole answer is due."""
        return self.arrival_ms + self.length_class.deadline_ms

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the request needs."""
        return self.prompt_tokens + self.output_tokens


def generate_jobs(deployment: Deployment, load: float, seed: int, duration_ms: Millis) -> list[Job]:
    """Generate Poisson arrivals for `duration_ms`."""
    chooser = random.Random(f"{deployment.name}/{load}/{seed}")
    rate_per_ms = deployment.requests_per_s(load) / 1000.0
    weights = [item.share for item in deployment.classes]
    jobs: list[Job] = []
    now_ms = chooser.expovariate(rate_per_ms)
    while now_ms < duration_ms:
        length_class = chooser.choices(deployment.classes, weights)[0]
        jobs.append(_generate_job(deployment, length_class, len(jobs), now_ms, chooser))
        now_ms += chooser.expovariate(rate_per_ms)
    return jobs


def _generate_job(
    deployment: Deployment,
    length_class: LengthClass,
    number: int,
    now_ms: Millis,
    chooser: random.Random,
) -> Job:
    low, high = length_class.low_tokens, length_class.high_tokens
    tokens = int(math.exp(chooser.uniform(math.log(low), math.log(high))))
    customer = _choose_customer(deployment, chooser)
    prefix: tuple[str, ...] = ()
    if chooser.random() < SHARED_PREFIX_SHARE:
        topic = f"{customer}.{chooser.randrange(PREFIXES_PER_CUSTOMER)}"
        prefix = tuple(
            f"{topic}.{position}"
            for position in range(LONGEST_SHARED_PREFIXES)
            if prefix_tokens(position) <= tokens // 2
        )
    return Job(
        f"r{number}",
        now_ms,
        chooser.randrange(deployment.entries),
        customer,
        length_class,
        tokens,
        max(1, int(chooser.uniform(0.5, 1.5) * length_class.output_tokens)),
        prefix,
    )


def _choose_customer(deployment: Deployment, chooser: random.Random) -> str:
    if chooser.random() < LARGE_CUSTOMER_SHARE:
        return f"c{chooser.randrange(LARGE_CUSTOMERS)}"
    return f"c{chooser.randrange(LARGE_CUSTOMERS, deployment.customers)}"
