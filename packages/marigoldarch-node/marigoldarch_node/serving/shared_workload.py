"""Exchange of running work among entries: each reports its own, and keeps that of the others.

The reports are datagrams, any of which may be lost. A report lists the changes since the previous
one, a full report all running work of its sender. The peers of an entry are the other entries.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from marigoldarch.serving.pool_view import MIN_REPORTED_PREFILL_MS, PoolView, RunningAttempt
from marigoldarch.serving.retry_budget import RetryBudget, RetryBudgetSettings
from marigoldarch.serving.work_reports import WorkReport, WorkStarted

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock, Millis

REPORT_COALESCE_S = 0.008
"""Changes within this time are sent in one datagram: a sixth of an engine pass."""

FULL_REPORT_INTERVAL_MS: Millis = 1500.0
"""How often an entry sends a full report, which makes up for lost datagrams."""

PEER_TIMEOUT_MS: Millis = 4000.0
"""The work of a peer is dropped when two of its full reports are missing."""


class _Peer(NamedTuple):
    """The newest report of a peer; `start_id` differs for each start of its process."""

    start_id: int
    serial: int
    received_ms: Millis


class SharedWorkload:
    """All running work that this entry knows of, its own and that of its peers.

    It also keeps the retry budget that the entries share, and exchanges which targets are suspended,
    slow or leaving: `on_suspended`, `on_slow` and `on_leaving` are called with the reports of peers,
    `on_slow` with the ratio of measured to predicted duration, `on_leaving` with the instant of the
    target's start. Targets and services are given as hashes of their names.
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
        self._requests: Counter[int] = Counter()
        self._peers: dict[str, _Peer] = {}
        self._last_full_report_ms: Millis = float("-inf")
        self._has_changes = trio.Event()
        self._work_ended = trio.Event()
        self.on_suspended: Callable[[int], None] = lambda _: None
        self.on_slow: Callable[[int, float], None] = lambda _, __: None
        self.on_leaving: Callable[[int, int], None] = lambda _, __: None

    @property
    def view(self) -> PoolView:
        """Return the running work by target."""
        return self._view

    @property
    def peer_count(self) -> int:
        """Return how many other entries send reports."""
        return len(self._peers)

    @property
    def full_report_count(self) -> int:
        """Return how many full reports this entry has sent."""
        return self._full_report_count

    @property
    def oldest_report_ms(self) -> Millis:
        """Return the age of the newest report of the peer that is heard from least recently."""
        now_ms = self._clock.monotonic_ms()
        return max((now_ms - peer.received_ms for peer in self._peers.values()), default=0.0)

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
        return self._retry_budget.allows_retry(service, self.peer_count, self._clock.monotonic_ms())

    def start(self, work: RunningAttempt) -> int:
        """Add an attempt of this entry; return its number."""
        now_ms = self._clock.monotonic_ms()
        self._last_work_number += 1
        work = work._replace(number=self._last_work_number)
        self._view.start(self._node, work, now_ms)
        if work.is_repeat:
            self._retry_budget.note_retry(work.service, now_ms, is_own=True)
        self._started.append(work)
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

    def keep_leaving_targets(self, targets: set[int]) -> None:
        """Drop all other targets from those that full reports list as leaving."""
        for target in self._leaving.keys() - targets:
            del self._leaving[target]

    async def next_report(self) -> bytes:
        """Return the next encoded report: changes once there are any, all work when that is due."""
        with trio.move_on_after(FULL_REPORT_INTERVAL_MS / 1000.0):
            await self._has_changes.wait()
            await trio.sleep(REPORT_COALESCE_S)
        self._serial += 1
        now_ms = self._clock.monotonic_ms()
        is_full = now_ms >= self._last_full_report_ms + FULL_REPORT_INTERVAL_MS
        if is_full:
            self._last_full_report_ms = now_ms
            self._full_report_count += 1
        self._has_changes = trio.Event()
        works = self._view.work_of_entry(self._node) if is_full else self._started
        report = WorkReport(
            self._node,
            self._start_id,
            self._serial,
            is_full,
            [_to_wire(work) for work in works],
            self._prefilled,
            self._ended,
            self._suspended,
            self._slow,
            dict(self._requests),
            dict(self._leaving) if is_full else self._unreported_leaving,
        )
        self._started, self._prefilled, self._ended, self._suspended = [], [], [], []
        self._slow, self._unreported_leaving = {}, {}
        self._requests.clear()
        return msgspec.msgpack.encode(report)

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
        self._peers[report.node] = _Peer(report.start_id, report.serial, now_ms)
        self._apply(report, now_ms)

    def drop_silent_peers(self) -> None:
        """Drop the work of entries that send no more reports."""
        now_ms = self._clock.monotonic_ms()
        for node, peer in list(self._peers.items()):
            if now_ms >= peer.received_ms + PEER_TIMEOUT_MS:
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
        if report.ended:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._work_ended.set()
        self._work_ended = trio.Event()


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
    )
