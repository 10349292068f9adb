"""Tests of permissions that entries ask each other for."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.entry.owner_placement import rank_owners
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.target_limits import LimitNews, TargetLimits, TargetLimitSettings
from marigoldarch.tests.serving.support import target
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.serving.limit_permissions import LimitPermissions

if TYPE_CHECKING:
    from marigoldarch.clock import Clock
    from marigoldarch.serving.limit_messages import LimitAnswer, LimitAsk

TARGET = target("t")
NODES = [EntryNode(f"10.0.0.{number}:7340", "dc1") for number in range(1, 4)]
RANKED = rank_owners(f"{TARGET.born_ms}/{TARGET.target_id}", [node.node for node in NODES])


class LimitPermissionsTests(unittest.TestCase):
    """Three entries, of which the first by rank owns the limit of a target."""

    def setUp(self) -> None:
        self.use_clock(SystemClock())

    def use_clock(self, clock: Clock) -> None:
        """Start the entries with a clock."""
        self.clock = clock
        self.silent: set[str] = set()
        self.entries: dict[str, LimitPermissions] = {}
        self.limits: dict[str, TargetLimits] = {}
        for node in NODES:
            limits = self.limits[node.node] = TargetLimits(TargetLimitSettings())
            entry = LimitPermissions(node, 1, limits, self.clock)
            entry.send = self.deliver
            entry.set_entries(NODES, is_own=True)
            self.entries[node.node] = entry
        self.asking = self.entries[RANKED[2]]

    def deliver(self, node: str, message: LimitAsk | LimitAnswer) -> None:
        """Deliver a message at once, unless its receiver is silent."""
        if node not in self.silent:
            self.entries[node].receive(message)

    def name_limit(self, rate_per_s: float) -> None:
        """Let all entries know a limit of the target."""
        news = LimitNews(TARGET.start, rate_per_s, self.clock.monotonic_ms())
        for limits in self.limits.values():
            limits.record_news(news)

    def test_target_without_a_limit_needs_no_permission(self) -> None:
        self.silent.update(RANKED)
        self.assertEqual(trio.run(self.asking.acquire, TARGET), float("inf"))
        self.assertTrue(self.asking.try_acquire(TARGET))

    def test_requests_beyond_the_limit_get_no_permission_and_a_wait(self) -> None:
        clock = ManualClock(1000.0)
        self.use_clock(clock)
        self.name_limit(20.0)

        async def acquire() -> list[float | None]:
            # An owner that has just started lends only what comes in from its first ask on.
            self.assertIsNone(await self.asking.acquire(TARGET))
            clock.advance(60.0)
            return [await self.asking.acquire(TARGET) for _ in range(3)]

        first, *others = trio.run(acquire)
        self.assertIsNotNone(first)
        self.assertEqual(others, [None, None])
        now_ms = self.clock.monotonic_ms()
        self.assertGreater(self.asking.lending.wait_ms(TARGET.start, now_ms), 0.0)
        self.assertEqual(self.entries[RANKED[0]].account_count, 1)

    def test_next_owner_lends_while_the_first_is_silent(self) -> None:
        """Guards against a limited target that is lost with the owner of its limit."""
        self.name_limit(20.0)
        self.silent.add(RANKED[0])

        async def acquire() -> float | None:
            with trio.move_on_after(2.0):
                while (permitted := await self.asking.acquire(TARGET)) is None:
                    await trio.sleep(0.01)
                return permitted
            return None

        self.assertIsNotNone(trio.run(acquire))
        self.assertEqual(self.entries[RANKED[1]].account_count, 1)

    def test_attempt_without_any_owner_gives_up_soon(self) -> None:
        self.name_limit(20.0)
        self.asking = self.entries[RANKED[2]]
        self.silent.update(RANKED)

        async def acquire() -> float | None:
            with trio.fail_after(1.0):
                return await self.asking.acquire(TARGET)

        self.assertIsNone(trio.run(acquire))

    def test_nothing_is_left_of_an_attempt_that_is_cancelled(self) -> None:
        self.name_limit(20.0)
        self.silent.update(RANKED)

        async def cancel() -> None:
            with trio.move_on_after(0.02):
                await self.asking.acquire(TARGET)

        trio.run(cancel)
        self.assertFalse(self.asking.lending.is_waiting)
        self.assertEqual(self.asking._waiting, {})
