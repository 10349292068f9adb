"""The form in which a declaration is stored and sent between nodes: compressed, as text."""

from __future__ import annotations

import base64
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.store.document import Document


def compress_declaration(body: bytes) -> str:
    """Return the text of the document that stores a declaration."""
    return base64.b85encode(zlib.compress(body)).decode()


def decompress_declaration(document: Document) -> bytes:
    """Return the declaration of a stored document, as its operator sent it."""
    return zlib.decompress(base64.b85decode(document.text))
