"""Tests of the merged time line."""

from __future__ import annotations

import unittest
from typing import Any

from expression import Error, Ok

from marigoldarch_cli.client import RequestError, Response
from marigoldarch_cli.commands import timeline

N1 = [[1000, 0, "n1", "admitted", {"request": "r1"}], [1005, 0, "n1", "finished", {}]]
N2 = [[1000, 1, "n2", "permit_granted", {"request": "r1", "permit": "3-1"}]]


class FakeClient:
    """A node that answers with fixed events, or not at all."""

    def __init__(self, events: list[Any] | None) -> None:
        self._events = events

    def request(self, method: str, path: str) -> Any:
        """Answer a request."""
        if self._events is None:
            return Error(RequestError("down"))
        return Ok(Response(200, {"events": self._events, "nodes": {"n1": "a1", "n2": "a2"}}))


class TimelineTests(unittest.TestCase):
    """Events of all nodes come in causal order, each once."""

    def show(self, other: list[Any] | None, **wanted: str) -> str:
        """Return the text over two nodes."""
        clients = {"a1": FakeClient(N1), "a2": FakeClient(other)}
        return timeline.show(FakeClient(N1), clients.__getitem__, wanted, 10).ok

    def test_events_are_merged_by_their_stamps(self) -> None:
        kinds = [line.split()[2] for line in self.show(N2).splitlines()]
        self.assertEqual(kinds, ["admitted", "permit_granted", "finished"])

    def test_request_is_drawn_in_a_lane_for_each_node(self) -> None:
        lines = self.show(N2, request="r1").splitlines()
        self.assertEqual(lines[0].split(), ["n1", "n2"])
        self.assertEqual(lines[2].index("permit_granted"), lines[0].index("n2"))

    def test_node_that_does_not_answer_is_named(self) -> None:
        self.assertIn("no answer from n2", self.show(None))
