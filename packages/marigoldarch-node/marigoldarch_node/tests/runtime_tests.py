"""Tests of what the runtime does when the core or a task fails."""

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
    """A broken invariant stops the node with a typed error."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.runtime = Runtime(node_settings(Path(folder.name)))

    def test_core_that_fails_takes_no_further_event(self) -> None:
        with (
            mock.patch.object(runtime_module, "reduce", side_effect=KeyError("x")),
            self.assertRaises(NodeFailedError),
        ):
            self.runtime.submit(Tick(0.0))
        with self.assertRaises(NodeFailedError):
            self.runtime.submit(Tick(1.0))

    def test_core_that_fails_inside_a_handler_ends_the_run_with_its_error(self) -> None:
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
