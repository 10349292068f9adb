"""Tests of the time line recorder and its hybrid logical clock."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from marigoldarch.codec import decode_json
from marigoldarch.effects import RecordEvent
from marigoldarch_node.timeline import recorder as recorder_module
from marigoldarch_node.timeline.hybrid_clock import MAX_CLOCK_LEAD_MS, HybridClock, HybridTimestamp
from marigoldarch_node.timeline.recorder import Filter, TimelineFile, TimelineRecorder


class HybridClockTests(unittest.TestCase):
    """Timestamps increase within a node and along the path of a message."""

    def test_timestamps_increase_when_the_wall_clock_steps_back(self) -> None:
        clock = HybridClock()
        timestamps = [clock.next(wall_ms) for wall_ms in (100, 100, 50, 101)]
        self.assertEqual(
            timestamps,
            [
                HybridTimestamp(100, 0),
                HybridTimestamp(100, 1),
                HybridTimestamp(100, 2),
                HybridTimestamp(101, 0),
            ],
        )

    def test_timestamp_after_a_received_message_exceeds_that_of_the_message(self) -> None:
        ahead, behind = HybridClock(), HybridClock()
        sent = ahead.next(5000)
        behind.observe(sent, 4000)
        self.assertGreater(behind.next(4001), sent)

    def test_timestamp_too_far_ahead_is_ignored(self) -> None:
        clock = HybridClock()
        clock.observe(HybridTimestamp(1000 + MAX_CLOCK_LEAD_MS + 1, 0), 1000)
        self.assertEqual(clock.next(1000), HybridTimestamp(1000, 0))


class RecorderTests(unittest.TestCase):
    """Memory and file size are bounded, and filters find events by their fields."""

    def test_buffer_is_bounded(self) -> None:
        recorder = TimelineRecorder("n1")
        for number in range(recorder_module.MAX_BUFFERED_EVENTS + 5):
            recorder.record(RecordEvent("tick", {"number": number}), number)
        self.assertEqual(len(recorder.events), recorder_module.MAX_BUFFERED_EVENTS)
        self.assertEqual(recorder.events[0].fields["number"], 5)

    def test_filters_find_events_by_request_pool_target_and_revision(self) -> None:
        recorder = TimelineRecorder("n1")
        recorder.record(RecordEvent("a", {"request": "r1", "pool": "dc1/coach"}), 1)
        recorder.record(RecordEvent("b", {"targets": ["e1", "e2"]}), 2)
        recorder.record(RecordEvent("c", {"target": "e2", "revision": 7}), 3)
        found = {
            text: [event.kind for event in recorder.select(wanted, 10)]
            for text, wanted in {
                "request": Filter(request="r1"),
                "pool": Filter(pool="dc1/coach"),
                "target": Filter(target="e2"),
                "revision": Filter(revision="7"),
                "none": Filter(request="r1", target="e2"),
            }.items()
        }
        expected = {"request": ["a"], "pool": ["a"], "target": ["b", "c"], "revision": ["c"]}
        self.assertEqual(found, {**expected, "none": []})

    def test_long_texts_are_truncated(self) -> None:
        recorder = TimelineRecorder("n1")
        recorder.record(RecordEvent("a", {"kind": "x" * 10_000}), 1)
        self.assertEqual(
            len(recorder.events[0].fields["kind"]), recorder_module.MAX_TEXT_CHARACTERS
        )

    def test_file_is_rotated_between_whole_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "timeline.jsonl"
            file = TimelineFile(path, max_bytes=50)
            for _ in range(10):
                file.write('{"a": "0123456789"}\n')
            old = path.with_name("timeline.jsonl.1")
            self.assertLess(path.stat().st_size + old.stat().st_size, 200)
            for line in (path.read_text() + old.read_text()).splitlines():
                decode_json(line.encode())
