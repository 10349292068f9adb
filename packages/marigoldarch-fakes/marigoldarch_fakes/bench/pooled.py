"""Drive pool schedulers: the adapter between the virtual fleet and their messages and effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, OrderTarget, ReleaseMemory, Send
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.messages import (
    CacheReport,
    HeldPermit,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PermitWithdrawn,
    WorkItem,
)
from marigoldarch.targets import Announcement, TargetLoad
from marigoldarch_fakes.bench.load import Job
from marigoldarch_fakes.bench.simulation import LoadReport, Simulation

HOLD_INTERVAL_MS: Millis = 1000.0
MODEL = "coach"
ENTRY = "n1"


class PooledPolicy:
    """Ask the scheduler of a pool for a permit, and run what it grants.

    The fleet is split into `pools` pools; a job asks the pool of its own data centre.
    """

    def __init__(
        self, simulation: Simulation, make_scheduler: Callable[[PoolId, int], Any], pools: int = 1
    ) -> None:
        self._simulation = simulation
        self._pools = pools
        self._schedulers = [
            make_scheduler(PoolId(f"dc{number}", MODEL), number + 1) for number in range(pools)
        ]
        self._jobs: dict[str, Job] = {}
        self._attempts: dict[str, int] = {}
        self._permits: dict[str, PermitGranted] = {}
        self._started_ms: dict[str, Millis] = {}
        self._hold_due_ms: Millis = 0.0
        self._sequences: dict[str, int] = {}
        self.wrong_releases = 0

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Ask for a permit."""
        self._jobs[job.request_id] = job
        self._attempts[job.request_id] = 1
        self._ask(job, now_ms)

    def end(self, job: Job, now_ms: Millis) -> None:
        """Give the permit back, or withdraw the request."""
        scheduler = self._scheduler_of(job)
        granted = self._permits.pop(job.request_id, None)
        permit = granted.permit if granted else None
        attempt = self._attempts[job.request_id]
        outcome = self._simulation.outcomes[job.request_id]
        first_ms, output_tokens = 0.0, 0
        if outcome.end_ms is not None and permit is not None:
            first_ms = outcome.first_token_ms - self._started_ms[job.request_id]
            output_tokens = job.output_tokens
        released = PermitReleased(
            scheduler.pool,
            job.request_id,
            attempt,
            permit,
            first_token_ms=first_ms,
            output_tokens=output_tokens,
        )
        self._carry_out(scheduler.release(released, now_ms), now_ms)

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Announce an engine with its load and holdings."""
        scheduler = self._schedulers[int(report.engine[1:]) % self._pools]
        announcement = Announcement(
            report.engine,
            "i1",
            "engine",
            MODEL,
            f"{report.engine}:1",
            scheduler.pool.data_centre,
            memory_tokens=self._simulation.deployment.engine.memory_tokens,
            load=self._load(report),
            holdings=report.holdings,
        )
        self._carry_out(scheduler.report_target(announcement, now_ms), now_ms)
        self._report_cache(scheduler, report, now_ms)

    def tick(self, now_ms: Millis) -> None:
        """Tick the schedulers, and renew permits."""
        if now_ms >= self._hold_due_ms:
            self._hold_due_ms = now_ms + HOLD_INTERVAL_MS
            self._hold(now_ms)
        for scheduler in self._schedulers:
            self._carry_out(scheduler.tick(now_ms), now_ms)

    def _load(self, report: LoadReport) -> TargetLoad:
        running = report.streams - report.waiting
        return TargetLoad(running, report.waiting, report.used_tokens, report.pending_tokens)

    def _report_cache(self, scheduler: Any, report: LoadReport, now_ms: Millis) -> None:
        if not hasattr(scheduler, "report_cache"):
            return
        sequence = self._sequences.get(report.engine, 0) + 1
        self._sequences[report.engine] = sequence
        events = CacheReport(
            scheduler.pool, report.engine, sequence, list(report.stored), list(report.removed)
        )
        self._carry_out(scheduler.report_cache(events, now_ms), now_ms)

    def _scheduler_of(self, job: Job) -> Any:
        return self._schedulers[job.entry % self._pools]

    def _ask(self, job: Job, now_ms: Millis) -> None:
        scheduler = self._scheduler_of(job)
        request = PermitRequest(scheduler.pool, self._item(job, now_ms))
        self._carry_out(scheduler.request(ENTRY, request, now_ms), now_ms)

    def _item(self, job: Job, now_ms: Millis) -> WorkItem:
        return WorkItem(
            job.request_id,
            self._attempts[job.request_id],
            job.customer,
            "team",
            job.length_class.name,
            job.length_class.rank,
            1.0,
            job.prompt_tokens,
            job.output_tokens,
            job.deadline_ms - now_ms,
            MODEL,
            prefix=job.prefix,
        )

    def _hold(self, now_ms: Millis) -> None:
        held: dict[PoolId, list[HeldPermit]] = {item.pool: [] for item in self._schedulers}
        for request_id, granted in self._permits.items():
            item = self._item(self._jobs[request_id], now_ms)
            held[granted.pool].append(HeldPermit(granted.permit, item, granted.targets))
        for scheduler in self._schedulers:
            message = PermitsHeld(scheduler.pool, scheduler.fence, held[scheduler.pool])
            self._carry_out(scheduler.update_held_permits(ENTRY, message, now_ms), now_ms)

    def _carry_out(self, effects: list[Effect], now_ms: Millis) -> None:
        for effect in effects:
            match effect:
                case Send(message=PermitGranted() as granted):
                    self._start(granted, now_ms)
                case Send(message=PermitRefused(request_id=request_id)):
                    self._simulation.refuse(self._jobs[request_id])
                case Send(message=PermitWithdrawn() as withdrawn):
                    self._restart(withdrawn, now_ms)
                case ReleaseMemory(permit=permit):
                    self._check_release(permit)
                case OrderTarget():
                    pass

    def _start(self, granted: PermitGranted, now_ms: Millis) -> None:
        if granted.request_id in self._permits:
            return
        self._permits[granted.request_id] = granted
        self._started_ms[granted.request_id] = now_ms
        job = self._jobs[granted.request_id]
        engines = [target.target for target in granted.targets]
        priority = getattr(granted, "priority", None)
        priority = job.length_class.rank if priority is None else priority
        self._simulation.start(job, engines, priority, now_ms, str(granted.permit))

    def _restart(self, withdrawn: PermitWithdrawn, now_ms: Millis) -> None:
        granted = self._permits.get(withdrawn.request_id)
        if granted is None or granted.permit != withdrawn.permit:
            return
        job = self._jobs[withdrawn.request_id]
        self._simulation.restart(job, now_ms)
        self.end(job, now_ms)
        self._attempts[job.request_id] += 1
        self._ask(job, now_ms)

    def _check_release(self, permit: PermitId) -> None:
        self.wrong_releases += any(held.permit == permit for held in self._permits.values())
