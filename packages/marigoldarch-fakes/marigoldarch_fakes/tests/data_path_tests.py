"""Tests of the whole data path in one process: caller, node and engine over real sockets."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import httpcore
import trio

from marigoldarch.codec import encode_json
from marigoldarch_fakes.announcer import Announcer, TargetIdentity
from marigoldarch_fakes.caller import Caller, CallOutcome
from marigoldarch_fakes.engine import Engine, EngineSettings
from marigoldarch_node.edge.http import Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.tests import harness

TIME_LIMIT_S = 60.0
RETRY_S = 0.2
LONG = 60
"""Tokens of an answer; at 60 ms each it takes the engine longer than its caller stays."""


class Setup:
    """One node with one engine."""

    def __init__(self, node: harness.Node, engine: Engine, address: str) -> None:
        self.node = node
        self.engine = engine
        self.address = address

    @property
    def holdings(self) -> list[str]:
        """Return the permits whose streams the engine holds."""
        return self.engine.describe()["holdings"]

    @property
    def is_idle(self) -> bool:
        """Return whether nothing of any request is left anywhere."""
        runtime = self.node.runtime
        schedulers = runtime.state.pools.schedulers.values()
        return (
            not self.holdings
            and not len(runtime.calls)
            and not len(runtime.attempts)
            and not runtime.state.active
            and all(not len(item.permits) and not item.waiting for item in schedulers)
        )

    async def wait_until_idle(self) -> None:
        """Wait until nothing of any request is left."""
        while not self.is_idle:
            await trio.sleep(0.01)

    async def show_fault(self, name: str) -> None:
        """Let the engine's next stream show a fault."""
        path = f"/fault/show/{name}"
        await harness.send(Router(self.engine.routes), "POST", path, [], b"")


class DataPathTests(unittest.TestCase):
    """Whatever ends a stream, nothing of it is left behind."""

    def run_with(
        self, test: Callable[[Setup], Awaitable[None]], step_ms: float = 1.0, word_bytes: int = 0
    ) -> None:
        """Run a test with a node and an engine."""
        self.settings = EngineSettings(
            "e1", "", "dc1", "coach", (), decode_step_ms=step_ms, word_bytes=word_bytes
        )

        async def main(folder: Path) -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    await test(await self.start(nursery, folder))
                    nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as folder:
            trio.run(main, Path(folder))

    async def start(self, nursery: trio.Nursery, folder: Path) -> Setup:
        """Start a node and an engine, and wait until the engine is known."""
        node = harness.Node(folder)
        await node.start(nursery)
        address = await self.listen(nursery, node.public_router)
        engine = Engine(self.settings)
        at = await self.listen(nursery, Router(engine.routes))
        identity = TargetIdentity("e1", "i1", "engine", "coach", at, "dc1")
        announcer = Announcer(identity, (address,), harness.TARGET_KEY, engine.describe)
        nursery.start_soon(announcer.run)
        while not await self.has_targets(node):
            await trio.sleep(0.02)
        return Setup(node, engine, address)

    async def has_targets(self, node: harness.Node) -> bool:
        """Return whether a scheduler knows a target."""
        status = (await node.get("/v1/operator/status", harness.OPERATOR_KEY)).json
        return any(status["targets"].values())

    async def listen(self, nursery: trio.Nursery, router: Router) -> str:
        """Serve a router and return its address."""
        listener = Listener(router, ListenerSettings("127.0.0.1:0"))
        return f"127.0.0.1:{await nursery.start(listener.serve, trio.Event())}"

    def open_stream(self, pool: httpcore.AsyncConnectionPool, address: str, tokens: int) -> Any:
        """Open a stream of that many tokens."""
        body = {"model": "coach", "prompt": "hi", "max_tokens": tokens, "stream": True}
        headers = {
            "authorization": f"Bearer {harness.KEY}",
            "x-marigoldarch-kind": "quiz",
            "x-marigoldarch-deadline-ms": "4500",
        }
        url = f"http://{address}/v1/completions"
        return pool.stream("POST", url, headers=headers, content=encode_json(body))

    async def get_stream(self, setup: Setup, stack: AsyncExitStack) -> httpcore.Response:
        """Open a stream; a refusal as not run is followed by another try."""
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        while True:
            attempt = AsyncExitStack()
            stream = self.open_stream(pool, setup.address, LONG)
            response = await attempt.enter_async_context(stream)
            if response.status == 200:
                stack.push_async_exit(attempt)
                return response
            await response.aread()
            await attempt.aclose()
            await trio.sleep(RETRY_S)

    def test_caller_that_goes_away_frees_its_permit_and_the_engine(self) -> None:
        async def test(setup: Setup) -> None:
            async with AsyncExitStack() as stack:
                response = await self.get_stream(setup, stack)
                await anext(response.aiter_stream())
                self.assertEqual(len(setup.holdings), 1)
                metrics = (await setup.node.get("/metrics")).body.decode()
                self.assertIn('marigoldarch_permits{pool="dc1/coach"} 1', metrics)
                self.assertIn('first_token_seconds_count{class="short"} 1', metrics)
            await setup.wait_until_idle()

        self.run_with(test, step_ms=60.0)

    def test_caller_that_stops_reading_is_ended_by_its_deadline(self) -> None:
        async def test(setup: Setup) -> None:
            async with AsyncExitStack() as stack:
                await self.get_stream(setup, stack)
                self.assertEqual(len(setup.holdings), 1)
                await setup.wait_until_idle()
                self.assertIn("deadline_passed", str(setup.node.runtime.recorder.events))

        self.run_with(test, word_bytes=900_000)

    def test_hung_engine_ends_the_request_at_its_deadline(self) -> None:
        async def test(setup: Setup) -> None:
            await setup.show_fault("hang")
            caller = Caller([setup.address], harness.KEY)
            caller.use(setup.address)
            headers = {"x-marigoldarch-deadline-ms": "2000"}
            result = await caller.prompt("coach", "quiz", "hi", 8, headers)
            self.assertEqual(result.outcome, CallOutcome.FAILED)
            self.assertEqual(result.text, "w0 w1 w2 w3 ")
            await setup.wait_until_idle()

        self.run_with(test)

    def test_cut_stream_goes_on_and_faults_of_frames_do_not_show(self) -> None:
        async def test(setup: Setup) -> None:
            caller = Caller([setup.address], harness.KEY)
            caller.use(setup.address)
            whole = "".join(f"w{number} " for number in range(8))
            for fault in ("duplicate", "cross"):
                await setup.show_fault(fault)
                result = await caller.prompt("coach", "quiz", "hi", 8)
                self.assertEqual((result.outcome, result.text), (CallOutcome.ANSWERED, whole))
            await setup.show_fault("cut")
            result = await caller.prompt("coach", "quiz", "hi", 8, {})
            self.assertIn(result.outcome, (CallOutcome.ANSWERED, CallOutcome.FAILED))
            self.assertTrue(whole.startswith(result.text))
            self.assertEqual(result.text == whole, result.outcome is CallOutcome.ANSWERED)
            await setup.wait_until_idle()

        self.run_with(test)
