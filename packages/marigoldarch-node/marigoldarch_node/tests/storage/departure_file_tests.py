"""Tests of the file of departures."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from marigoldarch.exceptions import StorageError
from marigoldarch.tests.serving.support import target
from marigoldarch_node.storage.departure_file import FILE_NAME, MIN_REWRITE_BYTES, DepartureFile


class DepartureFileTests(unittest.TestCase):
    """Each test uses a file in an empty folder."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)
        self.path = self.folder / FILE_NAME
        self.file = DepartureFile(self.folder)

    def load(self) -> list[str]:
        """Return the ids that a host reads after a restart."""
        return [item.target_id for item in DepartureFile(self.folder).load()]

    def test_departures_are_read_back_in_order(self) -> None:
        self.assertEqual(self.load(), [])
        self.file.append([target("t"), target("u")])
        self.file.append([target("v")])
        self.assertEqual(self.load(), ["t", "u", "v"])

    def test_torn_and_damaged_frames_lose_no_other_departure(self) -> None:
        self.file.append([target("t")])
        whole = self.path.read_bytes()
        for damaged in (
            whole[:-3],
            whole[:5],
            b"\0" * 40,
            whole[:20] + b"x" + whole[21:],
            b"\xff\xfeMR",
        ):
            self.path.write_bytes(whole + damaged)
            DepartureFile(self.folder).append([target("u")])
            self.assertEqual(self.load(), ["t", "u"])

    def test_departures_of_an_incompatible_build_are_skipped(self) -> None:
        self.file.append([("t", 1000)])
        self.file.append([target("u")])
        self.assertEqual(self.load(), ["u"])

    def test_failed_sync_raises_and_leaves_the_file_as_it_was(self) -> None:
        self.file.append([target("t")])
        size = self.path.stat().st_size
        with mock.patch("os.fsync", side_effect=OSError), self.assertRaises(StorageError):
            self.file.append([target("u")])
        self.assertEqual(self.path.stat().st_size, size)

    def test_file_is_rewritten_only_after_it_has_grown_in_proportion(self) -> None:
        """Guards against a cost of each departure that grows with the number of targets."""
        batch = [target(f"t{number}") for number in range(1000)]
        while not self.file.is_rewrite_due:
            self.file.append(batch)
        self.file.replace(batch)
        self.assertEqual(len(self.load()), len(batch))
        self.assertGreater(self.path.stat().st_size, MIN_REWRITE_BYTES / 2)
        self.assertFalse(self.file.is_rewrite_due)
