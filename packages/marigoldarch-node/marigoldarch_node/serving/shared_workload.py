"""An entry's own work, told to its peers, and theirs as they tell it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from marigoldarch.serving.pool_view import READING_WORTH_TELLING_MS, PoolView, RunningWork
from marigoldarch.serving.retry_budget import RetryBudget, RetryBudgetSettings
from marigoldarch.serving.work_reports import WorkReport, WorkStarted

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock, Millis

COALESCE_S = 0.008
"""Changes of this time travel in one datagram: a sixth of an engine's pass."""

FULL_REPORT_INTERVAL_MS: Millis = 1500.0
"""How often an entry tells all its work, which makes lost datagrams good."""

PEER_TIMEOUT_MS: Millis = 4000.0
"""The work of a peer of which two whole reports are missing is forgotten."""


class _Peer(NamedTuple):
    start_id: int
    serial: int
    heard_ms: Millis


class SharedWorkload:
    """What runs anywhere, as this entry knows it."""

    def __init__(self, node: str, start_id: int, clock: Clock, budget: RetryBudgetSettings) -> None:
        self._node = node
        self._start_id = start_id
        self._clock = clock
        self._view = PoolView()
        self._retry_budget = RetryBudget(budget)
        self._serial = 0
        self._full_reports = 0
        self._last_work_number = 0
        self._started: list[RunningWork] = []
        self._finished_reading: list[int] = []
        self._ended: list[int] = []
        self._suspended: list[int] = []
        self._slow: dict[int, int] = {}
        self._requests: Counter[int] = Counter()
        self._peers: dict[str, _Peer] = {}
        self._last_full_report_ms: Millis = float("-inf")
        self._has_changes = trio.Event()
        self._work_ended = trio.Event()
        self.on_suspended: Callable[[int], None] = lambda _: None
        self.on_slow: Callable[[int, float], None] = lambda _, __: None

    @property
    def view(self) -> PoolView:
        """Return the work on each target."""
        return self._view

    @property
    def peers(self) -> int:
        """Return how many other entries are heard of."""
        return len(self._peers)

    @property
    def full_reports(self) -> int:
        """Return how many reports of all the work there have been."""
        return self._full_reports

    @property
    def oldest_report_ms(self) -> Millis:
        """Return the age of the oldest report that the view rests on."""
        now_ms = self._clock.monotonic_ms()
        return max((now_ms - peer.heard_ms for peer in self._peers.values()), default=0.0)

    async def wait_for_work_end(self) -> None:
        """Return when work has ended anywhere."""
        await self._work_ended.wait()

    def count_request(self, service: int) -> None:
        """Count a request of this entry for the budget of all."""
        self._retry_budget.note_request(service, self._clock.monotonic_ms())
        self._requests[service] += 1
        self._has_changes.set()

    def may_repeat(self, service: int) -> bool:
        """Return whether the shared budget has room for a repeat."""
        return self._retry_budget.may_repeat(service, self.peers, self._clock.monotonic_ms())

    def start(self, work: RunningWork) -> int:
        """Add work of this entry; return its number."""
        now_ms = self._clock.monotonic_ms()
        self._last_work_number += 1
        work = work._replace(number=self._last_work_number)
        self._view.start(self._node, work, now_ms)
        if work.is_repeat:
            self._retry_budget.note_repeat(work.service, now_ms, is_own=True)
        self._started.append(work)
        self._has_changes.set()
        return self._last_work_number

    def finish_reading(self, number: int) -> None:
        """Note the first token of work of this entry."""
        reading_ms = self._view.finish_reading(self._node, number, self._clock.monotonic_ms())
        if reading_ms >= READING_WORTH_TELLING_MS:
            self._finished_reading.append(number)
            self._has_changes.set()

    def end(self, number: int) -> None:
        """Remove work of this entry."""
        self._view.end(self._node, number, self._clock.monotonic_ms())
        self._ended.append(number)
        self._has_changes.set()
        self._notify_waiters()

    def report_suspended_target(self, target: int) -> None:
        """Tell the peers of a target that this entry has set aside."""
        self._suspended.append(target)
        self._has_changes.set()

    def report_slow_target(self, target: int, pace: float) -> None:
        """Tell the peers how many times longer than by the formula a target works."""
        self._slow[target] = round(pace * 100)
        self._has_changes.set()

    async def next_report(self) -> bytes:
        """Return the next report once there is news, all the work if that is due."""
        with trio.move_on_after(FULL_REPORT_INTERVAL_MS / 1000.0):
            await self._has_changes.wait()
            await trio.sleep(COALESCE_S)
        self._serial += 1
        now_ms = self._clock.monotonic_ms()
        is_whole = now_ms >= self._last_full_report_ms + FULL_REPORT_INTERVAL_MS
        if is_whole:
            self._last_full_report_ms = now_ms
            self._full_reports += 1
        self._has_changes = trio.Event()
        works = self._view.works_of(self._node) if is_whole else self._started
        report = WorkReport(
            self._node,
            self._start_id,
            self._serial,
            is_whole,
            [_to_wire(work) for work in works],
            self._finished_reading,
            self._ended,
            self._suspended,
            self._slow,
            dict(self._requests),
        )
        self._started, self._finished_reading, self._ended, self._suspended = [], [], [], []
        self._slow = {}
        self._requests.clear()
        return msgspec.msgpack.encode(report)

    def receive(self, report: WorkReport) -> None:
        """Take a peer's report; one that is older than another is ignored."""
        now_ms = self._clock.monotonic_ms()
        peer = self._peers.get(report.node)
        if report.node == self._node:
            return
        is_same_start = peer is not None and peer.start_id == report.start_id
        if is_same_start and report.serial <= peer.serial:
            return
        if peer is not None and not is_same_start:
            self._view.keep_only(report.node, set(), now_ms)
        self._peers[report.node] = _Peer(report.start_id, report.serial, now_ms)
        self._apply(report, now_ms)

    def forget_silent_peers(self) -> None:
        """Forget the work of entries that are no longer heard of."""
        now_ms = self._clock.monotonic_ms()
        for node, peer in list(self._peers.items()):
            if now_ms >= peer.heard_ms + PEER_TIMEOUT_MS:
                del self._peers[node]
                self._view.keep_only(node, set(), now_ms)
                self._notify_waiters()

    def _apply(self, report: WorkReport, now_ms: Millis) -> None:
        for service, count in report.requests.items():
            for _ in range(min(count, 1000)):
                self._retry_budget.note_request(service, now_ms)
        works = [_from_wire(item) for item in report.started]
        if report.is_whole:
            self._view.keep_only(report.node, {work.number for work in works}, now_ms)
        for work in works:
            if self._view.start(report.node, work, now_ms) and work.is_repeat:
                self._retry_budget.note_repeat(work.service, now_ms, is_own=False)
        for number in report.read:
            self._view.finish_reading(report.node, number, now_ms)
        for number in report.ended:
            self._view.end(report.node, number, now_ms)
        for target in report.suspended:
            self.on_suspended(target)
        for target, hundredths in report.slow.items():
            self.on_slow(target, hundredths / 100.0)
        if report.ended:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._work_ended.set()
        self._work_ended = trio.Event()


def _to_wire(work: RunningWork) -> WorkStarted:
    return WorkStarted(
        work.number,
        work.service,
        list(work.targets),
        round(work.reading_ms),
        work.context_tokens,
        work.held_tokens,
        round(work.pause_goal_ms),
        round(work.goal_in_ms),
        work.is_repeat,
    )


def _from_wire(item: WorkStarted) -> RunningWork:
    return RunningWork(
        item.number,
        item.service,
        tuple(item.targets),
        float(item.reading_ms),
        item.context_tokens,
        item.held_tokens,
        float(item.pause_goal_ms),
        float(item.goal_in_ms),
        item.is_repeat,
    )
