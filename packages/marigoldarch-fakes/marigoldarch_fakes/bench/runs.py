"""The runs of the benchmark: each policy under each load, and its short requests alone."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.pools.scheduler import PoolScheduler
from marigoldarch.settings import PoolSettings
from marigoldarch_fakes.bench.baselines import BASELINES, BaselinePolicy
from marigoldarch_fakes.bench.greedy import GreedyScheduler
from marigoldarch_fakes.bench.load import DEPLOYMENTS, Deployment, Job, generate_jobs
from marigoldarch_fakes.bench.scheduler_policy import SchedulerPolicy
from marigoldarch_fakes.bench.simulation import Outcome, Policy, Simulation

GREEDY = "previous version"
POOL_SCHEDULER = "ours"
POOL_SCHEDULER_ALL_LENGTHS = "ours, all lengths"
POOL_SCHEDULER_SHORT_FIRST = "ours, short first"
SHORT_WEIGHTS = {
    POOL_SCHEDULER: PoolSettings().short_weight,
    POOL_SCHEDULER_ALL_LENGTHS: 0.0,
    POOL_SCHEDULER_SHORT_FIRST: 1.0,
}
"""The setting `short_weight` of the pool scheduler, by policy."""

POLICIES = (*BASELINES, GREEDY, *SHORT_WEIGHTS)
LOADS = (0.5, 0.8, 0.95, 1.2)
SEEDS = (1, 2, 3, 4, 5)
DURATION_MS: Millis = 150_000.0
TICK_MS: Millis = 50.0
PROCESSES = 5
"""The number of worker processes, each with one run at a time."""


class Run(NamedTuple):
    """One run: a deployment, a policy, a load, a seed, and settings of the pool scheduler.

    `load` is the share of the capacity of the deployment. `options` are fields of `PoolSettings`.
    """

    deployment: str
    policy: str
    load: float
    seed: int
    duration_ms: Millis = DURATION_MS
    options: dict[str, Any] = {}


class RunResult(NamedTuple):
    """The results of one run; times are in milliseconds, and dictionaries are by length class.

    `ttft_ms` are the times to first token. A request without a first token counts with the time
    until its deadline if it was cut off there, else until twice the duration of the arrivals; a
    refused one does not count. A slowdown is the ratio of a short request's time under the whole
    load to its time under the short requests alone. `goodput_tokens` are the tokens of requests
    that ended before the end of the arrivals. `wrong_releases` counts orders to release the memory
    of a permit in use.
    """

    run: Run
    ttft_ms: dict[str, list[float]]
    answer_slowdowns: list[float]
    ttft_slowdowns: list[float]
    late: dict[str, int]
    refused: dict[str, int]
    requests: int
    goodput_tokens: int
    restarts: int
    wrong_releases: int


def make_policy(run: Run, simulation: Simulation) -> Policy:
    """Return a new policy for a run."""
    if run.policy in BASELINES:
        return BaselinePolicy(run.policy, simulation, run.seed)
    if run.policy == GREEDY:
        return SchedulerPolicy(
            simulation, lambda pool, fence: GreedyScheduler(pool, fence, PoolSettings(), 0.0)
        )
    settings = PoolSettings(
        short_weight=SHORT_WEIGHTS[run.policy],
        queued_request_timeout_ms=float("inf"),
        **run.options,
    )
    return SchedulerPolicy(
        simulation, lambda pool, fence: PoolScheduler(pool, fence, settings, 0.0, 0.0)
    )


def simulate_run(run: Run) -> RunResult:
    """Simulate a run, and the same run with its short requests alone."""
    deployment = next(item for item in DEPLOYMENTS if item.name == run.deployment)
    jobs = generate_jobs(deployment, run.load, run.seed, run.duration_ms)
    short = deployment.classes[0]
    outcomes, policy = _simulate_jobs(run, deployment, jobs)
    short_only, _ = _simulate_jobs(
        run, deployment, [job for job in jobs if job.length_class is short]
    )
    arrivals_end_ms = run.duration_ms
    return RunResult(
        run,
        {
            item.name: [
                _ttft_ms(outcome, arrivals_end_ms)
                for outcome in outcomes
                if outcome.job.length_class is item and not outcome.is_refused
            ]
            for item in deployment.classes
        },
        _short_request_slowdowns(outcomes, short_only, lambda outcome: outcome.end_ms),
        _short_request_slowdowns(outcomes, short_only, lambda outcome: outcome.first_token_ms),
        _count_by_class(deployment, outcomes, lambda outcome: outcome.is_late),
        _count_by_class(deployment, outcomes, lambda outcome: outcome.is_refused),
        len(jobs),
        sum(o.job.memory_tokens for o in outcomes if o.end_ms and o.end_ms <= arrivals_end_ms),
        sum(outcome.restarts for outcome in outcomes),
        getattr(policy, "wrong_releases", 0),
    )


def simulate_all(runs: list[Run]) -> list[RunResult]:
    """Simulate runs in worker processes, and return their results in order."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(simulate_run, runs, chunksize=2))


def _simulate_jobs(
    run: Run, deployment: Deployment, jobs: list[Job]
) -> tuple[list[Outcome], Policy]:
    simulation = Simulation(deployment, jobs, run.duration_ms)
    policy = make_policy(run, simulation)
    return simulation.run(policy, TICK_MS), policy


def _ttft_ms(outcome: Outcome, arrivals_end_ms: Millis) -> float:
    first_token_ms = outcome.first_token_ms
    if first_token_ms is None:
        first_token_ms = outcome.job.deadline_ms if outcome.is_late else 2 * arrivals_end_ms
    return first_token_ms - outcome.job.arrival_ms


def _short_request_slowdowns(
    mixed: list[Outcome], short_only: list[Outcome], instant_of: Callable[[Outcome], Millis | None]
) -> list[float]:
    """Return the slowdown of each short request until the instant that `instant_of` returns.

    It is infinite if the request did not get there under the mixed load. A request that was refused
    there, or did not get there alone, is left out.
    """
    by_request = {outcome.job.request_id: outcome for outcome in mixed}
    slowdowns: list[float] = []
    for alone in short_only:
        outcome = by_request[alone.job.request_id]
        alone_end_ms = instant_of(alone)
        if outcome.is_refused or alone_end_ms is None:
            continue
        mixed_end_ms = instant_of(outcome)
        arrival_ms = alone.job.arrival_ms
        is_done = mixed_end_ms is not None
        slowdowns.append(
            (mixed_end_ms - arrival_ms) / (alone_end_ms - arrival_ms) if is_done else float("inf")
        )
    return slowdowns


def _count_by_class(
    deployment: Deployment, outcomes: list[Outcome], is_counted: Callable[[Outcome], bool]
) -> dict[str, int]:
    return {
        item.name: sum(is_counted(o) for o in outcomes if o.job.length_class is item)
        for item in deployment.classes
    }
