"""Virtual time: drive a policy and the engine models with one load."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from marigoldarch.clock import Millis
from marigoldarch_fakes.bench.engine import EngineModel, Gang, Progress, Stream
from marigoldarch_fakes.bench.load import Deployment, Job

REPORT_INTERVAL_MS: Millis = 500.0
REPORT_LAG_MS: Millis = 100.0
DRAIN_MS: Millis = 300_000.0


class LoadReport(NamedTuple):
    """What an engine tells of itself, late."""

    engine: str
    streams: int
    waiting: int
    used_tokens: int
    pending_tokens: int
    holdings: tuple[str, ...]
    stored: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass
class Outcome:
    """What became of a job; instants in milliseconds, None where it did not happen."""

    job: Job
    first_ms: Millis | None = None
    end_ms: Millis | None = None
    is_refused: bool = False
    is_late: bool = False
    restarts: int = 0


class Policy(Protocol):
    """Decides where jobs run."""

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Take a new job."""

    def end(self, job: Job, now_ms: Millis) -> None:
        """Note that a started job has ended or was cut off at its deadline."""

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Take a report of an engine's load."""

    def tick(self, now_ms: Millis) -> None:
        """Act on the passing of time."""


@dataclass
class Running:
    """A job on its engines."""

    job: Job
    engines: list[str]
    key: str
    gang: Gang


