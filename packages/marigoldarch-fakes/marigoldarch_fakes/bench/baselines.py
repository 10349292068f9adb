"""Baseline policies: each entry host routes on its own knowledge, at once and without a queue.

A prompt that needs several engines is sent to all of them in one step. Engines grant memory in
order of (priority, submission), so two gangs never wait for each other, and a gang prefills once
all its members hold their memory.
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
    """Route each job by one of the baselines.

    Load is the last report of each engine, plus what the entry itself has sent there since.
    """

    def __init__(self, name: str, simulation: Simulation, seed: int) -> None:
        self._name = name
        self._simulation = simulation
        self._chooser = random.Random(seed)
        self._engines = list(simulation.engines)
        self._turns = [
            self._chooser.randrange(len(self._engines))
            for _ in range(simulation.deployment.entry_hosts)
        ]
        self._reported: dict[str, LoadReport] = {}
        self._sent: defaultdict[str, defaultdict[int, int]] = defaultdict(lambda: defaultdict(int))

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Send a job to its engines at once."""
        memory = self._simulation.deployment.engine.memory_tokens
        size = -(-job.memory_tokens // memory)
        engines = self._choose(job, size)
        for engine in engines:
            self._sent[engine][job.entry] += self._weigh(job, size)
        self._simulation.start(job, engines, job.length_class.rank, now_ms)

    def end(self, job: Job, now_ms: Millis) -> None:
        """Nothing is kept for a job."""

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Replace what is known of an engine."""
        self._reported[report.engine] = report
        self._sent.pop(report.engine, None)

    def tick(self, now_ms: Millis) -> None:
        """Do nothing: baselines keep no time."""

    def _choose(self, job: Job, size: int) -> list[str]:
        if self._name == RANDOM:
            return self._chooser.sample(self._engines, size)
        if self._name == ROUND_ROBIN:
            first = self._turns[job.entry]
            self._turns[job.entry] += size
            count = len(self._engines)
            return [self._engines[(first + offset) % count] for offset in range(size)]
        order = [(self._load(name, job), self._chooser.random(), name) for name in self._engines]
        return [name for _, _, name in sorted(order)[:size]]

    def _load(self, name: str, job: Job) -> int:
        report = self._reported.get(name)
        sent = self._sent[name][job.entry]
        if report is None:
            return sent
        is_counting = self._name == LEAST_OUTSTANDING
        return sent + (report.streams if is_counting else report.pending_tokens)

    def _weigh(self, job: Job, size: int) -> int:
        return job.prompt_tokens // size if self._name == SHORTEST_QUEUE else 1
