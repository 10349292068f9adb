"""Encoding of tagged data classes as JSON, for messages between nodes and for the log."""

from __future__ import annotations

from typing import Any

import msgspec

from marigoldarch.exceptions import CodecError


class Codec:
    """Encode and decode a fixed set of data classes as `[class name, fields]`."""

    def __init__(self, classes: tuple[type, ...]) -> None:
        self._classes = {cls.__name__: cls for cls in classes}

    def to_plain(self, value: object) -> list[Any]:
        """Return `value` as a list of built-in types that JSON can hold."""
        return [type(value).__name__, msgspec.to_builtins(value)]

    def from_plain(self, plain: Any) -> Any:
        """Build the data class that `plain`, a result of `to_plain`, describes.

        Raises `CodecError` for an unknown class name or fields of the wrong type.
        """
        try:
            name, fields = plain
            return msgspec.convert(fields, self._classes[name])
        except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
            raise CodecError(f"cannot decode message: {error}") from error


def encode_json(plain: Any) -> bytes:
    """Encode built-in types as one JSON document."""
    return msgspec.json.encode(plain)


def decode_json(data: bytes) -> Any:
    """Decode one JSON document; raise `CodecError` if it is malformed or nested too deeply."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f"malformed JSON: {error}") from error