class Simulation:
    """The engines, the clock and the outcomes of one run."""

    def __init__(self, deployment: Deployment, jobs: list[Job], duration_ms: Millis) -> None:
        self.deployment = deployment
        self.engines = {
            f"e{number}": EngineModel(f"e{number}", deployment.engine)
            for number in range(deployment.replicas)
        }
        self.outcomes = {job.request_id: Outcome(job) for job in jobs}
        self.end_ms = duration_ms + DRAIN_MS
        self._running: dict[str, Running] = {}
        self._by_key: dict[str, Running] = {}
        self._left = len(jobs)
        self._serial = itertools.count()
        self._heap: list[tuple[Millis, int, str, Any]] = []
        self._scheduled: dict[str, Millis] = {}
        for job in jobs:
            self._push(job.arrival_ms, "arrive", job)
            if job.deadline_ms < self.end_ms:
                self._push(job.deadline_ms, "deadline", job)

    def run(self, policy: Policy, tick_ms: Millis | None = None) -> list[Outcome]:
        """Run until every job has ended or the drain time is over."""
        for number, name in enumerate(self.engines):
            self._push(REPORT_INTERVAL_MS * number / len(self.engines), "report", name)
        if tick_ms is not None:
            self._push(tick_ms, "tick", tick_ms)
        while self._heap and self._left > 0:
            now_ms, _, kind, data = heapq.heappop(self._heap)
            if now_ms > self.end_ms:
                break
            self._handle(policy, now_ms, kind, data)
        return list(self.outcomes.values())

    def start(
        self, job: Job, engines: list[str], priority: int, now_ms: Millis, key: str = ""
    ) -> None:
        """Run a job on its engines under `key`; the first one of several leads."""
        key = key or job.request_id
        gang = Gang(len(engines))
        running = Running(job, engines, key, gang)
        self._running[job.request_id] = running
        self._by_key[key] = running
        serial = next(self._serial)
        size = len(engines)
        for rank, name in enumerate(engines):
            stream = Stream(
                key,
                priority,
                serial,
                -(-job.memory_tokens // size),
                -(-job.prompt_tokens // size),
                job.output_tokens,
                job.prefix if size == 1 else (),
                gang,
                rank == 0,
            )
            self._absorb(name, self.engines[name].submit(stream, now_ms), now_ms)

    def stop(self, job: Job, now_ms: Millis) -> bool:
        """Cancel a job on its engines; return whether it was running."""
        running = self._running.pop(job.request_id, None)
        if running is None:
            return False
        del self._by_key[running.key]
        for name in running.engines:
            self._absorb(name, self.engines[name].cancel(running.key, now_ms), now_ms)
        return True

    def restart(self, job: Job, now_ms: Millis) -> None:
        """Cancel a job that is to run again from its start."""
        outcome = self.outcomes[job.request_id]
        outcome.restarts += 1
        outcome.first_ms = None
        self.stop(job, now_ms)

    def refuse(self, job: Job) -> None:
        """Note that a job was refused as not run."""
        outcome = self.outcomes[job.request_id]
        if not outcome.is_refused and outcome.end_ms is None and not outcome.is_late:
            outcome.is_refused = True
            self._left -= 1

    def is_over(self, job: Job) -> bool:
        """Return whether a job has its final outcome."""
        outcome = self.outcomes[job.request_id]
        return outcome.is_refused or outcome.is_late or outcome.end_ms is not None

    def _push(self, at_ms: Millis, kind: str, data: Any) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._serial), kind, data))

    def _handle(self, policy: Policy, now_ms: Millis, kind: str, data: Any) -> None:
        match kind:
            case "arrive":
                policy.arrive(data, now_ms)
            case "engine":
                self._advance(data, now_ms)
            case "ended":
                policy.end(data, now_ms)
            case "deadline":
                self._expire(policy, data, now_ms)
            case "report":
                self._push(now_ms + REPORT_LAG_MS, "reported", self._describe(data, now_ms))
                self._push(now_ms + REPORT_INTERVAL_MS, "report", data)
            case "reported":
                policy.report(data, now_ms)
            case "tick":
                policy.tick(now_ms)
                self._push(now_ms + data, "tick", data)

    def _advance(self, name: str, now_ms: Millis) -> None:
        if self._scheduled.get(name) != now_ms:
            return
        del self._scheduled[name]
        self._absorb(name, self.engines[name].advance(now_ms), now_ms)

    def _absorb(self, name: str, progress: list[Progress], now_ms: Millis) -> None:
        engine = self.engines[name]
        for stream in engine.take_admitted_gang_streams():
            if stream.gang.admitted == stream.gang.size:
                running = self._by_key[stream.key]
                for member in running.engines:
                    more = self.engines[member].start_gang_member(stream.key, now_ms)
                    self._absorb(member, more, now_ms)
        for item in progress:
            self._note(item)
        self._schedule(name)

    def _schedule(self, name: str) -> None:
        next_change_ms = self.engines[name].next_change_ms
        if next_change_ms != float("inf") and self._scheduled.get(name) != next_change_ms:
            self._scheduled[name] = next_change_ms
            self._push(next_change_ms, "engine", name)

    def _note(self, item: Progress) -> None:
        running = self._by_key.get(item.key)
        if running is None:
            return
        outcome = self.outcomes[running.job.request_id]
        if not item.is_prefilled:
            self._finish(running, outcome, item.at_ms)
        elif running.gang.prefilled == running.gang.size:
            if outcome.first_ms is None:
                outcome.first_ms = item.at_ms
            if running.gang.size > 1:
                lead = running.engines[0]
                more = self.engines[lead].start_decode(item.key, item.at_ms)
                self._absorb(lead, more, item.at_ms)

    def _finish(self, running: Running, outcome: Outcome, at_ms: Millis) -> None:
        outcome.end_ms = at_ms
        self._left -= 1
        self.stop(running.job, at_ms)
        self._push(at_ms, "ended", running.job)

    def _expire(self, policy: Policy, job: Job, now_ms: Millis) -> None:
        if self.is_over(job):
            return
        self.outcomes[job.request_id].is_late = True
        self._left -= 1
        self.stop(job, now_ms)
        policy.end(job, now_ms)

    def _describe(self, name: str, now_ms: Millis) -> LoadReport:
        engine = self.engines[name]
        self._absorb(name, engine.advance(now_ms), now_ms)
        stored, engine.stored_prefixes = tuple(engine.stored_prefixes), []
        removed, engine.removed_prefixes = tuple(engine.removed_prefixes), []
        return LoadReport(
            name,
            len(engine.streams),
            engine.waiting,
            engine.used_tokens,
            engine.pending_tokens,
            tuple(engine.streams),
            stored,
            removed,
        )
