"""Tests of `marigoldarchd --check` and of malformed option values."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from marigoldarch.exceptions import ConfigurationError
from marigoldarch_node.config.check import check_settings
from marigoldarch_node.config.node import declared_options, load_settings
from marigoldarch_node.storage.folder import DataFolder

VALID = {
    "node": "n1",
    "data_centre": "dc1",
    "caller_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7002",
    "voters": "n1",
    "peers": "n1@dc1=127.0.0.1:7001/127.0.0.1:7002",
    "data_folder": "/nowhere/at/all",
}


class CheckTests(unittest.TestCase):
    """A failed check names the flag, the variable and the remedy; a check changes no file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def check(self, *extra: str, **changes: str) -> subprocess.CompletedProcess:
        """Run `marigoldarchd --check` with valid flags, of which `changes` replaces some."""
        values = {**VALID, "data_folder": str(self.folder / "data"), **changes}
        flags = [f"--{name.replace('_', '-')}={value}" for name, value in values.items()]
        command = [sys.executable, "-m", "marigoldarch_node", "--check", *flags, *extra]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def assert_problem(self, finished: subprocess.CompletedProcess, *parts: str) -> None:
        """Assert that the process exits with status 2 and an error text that contains the parts."""
        self.assertEqual(finished.returncode, 2, finished)
        self.assertNotIn("Traceback", finished.stderr)
        for part in parts:
            self.assertIn(part, finished.stderr)

    def test_valid_settings_pass_and_no_file_is_written(self) -> None:
        finished = self.check()
        self.assertEqual((finished.returncode, finished.stdout), (0, "settings: ok\n"), finished)
        self.assertEqual(list(self.folder.iterdir()), [])

    def test_errors_name_the_flag_the_variable_and_the_remedy(self) -> None:
        for changes, *parts in (
            ({"node": "N 1"}, "--node", "MARIGOLDARCH_NODE", "use 1 to 64"),
            ({"voters": "n1,n2"}, "--voters", "MARIGOLDARCH_VOTERS", "add n2"),
            ({"voters": "n1,n1,n1"}, "--voters", "name each node once"),
            ({"caller_address": "127.0.0.1:7009"}, "--peers", "addresses of its own flags"),
            ({"peers": VALID["peers"] + "," + VALID["peers"]}, "--peers", "once"),
            ({"tls_certificate": "x.pem"}, "--tls-key", "MARIGOLDARCH_TLS_KEY", "required with"),
            ({"operator_key_sha256": "plain"}, "--operator-key-sha256", "SHA-256"),
        ):
            with self.subTest(changes):
                self.assert_problem(self.check(**changes), *parts)

    def test_folder_of_another_node_is_refused_unchanged(self) -> None:
        path = self.folder / "data"
        data_folder = DataFolder(path, "n9", "marigoldarch")
        data_folder.open()
        data_folder.close()
        before = {file.name: file.read_bytes() for file in path.iterdir()}
        self.assert_problem(self.check(), "--data-folder", "n9")
        self.assertEqual({file.name: file.read_bytes() for file in path.iterdir()}, before)

    def test_folder_that_is_a_file_is_refused(self) -> None:
        (self.folder / "data").write_text("")
        self.assert_problem(self.check(), "--data-folder", "MARIGOLDARCH_DATA_FOLDER")

    def test_folder_without_permission_is_refused(self) -> None:
        settings = load_settings({**VALID, "data_folder": str(self.folder)}, {}).ok
        with (
            mock.patch("os.access", return_value=False),
            self.assertRaises(ConfigurationError) as caught,
        ):
            check_settings(settings)
        self.assertIn("allow this user", str(caught.exception))

    def test_flag_values_reach_the_options_as_text(self) -> None:
        self.assertEqual(self.check(node="7", voters="7", peers=VALID["peers"][1:]).returncode, 2)
        peers = VALID["peers"].replace("n1@", "1e3@")
        self.assertEqual(self.check(node="1e3", voters="1e3", peers=peers).returncode, 0)


class MalformedValueTests(unittest.TestCase):
    """No value of any option raises another exception than `ConfigurationError`."""

    @hypothesis_settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(
        st.sampled_from(sorted(declared_options())),
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=30)
        | st.lists(st.text(max_size=5) | st.integers(), max_size=3).map(tuple)
        | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
    )
    def test_any_value_gives_settings_or_an_error_that_names_a_flag(
        self, name: str, value: object
    ) -> None:
        result = load_settings({**VALID, name: value}, {})
        if result.is_error():
            self.assertIn("--", str(result.error))
