"""Simulates one run of the benchmark in virtual time: jobs, a policy and the engines."""

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
"""From the reading of an engine's load until the policy has the report."""

DRAIN_MS: Millis = 300_000.0
"""How long a run goes on after the end of the arrivals, so that jobs can end."""


class LoadReport(NamedTuple):
    """The load of an engine, and the changes of its prefix cache since its last report.

    `holdings` are the keys of its streams. The policy gets a report after `REPORT_LAG_MS`.
    """

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
    """The outcome of a job.

    Instants are in milliseconds, None for what has not happened. A job that `is_late` was cut off
    at its deadline.
    """

    job: Job
    first_token_ms: Millis | None = None
    end_ms: Millis | None = None
    is_refused: bool = False
    is_late: bool = False
    restarts: int = 0


class Policy(Protocol):
    """Decides when and on which engines jobs run."""

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Handle the arrival of a job."""

    def end(self, job: Job, now_ms: Millis) -> None:
        """Handle the end of a job, or its deadline even if it was never started."""

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Handle a report of an engine's load."""

    def tick(self, now_ms: Millis) -> None:
        """Run what is due by `now_ms`; called at a fixed interval."""


@dataclass
class RunningJob:
    """A job on its engines; `key` names its streams there."""

    job: Job
    engines: list[str]
    key: str
    gang: Gang


