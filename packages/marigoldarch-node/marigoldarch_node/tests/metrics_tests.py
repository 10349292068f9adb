"""Tests of the metrics."""

from __future__ import annotations

import unittest

from aioprometheus import Registry, render

from marigoldarch.effects import ReleaseMemory, Reply
from marigoldarch.events import CallArrived, CallInfo, FirstToken, Tick
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.outcomes import Answered, NotRun, RefusalReason
from marigoldarch_node.metrics import Metrics, length_class


class MetricsTests(unittest.TestCase):
    """Events and effects change the rendered metrics."""

    def setUp(self) -> None:
        self.metrics = Metrics(1000.0, Registry())

    def text(self) -> str:
        """Return the metrics as operators see them."""
        return render(self.metrics.registry, ["text/plain"])[0].decode()

    def arrive(self, request_id: str, **fields: object) -> None:
        """Record the arrival of a call at 0 ms."""
        self.metrics.on_event(CallArrived(0.0, CallInfo(request_id, "k", "quiz", **fields)))

    def test_first_token_and_slowdown_are_observed_by_length_class(self) -> None:
        self.arrive("r1", model="coach", prompt_tokens=180)
        self.metrics.on_event(FirstToken(400.0, "r1", 1))
        text = self.text()
        self.assertIn('marigoldarch_first_token_seconds_sum{class="short"} 0.4', text)
        self.assertIn('marigoldarch_slowdown_ratio_sum{class="short"} 2.0', text)

    def test_refusals_are_counted_by_reason(self) -> None:
        self.arrive("r1", service="gradebook")
        self.metrics.on_effect(Reply("r1", NotRun(RefusalReason.LIMIT)))
        self.assertIn('marigoldarch_refusals_total{reason="limit_exceeded"} 1', self.text())

    def test_first_token_after_the_reply_is_not_observed(self) -> None:
        self.arrive("r1", model="coach")
        self.metrics.on_effect(Reply("r1", Answered()))
        self.metrics.on_event(FirstToken(400.0, "r1", 1))
        self.assertNotIn("first_token_seconds_sum{", self.text())

    def test_orphans_are_counted_by_pool(self) -> None:
        target = TargetAddress("e1", "i1", "127.0.0.1:1")
        self.metrics.on_effect(ReleaseMemory(PoolId("dc1", "coach"), target, PermitId(1, 1)))
        self.assertIn('marigoldarch_orphans_total{pool="dc1/coach"} 1', self.text())

    def test_control_and_request_work_are_counted_separately(self) -> None:
        for event in (Tick(0.0), FirstToken(0.0, "r1", 1)):
            with self.metrics.count_cpu_time(event):
                sum(range(10_000))
        self.assertIn('marigoldarch_reducer_seconds_total{work="control"}', self.text())
        self.assertIn('marigoldarch_reducer_seconds_total{work="request"}', self.text())

    def test_length_classes(self) -> None:
        cases = {1: "short", 1_001: "medium", 20_001: "long", 1_000_000: "very_long"}
        for tokens, name in cases.items():
            self.assertEqual(length_class(tokens, is_service=False), name)
        self.assertEqual(length_class(0, is_service=True), "service")
