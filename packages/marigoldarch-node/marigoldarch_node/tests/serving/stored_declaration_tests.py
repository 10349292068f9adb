"""Tests of stored declarations that another build, or another writer, has left."""

from __future__ import annotations

import base64
import tempfile
import unittest
import zlib
from pathlib import Path
from unittest.mock import patch

import msgspec
import trio

from marigoldarch.exceptions import CodecError
from marigoldarch.store.document import Document
from marigoldarch_node.serving import entry_host
from marigoldarch_node.serving.control_host import ControlHost
from marigoldarch_node.serving.entry_host import EntryHost
from marigoldarch_node.serving.settings import ServingSettings
from marigoldarch_node.serving.stored_declaration import (
    MAX_BYTES,
    compress_declaration,
    decompress_declaration,
)
from marigoldarch_node.tests.serving.support import PlainDialect

HUGE = base64.b85encode(zlib.compress(b" " * (MAX_BYTES + 1))).decode()
WHOLE = compress_declaration(b"{}" * 100)
ODD_TEXTS = ("", "\ud800", "no base", "00000", WHOLE[:-5], HUGE)


class FaultyDialect(PlainDialect):
    """A dialect that reads no declaration."""

    def read_declaration(self, body: bytes) -> str:
        """Return a fault."""
        return "unreadable"


SETTINGS = ServingSettings("n1", "127.0.0.1", "dc1", 7000, ["127.0.0.9:1"])


class StoredDeclarationTests(unittest.TestCase):
    """Guards against nodes that end, again after each start, as a document can't be decompressed."""

    def test_declaration_is_read_back(self) -> None:
        self.assertEqual(decompress_declaration(Document(1, WHOLE)), b"{}" * 100)

    def test_odd_document_cannot_be_decoded(self) -> None:
        for text in ODD_TEXTS:
            with self.assertRaises(CodecError):
                decompress_declaration(Document(1, text))

    def test_control_host_starts_with_an_odd_document(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            host = ControlHost(SETTINGS, FaultyDialect(), Path(folder), 1)
            for text in ODD_TEXTS:
                host._update_cold_services(Document(1, text))

    def test_entry_keeps_its_declaration_if_a_host_has_an_odd_document(self) -> None:
        entry = EntryHost(SETTINGS, FaultyDialect(), 1)

        async def fetch(text: str) -> bool:
            async def fetch_body(*_: object) -> bytes:
                return msgspec.json.encode(Document(7, text))

            with patch.object(entry_host, "fetch_body", fetch_body):
                return await entry._fetch_declaration("c1")

        for text in ODD_TEXTS:
            if text.isascii():
                self.assertFalse(trio.run(fetch, text))
