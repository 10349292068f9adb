"""Tests of the recipients of work reports."""

from __future__ import annotations

import unittest
from collections import Counter

from marigoldarch.serving.report_recipients import (
    MAX_DIRECT_ENTRIES,
    EntryNode,
    is_summarizer,
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

    def test_small_data_centre_gets_partial_reports_if_another_is_large(self) -> None:
        recipients = report_recipients(OWN, entries(a=3, b=3, c=9), 0)
        self.assertEqual(recipients.direct, ("a1", "a2"))
        self.assertEqual([node[0] for node in recipients.relays], ["b", "c"])

    def test_entry_that_knows_only_some_of_the_others_uses_relays(self) -> None:
        known = entries(a=3, b=MAX_DIRECT_ENTRIES)
        self.assertEqual(len(report_recipients(OWN, known, 0, entry_count=40).relays), 1)
        self.assertEqual(report_recipients(OWN, known, 0, entry_count=7).relays, ())

    def test_recipients_do_not_grow_with_other_data_centres(self) -> None:
        """Guards against traffic that grows with the square of the number of entries."""
        counts = [
            len(recipients.direct) + len(recipients.relays)
            for size in (10, 100, 400)
            for recipients in [report_recipients(OWN, entries(a=10, b=size, c=size), 0)]
        ]
        self.assertEqual(len(set(counts)), 1)

    def test_one_entry_of_each_data_centre_summarizes(self) -> None:
        known = entries(a=20, b=20)
        summarizers = [entry.data_centre for entry in known if is_summarizer(entry, known)]
        self.assertEqual(sorted(summarizers), ["a", "b"])

    def test_another_entry_summarizes_after_the_loss_of_the_first(self) -> None:
        known = entries(a=5)
        first = next(entry for entry in known if is_summarizer(entry, known))
        rest = [entry for entry in known if entry != first]
        self.assertEqual(sum(is_summarizer(entry, rest) for entry in rest), 1)
