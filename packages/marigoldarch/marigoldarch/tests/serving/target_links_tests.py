"""Tests of the decision which targets an entry reaches over its own links."""

from __future__ import annotations

import random
import unittest

from marigoldarch.serving.target_links import LinkSettings, TargetLinks
from marigoldarch.tests.serving.support import target

SETTINGS = LinkSettings()


class TargetLinksTests(unittest.TestCase):
    """Load pattern: an entry loses its links to some or all targets, in one data centre or all."""

    def setUp(self) -> None:
        self.links = TargetLinks(SETTINGS, random.Random(30))
        self.targets = [target(f"t{number}", data_centre=f"dc{number % 3}") for number in range(12)]
        self.usable = {item.target_id: item for item in self.targets}

    def test_target_that_only_another_entry_reaches_has_a_lost_link(self) -> None:
        self.assertTrue(self.links.record_lost(self.targets[0], 100.0))
        self.assertFalse(self.links.record_lost(self.targets[0], 200.0))
        self.assertTrue(self.links.is_lost(self.targets[0]))
        self.assertFalse(self.links.is_lost(self.targets[3]))

    def test_bytes_on_a_connection_from_before_the_loss_do_not_end_it(self) -> None:
        """Guards against requests that try a link again and again where old connections live on."""
        self.links.record_lost(self.targets[0], 100.0)
        self.assertFalse(self.links.record_reached(self.targets[0], 99.0))
        self.assertTrue(self.links.is_lost(self.targets[0]))
        self.assertTrue(self.links.record_reached(self.targets[0], 101.0))
        self.assertTrue(self.links.are_sound)

    def test_data_centre_is_cut_off_only_if_a_second_target_is_not_reached(self) -> None:
        near, far = self.targets[3], self.targets[1]
        self.links.record_controls(self.targets[0], {near: True, far: True}, 100.0)
        self.assertEqual(list(self.links.lost_data_centres), [])
        self.links.record_controls(self.targets[0], {far: False}, 100.0)
        self.assertEqual(list(self.links.lost_data_centres), [])
        self.assertEqual(
            self.links.record_controls(self.targets[0], {near: False, far: True}, 100.0), ["dc0"]
        )
        self.assertTrue(self.links.is_lost(self.targets[6]))
        self.assertFalse(self.links.is_isolated({"dc0", "dc1"}))

    def test_isolated_entry_is_so_until_one_target_is_reached(self) -> None:
        reached = dict.fromkeys(self.targets[1:], False)
        self.links.record_controls(self.targets[0], reached, 100.0)
        self.assertTrue(self.links.is_isolated({"dc0", "dc1", "dc2"}))
        self.assertTrue(self.links.record_reached(self.targets[4], 200.0))
        self.assertFalse(self.links.is_isolated({"dc0", "dc1", "dc2"}))
        self.assertFalse(self.links.is_isolated(set()))

    def test_controls_and_probes_stay_few_among_thousands_of_targets(self) -> None:
        targets = [target(f"t{n}", data_centre=f"dc{n % 10}") for n in range(12_000)]
        controls = self.links.choose_controls(targets[0], targets)
        most = SETTINGS.controls_per_data_centre * SETTINGS.max_control_data_centres
        self.assertEqual(len(controls), most)
        self.assertNotIn(targets[0], controls)
        for item in targets[:500]:
            self.links.record_lost(item, 0.0)
        probes = self.links.choose_probes({item.target_id: item for item in targets}, 500.0)
        self.assertEqual(len(probes), SETTINGS.max_probes)

    def test_links_that_were_probed_longest_ago_are_probed_first(self) -> None:
        for item in self.targets[:8]:
            self.links.record_lost(item, 0.0)
        first = self.links.choose_probes(self.usable, 500.0)
        second = self.links.choose_probes(self.usable, 1000.0)
        self.assertEqual({*first, *second}, set(self.targets[:8]))

    def test_links_to_targets_that_are_gone_are_forgotten(self) -> None:
        self.links.record_lost(self.targets[0], 0.0)
        self.links.record_controls(self.targets[1], {self.targets[4]: False}, 0.0)
        self.assertEqual(self.links.choose_probes({}, 500.0), [])
        self.assertTrue(self.links.are_sound)
