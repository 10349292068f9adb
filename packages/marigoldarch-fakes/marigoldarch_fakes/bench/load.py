"""The generated load of the benchmark: deployments, length classes and arrivals, by seed."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens
from marigoldarch_fakes.bench.engine import EngineModelSettings


class LengthClass(NamedTuple):
    """Requests with prompts of similar length, and their share of all requests.

    Prompt lengths are log-uniform in `[low_tokens, high_tokens)`. `output_tokens` is the mean
    length of the answers. `rank` 0 is the most urgent. The whole answer is due `time_limit_ms`
    after the request's arrival.
    """

    name: str
    share: float
    low_tokens: int
    high_tokens: int
    output_tokens: int
    rank: int
    time_limit_ms: Millis

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
"""Quiz answers, coaching role-plays, course binders and the largest binders."""

VETTING_CLASSES = (
    LengthClass("1k-4k", 0.60, 1_000, 4_000, 128, 0, 3_600_000.0),
    LengthClass("4k-16k", 0.25, 4_000, 16_000, 256, 0, 3_600_000.0),
    LengthClass("16k-100k", 0.13, 16_000, 100_000, 512, 1, 28_800_000.0),
    LengthClass("100k-1M", 0.02, 100_000, 1_000_000, 512, 2, 86_400_000.0),
)
"""Quick checks due within 1 hour, dossiers within 8 hours, registry sweeps within a day."""


class Deployment(NamedTuple):
    """A fleet of one model over three data centres: its size, its customers and its request mix."""

    name: str
    replicas: int
    entry_hosts: int
    customers: int
    classes: tuple[LengthClass, ...]
    engine: EngineModelSettings = EngineModelSettings()

    def requests_per_s(self, load: float) -> float:
        """Return the arrival rate that uses `load` of the fleet's capacity.

        The capacity is that of engines that never idle and prefill a full chunk in every step, so
        that decoding adds no steps of its own. Cached prefixes are not taken into account.
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
"""The share of requests that come from the large customers."""

PREFIXES_PER_CUSTOMER = 20
SHARED_PREFIX_SHARE = 0.25
"""The share of prompts that begin with one of their customer's shared prefixes."""

SHARED_PREFIX_POSITIONS = 6
"""How many lengths of a shared prefix are named: 512, 1024 and so on to 16,384 tokens. A prompt has
only those of at most half its length."""


class Job(NamedTuple):
    """One request of the load.

    `prefix` names the prefixes that its prompt shares with others, the shortest first; `entry` is
    the number of the entry host that receives it.
    """

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
        """Return the instant at which the whole answer is due."""
        return self.arrival_ms + self.length_class.time_limit_ms

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache memory that the request needs, in tokens."""
        return self.prompt_tokens + self.output_tokens


def generate_jobs(deployment: Deployment, load: float, seed: int, duration_ms: Millis) -> list[Job]:
    """Generate requests whose arrivals are a Poisson process of `duration_ms`."""
    rng = random.Random(f"{deployment.name}/{load}/{seed}")
    rate_per_ms = deployment.requests_per_s(load) / 1000.0
    shares = [item.share for item in deployment.classes]
    jobs: list[Job] = []
    now_ms = rng.expovariate(rate_per_ms)
    while now_ms < duration_ms:
        length_class = rng.choices(deployment.classes, shares)[0]
        jobs.append(_generate_job(deployment, length_class, len(jobs), now_ms, rng))
        now_ms += rng.expovariate(rate_per_ms)
    return jobs


def _generate_job(
    deployment: Deployment,
    length_class: LengthClass,
    number: int,
    arrival_ms: Millis,
    rng: random.Random,
) -> Job:
    low, high = length_class.low_tokens, length_class.high_tokens
    prompt_tokens = int(math.exp(rng.uniform(math.log(low), math.log(high))))
    customer = _choose_customer(deployment, rng)
    prefix: tuple[str, ...] = ()
    if rng.random() < SHARED_PREFIX_SHARE:
        shared_text = f"{customer}.{rng.randrange(PREFIXES_PER_CUSTOMER)}"
        prefix = tuple(
            f"{shared_text}.{position}"
            for position in range(SHARED_PREFIX_POSITIONS)
            if prefix_tokens(position) <= prompt_tokens // 2
        )
    return Job(
        f"r{number}",
        arrival_ms,
        rng.randrange(deployment.entry_hosts),
        customer,
        length_class,
        prompt_tokens,
        max(1, int(rng.uniform(0.5, 1.5) * length_class.output_tokens)),
        prefix,
    )


def _choose_customer(deployment: Deployment, rng: random.Random) -> str:
    if rng.random() < LARGE_CUSTOMER_SHARE:
        return f"c{rng.randrange(LARGE_CUSTOMERS)}"
    return f"c{rng.randrange(LARGE_CUSTOMERS, deployment.customers)}"
