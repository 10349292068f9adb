"""The runs of the bench: each policy under each load, and the same short load alone."""

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

PREVIOUS = "previous version"
OURS = "ours"
OURS_TTFT = "ours, all lengths"
OURS_SHORT = "ours, short first"
OBJECTIVES = {OURS: PoolSettings().short_weight, OURS_TTFT: 0.0, OURS_SHORT: 1.0}
"""The objective (`short_weight`) of each setting of the scheduler."""

POLICIES = (*BASELINES, PREVIOUS, *OBJECTIVES)
LOADS = (0.5, 0.8, 0.95, 1.2)
SEEDS = (1, 2, 3, 4, 5)
DURATION_MS: Millis = 150_000.0
TICK_MS: Millis = 50.0
PROCESSES = 5


class Run(NamedTuple):
    """One cell of the bench."""

    deployment: str
    policy: str
    load: float
    seed: int
    duration_ms: Millis = DURATION_MS
    options: dict[str, Any] = {}


class RunResult(NamedTuple):
    """Samples of one run, in milliseconds; lists are by length class where they say so.

    A request without a first token counts with the time it has waited; a refused one not at all.
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
    """Build the policy that a run names."""
    if run.policy in BASELINES:
        return BaselinePolicy(run.policy, simulation, run.seed)
    if run.policy == PREVIOUS:
        return SchedulerPolicy(
            simulation, lambda pool, fence: GreedyScheduler(pool, fence, PoolSettings(), 0.0)
        )
    settings = PoolSettings(
        short_weight=OBJECTIVES[run.policy], queued_request_timeout_ms=float("inf"), **run.options
    )
    return SchedulerPolicy(
        simulation, lambda pool, fence: PoolScheduler(pool, fence, settings, 0.0, 0.0)
    )


def perform(run: Run) -> RunResult:
    """Perform one run, and the same with its short requests alone."""
    deployment = next(item for item in DEPLOYMENTS if item.name == run.deployment)
    jobs = generate_jobs(deployment, run.load, run.seed, run.duration_ms)
    short = deployment.classes[0]
    outcomes, policy = _simulate(run, deployment, jobs)
    alone, _ = _simulate(run, deployment, [job for job in jobs if job.length_class is short])
    end_ms = run.duration_ms
    return RunResult(
        run,
        {
            item.name: [
                _waited(outcome, end_ms)
                for outcome in outcomes
                if outcome.job.length_class is item and not outcome.is_refused
            ]
            for item in deployment.classes
        },
        _slowdowns(outcomes, alone, lambda outcome: outcome.end_ms),
        _slowdowns(outcomes, alone, lambda outcome: outcome.first_token_ms),
        _count(deployment, outcomes, lambda outcome: outcome.is_late),
        _count(deployment, outcomes, lambda outcome: outcome.is_refused),
        len(jobs),
        sum(o.job.memory_tokens for o in outcomes if o.end_ms and o.end_ms <= end_ms),
        sum(outcome.restarts for outcome in outcomes),
        getattr(policy, "wrong_releases", 0),
    )


def perform_all(runs: list[Run]) -> list[RunResult]:
    """Perform runs in a few processes."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(perform, runs, chunksize=2))


def _simulate(run: Run, deployment: Deployment, jobs: list[Job]) -> tuple[list[Outcome], Policy]:
    simulation = Simulation(deployment, jobs, run.duration_ms)
    policy = make_policy(run, simulation)
    return simulation.run(policy, TICK_MS), policy


def _waited(outcome: Outcome, end_ms: Millis) -> float:
    first_ms = outcome.first_token_ms
    if first_ms is None:
        first_ms = outcome.job.deadline_ms if outcome.is_late else 2 * end_ms
    return first_ms - outcome.job.arrival_ms


def _slowdowns(
    mixed: list[Outcome], alone: list[Outcome], instant: Callable[[Outcome], Millis | None]
) -> list[float]:
    """Return the slowdown of each short request; one that never came counts as infinite."""
    by_request = {outcome.job.request_id: outcome for outcome in mixed}
    slowdowns: list[float] = []
    for reference in alone:
        outcome = by_request[reference.job.request_id]
        reference_ms = instant(reference)
        if outcome.is_refused or reference_ms is None:
            continue
        ended_ms = instant(outcome)
        arrival_ms = reference.job.arrival_ms
        is_done = ended_ms is not None
        slowdowns.append(
            (ended_ms - arrival_ms) / (reference_ms - arrival_ms) if is_done else float("inf")
        )
    return slowdowns


def _count(
    deployment: Deployment, outcomes: list[Outcome], is_counted: Callable[[Outcome], bool]
) -> dict[str, int]:
    return {
        item.name: sum(is_counted(o) for o in outcomes if o.job.length_class is item)
        for item in deployment.classes
    }
