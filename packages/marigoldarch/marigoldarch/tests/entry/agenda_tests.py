"""Tests of the agenda."""

from __future__ import annotations

import unittest

from marigoldarch.entry.agenda import Agenda


class AgendaTests(unittest.TestCase):
    """Which requests are due."""

    def test_due_requests_come_once_and_in_order(self) -> None:
        agenda = Agenda()
        for request_id, due_ms in (("b", 2.0), ("a", 1.0), ("c", 9.0), ("b", 1.5)):
            agenda.add(request_id, due_ms)
        self.assertEqual(agenda.take_due(2.0), ["a", "b"])
        self.assertEqual(agenda.take_due(2.0), [])
        self.assertEqual(agenda.take_due(9.0), ["c"])

    def test_marks_of_ended_requests_do_not_pile_up(self) -> None:
        agenda = Agenda()
        for number in range(10_000):
            agenda.add(f"r{number}", 86_400_000.0)
            agenda.prune({f"r{number}"}, 1)
        self.assertLess(len(agenda), 2000)
