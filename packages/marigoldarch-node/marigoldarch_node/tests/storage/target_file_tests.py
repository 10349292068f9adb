"""Tests of the target file."""

from __future__ import annotations

import tempfile
import unittest
import zlib
from pathlib import Path

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.targets import Target
from marigoldarch_node.storage.target_file import FILE_NAME, TargetFile

TARGETS = [
    Target("i-1", 1000, 3, "engines", "10.0.0.1:80", "dc1", 8, is_leaving=False),
    Target("i-2", 1000, 9, "desk", "10.0.0.2:80", "dc2", 6, is_leaving=True),
]


class TargetFileTests(unittest.TestCase):
    """Each test uses a target file in an empty folder."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)
        self.file = TargetFile(self.folder)

    def test_targets_are_read_back(self) -> None:
        self.file.save(TARGETS[:1])
        self.file.save(TARGETS)
        self.assertEqual(TargetFile(self.folder).load(), TARGETS)

    def test_missing_file_yields_no_targets(self) -> None:
        self.assertEqual(self.file.load(), [])

    def test_torn_or_damaged_file_raises_storage_error(self) -> None:
        self.file.save(TARGETS)
        data = (self.folder / FILE_NAME).read_bytes()
        for torn in (data[:-5], data[:2], b"", b"\0" * len(data), data[:9] + b"\0" + data[10:]):
            (self.folder / FILE_NAME).write_bytes(torn)
            with self.assertRaises(StorageError):
                self.file.load()

    def test_file_of_an_incompatible_build_raises_storage_error(self) -> None:
        self.file.save([("i-1", 1000)])
        with self.assertRaises(StorageError):
            self.file.load()

    def test_odd_entry_costs_no_other_target(self) -> None:
        """Guards against a host that knows no target after a start, as another writer left one odd entry."""
        odd = [
            TARGETS[0]._replace(target_id="i-3", address="10.0.0.1:99999"),
            TARGETS[0]._replace(target_id="i-4", serial=-1),
            TARGETS[0]._replace(target_id="i-5", born_ms=2**64 - 1),
            TARGETS[0]._replace(target_id="i-6", slots="many"),
            TARGETS[0]._replace(target_id="i-7", data_centre=None),
            ("i-8",),
            7,
        ]
        self.file.save([*odd, *TARGETS, *odd])
        self.assertEqual(self.file.load(), TARGETS)

    def test_entry_that_is_nested_too_deeply_raises_storage_error(self) -> None:
        nested = []
        for _ in range(900):
            nested = [nested]
        self.file.save([TARGETS[0], nested])
        body = (self.folder / FILE_NAME).read_bytes()[4:]
        body = body.replace(b"\x91" * 800, b"\x91" * 200_000)
        (self.folder / FILE_NAME).write_bytes(zlib.crc32(body).to_bytes(4, "big") + body)
        with self.assertRaises(StorageError):
            self.file.load()

    def test_failed_write_raises_storage_error_and_keeps_the_old_file(self) -> None:
        self.file.save(TARGETS)
        (self.folder / "targets.new").mkdir()
        with self.assertRaises(StorageError):
            self.file.save([])
        self.assertEqual(self.file.load(), TARGETS)
