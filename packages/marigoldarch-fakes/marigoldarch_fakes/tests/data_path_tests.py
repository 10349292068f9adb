"""Tests of caller, node and engine in one process, connected by real sockets."""

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
LONG_ANSWER_TOKENS = 60
"""At 60 ms a token, this answer takes longer than its caller stays connected."""


class DataPath:
    """One node with one engine."""

    def __init__(self, node: harness.Node, engine: Engine, address: str) -> None:
        self.node = node
        self.engine = engine
        self.address = address

    @property
    def holdings(self) -> list[str]:
        """Return the permits whose streams the engine holds."""
        return self.engine.announced_fields()["holdings"]

    @property
    def is_idle(self) -> bool:
        """Return whether neither the node nor the engine holds state of any request."""
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
        """Wait until neither the node nor the engine holds state of any request."""
        while not self.is_idle:
            await trio.sleep(0.01)

    async def show_fault(self, name: str) -> None:
        """Schedule a fault for the engine's next stream."""
        path = f"/fault/show/{name}"
        await harness.send(Router(self.engine.routes), "POST", path, [], b"")


class DataPathTests(unittest.TestCase):
    """However a stream ends, its permit and the engine's memory are freed."""

    def run_with(
        self, test: Callable[[DataPath], Awaitable[None]], step_ms: float = 1.0, word_bytes: int = 0
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

    async def start(self, nursery: trio.Nursery, folder: Path) -> DataPath:
        """Start a node and an engine, and wait until the node knows the engine."""
        node = harness.Node(folder)
        await node.start(nursery)
        address = await self.listen(nursery, node.public_router)
        engine = Engine(self.settings)
        engine_address = await self.listen(nursery, Router(engine.routes))
        identity = TargetIdentity("e1", "i1", "engine", "coach", engine_address, "dc1")
        announcer = Announcer(identity, (address,), harness.TARGET_KEY, engine.announced_fields)
        nursery.start_soon(announcer.run)
        while not await self.knows_a_target(node):
            await trio.sleep(0.02)
        return DataPath(node, engine, address)

    async def knows_a_target(self, node: harness.Node) -> bool:
        """Return whether a scheduler of the node knows a target."""
        status = (await node.get("/v1/operator/status", harness.OPERATOR_KEY)).json
        return any(status["targets"].values())

    async def listen(self, nursery: trio.Nursery, router: Router) -> str:
        """Serve a router and return its address."""
        listener = Listener(router, ListenerSettings("127.0.0.1:0"))
        return f"127.0.0.1:{await nursery.start(listener.serve, trio.Event())}"

    def open_stream(self, pool: httpcore.AsyncConnectionPool, address: str, tokens: int) -> Any:
        """Request a stream of `tokens` tokens."""
        body = {"model": "coach", "prompt": "hi", "max_tokens": tokens, "stream": True}
        headers = {
            "authorization": f"Bearer {harness.KEY}",
            "x-marigoldarch-kind": "quiz",
            "x-marigoldarch-deadline-ms": "4500",
        }
        url = f"http://{address}/v1/completions"
        return pool.stream("POST", url, headers=headers, content=encode_json(body))

    async def open_accepted_stream(
        self, data_path: DataPath, stack: AsyncExitStack
    ) -> httpcore.Response:
        """Request streams, every `RETRY_S`, until one is accepted."""
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        while True:
            attempt_stack = AsyncExitStack()
            stream = self.open_stream(pool, data_path.address, LONG_ANSWER_TOKENS)
            response = await attempt_stack.enter_async_context(stream)
            if response.status == 200:
                stack.push_async_exit(attempt_stack)
                return response
            await response.aread()
            await attempt_stack.aclose()
            await trio.sleep(RETRY_S)

    def test_disconnected_caller_frees_its_permit_and_the_engine(self) -> None:
        async def test(data_path: DataPath) -> None:
            async with AsyncExitStack() as stack:
                response = await self.open_accepted_stream(data_path, stack)
                await anext(response.aiter_stream())
                self.assertEqual(len(data_path.holdings), 1)
                metrics = (await data_path.node.get("/metrics")).body.decode()
                self.assertIn('marigoldarch_permits{pool="dc1/coach"} 1', metrics)
                self.assertIn('first_token_seconds_count{class="short"} 1', metrics)
            await data_path.wait_until_idle()

        self.run_with(test, step_ms=60.0)

    def test_request_of_a_caller_that_stops_reading_ends_at_its_deadline(self) -> None:
        async def test(data_path: DataPath) -> None:
            async with AsyncExitStack() as stack:
                await self.open_accepted_stream(data_path, stack)
                self.assertEqual(len(data_path.holdings), 1)
                await data_path.wait_until_idle()
                self.assertIn("deadline_passed", str(data_path.node.runtime.recorder.events))

        self.run_with(test, word_bytes=900_000)

    def test_hung_engine_ends_the_request_at_its_deadline(self) -> None:
        async def test(data_path: DataPath) -> None:
            await data_path.show_fault("hang")
            caller = Caller([data_path.address], harness.KEY)
            caller.pin_address(data_path.address)
            headers = {"x-marigoldarch-deadline-ms": "2000"}
            result = await caller.prompt("coach", "quiz", "hi", 8, headers)
            self.assertEqual(result.outcome, CallOutcome.FAILED)
            self.assertEqual(result.text, "w0 w1 w2 w3 ")
            await data_path.wait_until_idle()

        self.run_with(test)

    def test_cut_stream_resumes_and_faulty_frames_do_not_reach_the_caller(self) -> None:
        async def test(data_path: DataPath) -> None:
            caller = Caller([data_path.address], harness.KEY)
            caller.pin_address(data_path.address)
            whole = "".join(f"w{number} " for number in range(8))
            for fault in ("duplicate", "cross"):
                await data_path.show_fault(fault)
                result = await caller.prompt("coach", "quiz", "hi", 8)
                self.assertEqual((result.outcome, result.text), (CallOutcome.ANSWERED, whole))
            await data_path.show_fault("cut")
            result = await caller.prompt("coach", "quiz", "hi", 8, {})
            self.assertIn(result.outcome, (CallOutcome.ANSWERED, CallOutcome.FAILED))
            self.assertTrue(whole.startswith(result.text))
            self.assertEqual(result.text == whole, result.outcome is CallOutcome.ANSWERED)
            await data_path.wait_until_idle()

        self.run_with(test)
