"""Tests of the placement of keepers."""

from __future__ import annotations

import unittest

from marigoldarch.entry.keepers import Keepers, place

NODES = [f"n{number}" for number in range(9)]


class PlaceTests(unittest.TestCase):
    """Rendezvous hashing."""

    def test_only_subjects_of_a_lost_node_move(self) -> None:
        subjects = [f"customer/guild/c{number}" for number in range(500)]
        before = {subject: place(subject, NODES) for subject in subjects}
        after = {subject: place(subject, NODES[1:]) for subject in subjects}
        moved = {subject for subject in subjects if before[subject] != after[subject]}
        self.assertEqual(moved, {subject for subject in subjects if before[subject] == "n0"})

    def test_no_live_node_keeps_nothing(self) -> None:
        self.assertIsNone(place("customer/guild/c1", []))


class KeepersTests(unittest.TestCase):
    """What is remembered of placements."""

    def test_remembered_placement_follows_a_change_of_nodes(self) -> None:
        keepers = Keepers()
        keepers.place_on(NODES)
        first = keepers.find("customer/guild/c1")
        generation = keepers.generation
        self.assertTrue(keepers.place_on([node for node in NODES if node != first]))
        self.assertNotEqual(keepers.find("customer/guild/c1"), first)
        self.assertGreater(keepers.generation, generation)

    def test_same_nodes_in_another_order_change_nothing(self) -> None:
        keepers = Keepers()
        keepers.place_on(NODES)
        self.assertFalse(keepers.place_on(reversed(NODES)))
