"""The document that the control hosts replicate."""

from __future__ import annotations

from typing import NamedTuple


class Document(NamedTuple):
    """The stored text and its version; version 0 means that no document was stored."""

    version: int = 0
    text: str = ""
