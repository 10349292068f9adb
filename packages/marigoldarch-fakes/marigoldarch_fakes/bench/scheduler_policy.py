"""Runs pool schedulers as a policy: adapts the simulation to their messages and effects."""

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

PERMIT_RENEWAL_INTERVAL_MS: Millis = 1000.0
MODEL = "coach"
ENTRY_NODE = "n1"


class SchedulerPolicy:
    """Requests a permit for each job from the scheduler of a pool, and starts the jobs granted.

    The fleet is split into `pools` pools, one per data centre. A job uses the pool of its entry's
    data centre. `wrong_releases` counts orders to release the memory of a permit in use.
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
        self._next_renewal_ms: Millis = 0.0
        self._cache_report_sequences: dict[str, int] = {}
        self.wrong_releases = 0

    def arrive(self, job: Job, now_ms: Millis) -> None:
        """Request a permit for a job."""
        self._jobs[job.request_id] = job
        self._attempts[job.request_id] = 1
        self._request_permit(job, now_ms)

    def end(self, job: Job, now_ms: Millis) -> None:
        """Release the permit of a job, or withdraw its waiting request."""
        scheduler = self._scheduler_of(job)
        granted = self._permits.pop(job.request_id, None)
        permit = granted.permit if granted else None
        attempt = self._attempts[job.request_id]
        outcome = self._simulation.outcomes[job.request_id]
        first_token_ms, output_tokens = 0.0, 0
        if outcome.end_ms is not None and permit is not None:
            first_token_ms = outcome.first_token_ms - self._started_ms[job.request_id]
            output_tokens = job.output_tokens
        released = PermitReleased(
            scheduler.pool,
            job.request_id,
            attempt,
            permit,
            first_token_ms=first_token_ms,
            output_tokens=output_tokens,
        )
        self._apply_effects(scheduler.release(released, now_ms), now_ms)

    def report(self, report: LoadReport, now_ms: Millis) -> None:
        """Announce an engine with its load and holdings, and report its cache changes."""
        scheduler = self._schedulers[int(report.engine[1:]) % self._pools]
        announcement = Announcement(
            report.engine,
            "i1",
            "engine",
            MODEL,
            f"{report.engine}:1",
            scheduler.pool.data_centre,
            memory_tokens=self._simulation.deployment.engine.memory_tokens,
            load=self._target_load(report),
            holdings=report.holdings,
        )
        self._apply_effects(scheduler.report_target(announcement, now_ms), now_ms)
        self._report_cache(scheduler, report, now_ms)

    def tick(self, now_ms: Millis) -> None:
        """Renew the permits when due, and tick the schedulers."""
        if now_ms >= self._next_renewal_ms:
            self._next_renewal_ms = now_ms + PERMIT_RENEWAL_INTERVAL_MS
            self._renew_permits(now_ms)
        for scheduler in self._schedulers:
            self._apply_effects(scheduler.tick(now_ms), now_ms)

    def _target_load(self, report: LoadReport) -> TargetLoad:
        running = report.streams - report.waiting
        return TargetLoad(running, report.waiting, report.used_tokens, report.pending_tokens)

    def _report_cache(self, scheduler: Any, report: LoadReport, now_ms: Millis) -> None:
        if not hasattr(scheduler, "report_cache"):
            return
        sequence = self._cache_report_sequences.get(report.engine, 0) + 1
        self._cache_report_sequences[report.engine] = sequence
        cache_report = CacheReport(
            scheduler.pool, report.engine, sequence, list(report.stored), list(report.removed)
        )
        self._apply_effects(scheduler.report_cache(cache_report, now_ms), now_ms)

    def _scheduler_of(self, job: Job) -> Any:
        return self._schedulers[job.entry % self._pools]

    def _request_permit(self, job: Job, now_ms: Millis) -> None:
        scheduler = self._scheduler_of(job)
        request = PermitRequest(scheduler.pool, self._work_item(job, now_ms))
        self._apply_effects(scheduler.request(ENTRY_NODE, request, now_ms), now_ms)

    def _work_item(self, job: Job, now_ms: Millis) -> WorkItem:
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

    def _renew_permits(self, now_ms: Millis) -> None:
        held: dict[PoolId, list[HeldPermit]] = {
            scheduler.pool: [] for scheduler in self._schedulers
        }
        for request_id, granted in self._permits.items():
            item = self._work_item(self._jobs[request_id], now_ms)
            held[granted.pool].append(HeldPermit(granted.permit, item, granted.targets))
        for scheduler in self._schedulers:
            message = PermitsHeld(scheduler.pool, scheduler.fence, held[scheduler.pool])
            self._apply_effects(scheduler.update_held_permits(ENTRY_NODE, message, now_ms), now_ms)

    def _apply_effects(self, effects: list[Effect], now_ms: Millis) -> None:
        for effect in effects:
            match effect:
                case Send(message=PermitGranted() as granted):
                    self._start(granted, now_ms)
                case Send(message=PermitRefused(request_id=request_id)):
                    self._simulation.refuse(self._jobs[request_id])
                case Send(message=PermitWithdrawn() as withdrawn):
                    self._restart(withdrawn, now_ms)
                case ReleaseMemory(permit=permit):
                    self._count_wrong_release(permit)
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
        self._request_permit(job, now_ms)

    def _count_wrong_release(self, permit: PermitId) -> None:
        self.wrong_releases += any(granted.permit == permit for granted in self._permits.values())
