"""Tests of requests that were queued before any target of their pool was known."""

from __future__ import annotations

import unittest

from marigoldarch.effects import Send
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import PermitGranted, PermitRequest, WorkItem
from marigoldarch.pools.scheduler import PoolScheduler
from marigoldarch.settings import PoolSettings
from marigoldarch.targets import Announcement

POOL = PoolId("dc1", "coach")
GANG_REQUEST = ("r1", 16_000, 3000.0)
OTHER_REQUEST = ("r2", 16_000, 60_000.0)


class LateTargetTests(unittest.TestCase):
    """A new scheduler with an urgent request that needs several engines."""

    def test_urgent_gang_request_is_granted_once_its_engines_have_announced(self) -> None:
        """Guards against an endless loop in a scheduling pass.

        The request moves to the huge lane once targets are known. When both lanes' queues contained
        the same object, the first queue kept returning it as urgent.
        """
        scheduler = PoolScheduler(POOL, 7, PoolSettings(), 0.0, 0.0)
        for request_id, prompt_tokens, time_left_ms in GANG_REQUEST, OTHER_REQUEST:
            item = WorkItem(
                request_id,
                1,
                "harbor",
                "guild",
                "quiz",
                0,
                1.0,
                prompt_tokens,
                4,
                time_left_ms,
                "coach",
                asked_ms=100.0,
            )
            scheduler.request("n1", PermitRequest(POOL, item), 100.0)
        granted = []
        for name in ("e1", "e2", "e3"):
            announcement = Announcement(
                name, "i1", "engine", "coach", f"{name}:1", "dc1", memory_tokens=10_000
            )
            effects = scheduler.report_target(announcement, 1500.0)
            granted += [
                effect.message
                for effect in effects
                if isinstance(effect, Send) and isinstance(effect.message, PermitGranted)
            ]
        granted += [
            effect.message
            for effect in scheduler.tick(1550.0)
            if isinstance(effect, Send) and isinstance(effect.message, PermitGranted)
        ]
        self.assertEqual(granted[0].request_id, "r1")
        self.assertGreater(len(granted[0].targets), 1)
