"""Exchange of running work among entries: each reports its own, and keeps that of the others.

The reports are datagrams, any of which may be lost. A report lists the changes since the previous
one, a full report all running work of its sender. The peers of an entry are the other entries.
Entries of other data centres may get partial reports and summaries instead.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from marigoldarch.crash_suspects import MAX_PARTS_PER_CRASH, TargetCrash
from marigoldarch.serving.pool_view import (
    MIN_REPORTED_PREFILL_MS,
    PoolView,
    RunningAttempt,
    SummarizedLoad,
)
from marigoldarch.serving.retry_budget import RetryBudget, RetryBudgetSettings
from marigoldarch.serving.work_reports import (
    ColdReport,
    CrashReport,
    LimitReport,
    PoolSummary,
    TargetSummary,
    WaitingReport,
    WorkReport,
    WorkStarted,
    name_hash,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.target_limits import LimitNews

REPORT_COALESCE_S = 0.008
"""Changes within this time are sent in one datagram: a sixth of an engine pass."""

FULL_REPORT_INTERVAL_MS: Millis = 1500.0
"""How often an entry sends a full report, which makes up for lost datagrams."""

IDLE_REPORT_INTERVAL_MS: Millis = 4500.0
"""The same for an entry without running work."""

MAX_TOLD_CRASHES = 16
MAX_TOLD_ACQUITTALS = 64
MAX_TOLD_LIMITS = 64
MAX_TOLD_TRIALS = 64
MAX_TOLD_COLD = 64
"""How many crashes, acquittals, limits, trials and cold targets a report lists."""

PEER_TIMEOUT_MS: Millis = 4000.0
"""The work of a peer is dropped when two of its full reports are missing."""

PEER_RETENTION_MS: Millis = 3 * IDLE_REPORT_INTERVAL_MS
"""A peer without work counts as one of the other entries until this time after its last report."""


class _Peer(NamedTuple):
    """The newest report of a peer; `start_id` differs for each start of its process."""

    start_id: int
    serial: int
    received_ms: Millis
    is_partial: bool


class OutgoingReports(NamedTuple):
    """An encoded report for the entries that need all work, and a partial one for the others.

    `partial` is None if there is nothing to tell the others.
    """

    whole: bytes
    partial: bytes | None


class SharedWorkload:
    """All running work that this entry knows of, its own and that of its peers.

    It also keeps the retry budget that the entries share, and exchanges which targets are suspended,
    slow or leaving: `on_suspended`, `on_slow` and `on_leaving` are called with the reports of peers,
    `on_slow` with the ratio of measured to predicted duration, `on_leaving` with the instant of the
    target's start. `on_crash` is called with each reported crash of a target, `on_acquittal` with a
    part of prompts and the instant of its answer, `on_trial` with a part of which another entry sends one
    request alone; `crashes_to_tell` and `acquittals_to_tell` return
    what whole reports tell. `on_limit` is called with each limit that a target has named or ended: its
    hash, the instant of its start, the rate or None, and the instant of the news; `limits_to_tell`
    returns those that whole reports tell. `on_cold` is called with a target that has said in a response
    that it is cold: its hash, the instant of its start, and for how long. `on_waiting` is called with
    what a peer tells of its waiting requests, `waiting_to_tell` returns that of this entry, and
    `on_work_end` is called when work of this entry or a peer has ended. `on_start` is called with a peer
    that has started again.
    Targets and services are given as hashes of their names.
    """

    def __init__(self, node: str, start_id: int, clock: Clock, budget: RetryBudgetSettings) -> None:
        self._node = node
        self._start_id = start_id
        self._clock = clock
        self._view = PoolView()
        self._retry_budget = RetryBudget(budget)
        self._serial = 0
        self._full_report_count = 0
        self._last_work_number = 0
        self._started: list[RunningAttempt] = []
        self._prefilled: list[int] = []
        self._ended: list[int] = []
        self._suspended: list[int] = []
        self._slow: dict[int, int] = {}
        self._leaving: dict[int, int] = {}
        self._unreported_leaving: dict[int, int] = {}
        self._crashes: list[TargetCrash] = []
        self._acquittals: list[tuple[str, Millis]] = []
        self._trials: list[str] = []
        self._limits: list[LimitNews] = []
        self._cold: list[ColdReport] = []
        self._requests: Counter[int] = Counter()
        self._peers: dict[str, _Peer] = {}
        self._widely_reported: set[int] = set()
        self._had_work = False
        self._had_wide_work = False
        self._summary_serial = 0
        self._summarizers: dict[str, dict[str, tuple[int, int]]] = {}
        self.slack_share = 1.0
        self._last_full_report_ms: Millis = float("-inf")
        self._has_changes = trio.Event()
        self._work_ended = trio.Event()
        self.on_suspended: Callable[[int], None] = lambda _: None
        self.on_slow: Callable[[int, float], None] = lambda _, __: None
        self.on_leaving: Callable[[int, int], None] = lambda _, __: None
        self.on_crash: Callable[[TargetCrash], None] = lambda _: None
        self.on_acquittal: Callable[[str, Millis], None] = lambda _, __: None
        self.on_trial: Callable[[str], None] = lambda _: None
        self.crashes_to_tell: Callable[[int], list[TargetCrash]] = lambda _: []
        self.acquittals_to_tell: Callable[[int], list[tuple[str, Millis]]] = lambda _: []
        self.on_start: Callable[[str], None] = lambda _: None
        self.on_limit: Callable[[int, int, float | None, Millis], None] = lambda *_: None
        self.on_cold: Callable[[int, int, Millis], None] = lambda *_: None
        self.limits_to_tell: Callable[[int], list[LimitNews]] = lambda _: []
        self.on_waiting: Callable[[str, list[WaitingReport]], None] = lambda _, __: None
        self.waiting_to_tell: Callable[[], list[WaitingReport]] = list
        self.on_work_end: Callable[[], None] = lambda: None

    @property
    def view(self) -> PoolView:
        """Return the running work by target."""
        return self._view

    @property
    def peer_count(self) -> int:
        """Return how many other entries send whole reports."""
        return sum(not peer.is_partial for peer in self._peers.values())

    @property
    def summary_count(self) -> int:
        """Return from how many other data centres there are summaries."""
        return len(self._view.summary_sources)

    @property
    def full_report_count(self) -> int:
        """Return how many full reports this entry has sent."""
        return self._full_report_count

    @property
    def oldest_report_ms(self) -> Millis:
        """Return the age of the oldest newest report among the peers that have work in progress.

        A peer without work reports less often, and nothing that it doesn't tell is of use.
        """
        now_ms, working = self._clock.monotonic_ms(), self._view.entries
        ages = [now_ms - peer.received_ms for node, peer in self._peers.items() if node in working]
        return max(ages, default=0.0)

    def report_age_ms(self, target: int) -> Millis:
        """Return the age of the oldest newest report among the peers that have work on a target."""
        now_ms, load = self._clock.monotonic_ms(), self._view.load_of(target)
        peers = [self._peers.get(entry) for entry, _ in (*load.running, *load.helping)]
        ages = [now_ms - peer.received_ms for peer in peers if peer is not None]
        return max(ages, default=0.0)

    async def wait_for_work_end(self) -> None:
        """Wait until some work of this entry or a peer has ended."""
        await self._work_ended.wait()

    def count_request(self, service: int) -> None:
        """Count a request of this entry for the shared retry budget."""
        self._retry_budget.note_request(service, self._clock.monotonic_ms())
        self._requests[service] += 1
        self._has_changes.set()

    def allows_retry(self, service: int) -> bool:
        """Return whether the shared retry budget allows another attempt."""
        return self._retry_budget.allows_retry(
            service, self.peer_count, self._clock.monotonic_ms(), self.slack_share
        )

    def start(self, work: RunningAttempt) -> int:
        """Add an attempt of this entry; return its number."""
        now_ms = self._clock.monotonic_ms()
        self._last_work_number += 1
        work = work._replace(number=self._last_work_number)
        self._view.start(self._node, work, now_ms)
        if work.is_repeat:
            self._retry_budget.note_retry(work.service, now_ms, is_own=True)
        self._started.append(work)
        if work.is_widely_reported:
            self._widely_reported.add(work.number)
        self._has_changes.set()
        return self._last_work_number

    def finish_prefill(self, number: int) -> None:
        """Record that an attempt of this entry has read its prompt and sent its first token."""
        prefill_ms = self._view.finish_prefill(self._node, number, self._clock.monotonic_ms())
        if prefill_ms >= MIN_REPORTED_PREFILL_MS:
            self._prefilled.append(number)
            self._has_changes.set()

    def end(self, number: int) -> None:
        """Remove an attempt of this entry."""
        self._view.end(self._node, number, self._clock.monotonic_ms())
        self._ended.append(number)
        self._has_changes.set()
        self._notify_waiters()

    def report_suspended_target(self, target: int) -> None:
        """Tell the peers that this entry has suspended a target."""
        self._suspended.append(target)
        self._has_changes.set()

    def report_slow_target(self, target: int, slowdown: float) -> None:
        """Tell the peers how many times longer than predicted a target takes."""
        self._slow[target] = round(slowdown * 100)
        self._has_changes.set()

    def report_leaving_target(self, target: int, born_ms: int) -> None:
        """Tell the peers that a target has said in a response that it is leaving."""
        self._leaving[target] = self._unreported_leaving[target] = born_ms
        self._has_changes.set()

    def report_crash(self, crash: TargetCrash) -> None:
        """Tell the peers of a crash of a target."""
        self._crashes.append(crash)
        self._has_changes.set()

    def report_acquittal(self, part: str, at_ms: Millis) -> None:
        """Tell the peers that a request with a suspected part was answered."""
        self._acquittals.append((part, at_ms))
        self._has_changes.set()

    def report_trial(self, part: str) -> None:
        """Tell the peers that one request with a suspected part is sent alone."""
        self._trials.append(part)
        self._has_changes.set()

    def report_limit(self, news: LimitNews) -> None:
        """Tell the peers of a limit that a target names, or of its end."""
        self._limits.append(news)
        self._has_changes.set()

    def report_cold_target(self, target: int, born_ms: int, left_ms: Millis) -> None:
        """Tell the peers that a target has said in a response that it is cold."""
        self._cold.append(ColdReport(target, born_ms, round(left_ms)))
        self._has_changes.set()

    def report_waiting(self) -> None:
        """Tell the peers which requests wait at this entry."""
        self._has_changes.set()

    def keep_leaving_targets(self, targets: set[int]) -> None:
        """Drop all other targets from those that full reports list as leaving."""
        for target in self._leaving.keys() - targets:
            del self._leaving[target]

    async def next_report(self) -> OutgoingReports:
        """Return the next reports: changes once there are any, all work when that is due."""
        while True:
            with trio.move_on_after(FULL_REPORT_INTERVAL_MS / 1000.0):
                await self._has_changes.wait()
                await trio.sleep(REPORT_COALESCE_S)
            if self.is_report_due:
                return self.take_reports()

    @property
    def is_report_due(self) -> bool:
        """Return whether there is work to report; an entry without work reports that less often."""
        if self._has_changes.is_set() or self._had_work:
            return True
        silence_ms = self._clock.monotonic_ms() - self._last_full_report_ms
        return silence_ms >= IDLE_REPORT_INTERVAL_MS or self._node in self._view.entries

    def take_reports(self) -> OutgoingReports:
        """Return the reports of all changes since the last ones, or of all work when that is due."""
        now_ms = self._clock.monotonic_ms()
        works = self._view.work_of_entry(self._node)
        self._serial += 1
        is_full = now_ms >= self._last_full_report_ms + FULL_REPORT_INTERVAL_MS
        if is_full:
            self._last_full_report_ms = now_ms
            self._full_report_count += 1
            self._had_work = bool(works)
        self._has_changes = trio.Event()
        crashes, acquittals, limits = self._crashes, self._acquittals, self._limits
        if is_full and self._repeats_news:
            limits = [*limits, *self.limits_to_tell(MAX_TOLD_LIMITS)]
            crashes = [*crashes, *self.crashes_to_tell(MAX_TOLD_CRASHES)]
            acquittals = [*acquittals, *self.acquittals_to_tell(MAX_TOLD_ACQUITTALS)]
        report = WorkReport(
            self._node,
            self._start_id,
            self._serial,
            is_full,
            [_to_wire(work) for work in (works if is_full else self._started)],
            self._prefilled,
            self._ended,
            self._suspended,
            self._slow,
            dict(self._requests),
            dict(self._leaving) if is_full else self._unreported_leaving,
            crashes=[_crash_to_wire(crash, now_ms) for crash in crashes[:MAX_TOLD_CRASHES]],
            acquitted={
                part: round(now_ms - at_ms) for part, at_ms in acquittals[:MAX_TOLD_ACQUITTALS]
            },
            limits=[_limit_to_wire(news, now_ms) for news in limits[:MAX_TOLD_LIMITS]],
            trials=self._trials[:MAX_TOLD_TRIALS],
            cold=self._cold[-MAX_TOLD_COLD:],
            waiting=self.waiting_to_tell(),
        )
        partial = self._partial_report(report)
        self._widely_reported.difference_update(self._ended)
        self._started, self._prefilled, self._ended, self._suspended = [], [], [], []
        self._slow, self._unreported_leaving = {}, {}
        self._crashes, self._acquittals, self._limits, self._trials = [], [], [], []
        self._cold = []
        self._requests.clear()
        return OutgoingReports(
            msgspec.msgpack.encode(report),
            None if partial is None else msgspec.msgpack.encode(partial),
        )

    @property
    def _repeats_news(self) -> bool:
        """Return whether this full report repeats the crashes and limits that the entry knows.

        Of the entries that send each other whole reports about two do so at a time, in turn. What
        each of them receives therefore does not grow with their number.
        """
        turn_count = max(1, (self.peer_count + 1) // 2)
        return (self._full_report_count + name_hash(self._node)) % turn_count == 0

    def _partial_report(self, report: WorkReport) -> WorkReport | None:
        """Return what entries of other data centres need of a report, None if that is nothing."""
        wide = self._widely_reported
        started = [
            msgspec.structs.replace(item, is_repeat=False)
            for item in report.started
            if item.number in wide
        ]
        has_wide_work = bool(started) if report.is_whole else self._had_wide_work or bool(started)
        is_needed = has_wide_work or self._had_wide_work
        self._had_wide_work = has_wide_work
        partial = msgspec.structs.replace(
            report,
            started=started,
            read=[number for number in report.read if number in wide],
            ended=[number for number in report.ended if number in wide],
            requests={},
            is_partial=True,
            waiting=[],
        )
        news = (partial.started, partial.read, partial.ended)
        news += (partial.suspended, partial.slow, partial.leaving)
        news += (partial.crashes, partial.acquitted, partial.limits, partial.trials)
        news += (partial.cold,)
        return partial if any(news) or (report.is_whole and is_needed) else None

    def next_summary(
        self, data_centre: str, targets: Collection[int], entries: Collection[str]
    ) -> bytes:
        """Return the encoded summary of the work of a data centre's entries on its targets."""
        self._summary_serial += 1
        now_ms = self._clock.monotonic_ms()
        loads = self._view.summarize(targets, {*entries, self._node}, now_ms)
        summary = PoolSummary(
            self._node,
            self._start_id,
            self._summary_serial,
            data_centre,
            {
                target: TargetSummary(
                    load.active,
                    load.context_tokens,
                    round(load.pause_goal_ms),
                    round(load.backlog_ms),
                )
                for target, load in loads.items()
            },
        )
        return msgspec.msgpack.encode(summary)

    def receive_summary(self, summary: PoolSummary) -> None:
        """Apply another data centre's summary; summaries that arrive out of order are ignored."""
        senders = self._summarizers.setdefault(summary.data_centre, {})
        start_id, serial = senders.get(summary.node, (summary.start_id, -1))
        if summary.start_id == start_id and summary.serial <= serial:
            return
        senders[summary.node] = (summary.start_id, summary.serial)
        loads = {
            target: SummarizedLoad(
                load.active,
                load.context_tokens,
                float(load.pause_goal_ms),
                float(load.backlog_ms),
            )
            for target, load in summary.loads.items()
        }
        self._view.apply_summary(summary.data_centre, loads, self._clock.monotonic_ms())

    def receive(self, report: WorkReport) -> None:
        """Apply a peer's report; reports that arrive out of order are ignored."""
        now_ms = self._clock.monotonic_ms()
        peer = self._peers.get(report.node)
        if report.node == self._node:
            return
        is_same_start = peer is not None and peer.start_id == report.start_id
        if is_same_start and report.serial <= peer.serial:
            return
        if peer is not None and not is_same_start:
            self._view.keep_only(report.node, set(), now_ms)
            self.on_start(report.node)
        self._peers[report.node] = _Peer(report.start_id, report.serial, now_ms, report.is_partial)
        self._apply(report, now_ms)

    def drop_silent_peers(self) -> None:
        """Drop the work of entries that send no more reports, and forget silent entries."""
        now_ms = self._clock.monotonic_ms()
        working = self._view.entries
        for node, peer in list(self._peers.items()):
            silence_ms = now_ms - peer.received_ms
            if node in working and silence_ms >= PEER_TIMEOUT_MS:
                del self._peers[node]
                self._view.keep_only(node, set(), now_ms)
                self._notify_waiters()
            elif silence_ms >= PEER_RETENTION_MS:
                del self._peers[node]
        self._view.drop_old_summaries(now_ms)
        for data_centre in self._summarizers.keys() - self._view.summary_sources:
            del self._summarizers[data_centre]

    def _apply(self, report: WorkReport, now_ms: Millis) -> None:
        for service, count in report.requests.items():
            for _ in range(min(count, 1000)):
                self._retry_budget.note_request(service, now_ms)
        works = [_from_wire(item) for item in report.started]
        if report.is_whole:
            self._view.keep_only(report.node, {work.number for work in works}, now_ms)
        for work in works:
            if self._view.start(report.node, work, now_ms) and work.is_repeat:
                self._retry_budget.note_retry(work.service, now_ms, is_own=False)
        for number in report.read:
            self._view.finish_prefill(report.node, number, now_ms)
        for number in report.ended:
            self._view.end(report.node, number, now_ms)
        for target in report.suspended:
            self.on_suspended(target)
        for target, hundredths in report.slow.items():
            self.on_slow(target, hundredths / 100.0)
        for target, born_ms in report.leaving.items():
            self.on_leaving(target, born_ms)
        self._apply_crashes(report, now_ms)
        for item in report.limits:
            self.on_limit(item.target, item.born_ms, item.rate_per_s, now_ms - item.age_ms)
        for item in report.cold:
            self.on_cold(item.target, item.born_ms, float(item.left_ms))
        if not report.is_partial:
            self.on_waiting(report.node, report.waiting)
        if report.ended:
            self._notify_waiters()

    def _apply_crashes(self, report: WorkReport, now_ms: Millis) -> None:
        """Pass on a report's crashes, the oldest first, and its acquittals."""
        for item in sorted(report.crashes, key=lambda item: -item.age_ms):
            crash_id = (item.target, item.born_ms)
            sent_ms = None if item.sent_age_ms is None else now_ms - item.sent_age_ms
            self.on_crash(TargetCrash(crash_id, now_ms - item.age_ms, tuple(item.parts), sent_ms))
        for part, age_ms in report.acquitted.items():
            self.on_acquittal(part, now_ms - age_ms)
        for part in report.trials:
            self.on_trial(part)

    def _notify_waiters(self) -> None:
        self._work_ended.set()
        self._work_ended = trio.Event()
        self.on_work_end()


