"""Stateful fuzzing of the reports among 36 entries in three data centres, against an oracle.

Datagrams are lost, doubled and delayed, relays stop, and entries restart. The oracle is the list of
attempts that are really in progress.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter

import msgspec
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from marigoldarch.clock import ManualClock
from marigoldarch.serving.pool_view import RunningAttempt
from marigoldarch.serving.report_recipients import (
    EntryNode,
    is_summarizer,
    relay_recipients,
    report_recipients,
)
from marigoldarch.serving.retry_budget import RetryBudgetSettings
from marigoldarch.serving.work_reports import PoolSummary, WorkReport
from marigoldarch_node.serving.shared_workload import PEER_TIMEOUT_MS, SharedWorkload

DATA_CENTRES = ("a", "b", "c")
ENTRIES_PER_DATA_CENTRE = 12
TARGETS_PER_DATA_CENTRE = 4
SERVICE = 5
BUDGET = RetryBudgetSettings(slack=30.0)
SETTLING_STEPS = 16
STEP_MS = 500.0
NODES = [
    EntryNode(f"{data_centre}{number}", data_centre)
    for data_centre in DATA_CENTRES
    for number in range(ENTRIES_PER_DATA_CENTRE)
]
FUZZ_SETTINGS = settings(max_examples=25, stateful_step_count=30, derandomize=True, deadline=None)
SEARCH_SETTINGS = settings(FUZZ_SETTINGS, phases=(Phase.generate,))

node_picks = strategies.integers(0, len(NODES) - 1)
picks = strategies.integers(0, 999)


def targets_of(data_centre: str) -> list[int]:
    """Return the hashes of a data centre's targets."""
    first = 100 * (1 + DATA_CENTRES.index(data_centre))
    return list(range(first, first + TARGETS_PER_DATA_CENTRE))


