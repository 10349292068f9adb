"""Tests of the check whether a target has crashed after its connection ended."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.response_end import ListenerState
from marigoldarch.serving.targets import TargetStart
from marigoldarch.tests.serving.support import target
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.serving.crash_check import record_crashes
from marigoldarch_node.serving.target_connections import TargetConnectionPool
from marigoldarch_node.serving.target_paths import TargetPaths
from marigoldarch_node.tests.serving.support import free_address, unanswering_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LAG_S = 0.01


class CrashCheckTests(unittest.TestCase):
    """Targets that end, or that only end a connection."""

    def setUp(self) -> None:
        self.crashed: list[TargetStart] = []
        self.failed: list[str] = []
        self.accepted = 0

    async def check(self, address: str, *, is_suspected: bool = True) -> ListenerState:
        """Check a target at an address; return what that has shown."""
        state = SimpleNamespace(
            crashes=SimpleNamespace(record_crash=lambda start, *_: self.crashed.append(start)),
            record_failure=lambda target_id, **_: self.failed.append(target_id),
            clock=SystemClock(),
            link_rng=None,
            candidates=SimpleNamespace(),
            settings=SimpleNamespace(data_centre=""),
            target_view=SimpleNamespace(is_leaving=lambda _: False),
        )
        paths = TargetPaths(state, None, TargetConnectionPool(state.clock))
        context = SimpleNamespace(state=state, paths=paths)
        placement = SimpleNamespace(targets=(target("t", address=address),))
        plan = SimpleNamespace(placement=placement, call=None)
        return await record_crashes(context, plan, 0.0, is_suspected=is_suspected)

    def check_listening(self, handle: Callable[[trio.SocketStream], Awaitable[None]]) -> None:
        """Check a target that listens; its listener ends `LAG_S` after the first connection."""

        async def run() -> None:
            address = await free_address()
            host, _, port = address.rpartition(":")
            async with trio.open_nursery() as nursery:
                scope = trio.CancelScope()

                async def accept(stream: trio.SocketStream) -> None:
                    self.accepted += 1
                    await handle(stream)
                    if self.ends_after_lag:
                        await trio.sleep(LAG_S)
                        scope.cancel()
                    await trio.sleep_forever()

                async def listen(task_status: trio.TaskStatus) -> None:
                    with scope:
                        await trio.serve_tcp(accept, int(port), host=host, task_status=task_status)

                await nursery.start(listen)
                await self.check(address)
                nursery.cancel_scope.cancel()

        trio.run(run)

    ends_after_lag = False

    def test_target_that_refuses_connections_has_crashed(self) -> None:
        async def run() -> None:
            await self.check(await free_address())

        trio.run(run)
        self.assertEqual(len(self.crashed), 1)

    def test_crash_under_a_request_that_is_not_suspected_is_a_failure_of_the_target_alone(
        self,
    ) -> None:
        async def run() -> ListenerState:
            return await self.check(await free_address(), is_suspected=False)

        self.assertEqual(trio.run(run), ListenerState.REFUSES)
        self.assertEqual((self.crashed, self.failed), ([], ["t"]))

    def test_target_that_does_not_answer_in_time_has_not_crashed(self) -> None:
        """Guards against whole answers that are taken for cut ones as a packet is lost."""
        with unanswering_address() as address:
            self.assertEqual(trio.run(self.check, address), ListenerState.UNKNOWN)
        self.assertEqual((self.crashed, self.failed), ([], []))

    def test_target_that_accepts_connections_has_not_crashed(self) -> None:
        self.check_listening(lambda _: trio.sleep(0))
        self.assertEqual(self.crashed, [])

    def test_target_that_ends_each_connection_and_listens_on_has_not_crashed(self) -> None:
        self.check_listening(lambda stream: stream.aclose())
        self.assertEqual(self.crashed, [])
        self.assertGreaterEqual(self.accepted, 1)

    def test_crash_is_seen_though_the_listener_outlives_the_connections(self) -> None:
        """Guards against requests that crash target after target and are never suspected."""
        self.ends_after_lag = True
        self.check_listening(lambda _: trio.sleep(0))
        self.assertEqual(len(self.crashed), 1)
