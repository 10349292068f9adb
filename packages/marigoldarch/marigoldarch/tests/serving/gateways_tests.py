"""Tests of the choice of gateways, at 9, 72 and 520 entries."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from marigoldarch.serving.gateways import Gateways, GatewaySettings
from marigoldarch.serving.report_recipients import EntryNode

SETTINGS = GatewaySettings()
KNOWN_ELSEWHERE = 4
TUNNELS_PER_ENTRY = 40


class GatewaysTests(unittest.TestCase):
    """Load pattern: entries turn to others for tunnels, alone or all of a data centre at once."""

    def entries(self, per_data_centre: int, data_centres: int = 3) -> list[EntryNode]:
        """Return all entries; those of the first data centre come first."""
        return [
            EntryNode(f"{data_centre}-{number}", f"dc{data_centre}")
            for data_centre in range(data_centres)
            for number in range(per_data_centre)
        ]

    def gateways(self, own: EntryNode, entries: list[EntryNode], seed: int = 0) -> Gateways:
        """Return the gateways of an entry, which knows its data centre and few entries elsewhere."""
        counts: Counter[str] = Counter()
        known: set[EntryNode] = set()
        for entry in entries:
            counts[entry.data_centre] += 1
            is_known = counts[entry.data_centre] <= KNOWN_ELSEWHERE
            if entry != own and (entry.data_centre == own.data_centre or is_known):
                known.add(entry)
        gateways = Gateways(own.data_centre, SETTINGS, random.Random(seed), Counter())
        gateways.set_entries(known)
        return gateways

    def test_own_data_centre_comes_first_and_another_second(self) -> None:
        entries = self.entries(3)
        first, second = self.gateways(entries[0], entries).choose(0.0)
        self.assertTrue(first.startswith("0-"))
        self.assertFalse(second.startswith("0-"))

    def test_entries_that_cannot_help_are_left_alone_for_a_while(self) -> None:
        entries = self.entries(2, data_centres=1)
        gateways = self.gateways(entries[0], entries)
        gateways.avoid("0-1", 0.0)
        self.assertEqual((gateways.choose(1.0), gateways.has_usable(1.0)), ([], False))
        self.assertEqual(gateways.wait_ms(1.0), SETTINGS.avoidance_ms - 1.0)
        self.assertEqual(gateways.choose(SETTINGS.avoidance_ms), ["0-1"])
        gateways.avoid("0-1", 0.0, is_silent=True)
        self.assertEqual(gateways.choose(SETTINGS.avoidance_ms), [])

    def test_tunnels_through_another_data_centre_are_kept_only_while_no_near_entry_helps(
        self,
    ) -> None:
        entries = self.entries(2)
        gateways = self.gateways(entries[0], entries)
        self.assertTrue(gateways.is_preferred("0-1", 0.0))
        self.assertFalse(gateways.is_preferred("1-0", 0.0))
        gateways.avoid("0-1", 0.0)
        self.assertTrue(gateways.is_preferred("1-0", 1.0))

    def test_entries_that_have_ended_are_no_gateways(self) -> None:
        entries = self.entries(3)
        gateways = self.gateways(entries[0], entries)
        gateways.set_entries({entries[1]})
        self.assertEqual(gateways.choose(0.0), ["0-1"])
        gateways.learn(["9-9"], "0-0", 0.0)
        self.assertFalse(gateways.is_usable("9-9", SETTINGS.learned_lifetime_ms))

    def test_data_centre_that_is_cut_off_spreads_over_all_entries_elsewhere(self) -> None:
        """Guards against few entries that carry a whole data centre, as only these are known there."""
        for per_data_centre in (3, 24, 173):
            entries = self.entries(per_data_centre)
            everyone = {entry: self.gateways(entry, entries, n) for n, entry in enumerate(entries)}
            by_name = {entry.node: entry for entry in entries}
            carried: Counter[str] = Counter()
            cut = entries[:per_data_centre]
            for _ in range(TUNNELS_PER_ENTRY):
                for entry in cut:
                    gateways = everyone[entry]
                    for other in cut:
                        gateways.avoid(other.node, 0.0)
                    chosen = gateways.choose(1.0)
                    self.assertLessEqual(len(chosen), SETTINGS.max_asked)
                    gateways.learn(everyone[by_name[chosen[0]]].name_neighbours(), entry.node, 1.0)
                    carried[chosen[0]] += 1
            even = len(cut) * TUNNELS_PER_ENTRY / (len(entries) - len(cut))
            with self.subTest(entries=len(entries)):
                self.assertLessEqual(max(carried.values()), 3.0 * even)
