"""Tests of the errors of NodeClient."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from unittest import mock

from marigoldarch_cli.client import NodeClient


class ClientTests(unittest.TestCase):
    """A request that cannot succeed returns an error that says what to set or which node failed."""

    def request_error(self, node: object, **environment: str) -> str:
        """Return the error text of a request to `node`, with these environment variables set."""
        with mock.patch.dict(os.environ, environment):
            return str(NodeClient(node).request("GET", "/healthz").error)

    def test_error_for_unreachable_node_names_its_address(self) -> None:
        self.assertIn("127.0.0.1:1 does not answer", self.request_error("127.0.0.1:1"))

    def test_error_for_missing_node_names_the_variable(self) -> None:
        self.assertIn("MARIGOLDARCH_NODE_ADDRESS", self.request_error(""))

    def test_error_for_unreadable_authority_file_names_the_variable(self) -> None:
        error = self.request_error("127.0.0.1:1", MARIGOLDARCH_TLS_AUTHORITY="/nowhere.pem")
        self.assertIn("MARIGOLDARCH_TLS_AUTHORITY", error)

    def test_invalid_node_flag_exits_with_status_1_without_traceback(self) -> None:
        # The flag parser turns some of these into tuples, numbers, lists, dicts or booleans.
        for value in ("n1,n2", "5", "[1,2]", "{}", "True", "a b", "1e3", ":::", "http://x"):
            command = [sys.executable, "-m", "marigoldarch_cli", "status", f"--node={value}"]
            finished = subprocess.run(command, capture_output=True, text=True, check=False)
            self.assertEqual(finished.returncode, 1, (value, finished))
            self.assertNotIn("Traceback", finished.stderr, value)
