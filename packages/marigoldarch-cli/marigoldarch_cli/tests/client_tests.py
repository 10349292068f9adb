"""Tests of the client's errors."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from unittest import mock

from marigoldarch_cli.client import NodeClient


class ClientTests(unittest.TestCase):
    """Whatever cannot work is a typed error with a remedy."""

    def problem(self, node: object, **environment: str) -> str:
        """Return the error of a request."""
        with mock.patch.dict(os.environ, environment):
            return str(NodeClient(node).request("GET", "/healthz").error)

    def test_node_that_does_not_answer(self) -> None:
        self.assertIn("127.0.0.1:1 does not answer", self.problem("127.0.0.1:1"))

    def test_missing_node_names_flag_and_variable(self) -> None:
        self.assertIn("MARIGOLDARCH_NODE_ADDRESS", self.problem(""))

    def test_unreadable_authority_names_its_variable(self) -> None:
        problem = self.problem("127.0.0.1:1", MARIGOLDARCH_TLS_AUTHORITY="/nowhere.pem")
        self.assertIn("MARIGOLDARCH_TLS_AUTHORITY", problem)

    def test_odd_flag_values_do_not_crash(self) -> None:
        for value in ("n1,n2", "5", "[1,2]", "{}", "True", "a b", "1e3", ":::", "http://x"):
            command = [sys.executable, "-m", "marigoldarch_cli", "status", f"--node={value}"]
            finished = subprocess.run(command, capture_output=True, text=True, check=False)
            self.assertEqual(finished.returncode, 1, (value, finished))
            self.assertNotIn("Traceback", finished.stderr, value)
