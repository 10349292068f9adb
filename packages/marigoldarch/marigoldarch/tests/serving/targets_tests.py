"""Tests of the registry of targets, and of the views that entries merge."""

from __future__ import annotations

import unittest

from marigoldarch.serving.targets import (
    RESTORED_TRUST_MS,
    TARGET_SILENCE_MS,
    MergedTargetView,
    TargetRegistry,
)
from marigoldarch.tests.serving.support import target


class RegistryTests(unittest.TestCase):
    """One control host's registry."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()

    def test_first_announcement_is_news_and_a_renewal_is_not(self) -> None:
        self.assertTrue(self.registry.announce(target("t"), 0.0))
        self.assertFalse(self.registry.announce(target("t", serial=2), 1000.0))

    def test_late_announcement_changes_nothing(self) -> None:
        self.registry.announce(target("t", serial=5, is_leaving=True), 0.0)
        self.assertFalse(self.registry.announce(target("t", serial=4), 10.0))
        self.assertTrue(self.registry.targets[0].is_leaving)

    def test_one_start_never_takes_back_that_it_leaves(self) -> None:
        self.registry.announce(target("t", serial=5, is_leaving=True), 0.0)
        self.registry.announce(target("t", serial=6), 10.0)
        self.assertTrue(self.registry.targets[0].is_leaving)

    def test_new_start_under_the_same_id_counts_anew(self) -> None:
        self.registry.announce(target("t", serial=9, is_leaving=True), 0.0)
        self.assertTrue(self.registry.announce(target("t", born_ms=2000, serial=1), 10.0))
        self.assertFalse(self.registry.targets[0].is_leaving)

    def test_announcement_after_the_end_of_a_start_does_not_revive_it(self) -> None:
        self.registry.announce(target("t", serial=3), 0.0)
        self.registry.leave("t", 10.0)
        self.registry.announce(target("t", serial=8), 20.0)
        self.assertTrue(self.registry.targets[0].is_gone)

    def test_silent_target_is_told_once_and_comes_back_with_its_next_word(self) -> None:
        self.registry.announce(target("t"), 0.0)
        silent = self.registry.expire(TARGET_SILENCE_MS)
        self.assertEqual([item.target_id for item in silent], ["t"])
        self.assertEqual(self.registry.expire(TARGET_SILENCE_MS + 1), [])
        self.assertTrue(self.registry.announce(target("t", serial=2), TARGET_SILENCE_MS + 2))

    def test_restored_target_is_believed_in_until_it_had_time_to_announce_itself(self) -> None:
        self.registry.restore([target("t")], 0.0)
        self.assertEqual(self.registry.expire(RESTORED_TRUST_MS - 1), [])
        self.assertEqual(
            [item.target_id for item in self.registry.expire(RESTORED_TRUST_MS)], ["t"]
        )

    def test_announcement_of_a_restored_target_is_no_news_and_keeps_it(self) -> None:
        self.registry.restore([target("t")], 0.0)
        self.assertFalse(self.registry.announce(target("t", serial=2), 1000.0))
        self.assertEqual(self.registry.expire(TARGET_SILENCE_MS), [])

    def test_what_is_known_goes_before_what_is_restored(self) -> None:
        self.registry.announce(target("t", serial=7, is_leaving=True), 0.0)
        self.registry.restore([target("t", serial=5)], 0.0)
        self.assertTrue(self.registry.targets[0].is_leaving)


class RosterTests(unittest.TestCase):
    """An entry that watches two control hosts."""

    def setUp(self) -> None:
        self.roster = MergedTargetView()
        for host in ("c1", "c2"):
            self.roster.connect(host)
            self.roster.mark_complete(host)

    def usable(self) -> set[str]:
        """Return the ids of the usable targets."""
        return set(self.roster.usable)

    def test_target_that_one_host_lists_is_usable(self) -> None:
        self.roster.update_target("c1", target("t"))
        self.assertEqual(self.usable(), {"t"})

    def test_newest_word_decides_whether_a_target_leaves(self) -> None:
        self.roster.update_target("c1", target("t", serial=5, is_leaving=True))
        self.roster.update_target("c2", target("t", serial=4))
        self.assertEqual(self.usable(), set())

    def test_target_is_dropped_when_every_host_has_lost_it(self) -> None:
        self.roster.update_target("c1", target("t"))
        self.roster.update_target("c2", target("t"))
        self.roster.remove_target("c1", "t")
        self.assertEqual(self.usable(), {"t"})
        self.roster.remove_target("c2", "t")
        self.assertEqual(self.usable(), set())

    def test_entry_cut_off_from_all_hosts_keeps_what_it_knew(self) -> None:
        self.roster.update_target("c1", target("t"))
        self.roster.update_target("c2", target("t"))
        self.roster.disconnect("c1")
        self.roster.disconnect("c2")
        self.assertEqual(self.usable(), {"t"})

    def test_host_that_has_just_started_takes_nothing_away(self) -> None:
        self.roster.update_target("c1", target("t"))
        self.roster.update_target("c2", target("t"))
        self.roster.disconnect("c1")
        self.roster.disconnect("c2")
        self.roster.connect("c1")
        self.assertEqual(self.usable(), {"t"})
        self.roster.mark_complete("c1")
        self.assertEqual(self.usable(), set())

    def test_generation_grows_with_a_change_only(self) -> None:
        before = self.roster.generation
        self.roster.update_target("c1", target("t"))
        self.roster.update_target("c2", target("t"))
        self.assertEqual(self.roster.generation, before + 1)
