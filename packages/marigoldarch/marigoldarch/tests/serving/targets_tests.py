"""Tests of the registry of targets, and of the merged views of control hosts."""

from __future__ import annotations

import unittest

from marigoldarch.serving.targets import (
    GONE_TARGET_RETENTION_MS,
    RESTORED_TARGET_GRACE_MS,
    TARGET_SILENCE_MS,
    MergedTargetView,
    TargetRegistry,
    TargetStart,
)
from marigoldarch.tests.serving.support import target


class RegistryTests(unittest.TestCase):
    """The registry of one control host."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()

    def test_first_announcement_is_passed_on_and_a_renewal_is_not(self) -> None:
        self.assertTrue(self.registry.record_announcement(target("t"), 0.0))
        self.assertFalse(self.registry.record_announcement(target("t", serial=2), 1000.0))

    def test_outdated_announcement_is_ignored(self) -> None:
        self.registry.record_announcement(target("t", serial=5, is_leaving=True), 0.0)
        self.assertFalse(self.registry.record_announcement(target("t", serial=4), 10.0))
        self.assertTrue(self.registry.targets[0].is_leaving)

    def test_leaving_is_final_until_the_next_start(self) -> None:
        self.registry.record_announcement(target("t", serial=5, is_leaving=True), 0.0)
        self.registry.record_announcement(target("t", serial=6), 10.0)
        self.assertTrue(self.registry.targets[0].is_leaving)

    def test_new_start_under_the_same_id_is_no_longer_leaving(self) -> None:
        self.registry.record_announcement(target("t", serial=9, is_leaving=True), 0.0)
        self.assertTrue(
            self.registry.record_announcement(target("t", born_ms=2000, serial=1), 10.0)
        )
        self.assertFalse(self.registry.targets[0].is_leaving)

    def test_announcement_after_the_end_of_a_start_is_ignored(self) -> None:
        self.registry.record_announcement(target("t", serial=3), 0.0)
        self.registry.mark_gone("t", 10.0)
        self.registry.record_announcement(target("t", serial=8), 20.0)
        self.assertTrue(self.registry.targets[0].is_gone)

    def test_departure_holds_though_another_host_has_heard_a_later_announcement(self) -> None:
        """Guards against departures that are confirmed and not recorded.

        A host that is told that a target is gone numbers this after the last announcement that it has
        heard itself; another host may have heard a newer one.
        """
        for news in (
            target("t", serial=4, is_leaving=True),
            target("t", serial=4, is_leaving=True)._replace(is_gone=True),
        ):
            registry = TargetRegistry()
            registry.record_announcement(target("t", serial=6), 0.0)
            self.assertTrue(registry.record_announcement(news, 10.0))
            self.assertEqual(registry.targets, [news._replace(serial=6)])
            self.assertFalse(registry.record_announcement(news, 20.0))

    def test_silent_target_is_reported_once_and_returns_with_its_next_announcement(self) -> None:
        self.registry.record_announcement(target("t"), 0.0)
        silent = self.registry.expire(TARGET_SILENCE_MS)
        self.assertEqual([item.target_id for item in silent], ["t"])
        self.assertEqual(self.registry.expire(TARGET_SILENCE_MS + 1), [])
        self.assertTrue(
            self.registry.record_announcement(target("t", serial=2), TARGET_SILENCE_MS + 2)
        )

    def test_restored_target_stays_until_it_had_time_to_announce_itself(self) -> None:
        self.registry.restore([target("t")], 0.0)
        self.assertEqual(self.registry.expire(RESTORED_TARGET_GRACE_MS - 1), [])
        self.assertEqual(
            [item.target_id for item in self.registry.expire(RESTORED_TARGET_GRACE_MS)], ["t"]
        )

    def test_announcement_of_a_restored_target_keeps_it_and_is_not_passed_on(self) -> None:
        self.registry.restore([target("t")], 0.0)
        self.assertFalse(self.registry.record_announcement(target("t", serial=2), 1000.0))
        self.assertEqual(self.registry.expire(TARGET_SILENCE_MS), [])

    def test_restored_target_does_not_replace_a_known_one(self) -> None:
        self.registry.record_announcement(target("t", serial=7, is_leaving=True), 0.0)
        self.registry.restore([target("t", serial=5)], 0.0)
        self.assertTrue(self.registry.targets[0].is_leaving)


class MergedTargetViewTests(unittest.TestCase):
    """An entry connected to two control hosts."""

    def setUp(self) -> None:
        self.merged = MergedTargetView()
        for host in ("c1", "c2"):
            self.merged.connect(host)
            self.merged.mark_complete(host)

    def usable(self) -> set[str]:
        """Return the ids of the usable targets."""
        return set(self.merged.usable)

    def test_target_that_one_host_lists_is_usable(self) -> None:
        self.merged.update_target("c1", target("t"))
        self.assertEqual(self.usable(), {"t"})

    def test_newest_announcement_decides_whether_a_target_is_leaving(self) -> None:
        self.merged.update_target("c1", target("t", serial=5, is_leaving=True))
        self.merged.update_target("c2", target("t", serial=4))
        self.assertEqual(self.usable(), set())

    def test_departure_that_one_host_tells_holds_though_another_lists_a_later_announcement(
        self,
    ) -> None:
        self.merged.update_target("c1", target("t", serial=5))
        self.merged.update_target("c2", target("t", serial=4, is_leaving=True))
        self.assertEqual(self.usable(), set())
        self.merged.update_target("c1", target("t", serial=6))
        self.assertEqual(self.usable(), set())
        self.merged.update_target("c1", target("t", born_ms=2000))
        self.assertEqual(self.usable(), {"t"})

    def test_target_is_dropped_when_no_host_lists_it(self) -> None:
        self.merged.update_target("c1", target("t"))
        self.merged.update_target("c2", target("t"))
        self.merged.remove_target("c1", "t")
        self.assertEqual(self.usable(), {"t"})
        self.merged.remove_target("c2", "t")
        self.assertEqual(self.usable(), set())

    def test_entry_disconnected_from_all_hosts_keeps_its_targets(self) -> None:
        self.merged.update_target("c1", target("t"))
        self.merged.update_target("c2", target("t"))
        self.merged.disconnect("c1")
        self.merged.disconnect("c2")
        self.assertEqual(self.usable(), {"t"})

    def test_incomplete_view_removes_no_target(self) -> None:
        self.merged.update_target("c1", target("t"))
        self.merged.update_target("c2", target("t"))
        self.merged.disconnect("c1")
        self.merged.disconnect("c2")
        self.merged.connect("c1")
        self.assertEqual(self.usable(), {"t"})
        self.merged.mark_complete("c1")
        self.assertEqual(self.usable(), set())

    def test_generation_grows_only_with_a_change(self) -> None:
        before = self.merged.generation
        self.merged.update_target("c1", target("t"))
        self.merged.update_target("c2", target("t"))
        self.assertEqual(self.merged.generation, before + 1)


class DepartureTests(unittest.TestCase):
    """What an entry knows of a target that leaves: whether it has ended its work."""

    def setUp(self) -> None:
        self.merged = MergedTargetView()
        self.merged.connect("c1")
        self.merged.mark_complete("c1")
        self.merged.update_target("c1", target("t"))

    def announce(self, serial: int, *, is_gone: bool) -> None:
        """Hear that the target leaves."""
        news = target("t", serial=serial, is_leaving=True)._replace(is_gone=is_gone)
        self.merged.update_target("c1", news)

    def test_target_that_drains_and_then_is_gone_has_departed(self) -> None:
        self.announce(2, is_gone=False)
        self.assertTrue(self.merged.has_announced_departure(target("t")))
        self.assertFalse(self.merged.has_departed(target("t")))
        self.announce(3, is_gone=True)
        self.announce(4, is_gone=True)
        self.assertTrue(self.merged.has_departed(target("t")))

    def test_target_that_only_says_that_it_is_gone_goes_on_serving(self) -> None:
        """Guards against parts of answers taken for whole ones as such a target is killed."""
        self.merged.mark_leaving(target("t").start, 0.0)
        self.announce(2, is_gone=True)
        self.assertTrue(self.merged.has_announced_departure(target("t")))
        self.assertFalse(self.merged.has_departed(target("t")))

    def test_departure_ends_with_a_new_start_and_is_forgotten_with_the_target(self) -> None:
        self.announce(2, is_gone=False)
        self.announce(3, is_gone=True)
        self.assertFalse(self.merged.has_departed(target("t", born_ms=2000)))
        self.merged.forget_departed(0.0)
        self.assertTrue(self.merged.has_departed(target("t")))
        self.merged.remove_target("c1", "t")
        self.merged.forget_departed(0.0)
        self.assertFalse(self.merged.has_departed(target("t")))


class LeavingAnswerTests(unittest.TestCase):
    """A target that says in an answer that it leaves, whatever its announcements say."""

    def setUp(self) -> None:
        self.merged = MergedTargetView()
        self.merged.connect("c1")
        self.merged.mark_complete("c1")
        self.merged.update_target("c1", target("t"))

    def test_target_is_no_longer_usable_at_once(self) -> None:
        self.assertTrue(self.merged.mark_leaving(target("t").start, 0.0))
        self.assertNotIn("t", self.merged.usable)
        self.assertTrue(self.merged.is_leaving(target("t")))

    def test_second_mark_changes_nothing(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        generation = self.merged.generation
        self.assertFalse(self.merged.mark_leaving(target("t").start, 1.0))
        self.assertEqual(self.merged.generation, generation)

    def test_later_announcement_of_the_same_start_does_not_bring_it_back(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        self.merged.update_target("c1", target("t", serial=9))
        self.assertNotIn("t", self.merged.usable)

    def test_return_of_the_target_to_a_view_does_not_bring_it_back(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        self.merged.remove_target("c1", "t")
        self.merged.forget_departed(GONE_TARGET_RETENTION_MS - 1.0)
        self.merged.update_target("c1", target("t", serial=9))
        self.assertNotIn("t", self.merged.usable)

    def test_disconnection_from_all_hosts_does_not_bring_it_back(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        self.merged.disconnect("c1")
        self.assertNotIn("t", self.merged.usable)

    def test_new_start_under_the_same_id_is_usable(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        self.merged.update_target("c1", target("t", born_ms=2000, serial=1))
        self.assertIn("t", self.merged.usable)

    def test_mark_of_an_earlier_start_is_without_effect(self) -> None:
        self.merged.mark_leaving(TargetStart("t", 500), 0.0)
        self.assertIn("t", self.merged.usable)

    def test_mark_that_comes_before_the_announcement_counts(self) -> None:
        self.merged.mark_leaving(TargetStart("u", 1000), 0.0)
        self.merged.update_target("c1", target("u"))
        self.assertNotIn("u", self.merged.usable)

    def test_mark_of_a_listed_target_is_kept_and_others_are_forgotten_in_time(self) -> None:
        self.merged.mark_leaving(target("t").start, 0.0)
        self.merged.mark_leaving(TargetStart("u", 1000), 0.0)
        self.merged.forget_departed(GONE_TARGET_RETENTION_MS)
        self.assertTrue(self.merged.is_leaving(target("t")))
        self.assertFalse(self.merged.is_leaving(target("u")))
