"""Tests of the runtime when the reducer fails."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from marigoldarch.events import Tick
from marigoldarch.exceptions import NodeFailedError
from marigoldarch_node import runtime as runtime_module
from marigoldarch_node.runtime import Runtime
from marigoldarch_node.tests.harness import node_settings


class FailureTests(unittest.TestCase):
    """A reducer that raises stops the node with `NodeFailedError`."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.runtime = Runtime(node_settings(Path(folder.name)))

    def test_failed_reducer_accepts_no_further_events(self) -> None:
        with (
            mock.patch.object(runtime_module, "reduce", side_effect=KeyError("x")),
            self.assertRaises(NodeFailedError),
        ):
            self.runtime.submit(Tick(0.0))
        with self.assertRaises(NodeFailedError):
            self.runtime.submit(Tick(1.0))

    def test_reducer_failure_outside_the_run_loop_ends_the_run_with_the_error(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.runtime.run)
                await trio.sleep(0.01)
                with (
                    mock.patch.object(runtime_module, "reduce", side_effect=KeyError("x")),
                    self.assertRaises(NodeFailedError),
                ):
                    self.runtime.submit(Tick(0.0))

        with self.assertRaises(ExceptionGroup) as caught:
            trio.run(main)
        self.assertIsNotNone(caught.exception.subgroup(NodeFailedError))
