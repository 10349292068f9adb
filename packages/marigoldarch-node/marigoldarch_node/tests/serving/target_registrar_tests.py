"""Tests of what a control host tells the entries of its targets."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec
import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.cold_news import ColdNews, TargetsCold
from marigoldarch.serving.targets import Target
from marigoldarch.serving.watch import TargetsTold, TargetTold, unpack_targets
from marigoldarch.store.messages import TargetsHeard
from marigoldarch.tests.serving.support import target
from marigoldarch_node.serving.departure_recorder import ControlHosts
from marigoldarch_node.serving.metrics import ServingMetrics
from marigoldarch_node.serving.target_registrar import TargetFiles, TargetRegistrar
from marigoldarch_node.storage.departure_file import DepartureFile
from marigoldarch_node.storage.target_file import TargetFile
from marigoldarch_node.tests.serving.support import RecordingExchange


class RecordingSubscribers:
    """Records the targets that near entries (of dc1) and those elsewhere are told."""

    def __init__(self) -> None:
        self.near: list[Target] = []
        self.elsewhere: list[Target] = []
        self.cold: list[TargetsCold] = []

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

    def send_optional(self, message: object) -> None:
        """Record what entries that know the kind are told of cold targets."""
        assert isinstance(message, TargetsCold)
        self.cold.append(message)


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
            TargetFiles(TargetFile(Path(folder.name)), DepartureFile(Path(folder.name))),
            "dc1",
            lambda: ControlHosts(1, 0),
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

    def test_host_that_returns_is_told_of_targets_that_have_left_long_ago(self) -> None:
        """Guards against a target that is in use again, as a host has it in its file from before its departure."""
        gone = target("t", serial=2, is_leaving=True)._replace(is_gone=True)
        self.hear(target("t"), target("u"), gone)
        self.registrar._clock.advance(60_000.0)
        self.registrar.expire()
        self.assertEqual(self.registrar.targets, [])
        self.assertEqual(self.registrar.known_targets, [gone])

    def test_cold_target_that_another_host_heard_is_told_once(self) -> None:
        message = TargetsCold((ColdNews("t", 1000, 1, 3000.0),))
        self.registrar.receive("c2", message)
        self.registrar.receive("c3", message)
        self.assertEqual(self.entries.cold, [message])
        self.assertEqual(self.registrar.cold_targets(), [message])


class AnnouncedColdTests(unittest.TestCase):
    """Targets that announce every 1.2 s how long they stay cold."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clock = ManualClock()
        self.entries, self.hosts = RecordingSubscribers(), RecordingSubscribers()
        self.registrar = TargetRegistrar(
            ColdDialect(),
            self.clock,
            ServingMetrics(),
            self.entries,
            self.hosts,
            TargetFiles(TargetFile(Path(folder.name)), DepartureFile(Path(folder.name))),
            "dc1",
            lambda: ControlHosts(1, 0),
        )

    def announce(self, serial: int, cold_ms: float | None, service: str = "engines") -> None:
        """Let a target announce itself here, and what is new be told."""
        body = msgspec.json.encode([serial, service, cold_ms])
        trio.run(self.registrar.handle_announcement, RecordingExchange(body), "t")
        self.registrar._tell_cold()

    def test_phase_is_told_to_entries_and_other_hosts_once(self) -> None:
        self.registrar.cold_services = frozenset(("engines",))
        self.announce(1, 3000.0)
        self.clock.advance(1200.0)
        self.announce(2, 1800.0)
        expected = [TargetsCold((ColdNews("t", 1000, 1, 3000.0),))]
        self.assertEqual((self.entries.cold, self.hosts.cold), (expected, expected))

    def test_nothing_is_told_without_a_cold_rate_or_a_value(self) -> None:
        self.announce(1, 3000.0)
        self.registrar.cold_services = frozenset(("engines",))
        self.announce(2, None)
        self.announce(3, 3000.0, "desk")
        self.assertEqual((self.entries.cold, self.hosts.cold), ([], []))


class ColdDialect:
    """A dialect whose announcements are a serial, a service, and how long the target stays cold."""

    def read_announcement(self, target_id: str, body: bytes) -> Target:
        """Return the target."""
        serial, service, _ = msgspec.json.decode(body)
        return target(target_id, serial=serial, service=service)

    def read_cold_ms(self, body: bytes) -> float | None:
        """Return how long the target stays cold."""
        return msgspec.json.decode(body)[2]
