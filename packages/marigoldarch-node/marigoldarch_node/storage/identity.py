"""The identity of a data folder: its installation, its node, and a random replica."""

from __future__ import annotations

import secrets
from typing import Any, NamedTuple

import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, ForeignDataFolderError

FORMAT = 2
_REPLICA_ID_BYTES = 8


class Identity(NamedTuple):
    """Whom a data folder belongs to; `replica_id` is made once, when the folder is new."""

    format: int
    installation: str
    node: str
    replica_id: str


def new_identity(installation: str, node: str) -> Identity:
    """Return the identity of a new data folder."""
    return Identity(FORMAT, installation, node, secrets.token_hex(_REPLICA_ID_BYTES))


def encode_identity(identity: Identity) -> bytes:
    """Return the content of the identity file."""
    return encode_json(identity._asdict())


def decode_identity(data: bytes, installation: str, node: str) -> Identity:
    """Read an identity; raise `ForeignDataFolderError` unless it is of this node."""
    identity = _decode(data)
    if identity.format != FORMAT:
        raise ForeignDataFolderError(f"the data folder has format {identity.format}, not {FORMAT}")
    if identity.installation != installation:
        raise ForeignDataFolderError(
            f"--data-folder: it belongs to installation {identity.installation}, "
            f"not {installation}; name the folder of this installation or an empty one"
        )
    if identity.node != node:
        raise ForeignDataFolderError(
            f"--data-folder: it belongs to node {identity.node}, not {node}; "
            "name the folder of this node or an empty one"
        )
    return identity


def _decode(data: bytes) -> Identity:
    try:
        plain: Any = decode_json(data)
        return Identity(**msgspec.convert(plain, dict[str, int | str]))
    except (CodecError, TypeError, msgspec.ValidationError) as error:
        raise ForeignDataFolderError("the identity of the data folder is damaged") from error
