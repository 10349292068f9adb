"""Transfer of snapshots between replicas in bounded pieces."""

from __future__ import annotations

from expression import Error, Ok, Result

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.configuration import Snapshot
from marigoldarch.exceptions import CodecError
from marigoldarch.messages import SnapshotPiece


class OutgoingSnapshot:
    """A snapshot as JSON text, cut into pieces."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._text = encode_json(snapshot.state).decode()

    @property
    def snapshot(self) -> Snapshot:
        """Return the snapshot that is sent."""
        return self._snapshot

    @property
    def length(self) -> int:
        """Return the length of the whole text in characters."""
        return len(self._text)

    def cut(self, offset: int, limit: int) -> str:
        """Return at most `limit` characters from `offset` on."""
        return self._text[offset : offset + limit]


class IncomingSnapshot:
    """The pieces of one snapshot received so far, without gaps."""

    def __init__(self, piece: SnapshotPiece) -> None:
        self._term = piece.term
        self._index = piece.index
        self._length = piece.length
        self._parts: list[str] = []
        self._offset = 0

    @property
    def offset(self) -> int:
        """Return the offset of the next piece wanted."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Return whether the whole text has arrived."""
        return self._offset == self._length

    def belongs(self, piece: SnapshotPiece) -> bool:
        """Return whether a piece is of the same transfer."""
        return (piece.term, piece.index, piece.length) == (self._term, self._index, self._length)

    def add(self, piece: SnapshotPiece) -> None:
        """Take the next piece; any other is ignored."""
        if piece.offset != self._offset or not piece.data:
            return
        self._parts.append(piece.data)
        self._offset += len(piece.data)

    def decode(self, piece: SnapshotPiece) -> Result[Snapshot, CodecError]:
        """Return the whole snapshot; the last piece names its configuration."""
        try:
            state = decode_json("".join(self._parts).encode())
        except CodecError as error:
            return Error(error)
        return Ok(Snapshot(piece.index, piece.index_term, piece.configuration, state))
