"""Tests of what entries tell each other of crashes of targets."""

from __future__ import annotations

import itertools
import unittest
from typing import NamedTuple
from unittest.mock import patch

import msgspec

from marigoldarch.clock import ManualClock
from marigoldarch.serving.targets import TargetStart
from marigoldarch.serving.work_reports import WorkReport
from marigoldarch_node.serving import entry_state
from marigoldarch_node.serving.entry_state import EntryState
from marigoldarch_node.serving.settings import ServingSettings
from marigoldarch_node.serving.shared_workload import FULL_REPORT_INTERVAL_MS, MAX_TOLD_CRASHES

REQUEST = "request:0f"


class Call(NamedTuple):
    """A request with parts of a prompt; no other one has the same identity, by default."""

    shared_parts: tuple[str, ...]
    identity: str


def call(*parts: str, identity: str = "") -> Call:
    """Return a request that shares only these parts with others, or an identity, too."""
    return Call(parts, identity or f"request:{next(SERIAL)}")


SERIAL = itertools.count()
FAULTY = ("first", "faulty")


class CrashReportTests(unittest.TestCase):
    """Entries that exchange reports.

    Load pattern: requests with a part that crashes targets come at any entry, and entries restart.
    """

    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.first, self.second = self.entry(1), self.entry(2)

    def entry(self, number: int) -> EntryState:
        """Return the state of a new entry."""
        settings = ServingSettings(f"e{number}", f"10.0.0.{number}", "dc1", 7340, ["10.0.1.1:80"])
        with patch.object(entry_state, "SystemClock", lambda: self.clock):
            return EntryState(settings, number)

    def crash(self, state: EntryState, number: int, *parts: str, identity: str = "") -> None:
        """Let a target crash under a request of an entry that was sent 50 ms ago."""
        self.clock.advance(50.0)
        sent_ms = self.clock.monotonic_ms()
        self.clock.advance(50.0)
        request = call(*parts, identity=identity)
        state.crashes.record_crash(TargetStart(f"t{number}", 7), request, sent_ms)

    def tell(self, sender: EntryState, *receivers: EntryState) -> WorkReport:
        """Let entries receive the next report of another one; return it."""
        data = sender.workload.take_reports().whole
        report = msgspec.msgpack.decode(data, type=WorkReport)
        for receiver in receivers:
            receiver.workload.receive(report)
        return report

    def test_crashes_at_several_entries_add_up_to_a_quarantine(self) -> None:
        self.tell(self.first, self.second)
        self.crash(self.first, 1, *FAULTY)
        self.crash(self.second, 2, *FAULTY)
        self.crash(self.first, 3, *FAULTY)
        self.tell(self.first, self.second)
        self.assertEqual(self.second.crashes.find_quarantine(call(*FAULTY)).crashes, 3)
        self.assertIsNone(self.first.crashes.find_quarantine(call(*FAULTY)))

    def test_restarted_entry_learns_of_a_quarantine_from_entries_that_saw_no_crash(self) -> None:
        """Guards against a quarantine that ends with the entries that saw the crashes."""
        self.tell(self.first)
        for number in range(3):
            self.crash(self.first, number, *FAULTY)
        self.tell(self.first, self.second)
        self.clock.advance(FULL_REPORT_INTERVAL_MS)
        self.second.workload.count_request(5)
        restarted = self.entry(1)
        self.tell(self.second, restarted)
        self.assertIsNotNone(restarted.crashes.find_quarantine(call(*FAULTY)))

    def test_answer_at_one_entry_acquits_a_part_at_all(self) -> None:
        self.tell(self.first)
        for number in range(3):
            self.crash(self.first, number, "sound")
        self.tell(self.first, self.second)
        self.assertIsNotNone(self.second.crashes.find_quarantine(call("sound")))
        self.clock.advance(1.0)
        self.first.crashes.record_answer(call("sound"))
        self.tell(self.first, self.second)
        self.assertIsNone(self.second.crashes.find_quarantine(call("sound")))

    def test_full_report_makes_up_for_a_lost_acquittal(self) -> None:
        self.tell(self.first)
        for number in range(3):
            self.crash(self.first, number, "sound")
        self.tell(self.first, self.second)
        self.clock.advance(1.0)
        self.first.crashes.record_answer(call("sound"))
        self.tell(self.first)
        self.clock.advance(FULL_REPORT_INTERVAL_MS)
        self.first.workload.count_request(5)
        self.tell(self.first, self.second)
        self.assertIsNone(self.second.crashes.find_quarantine(call("sound")))

    def test_entries_without_crashes_tell_nothing_of_them(self) -> None:
        self.first.workload.count_request(5)
        self.first.crashes.record_answer(call(*FAULTY))
        report = self.tell(self.first)
        self.assertEqual((report.crashes, report.acquitted), ([], {}))

    def test_repeated_crashes_do_not_grow_with_the_entries(self) -> None:
        """Guards against reports of each entry that all repeat the same crashes."""
        entries = [self.entry(number) for number in range(1, 41)]
        for sender in entries:
            sender.workload.count_request(5)
            self.tell(sender, *(entry for entry in entries if entry is not sender))
        for number in range(3):
            self.crash(entries[0], number, *FAULTY)
        self.tell(entries[0], *entries[1:])
        told = []
        for _ in range(20):
            self.clock.advance(FULL_REPORT_INTERVAL_MS)
            for sender in entries:
                sender.workload.count_request(5)
            told.append(sum(bool(self.tell(sender).crashes) for sender in entries))
        self.assertEqual(sum(told), 40)
        self.assertTrue(all(number <= 8 for number in told), told)

    def test_report_stays_bounded_under_hostile_prompts(self) -> None:
        for number in range(300):
            self.crash(self.first, number, *(f"{number}-{part}" for part in range(32)))
        report = self.tell(self.first)
        self.assertLessEqual(len(report.crashes), MAX_TOLD_CRASHES)
        self.assertLess(len(msgspec.msgpack.encode(report)), 8192)

    def test_full_report_tells_new_crashes_beside_many_of_an_older_quarantine(self) -> None:
        """Guards against a second faulty part whose crashes at several entries never add up."""
        for number in range(MAX_TOLD_CRASHES):
            self.crash(self.first, number, "first", "old")
        self.tell(self.first, self.second)
        for number in range(100, 104):
            self.clock.advance(FULL_REPORT_INTERVAL_MS)
            sender, receiver = (self.first, self.second)[:: 1 if number % 2 else -1]
            self.crash(sender, number, "other", "new")
            self.assertTrue(self.tell(sender, receiver).is_whole)
        self.assertIsNotNone(self.first.crashes.find_quarantine(call("other", "new")))

    def test_crashes_under_repeats_of_a_request_add_up_to_a_quarantine(self) -> None:
        """Guards against a request without a prompt that crashes target after target."""
        repeat = call(identity=REQUEST)
        for number in range(3):
            sender, receiver = (self.first, self.second)[:: 1 if number % 2 else -1]
            self.assertIsNone(sender.crashes.find_quarantine(repeat))
            self.crash(sender, number, identity=REQUEST)
            self.tell(sender, receiver)
        self.assertIsNotNone(self.first.crashes.find_quarantine(repeat))
        self.assertIsNotNone(self.second.crashes.find_quarantine(repeat))
        self.assertIsNone(self.second.crashes.find_quarantine(call()))

    def test_one_repeat_at_a_time_tries_for_all_entries_after_a_quarantine(self) -> None:
        """Guards against several entries that try a crashing request at the end of its quarantine."""
        for number in range(3):
            self.crash(self.first, number, identity=REQUEST)
        self.tell(self.first, self.second)
        self.clock.advance(12_000.0)
        tried = call(identity=REQUEST)
        self.assertIsNone(self.first.crashes.find_quarantine(tried))
        self.tell(self.first, self.second)
        for entry in (self.first, self.second):
            self.assertIsNone(self.first.crashes.find_quarantine(tried))
            refusal = entry.crashes.find_quarantine(call(identity=REQUEST))
            self.assertLessEqual(refusal.left_ms, 2000.0)
        self.clock.advance(2100.0)
        self.assertIsNone(self.second.crashes.find_quarantine(call(identity=REQUEST)))

    def test_answer_to_the_tried_request_lets_its_repeats_through(self) -> None:
        for number in range(3):
            self.crash(self.first, number, identity=REQUEST)
        self.tell(self.first, self.second)
        self.clock.advance(12_000.0)
        tried = call(identity=REQUEST)
        self.assertIsNone(self.first.crashes.find_quarantine(tried))
        self.first.crashes.record_answer(tried)
        self.tell(self.first, self.second)
        for entry in (self.first, self.second):
            self.assertIsNone(entry.crashes.find_quarantine(call(identity=REQUEST)))

    def test_identity_of_a_request_is_told_beside_many_parts(self) -> None:
        """Guards against long prompts in whose reports their identity is left out."""
        for number in range(3):
            parts = [f"{number}-{part}" for part in range(32)]
            self.crash(self.first, number, *parts, identity=REQUEST)
            self.tell(self.first, self.second)
        self.assertIsNotNone(self.second.crashes.find_quarantine(call(identity=REQUEST)))

    def test_identities_are_not_taken_while_no_request_is_suspected(self) -> None:
        class Unread:
            shared_parts = ("first",)

            @property
            def identity(self) -> str:
                raise AssertionError("a digest of the body was taken")

        self.first.crashes.find_quarantine(Unread())
        self.first.crashes.record_answer(Unread())
        self.crash(self.first, 1, identity=REQUEST)
        with self.assertRaises(AssertionError):
            self.first.crashes.find_quarantine(Unread())
        self.first.crashes.record_answer(call(identity=REQUEST))
        self.first.crashes.find_quarantine(Unread())
