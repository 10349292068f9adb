"""Tests of what a control host tells the entries of its targets."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from marigoldarch.clock import ManualClock
from marigoldarch.serving.targets import Target
from marigoldarch.serving.watch import TargetsTold, TargetTold, unpack_targets
from marigoldarch.store.messages import TargetsHeard
from marigoldarch.tests.serving.support import target
from marigoldarch_node.serving.metrics import ServingMetrics
from marigoldarch_node.serving.target_registrar import TargetRegistrar
from marigoldarch_node.storage.target_file import TargetFile


class RecordingSubscribers:
    """Records the targets that near entries (of dc1) and those elsewhere are told."""

    def __init__(self) -> None:
        self.near: list[Target] = []
        self.elsewhere: list[Target] = []

    def send_to_all(self, message: object) -> None:
        """Record a message for all."""
        if isinstance(message, TargetTold):
            self.near.append(message.target)
            self.elsewhere.append(message.target)

    def send_to_group(self, group: str, message: object) -> None:
        """Record a message for the near entries."""
        assert (group, type(message)) == ("dc1", TargetTold)
        self.near.append(message.target)

    def send_to_other_groups(self, group: str, message: object) -> None:
        """Record a message for the entries elsewhere."""
        assert (group, type(message)) == ("dc1", TargetsTold)
        self.elsewhere.extend(unpack_targets(message))


class TellingEntriesTests(unittest.TestCase):
    """Load pattern: hundreds of targets announce themselves to hundreds of entries."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.entries = RecordingSubscribers()
        self.registrar = TargetRegistrar(
            None,
            ManualClock(),
            ServingMetrics(),
            self.entries,
            RecordingSubscribers(),
            TargetFile(Path(folder.name)),
            "dc1",
        )

    def hear(self, *targets: Target) -> None:
        """Receive announcements from another control host."""
        self.registrar.receive("c2", TargetsHeard(0, targets))

    def test_new_targets_are_told_near_at_once_and_elsewhere_together(self) -> None:
        self.hear(target("t"), target("u"))
        self.assertEqual(len(self.entries.near), 2)
        self.assertEqual(self.entries.elsewhere, [])
        self.registrar.tell_elsewhere()
        self.assertEqual(self.entries.elsewhere, [target("t"), target("u")])
        self.registrar.tell_elsewhere()
        self.assertEqual(len(self.entries.elsewhere), 2)

    def test_leaving_target_is_told_to_all_at_once_and_is_not_told_as_ready_afterwards(
        self,
    ) -> None:
        leaving = target("t", serial=2, is_leaving=True)
        self.hear(target("t"))
        self.hear(leaving)
        self.registrar.tell_elsewhere()
        self.assertEqual(self.entries.elsewhere, [leaving])
        self.assertEqual(self.entries.near, [target("t"), leaving])

    def test_silent_target_is_not_told_as_ready_afterwards(self) -> None:
        self.hear(target("t"))
        self.registrar._clock.advance(60_000.0)
        self.registrar.expire()
        self.registrar.tell_elsewhere()
        self.assertEqual(self.entries.elsewhere, [])
