"""Tests of a node whose engines crash under prompts with one prefix, connected by real sockets."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trio

from marigoldarch_fakes.cluster import random_loopback
from marigoldarch_fakes.engine import Engine, EngineSettings
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.tests import harness

TIME_LIMIT_S = 60.0
ENGINE_COUNT = 4
STEP_MS = 150.0
"""Longer than the time within which crashes of several targets count as one."""

SHARED = "all prompts begin like this " * 100
CRASHING = SHARED + "and some crash their engine " * 100
SOUND = SHARED + "and others do not " * 200


class CrashingPrefixTests(unittest.TestCase):
    """One node with four engines that restart after each crash."""

    def test_prompts_with_a_prefix_that_crashes_engines_are_refused_at_once(self) -> None:
        """Guards against engine after engine lost to new requests with the same prefix."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self.run_node, Path(folder))

    async def run_node(self, folder: Path) -> None:
        """Start the node and its engines, and run the test."""
        with trio.fail_after(TIME_LIMIT_S):
            async with trio.open_nursery() as nursery:
                node = harness.Node(folder)
                await node.start(nursery)
                listener = Listener(node.public_router, ListenerSettings("127.0.0.1:0"))
                port = await nursery.start(listener.serve, trio.Event())
                engines = self.start_engines(nursery, f"127.0.0.1:{port}")
                await self.wait_for_engines(node)
                await self.send_prompts(node, engines)
                nursery.cancel_scope.cancel()

    def start_engines(self, nursery: trio.Nursery, node_address: str) -> list[Engine]:
        """Start the engines."""
        host = random_loopback()
        engines = []
        for number in range(ENGINE_COUNT):
            settings = EngineSettings(
                f"e{number}",
                f"{host}:{20_001 + number}",
                "dc1",
                "coach",
                (node_address,),
                key=harness.TARGET_KEY,
                decode_step_ms=STEP_MS,
                crash_text="some crash their engine",
            )
            engine = Engine(settings)
            nursery.start_soon(engine.run)
            engines.append(engine)
        return engines

    async def wait_for_engines(self, node: harness.Node) -> None:
        """Wait until the scheduler knows all engines."""
        while True:
            status = (await node.get("/v1/operator/status", harness.OPERATOR_KEY)).json
            if sum(map(len, status["targets"].values())) == ENGINE_COUNT:
                return
            await trio.sleep(0.02)

    async def send_prompts(self, node: harness.Node, engines: list[Engine]) -> None:
        """Send prompts that crash their engine, then sound ones."""
        first = await self.send(node, CRASHING)
        self.assertEqual(first.status, 502)
        await trio.sleep(2.0)
        crash_count = sum(engine.crash_count for engine in engines)
        self.assertGreater(crash_count, 0)
        for number in range(3):
            refused = await self.send(node, f"{CRASHING} {number}")
            error = refused.json["error"]
            self.assertEqual((error["type"], error["run"]), ("prompt_crashes_targets", "not_run"))
            self.assertGreater(error["retry_after_ms"], 1000.0)
        self.assertEqual(sum(engine.crash_count for engine in engines), crash_count)
        self.assertEqual((await self.send(node, SOUND)).status, 200)
        self.assertEqual((await self.send(node, SHARED)).status, 200)

    async def send(self, node: harness.Node, prompt: str) -> harness.Response:
        """Send one prompt."""
        body = {"model": "coach", "prompt": prompt, "max_tokens": 3, "stream": False}
        return await node.post("/v1/completions", body, harness.KEY, x_marigoldarch_kind="quiz")
