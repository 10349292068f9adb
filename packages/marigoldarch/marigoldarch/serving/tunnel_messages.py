"""The messages with which an entry opens a tunnel to a target through another entry.

They are JSON lines on a connection to the peer address of the other entry, which answers one line. After
`CONNECTED` the connection carries the bytes to the target as they are, and those from the target in
frames: a length of four bytes, the highest first, and as many bytes. A frame without bytes stands for the
end of the target's connection; a tunnel that ends without it has broken.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from marigoldarch.exceptions import StreamError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 65_536
"""The largest content of a frame, what is read from a target at once."""


class TunnelOutcome(StrEnum):
    """What became of an ask for a tunnel.

    `TARGET_REFUSED` and `TARGET_SILENT` are what the gateway itself met at the target. With `LINK_LOST` it
    believes its own link to this target to be lost, with `CUT_OFF` those to all. `GATEWAY_SILENT` stands
    for a gateway that did not answer.
    """

    CONNECTED = "connected"
    TARGET_REFUSED = "target refused"
    TARGET_SILENT = "target silent"
    LINK_LOST = "link lost"
    CUT_OFF = "cut off"
    TARGET_WAITS = "target waits"
    UNKNOWN_TARGET = "unknown target"
    NOT_ALLOWED = "not allowed"
    BUSY = "busy"
    GATEWAY_SILENT = "gateway silent"


class TunnelAsk(msgspec.Struct, frozen=True, tag="open"):
    """Asks for a connection to one start of a target; `token` shows that a node asks."""

    target_id: str
    born_ms: int
    address: str
    token: str


class TargetWait(msgspec.Struct, frozen=True, tag="wait"):
    """Tells a gateway that a target has asked for a wait in a response that came through it.

    The target wants nothing from the gateway's host for `wait_ms`. There is no answer to this.
    """

    target_id: str
    born_ms: int
    wait_ms: float
    token: str


class TunnelAnswer(msgspec.Struct, frozen=True):
    """Answers a `TunnelAsk`.

    `neighbours` are some other entries of the gateway's data centre, by their peer addresses. Entries
    elsewhere know few of these, and would all ask the same ones.
    """

    outcome: TunnelOutcome
    neighbours: list[str] = []


class FrameReader:
    """Takes frames apart."""

    def __init__(self, data: bytes = b"") -> None:
        self._buffer = bytearray(data)

    @property
    def has_bytes(self) -> bool:
        """Return whether bytes of a frame have been fed and not taken."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def take(self) -> bytes | None:
        """Return the content of the next frame, None if it is not complete.

        Raises `StreamError` if the frame is too large.
        """
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES])
        if length > MAX_FRAME_BYTES:
            raise StreamError(f"a frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        content = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return content


def encode_frame(content: bytes) -> bytes:
    """Return a frame, without content the one that ends the stream."""
    return len(content).to_bytes(LENGTH_BYTES) + content