class ReportExchangeMachine(RuleBasedStateMachine):
    """Entries that start and end attempts, and a network that loses, doubles and delays datagrams."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(1000.0)
        self.rng = random.Random(1)
        self.starts = dict.fromkeys(NODES, 1)
        self.entries = {node: self._new_entry(node) for node in NODES}
        self.running: dict[EntryNode, dict[int, RunningAttempt]] = {node: {} for node in NODES}
        self.down: set[EntryNode] = set()
        self.delayed: list[tuple[EntryNode, bytes]] = []
        self.loss = 0.0

    def _new_entry(self, node: EntryNode) -> SharedWorkload:
        entry = SharedWorkload(node.node, self.starts[node], self.clock, BUDGET)
        entry.slack_share = 1 / len(DATA_CENTRES)
        return entry

    @rule(pick=node_picks, place=picks, is_long=strategies.booleans(), is_far=strategies.booleans())
    def start(self, pick: int, place: int, is_long: bool, is_far: bool) -> None:
        """Start an attempt at an entry, on a target of its data centre or of another."""
        node = NODES[pick]
        if node in self.down:
            return
        index = DATA_CENTRES.index(node.data_centre) + is_far
        targets = targets_of(DATA_CENTRES[index % len(DATA_CENTRES)])
        chosen = targets[place % len(targets)]
        prefill_ms = 3000.0 if is_long else 30.0
        work = RunningAttempt(0, SERVICE, (chosen,), prefill_ms, 1000, 0, 250.0, 300.0, False)
        work = work._replace(is_widely_reported=is_far)
        number = self.entries[node].start(work)
        self.running[node][number] = work

    @rule(pick=picks)
    def end(self, pick: int) -> None:
        """End one of the attempts in progress."""
        found = [(node, number) for node, works in self.running.items() for number in works]
        if found:
            node, number = found[pick % len(found)]
            self.entries[node].end(number)
            del self.running[node][number]

    @rule(loss=strategies.sampled_from((0.0, 0.3, 1.0)))
    def set_loss(self, loss: float) -> None:
        """Change the share of datagrams that are lost."""
        self.loss = loss

    @rule(pick=node_picks)
    def stop(self, pick: int) -> None:
        """Stop an entry, which ends its attempts."""
        self.down.add(NODES[pick])
        self.running[NODES[pick]].clear()

    @rule(pick=picks)
    def restart(self, pick: int) -> None:
        """Start a stopped entry again."""
        if self.down:
            node = sorted(self.down)[pick % len(self.down)]
            self.down.discard(node)
            self.starts[node] += 1
            self.entries[node] = self._new_entry(node)

    @rule(count=strategies.integers(1, 3))
    def exchange(self, count: int) -> None:
        """Let time pass, and let all entries that are up send what is due."""
        for _ in range(count):
            self.clock.advance(STEP_MS)
            for node, entry in self.entries.items():
                if node not in self.down:
                    self._send_due(node, entry)
                    entry.drop_silent_peers()

    def _send_due(self, node: EntryNode, entry: SharedWorkload) -> None:
        recipients = report_recipients(node, NODES, entry.full_report_count)
        if entry.is_report_due:
            reports = entry.take_reports()
            for name in recipients.direct:
                self._send(name, reports.whole)
            if reports.partial is not None:
                self._send_relayed(recipients.relays, reports.partial)
        if is_summarizer(node, [item for item in NODES if item not in self.down]):
            local = [item.node for item in NODES if item.data_centre == node.data_centre]
            summary = entry.next_summary(node.data_centre, targets_of(node.data_centre), local)
            self._send_relayed(recipients.relays, summary)

    def _send_relayed(self, relays: tuple[str, ...], data: bytes) -> None:
        for relay in relays:
            node = EntryNode(relay, relay[0])
            if node not in self.down and self._send(relay, data):
                for name in relay_recipients(node, NODES):
                    self._send(name, data)

    def _send(self, name: str, data: bytes) -> bool:
        """Deliver a datagram unless it is lost; some are delivered twice, the second time late."""
        node = EntryNode(name, name[0])
        if node in self.down or self.rng.random() < self.loss:
            return False
        self._deliver(node, data)
        if self.loss and self.rng.random() < 0.1:
            self.delayed.append((node, data))
        return True

    def _deliver(self, node: EntryNode, data: bytes) -> None:
        match msgspec.msgpack.decode(data, type=WorkReport | PoolSummary):
            case WorkReport() as report:
                self.entries[node].receive(report)
            case PoolSummary() as summary:
                self.entries[node].receive_summary(summary)

    @rule(pick=picks)
    def deliver_late(self, pick: int) -> None:
        """Deliver a doubled datagram late."""
        if self.delayed:
            node, data = self.delayed.pop(pick % len(self.delayed))
            if node not in self.down:
                self._deliver(node, data)

    def teardown(self) -> None:
        """Check that all entries agree on the work in progress once nothing is lost any more."""
        self.loss = 0.0
        self.delayed.clear()
        while self.down:
            self.restart(0)
        self.exchange(SETTLING_STEPS)
        assert SETTLING_STEPS * STEP_MS > PEER_TIMEOUT_MS
        really_active = Counter(
            work.targets[0] for works in self.running.values() for work in works.values()
        )
        for node, entry in self.entries.items():
            for data_centre in DATA_CENTRES:
                for target in targets_of(data_centre):
                    known = entry.view.load_of(target).active
                    assert known == really_active[target], (node, target, known, really_active)
        for data_centre in DATA_CENTRES:
            entries = [node for node in NODES if node.data_centre == data_centre]
            counts = {self.entries[node].peer_count for node in entries}
            assert counts == {ENTRIES_PER_DATA_CENTRE - 1}, counts


class ReportExchangeTests(unittest.TestCase):
    """Runs of the machine."""

    def test_entries_agree_on_the_work_in_progress(self) -> None:
        run_state_machine_as_test(ReportExchangeMachine, settings=FUZZ_SETTINGS)

    def test_reports_that_relays_do_not_forward_are_missed(self) -> None:
        """The check must see entries that do not hear of work elsewhere."""

        class ForgetfulMachine(ReportExchangeMachine):
            """Lets relays drop all that they should forward."""

            def _send_relayed(self, relays: tuple[str, ...], data: bytes) -> None:
                for relay in relays:
                    self._send(relay, data)

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(ForgetfulMachine, settings=SEARCH_SETTINGS)

    def test_entry_receives_a_bounded_number_of_reports_of_an_idle_installation(self) -> None:
        """Guards against idle traffic that grows with the square of the number of entries."""
        machine = ReportExchangeMachine()
        received = 0
        machine.exchange(20)
        for node, entry in machine.entries.items():
            received += len(report_recipients(node, NODES, 0).direct) * entry.is_report_due
        machine.exchange(1)
        self.assertLess(received, len(NODES) * ENTRIES_PER_DATA_CENTRE)
