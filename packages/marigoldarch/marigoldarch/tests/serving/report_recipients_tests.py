"""Tests of the recipients of work reports."""

from __future__ import annotations

import unittest
from collections import Counter

from marigoldarch.serving.report_recipients import (
    MAX_DIRECT_ENTRIES,
    EntryNode,
    relay_recipients,
    report_recipients,
)

OWN = EntryNode("a0", "a")


def entries(**counts: int) -> list[EntryNode]:
    """Return the given number of entries of each data centre."""
    return [
        EntryNode(f"{name}{number}", name)
        for name, count in counts.items()
        for number in range(count)
    ]


class ReportRecipientsTests(unittest.TestCase):
    """Load pattern: many entries in several data centres."""

    def test_data_centre_with_many_entries_gets_one_report(self) -> None:
        recipients = report_recipients(OWN, entries(a=27, b=20, c=25), 0)
        self.assertEqual(len(recipients.direct), 26)
        self.assertEqual(sorted(node[0] for node in recipients.relays), ["b", "c"])

    def test_every_entry_receives_a_report_once(self) -> None:
        known = entries(a=27, b=20, c=2)
        recipients = report_recipients(OWN, known, 3)
        heard = Counter([*recipients.direct, *recipients.relays])
        for relay in recipients.relays:
            heard.update(relay_recipients(EntryNode(relay, relay[0]), known))
        self.assertEqual(heard, Counter(entry.node for entry in known if entry != OWN))

    def test_data_centre_with_few_entries_gets_reports_directly(self) -> None:
        recipients = report_recipients(OWN, entries(a=3, b=MAX_DIRECT_ENTRIES), 0)
        self.assertEqual(recipients.relays, ())
        self.assertEqual(len(recipients.direct), 2 + MAX_DIRECT_ENTRIES)

    def test_relay_changes_with_the_rotation(self) -> None:
        known = entries(a=1, b=6)
        relays = {report_recipients(OWN, known, rotation).relays for rotation in range(6)}
        self.assertEqual(len(relays), 6)

    def test_entries_spread_over_the_relays(self) -> None:
        known = entries(a=30, b=30)
        used = Counter(
            report_recipients(EntryNode(f"a{n}", "a"), known, 0).relays for n in range(30)
        )
        self.assertLess(max(used.values()), 7)
