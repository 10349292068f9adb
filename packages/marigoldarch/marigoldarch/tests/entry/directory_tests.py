"""Tests of the directory's answers."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from marigoldarch.entry.directory import order_addresses, selection_weight
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import NodeLoad

CALLERS = 6000
TOLERANCE = 0.10


def node(
    name: str, active: int = 0, data_centre: str = "dc1", is_leaving: bool = False
) -> NodeLoad:
    """Return a node's load."""
    return NodeLoad(NodeAddress(name, data_centre, name, name), active, is_leaving)


class DirectoryTests(unittest.TestCase):
    """The order of addresses in an answer."""

    def test_callers_are_distributed_by_weight(self) -> None:
        nodes = [node("n1", 0), node("n2", 50), node("n3", 150)]
        rng = random.Random(7)
        first = Counter(
            order_addresses(nodes, "dc1", 2000.0, rng).addresses[0] for _ in range(CALLERS)
        )
        total = sum(selection_weight(load) for load in nodes)
        for load in nodes:
            expected = CALLERS * selection_weight(load) / total
            deviation = abs(first[load.address.node] - expected)
            self.assertLessEqual(deviation, TOLERANCE * expected)

    def test_nodes_of_the_callers_data_centre_come_first(self) -> None:
        nodes = [node("n1", data_centre="dc2"), node("n2"), node("n3", data_centre="dc3")]
        addresses = order_addresses(nodes, "dc1", 2000.0, random.Random(1)).addresses
        self.assertEqual(addresses[0], "n2")
        self.assertEqual(set(addresses), {"n1", "n2", "n3"})

    def test_leaving_node_is_omitted(self) -> None:
        nodes = [node("n1", is_leaving=True), node("n2")]
        self.assertEqual(order_addresses(nodes, "dc1", 2000.0, random.Random(1)).addresses, ["n2"])
