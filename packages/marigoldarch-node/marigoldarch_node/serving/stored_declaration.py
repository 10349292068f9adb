"""The form in which a declaration is stored and sent between nodes: compressed, as text."""

from __future__ import annotations

import base64
import zlib
from typing import TYPE_CHECKING

from marigoldarch.exceptions import CodecError

if TYPE_CHECKING:
    from marigoldarch.store.document import Document

MAX_BYTES = 64 * 1024 * 1024
"""The size of a stored declaration; `max_declaration_bytes` is less."""


def compress_declaration(body: bytes) -> str:
    """Return the text of the document that stores a declaration."""
    return base64.b85encode(zlib.compress(body)).decode()


def decompress_declaration(document: Document) -> bytes:
    """Return the declaration of a stored document, as its operator sent it.

    Raises `CodecError` for a document that another writer has left.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(base64.b85decode(document.text), MAX_BYTES)
    except (ValueError, zlib.error) as error:
        raise CodecError(f"stored declaration cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise CodecError(f"stored declaration is torn, or exceeds {MAX_BYTES} bytes")
    return body
