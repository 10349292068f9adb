"""Tests of stall detection."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from marigoldarch.clock import ManualClock
from marigoldarch.serving.attempts import AttemptHistory
from marigoldarch.serving.placement import Placement
from marigoldarch.serving.pool_view import PoolView
from marigoldarch.serving.target_health import HealthSettings, TargetHealth
from marigoldarch.tests.serving.support import route, target
from marigoldarch_node.serving.stall_detector import StallDetector

ROUTE = route()
TARGET = target("t")
TEST_TIMEOUT_S = 5.0


class StallDetectorTests(unittest.TestCase):
    """A detector whose clock the test advances."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.health = TargetHealth(HealthSettings())
        workload = SimpleNamespace(view=PoolView())
        state = SimpleNamespace(clock=self.clock, health=self.health, workload=workload)
        call = SimpleNamespace(
            route=ROUTE,
            history=AttemptHistory(ROUTE),
            request_info=SimpleNamespace(prompt=None),
            service=SimpleNamespace(engine=None),
        )
        self.reports_ms: list[float] = []
        self.detector = StallDetector(
            state, call, Placement((TARGET,), 50.0, 0.0), self.reports_ms.append, lambda _: None
        )

    def test_silent_target_is_reported_until_it_speaks(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                with trio.fail_after(TEST_TIMEOUT_S), self.detector.waiting(has_begun=False):
                    self.clock.advance(60_000.0)
                    nursery.start_soon(self.detector.run)
                    await trio.sleep(0.5)
                self.assertEqual(self.reports_ms, [60_000.0, 60_000.0])
                await trio.sleep(0.9)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(len(self.reports_ms), 2)

    def test_target_that_sends_nothing_is_not_recorded_as_heard(self) -> None:
        async def main() -> None:
            with trio.move_on_after(0.1), self.detector.waiting(has_begun=False):
                await trio.sleep_forever()

        trio.run(main)
        self.assertEqual(self.health.heard_ms("t"), float("-inf"))

    def test_data_is_forwarded_although_its_target_was_reported(self) -> None:
        """Guards against data that is read from the target but lost because of a stall just then.

        That happens after a pause of the whole process, when data and deadline come together.
        """
        forwarded: list[int] = []

        async def main() -> None:
            send, receive = trio.open_memory_channel[int](1)
            async with trio.open_nursery() as nursery:
                with trio.fail_after(TEST_TIMEOUT_S):
                    with self.detector.waiting(has_begun=True):
                        nursery.start_soon(self.detector.run)
                        await trio.testing.wait_all_tasks_blocked()
                        self.clock.advance(60_000.0)
                        send.send_nowait(3)
                        data = await receive.receive()
                        await trio.sleep(0.4)
                    for _ in range(5):
                        await trio.sleep(0.1)
                    forwarded.append(data)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(forwarded, [3])
        self.assertEqual(len(self.reports_ms), 1)

    def test_target_whose_data_waits_to_be_read_is_not_reported(self) -> None:
        """Guards against a second attempt after each pause of the whole process."""

        async def main() -> None:
            send, receive = trio.open_memory_channel[int](1)

            async def read() -> None:
                with self.detector.waiting(has_begun=True):
                    await receive.receive()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.testing.wait_all_tasks_blocked()
                self.clock.advance(60_000.0)
                nursery.start_soon(self.detector.run)
                send.send_nowait(3)
                await trio.sleep(0.4)
                nursery.cancel_scope.cancel()

        for _ in range(10):
            trio.run(main)
        self.assertEqual(self.reports_ms, [])

    def test_waiting_for_the_caller_does_not_count(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                with self.detector.waiting(has_begun=True):
                    pass
                nursery.start_soon(self.detector.run)
                self.clock.advance(60_000.0)
                await trio.sleep(0.4)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(self.reports_ms, [])
