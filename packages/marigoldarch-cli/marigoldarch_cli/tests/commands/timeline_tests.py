"""Tests of the time line merged from several nodes."""

from __future__ import annotations

import unittest
from typing import Any

from expression import Error, Ok

from marigoldarch_cli.client import RequestError, Response
from marigoldarch_cli.commands import timeline

N1_EVENTS = [[1000, 0, "n1", "admitted", {"request": "r1"}], [1005, 0, "n1", "finished", {}]]
N2_EVENTS = [[1000, 1, "n2", "permit_granted", {"request": "r1", "permit": "3-1"}]]


class FakeClient:
    """Client of a node that responds with fixed events, or is unreachable if they are None."""

    def __init__(self, events: list[Any] | None) -> None:
        self._events = events

    def request(self, method: str, path: str) -> Any:
        """Return the fixed response or an error."""
        if self._events is None:
            return Error(RequestError("down"))
        return Ok(Response(200, {"events": self._events, "nodes": {"n1": "a1", "n2": "a2"}}))


class TimelineTests(unittest.TestCase):
    """Events of all nodes are shown in causal order, each once."""

    def render(self, n2_events: list[Any] | None, **filters: str) -> str:
        """Return the text for the nodes n1 and n2."""
        clients = {"a1": FakeClient(N1_EVENTS), "a2": FakeClient(n2_events)}
        return timeline.render(FakeClient(N1_EVENTS), clients.__getitem__, filters, 10).ok

    def test_events_are_merged_by_timestamp(self) -> None:
        kinds = [line.split()[2] for line in self.render(N2_EVENTS).splitlines()]
        self.assertEqual(kinds, ["admitted", "permit_granted", "finished"])

    def test_events_of_a_request_are_shown_in_one_lane_per_node(self) -> None:
        lines = self.render(N2_EVENTS, request="r1").splitlines()
        self.assertEqual(lines[0].split(), ["n1", "n2"])
        self.assertEqual(lines[2].index("permit_granted"), lines[0].index("n2"))

    def test_unreachable_node_is_named(self) -> None:
        self.assertIn("no answer from n2", self.render(None))
