"""Baseline policies: each entry host routes on its own knowledge, at once and without a queue.

A prompt that needs several engines is sent to all of them at the same instant. Engines grant memory
in order of priority and then of submission, so two gangs never wait for each other. A gang prefills
once all its members have granted memory.
"""

from __future__ import annotations

import random
from collections import defaultdict

from marigoldarch.clock import Millis
from marigoldarch_fakes.bench.load import Job
from marigoldarch_fakes.bench.simulation import LoadReport, Simulation

RANDOM = "random"
ROUND_ROBIN = "round robin"
LEAST_OUTSTANDING = "least outstanding"
SHORTEST_QUEUE = "shortest queue"
BASELINES = (RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, SHORTEST_QUEUE)


class BaselinePolicy:
    """Routes each job by the baseline `name`.

    The load of an engine is that of its last report, plus what the entry host itself has sent there
    since.
    """

    def __init__(self, name: str, simulation: Simulation, seed: int) -> None:
        self._name = name
        self._simulation = simulation
        self._rng = random.Random(seed)
        self._engines = list(simulation.engines)
        self._next_engines = [
            self._rng.randrange(len(self._engines))
            for _ in range(simulation.deployment.entry_hosts)
        ]
        self._reported: dict[str, LoadReport] = {}
        self._sent_since_report: defaultdict[str, defaultdict[int, int]] = defaultdict(
            lambda: defaultdict(int)
        )

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Send a job to its engines at once."""
        engine_memory_tokens = self._simulation.deployment.engine.memory_tokens
        engine_count = -(-job.memory_tokens // engine_memory_tokens)
        engines = self._choose_engines(job, engine_count)
        for engine in engines:
            self._sent_since_report[engine][job.entry] += self._load_of_job(job, engine_count)
        self._simulation.start(job, engines, job.length_class.rank, now_ms)

    def end(self, job: Job, now_ms: Millis) -> None:
        """Do nothing: no state is kept for a job."""

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Replace the known load of an engine."""
        self._reported[report.engine] = report
        self._sent_since_report.pop(report.engine, None)

    def tick(self, now_ms: Millis) -> None:
        """Do nothing: the baselines have no timers."""

    def _choose_engines(self, job: Job, engine_count: int) -> list[str]:
        if self._name == RANDOM:
            return self._rng.sample(self._engines, engine_count)
        if self._name == ROUND_ROBIN:
            first = self._next_engines[job.entry]
            self._next_engines[job.entry] += engine_count
            count = len(self._engines)
            return [self._engines[(first + offset) % count] for offset in range(engine_count)]
        by_load = [
            (self._known_load(name, job), self._rng.random(), name) for name in self._engines
        ]
        return [name for _, _, name in sorted(by_load)[:engine_count]]

    def _known_load(self, name: str, job: Job) -> int:
        report = self._reported.get(name)
        sent = self._sent_since_report[name][job.entry]
        if report is None:
            return sent
        counts_streams = self._name == LEAST_OUTSTANDING
        return sent + (report.streams if counts_streams else report.pending_tokens)

    def _load_of_job(self, job: Job, engine_count: int) -> int:
        return job.prompt_tokens // engine_count if self._name == SHORTEST_QUEUE else 1
