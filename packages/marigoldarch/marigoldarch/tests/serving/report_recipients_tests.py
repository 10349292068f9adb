"""Tests of where reports of work go."""

from __future__ import annotations

import unittest
from collections import Counter

from marigoldarch.serving.report_recipients import (
    DIRECT_MOST,
    EntryNode,
    relay_recipients,
    report_recipients,
)

OWN = EntryNode("a0", "a")


def entries(**counts: int) -> list[EntryNode]:
    """Return so many entries of each data centre."""
    return [
        EntryNode(f"{name}{number}", name)
        for name, count in counts.items()
        for number in range(count)
    ]


class ReportRoutesTests(unittest.TestCase):
    """Many entries in several data centres."""

    def test_report_crosses_once_to_a_data_centre_of_many_entries(self) -> None:
        routes = report_recipients(OWN, entries(a=27, b=20, c=25), 0)
        self.assertEqual(len(routes.direct), 26)
        self.assertEqual(sorted(node[0] for node in routes.relays), ["b", "c"])

    def test_every_entry_hears_of_it_once(self) -> None:
        known = entries(a=27, b=20, c=2)
        routes = report_recipients(OWN, known, 3)
        heard = Counter([*routes.direct, *routes.relays])
        for relay in routes.relays:
            heard.update(relay_recipients(EntryNode(relay, relay[0]), known))
        self.assertEqual(heard, Counter(entry.node for entry in known if entry != OWN))

    def test_few_entries_are_sent_to_directly(self) -> None:
        routes = report_recipients(OWN, entries(a=3, b=DIRECT_MOST), 0)
        self.assertEqual(routes.relays, ())
        self.assertEqual(len(routes.direct), 2 + DIRECT_MOST)

    def test_relay_changes_with_each_turn(self) -> None:
        known = entries(a=1, b=6)
        relays = {report_recipients(OWN, known, turn).relays for turn in range(6)}
        self.assertEqual(len(relays), 6)

    def test_entries_spread_over_the_relays(self) -> None:
        known = entries(a=30, b=30)
        used = Counter(
            report_recipients(EntryNode(f"a{n}", "a"), known, 0).relays for n in range(30)
        )
        self.assertLess(max(used.values()), 7)
