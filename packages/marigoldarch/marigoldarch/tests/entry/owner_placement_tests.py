"""Tests of the placement of subjects on owners."""

from __future__ import annotations

import unittest

from marigoldarch.entry.owner_placement import OwnerPlacement, choose_owner

NODES = [f"n{number}" for number in range(9)]


class ChooseOwnerTests(unittest.TestCase):
    """The choice of one owner by rendezvous hashing."""

    def test_only_subjects_of_a_lost_node_move(self) -> None:
        subjects = [f"customer/guild/c{number}" for number in range(500)]
        before = {subject: choose_owner(subject, NODES) for subject in subjects}
        after = {subject: choose_owner(subject, NODES[1:]) for subject in subjects}
        moved = {subject for subject in subjects if before[subject] != after[subject]}
        self.assertEqual(moved, {subject for subject in subjects if before[subject] == "n0"})

    def test_there_is_no_owner_without_nodes(self) -> None:
        self.assertIsNone(choose_owner("customer/guild/c1", []))


class OwnerPlacementTests(unittest.TestCase):
    """Cached owners and changes of nodes."""

    def test_cached_owner_is_replaced_when_its_node_is_lost(self) -> None:
        owners = OwnerPlacement()
        owners.set_nodes(NODES)
        first = owners.find("customer/guild/c1")
        generation = owners.generation
        self.assertTrue(owners.set_nodes([node for node in NODES if node != first]))
        self.assertNotEqual(owners.find("customer/guild/c1"), first)
        self.assertGreater(owners.generation, generation)

    def test_same_nodes_in_another_order_change_nothing(self) -> None:
        owners = OwnerPlacement()
        owners.set_nodes(NODES)
        self.assertFalse(owners.set_nodes(reversed(NODES)))
