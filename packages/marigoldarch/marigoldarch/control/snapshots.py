"""Transfer of snapshots between replicas, in pieces of bounded size."""

from __future__ import annotations

from expression import Error, Ok, Result

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.configuration import Snapshot
from marigoldarch.exceptions import CodecError
from marigoldarch.messages import SnapshotPiece


class OutgoingSnapshot:
    """A snapshot to send, with its state encoded as JSON text."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._text = encode_json(snapshot.state).decode()

    @property
    def snapshot(self) -> Snapshot:
        """Return the snapshot."""
        return self._snapshot

    @property
    def length(self) -> int:
        """Return the length of the encoded state in characters."""
        return len(self._text)

    def text_from(self, offset: int, limit: int) -> str:
        """Return at most `limit` characters of the encoded state, starting at `offset`."""
        return self._text[offset : offset + limit]


class IncomingSnapshot:
    """The consecutive pieces of one snapshot received so far."""

    def __init__(self, piece: SnapshotPiece) -> None:
        self._term = piece.term
        self._index = piece.index
        self._length = piece.length
        self._parts: list[str] = []
        self._offset = 0

    @property
    def offset(self) -> int:
        """Return the offset of the next piece to receive, in characters."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Return whether all pieces have been received."""
        return self._offset == self._length

    def is_same_transfer(self, piece: SnapshotPiece) -> bool:
        """Return whether a piece has the term, index and length of this snapshot."""
        return (piece.term, piece.index, piece.length) == (self._term, self._index, self._length)

    def add(self, piece: SnapshotPiece) -> None:
        """Append the next piece; a piece with another offset, or without data, is ignored."""
        if piece.offset != self._offset or not piece.data:
            return
        self._parts.append(piece.data)
        self._offset += len(piece.data)

    def decode(self, piece: SnapshotPiece) -> Result[Snapshot, CodecError]:
        """Decode the complete snapshot; the last piece holds its configuration."""
        try:
            state = decode_json("".join(self._parts).encode())
        except CodecError as error:
            return Error(error)
        return Ok(Snapshot(piece.index, piece.index_term, piece.configuration, state))