def _crash_to_wire(crash: TargetCrash, now_ms: Millis) -> CrashReport:
    target, born_ms = crash.crash_id
    parts = list(crash.parts[:MAX_PARTS_PER_CRASH])
    sent_age_ms = None if crash.sent_ms is None else round(now_ms - crash.sent_ms)
    return CrashReport(target, born_ms, round(now_ms - crash.at_ms), parts, sent_age_ms)


def _limit_to_wire(news: LimitNews, now_ms: Millis) -> LimitReport:
    target, born_ms = news.start
    return LimitReport(name_hash(target), born_ms, news.rate_per_s, round(now_ms - news.at_ms))


def _to_wire(work: RunningAttempt) -> WorkStarted:
    return WorkStarted(
        work.number,
        work.service,
        list(work.targets),
        round(work.prefill_ms),
        work.context_tokens,
        work.held_tokens,
        round(work.pause_goal_ms),
        round(work.goal_in_ms),
        work.is_repeat,
        work.is_widely_reported,
    )


def _from_wire(item: WorkStarted) -> RunningAttempt:
    return RunningAttempt(
        item.number,
        item.service,
        tuple(item.targets),
        float(item.reading_ms),
        item.context_tokens,
        item.held_tokens,
        float(item.pause_goal_ms),
        float(item.goal_in_ms),
        item.is_repeat,
        item.is_widely_reported,
    )
