"""The identity of a data folder: its installation, its node, and a random replica ID."""

from __future__ import annotations

import secrets
from typing import Any, NamedTuple

import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, ForeignDataFolderError

FORMAT_VERSION = 2
_REPLICA_ID_BYTES = 8


class Identity(NamedTuple):
    """The owner of a data folder; `replica_id` is generated once, when the folder is created."""

    format: int
    installation: str
    node: str
    replica_id: str


def new_identity(installation: str, node: str) -> Identity:
    """Return the identity of a new data folder."""
    return Identity(FORMAT_VERSION, installation, node, secrets.token_hex(_REPLICA_ID_BYTES))


def encode_identity(identity: Identity) -> bytes:
    """Return the identity as the JSON content of its file."""
    return encode_json(identity._asdict())


def decode_identity(data: bytes, installation: str, node: str) -> Identity:
    """Decode an identity.

    Raises `ForeignDataFolderError` if it is damaged, has another format, or belongs to another
    installation or node.
    """
    identity = _decode(data)
    if identity.format != FORMAT_VERSION:
        raise ForeignDataFolderError(
            f"the data folder has format {identity.format}, not {FORMAT_VERSION}"
        )
    if identity.installation != installation:
        raise ForeignDataFolderError(
            f"--data-folder: the folder belongs to installation {identity.installation}, "
            f"not {installation}; use the folder of this installation or an empty one"
        )
    if identity.node != node:
        raise ForeignDataFolderError(
            f"--data-folder: the folder belongs to node {identity.node}, not {node}; "
            "use the folder of this node or an empty one"
        )
    return identity


def _decode(data: bytes) -> Identity:
    try:
        document: Any = decode_json(data)
        return Identity(**msgspec.convert(document, dict[str, int | str]))
    except (CodecError, TypeError, msgspec.ValidationError) as error:
        raise ForeignDataFolderError("the identity file of the data folder is damaged") from error