class Simulation:
    """The engines, the events and the outcomes of one run."""

    def __init__(self, deployment: Deployment, jobs: list[Job], duration_ms: Millis) -> None:
        self.deployment = deployment
        self.engines = {
            f"e{number}": EngineModel(f"e{number}", deployment.engine)
            for number in range(deployment.replicas)
        }
        self.outcomes = {job.request_id: Outcome(job) for job in jobs}
        self.end_ms = duration_ms + DRAIN_MS
        self._running: dict[str, RunningJob] = {}
        self._running_by_key: dict[str, RunningJob] = {}
        self._unfinished_jobs = len(jobs)
        self._serials = itertools.count()
        self._events: list[tuple[Millis, int, str, Any]] = []
        self._scheduled_changes_ms: dict[str, Millis] = {}
        for job in jobs:
            self._push_event(job.arrival_ms, "arrive", job)
            if job.deadline_ms < self.end_ms:
                self._push_event(job.deadline_ms, "deadline", job)

    def run(self, policy: Policy, tick_ms: Millis | None = None) -> list[Outcome]:
        """Run until every job has its outcome, or `DRAIN_MS` after the end of the arrivals.

        The policy is ticked every `tick_ms`, never if it is None.
        """
        for number, name in enumerate(self.engines):
            self._push_event(REPORT_INTERVAL_MS * number / len(self.engines), "report", name)
        if tick_ms is not None:
            self._push_event(tick_ms, "tick", tick_ms)
        while self._events and self._unfinished_jobs > 0:
            now_ms, _, kind, data = heapq.heappop(self._events)
            if now_ms > self.end_ms:
                break
            self._handle_event(policy, now_ms, kind, data)
        return list(self.outcomes.values())

    def start(
        self, job: Job, engines: list[str], priority: int, now_ms: Millis, key: str = ""
    ) -> None:
        """Submit a job to its engines under `key`, by default its id; the first engine decodes."""
        key = key or job.request_id
        gang = Gang(len(engines))
        running = RunningJob(job, engines, key, gang)
        self._running[job.request_id] = running
        self._running_by_key[key] = running
        serial = next(self._serials)
        engine_count = len(engines)
        for position, name in enumerate(engines):
            stream = Stream(
                key,
                priority,
                serial,
                -(-job.memory_tokens // engine_count),
                -(-job.prompt_tokens // engine_count),
                job.output_tokens,
                job.prefix if engine_count == 1 else (),
                gang,
                position == 0,
            )
            self._apply_progress(name, self.engines[name].submit(stream, now_ms), now_ms)

    def stop(self, job: Job, now_ms: Millis) -> bool:
        """Cancel a job on its engines; return whether it was running."""
        running = self._running.pop(job.request_id, None)
        if running is None:
            return False
        del self._running_by_key[running.key]
        for name in running.engines:
            self._apply_progress(name, self.engines[name].cancel(running.key, now_ms), now_ms)
        return True

    def restart(self, job: Job, now_ms: Millis) -> None:
        """Cancel a job that will run again from its beginning."""
        outcome = self.outcomes[job.request_id]
        outcome.restarts += 1
        outcome.first_token_ms = None
        self.stop(job, now_ms)

    def refuse(self, job: Job) -> None:
        """Record that a job was refused without having run."""
        outcome = self.outcomes[job.request_id]
        if not outcome.is_refused and outcome.end_ms is None and not outcome.is_late:
            outcome.is_refused = True
            self._unfinished_jobs -= 1

    def has_final_outcome(self, job: Job) -> bool:
        """Return whether the outcome of a job is final."""
        outcome = self.outcomes[job.request_id]
        return outcome.is_refused or outcome.is_late or outcome.end_ms is not None

    def _push_event(self, at_ms: Millis, kind: str, data: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._serials), kind, data))

    def _handle_event(self, policy: Policy, now_ms: Millis, kind: str, data: Any) -> None:
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
                self._push_event(
                    now_ms + REPORT_LAG_MS, "reported", self._make_report(data, now_ms)
                )
                self._push_event(now_ms + REPORT_INTERVAL_MS, "report", data)
            case "reported":
                policy.report(data, now_ms)
            case "tick":
                policy.tick(now_ms)
                self._push_event(now_ms + data, "tick", data)

    def _advance(self, name: str, now_ms: Millis) -> None:
        """Advance an engine, unless its next change was scheduled anew since."""
        if self._scheduled_changes_ms.get(name) != now_ms:
            return
        del self._scheduled_changes_ms[name]
        self._apply_progress(name, self.engines[name].advance(now_ms), now_ms)

    def _apply_progress(self, name: str, progress: list[Progress], now_ms: Millis) -> None:
        engine = self.engines[name]
        for stream in engine.take_admitted_gang_streams():
            if stream.gang.admitted == stream.gang.size:
                running = self._running_by_key[stream.key]
                for member in running.engines:
                    member_progress = self.engines[member].start_gang_member(stream.key, now_ms)
                    self._apply_progress(member, member_progress, now_ms)
        for item in progress:
            self._record_progress(item)
        self._schedule_change(name)

    def _schedule_change(self, name: str) -> None:
        next_change_ms = self.engines[name].next_change_ms
        if (
            next_change_ms != float("inf")
            and self._scheduled_changes_ms.get(name) != next_change_ms
        ):
            self._scheduled_changes_ms[name] = next_change_ms
            self._push_event(next_change_ms, "engine", name)

    def _record_progress(self, item: Progress) -> None:
        running = self._running_by_key.get(item.key)
        if running is None:
            return
        outcome = self.outcomes[running.job.request_id]
        if not item.is_prefilled:
            self._finish(running, outcome, item.at_ms)
        elif running.gang.prefilled == running.gang.size:
            if outcome.first_token_ms is None:
                outcome.first_token_ms = item.at_ms
            if running.gang.size > 1:
                lead = running.engines[0]
                lead_progress = self.engines[lead].start_decode(item.key, item.at_ms)
                self._apply_progress(lead, lead_progress, item.at_ms)

    def _finish(self, running: RunningJob, outcome: Outcome, at_ms: Millis) -> None:
        outcome.end_ms = at_ms
        self._unfinished_jobs -= 1
        self.stop(running.job, at_ms)
        self._push_event(at_ms, "ended", running.job)

    def _expire(self, policy: Policy, job: Job, now_ms: Millis) -> None:
        if self.has_final_outcome(job):
            return
        self.outcomes[job.request_id].is_late = True
        self._unfinished_jobs -= 1
        self.stop(job, now_ms)
        policy.end(job, now_ms)

    def _make_report(self, name: str, now_ms: Millis) -> LoadReport:
        engine = self.engines[name]
        self._apply_progress(name, engine.advance(now_ms), now_ms)
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
