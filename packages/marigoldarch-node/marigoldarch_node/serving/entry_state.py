"""State of an entry: the declaration in force, the targets, their load and their health."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

import trio

from marigoldarch.crash_suspects import SuspectSettings
from marigoldarch.serving.candidates import CandidateSource, cached_name_hash, place_of
from marigoldarch.serving.cold_phases import ColdPhases
from marigoldarch.serving.data_centre_outages import DataCentreOutages, OutageSettings
from marigoldarch.serving.evacuations import EvacuationView
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.response_origin import ResponseOrigin, is_from_target
from marigoldarch.serving.retry_budget import RetryBudgetSettings
from marigoldarch.serving.returning_callers import ReturningCallers
from marigoldarch.serving.stopping import CallDurations, StopPlan
from marigoldarch.serving.target_health import HealthSettings, TargetHealth
from marigoldarch.serving.target_limits import LimitNews, TargetLimits, TargetLimitSettings
from marigoldarch.serving.target_links import LinkSettings, TargetLinks
from marigoldarch.serving.target_waits import TargetWaits, WaitSettings
from marigoldarch.serving.targets import MergedTargetView, TargetStart
from marigoldarch.serving.waiting_turns import WaitingTurns
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.serving.crash_memory import CrashMemory
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import ServerLimits
from marigoldarch_node.serving.limit_history import LimitHistory
from marigoldarch_node.serving.limit_permissions import LimitPermissions
from marigoldarch_node.serving.metrics import ServingMetrics
from marigoldarch_node.serving.response_memory import (
    MAX_HEAD_BYTES,
    MAX_HELD_HEAD_BYTES,
    ResponseMemory,
)
from marigoldarch_node.serving.shared_workload import SharedWorkload
from marigoldarch_node.serving.waiting_requests import WaitingRequests

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.cold_news import TargetsCold
    from marigoldarch.serving.cold_phases import ColdChange
    from marigoldarch.serving.declaration import CallerLimits
    from marigoldarch.serving.evacuations import Evacuations
    from marigoldarch.serving.routing import RoutingTable
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.dialect import ResponseInfo
    from marigoldarch_node.serving.settings import ServingSettings

SLOW_REPORT_INTERVAL_MS: Millis = 500.0
"""The shortest time between two reports of the same slow target to the other entries."""

MAX_NODE_TOKENS = 4
"""How many of the newest declarations with other keys another entry may still have."""

log = EventLog("entry")


class EntryState:
    """State that all requests of an entry share; it begins without declaration and targets.

    A stop sets `stop_plan`.
    """

    def __init__(self, settings: ServingSettings, start_id: int) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random(start_id)
        self.target_view = MergedTargetView()
        self.health = TargetHealth(HealthSettings())
        # Only the spreads differ between entries; they take nothing from `rng`.
        spread = random.Random(f"waits/{start_id}").random()
        self.outages = DataCentreOutages(OutageSettings())
        self.waits = TargetWaits(WaitSettings(bounds.max_target_wait_ms, spread))
        self.target_limits = TargetLimits(
            TargetLimitSettings(bounds.min_target_rate_per_s, bounds.max_target_rate_per_s)
        )
        self.cold = ColdPhases(spread)
        self.permissions = LimitPermissions(
            EntryNode(settings.peer_address, settings.data_centre),
            start_id,
            self.target_limits,
            self.clock,
            self.cold,
        )
        self.waiting_turns = WaitingTurns()
        self.returning = ReturningCallers(random.Random(f"returns/{start_id}"))
        self.link_rng = random.Random(f"links/{start_id}")
        self.links = TargetLinks(LinkSettings(), self.link_rng)
        self.node_tokens: deque[str] = deque(maxlen=MAX_NODE_TOKENS)
        self.response_memory = ResponseMemory(
            bounds.max_response_bytes, bounds.max_held_response_bytes
        )
        self.response_heads = ResponseMemory(
            MAX_HEAD_BYTES, MAX_HELD_HEAD_BYTES, "bytes of all heads"
        )
        self.metrics = ServingMetrics()
        budget = RetryBudgetSettings(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms)
        self.workload = SharedWorkload(settings.peer_address, start_id, self.clock, budget)
        self.workload.on_suspended = self._on_peer_suspension
        self.workload.on_slow = self._on_peer_slowdown
        self.workload.on_leaving = self._on_peer_leaving
        self.workload.on_start = self.permissions.lending.note_start
        self.workload.on_limit = self._on_peer_limit
        self.workload.on_cold = self._on_peer_cold
        self.workload.limits_to_tell = self.target_limits.news_to_tell
        self.waiting = WaitingRequests(settings.peer_address, self.workload, self.clock)
        suspect_settings = SuspectSettings(
            crash_limit=bounds.crash_limit,
            quarantine_ms=bounds.crash_quarantine_ms,
            spread=random.Random(f"quarantines/{start_id}").random(),
        )
        self.crashes = CrashMemory(suspect_settings, self.workload, self.metrics, self.clock)
        self._slow_reported_ms: dict[str, Millis] = {}
        self._hashed_generation = -1
        self._target_ids: dict[int, str] = {}
        self.evacuations = EvacuationView()
        self.candidates = CandidateSource(
            settings.data_centre,
            self.target_view,
            self.workload.view,
            self.health,
            self.waits,
            self.permissions.lending,
            self.outages,
            self.evacuations,
        )
        self.limits = LimitHistory(ServerLimits())
        self.stop_plan: StopPlan | None = None
        self.call_durations = CallDurations()
        self._table: RoutingTable | None = None
        self._has_table = trio.Event()
        self._last_control_message_ms: Millis = 0.0

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table of the declaration in force, None before the first."""
        return self._table

    @property
    def is_ready(self) -> bool:
        """Return whether the directory and health checks should send callers to this entry."""
        return self._table is not None and self.stop_plan is None and bool(self.target_view.usable)

    @property
    def control_host_silence_ms(self) -> Millis:
        """Return the time since the last message from any control host."""
        return self.clock.monotonic_ms() - self._last_control_message_ms

    def record_control_message(self) -> None:
        """Record that a control host has sent a message."""
        self._last_control_message_ms = self.clock.monotonic_ms()

    def apply_table(self, table: RoutingTable) -> None:
        """Put a declaration in force if its version is newer."""
        before = self._table.version if self._table else 0
        if table.version <= before:
            return
        self._table = table
        self._has_table.set()
        if table.node_token not in self.node_tokens:
            self.node_tokens.append(table.node_token)
        self.limits.change(_server_limits(table.declaration.limits), self.clock.monotonic_ms())
        self.call_durations.keep({service.name for service in table.declaration.services})
        self.cold.set_services(table.cold_services, self.target_view.usable.values())
        log.info(
            "declaration in force",
            version=table.version,
            before=before,
            routes=len(table.declaration.routes),
        )
        for service in table.ignored_engines:
            log.warning("engine figures ignored", service=service, version=table.version)

    def adopt_evacuations(self, told: Evacuations, host: str) -> None:
        """Put the evacuations that a control host tells in force if they are newer."""
        if self.evacuations.adopt(told):
            log.info(
                "evacuations in force",
                revision=told.revision,
                data_centres=told.data_centres,
                told_by=host,
            )

    async def wait_for_table(self, timeout_ms: Millis) -> RoutingTable | None:
        """Return the routing table, waiting for the first one; None after the timeout."""
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._has_table.wait()
        return self._table

    def record_failure(self, target_id: str, *, is_unreachable: bool, is_told: bool = True) -> bool:
        """Record a failed attempt; return whether it suspends the target.

        That is reported to the other entries if it `is_told`.
        """
        now_ms = self.clock.monotonic_ms()
        if not self.health.note_failure(target_id, now_ms, is_unreachable=is_unreachable):
            return False
        log.warning(
            "target set aside", target=target_id, is_unreachable=is_unreachable, is_told=is_told
        )
        self._record_outage(target_id, told_by="")
        if is_told:
            self.tell_suspension(target_id)
        return True

    def _record_outage(self, target_id: str, *, told_by: str) -> None:
        """Find out whether the targets of a data centre have failed together."""
        target = self.target_view.usable.get(target_id)
        if target is None:
            return
        count, now_ms = self.candidates.count_beside(target), self.clock.monotonic_ms()
        if self.outages.record_suspension(place_of(target), target_id, count, now_ms):
            self.metrics.data_centre_outages.inc({"data_centre": target.data_centre})
            log.warning(
                "data centre out",
                data_centre=target.data_centre,
                service=target.service,
                targets=count,
                newest=target_id,
                told_by=told_by,
            )

    def tell_suspension(self, target_id: str) -> None:
        """Report to the other entries that a target is suspended."""
        self.workload.report_suspended_target(cached_name_hash(target_id))

    def record_slowdown(self, target_id: str, ratio: float) -> None:
        """Record how many times longer than predicted a target took for an event of a stream.

        A target that counts as slow is reported to the other entries.
        """
        now_ms = self.clock.monotonic_ms()
        self.health.note_slowdown(target_id, ratio, now_ms)
        slowdown = self.health.slowdown_of(target_id, now_ms)
        due_ms = self._slow_reported_ms.get(target_id, 0.0) + SLOW_REPORT_INTERVAL_MS
        if slowdown == 1.0 or now_ms < due_ms:
            return
        if target_id not in self._slow_reported_ms:
            log.warning("target is slow", target=target_id, pace=round(slowdown, 1))
        self._slow_reported_ms[target_id] = now_ms
        self.workload.report_slow_target(cached_name_hash(target_id), slowdown)

    def record_signals(
        self,
        target: Target,
        response: ResponseInfo,
        origin: ResponseOrigin,
        sent_ms: Millis,
    ) -> None:
        """Record whether a target says in a response that it is leaving, limited or wants a wait.

        The request of the response was sent at `sent_ms`. Responses that may be from elsewhere have
        no effect.
        """
        for name in response.unreadable_headers:
            log.warning("header ignored", target=target.target_id, header=name)
        limit_per_s = response.limit_per_s
        if not is_from_target(origin):
            if response.is_leaving or response.wait_ms or limit_per_s or response.cold_ms:
                log.warning("signal ignored", target=target.target_id, answer_to=origin.echoed_id)
            return
        now_ms = self.clock.monotonic_ms()
        if self.outages.record_answer(place_of(target), sent_ms):
            log.info(
                "data centre answers again", data_centre=target.data_centre, service=target.service
            )
        if not response.is_limit_unreadable:
            self._record_limit(target, limit_per_s, sent_ms)
        self.record_cold_response(target, response)
        if response.is_leaving and self.target_view.mark_leaving(target.start, now_ms):
            self.metrics.target_signals.inc({"signal": "leaving"})
            log.info("target leaves", target=target.target_id, born_ms=target.born_ms)
            self.workload.report_leaving_target(cached_name_hash(target.target_id), target.born_ms)
        if response.wait_ms:
            wait_ms = self.waits.ask(target.start, response.wait_ms, now_ms)
            self.metrics.target_signals.inc({"signal": "wait"})
            log.info(
                "target asks for a wait",
                target=target.target_id,
                asked_ms=round(response.wait_ms),
                wait_ms=round(wait_ms),
            )

    def _record_limit(self, target: Target, limit_per_s: float | None, sent_ms: Millis) -> None:
        """Record the limit that a response of a target names, or that it names none."""
        known_per_s = self.target_limits.find(target.start)
        if known_per_s is None and limit_per_s is None:
            return
        news = self.target_limits.record_response(
            target.start, limit_per_s, sent_ms, self.clock.monotonic_ms()
        )
        if news is None:
            return
        self.workload.report_limit(news)
        self.metrics.target_signals.inc({"signal": "limit" if limit_per_s else "limit ended"})
        log.info(
            "target names a limit" if limit_per_s else "target names no limit any more",
            target=target.target_id,
            born_ms=target.born_ms,
            limit_per_s=news.rate_per_s,
            before_per_s=known_per_s,
        )

    def note_target(self, target: Target) -> None:
        """Record that a control host lists a target; one that starts during traffic may be cold."""
        is_new = self.target_view.has_complete_view
        change = self.cold.note_target(target, self.clock.monotonic_ms(), is_new=is_new)
        self._log_cold(change)

    def record_cold_news(self, message: TargetsCold) -> None:
        """Record what targets have announced of their cold phases."""
        now_ms = self.clock.monotonic_ms()
        for news in message.news:
            self._log_cold(self.cold.record_news(news, now_ms))

    def record_cold_response(self, target: Target, response: ResponseInfo) -> None:
        """Record how long a target stays cold by its own response."""
        if response.cold_ms is None or not self.cold.concerns(target.service):
            return
        now_ms = self.clock.monotonic_ms()
        change = self.cold.record_response(target.start, response.cold_ms, now_ms)
        if change is not None:
            self._log_cold(change)
            target_hash = cached_name_hash(target.target_id)
            self.workload.report_cold_target(target_hash, target.born_ms, response.cold_ms)

    def _log_cold(self, change: ColdChange | None) -> None:
        if change is None:
            return
        rate_per_s = self.cold.rate_per_s(change.start, self.clock.monotonic_ms())
        if rate_per_s is not None:
            self.metrics.target_signals.inc({"signal": "cold"})
        log.info(
            "target is cold" if change.left_ms > 0.0 else "target is not cold",
            target=change.start.target_id,
            born_ms=change.start.born_ms,
            left_ms=round(change.left_ms),
            limit_per_s=rate_per_s,
            told_by=change.told_by,
        )

    def prune_targets(self) -> None:
        """Drop what is known of targets that are no longer usable."""
        now_ms = self.clock.monotonic_ms()
        self.waits.forget_old(now_ms)
        self.outages.forget_old(now_ms)
        self.target_limits.forget_departed(self.target_view.usable, now_ms)
        self.permissions.forget_old()
        for start in self.cold.end_phases(self.target_view.usable, now_ms):
            log.info("cold phase over", target=start.target_id, born_ms=start.born_ms)
        self.crashes.forget_old()
        self.target_view.forget_departed(now_ms)
        self.workload.keep_leaving_targets(
            {cached_name_hash(start.target_id) for start in self.target_view.leaving}
        )
        for target_id in self._slow_reported_ms.keys() - self.target_view.usable.keys():
            del self._slow_reported_ms[target_id]

    def _on_peer_suspension(self, target_hash: int) -> None:
        """Suspend a target that another entry has suspended."""
        target_id = self._find_target_id(target_hash)
        if target_id:
            self.health.suspend(target_id, self.clock.monotonic_ms())
            self._record_outage(target_id, told_by="peer")

    def _on_peer_slowdown(self, target_hash: int, slowdown: float) -> None:
        """Adopt the slowdown that another entry has measured if it exceeds the own one."""
        target_id = self._find_target_id(target_hash)
        if target_id:
            self.health.note_peer_slowdown(target_id, slowdown, self.clock.monotonic_ms())

    def _on_peer_leaving(self, target_hash: int, born_ms: int) -> None:
        """Stop using a target that has told another entry that it is leaving."""
        target_id = self._find_target_id(target_hash)
        start = TargetStart(target_id, born_ms)
        if not target_id or self.target_view.usable[target_id].start != start:
            return
        if self.target_view.mark_leaving(start, self.clock.monotonic_ms()):
            log.info("target leaves", target=target_id, born_ms=born_ms, told_by="peer")

    def _on_peer_limit(
        self, target_hash: int, born_ms: int, rate_per_s: float | None, at_ms: Millis
    ) -> None:
        """Adopt the limit that a target has named, or ended, in a response to another entry."""
        target_id = self._find_target_id(target_hash)
        if not target_id:
            return
        news = self.target_limits.record_news(
            LimitNews(TargetStart(target_id, born_ms), rate_per_s, at_ms)
        )
        if news is not None:
            log.info(
                "target names a limit" if rate_per_s else "target names no limit any more",
                target=target_id,
                born_ms=born_ms,
                limit_per_s=rate_per_s,
                told_by="peer",
            )

    def _on_peer_cold(self, target_hash: int, born_ms: int, left_ms: Millis) -> None:
        """Take a target for cold that has said so in a response to another entry."""
        target_id = self._find_target_id(target_hash)
        if target_id:
            now_ms = self.clock.monotonic_ms()
            start = TargetStart(target_id, born_ms)
            self._log_cold(self.cold.record_response(start, left_ms, now_ms, "peer"))

    def _find_target_id(self, target_hash: int) -> str:
        """Return the usable target whose id has this hash, empty if there is none."""
        if self._hashed_generation != self.target_view.generation:
            self._hashed_generation = self.target_view.generation
            self._target_ids = {cached_name_hash(name): name for name in self.target_view.usable}
        return self._target_ids.get(target_hash, "")


def _server_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )


async def run_cleanup(state: EntryState, interval_s: float = 0.5) -> None:
    """Drop the work of silent entries and the state of former targets, until cancelled."""
    while True:
        await trio.sleep(interval_s)
        state.prune_targets()
        state.workload.drop_silent_peers()
