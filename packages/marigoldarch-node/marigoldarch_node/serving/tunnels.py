"""Connections to targets through another entry, from the side of the entry that asks for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldarch.exceptions import MarigoldarchError, StreamError
from marigoldarch.serving.tunnel_messages import (
    FrameReader,
    TargetWait,
    TunnelAnswer,
    TunnelAsk,
    TunnelOutcome,
)
from marigoldarch_node.serving.sockets import Connection, connect

if TYPE_CHECKING:
    from collections.abc import Collection

    from marigoldarch.clock import Millis

GATEWAY_CONNECT_TIMEOUT_MS: Millis = 400.0
"""How long a gateway may take to accept a connection, as for other nodes."""

GATEWAY_ANSWER_TIMEOUT_MS: Millis = 450.0
"""How long a gateway may take to answer, which includes the time to connect to the target."""

MAX_ANSWER_BYTES = 1024
READ_BYTES = 65_536

_ANSWER_DECODER = msgspec.json.Decoder(TunnelAnswer)


class TunnelError(MarigoldarchError):
    """A gateway opened no tunnel, so nothing was sent to the target.

    `neighbours` are other entries that it names.
    """

    def __init__(self, outcome: TunnelOutcome, neighbours: Collection[str] = ()) -> None:
        super().__init__(str(outcome))
        self.outcome = outcome
        self.neighbours = neighbours


class TunnelStream:
    """The stream of a tunnel: bytes to the target as they are, those from it without their frames.

    A tunnel that ends before its last frame has broken, as the gateway or a connection was lost.
    """

    def __init__(self, stream: trio.SocketStream, frames: FrameReader) -> None:
        self._stream = stream
        self._frames = frames

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection to the gateway."""
        return self._stream.socket

    @property
    def has_bytes(self) -> bool:
        """Return whether received bytes wait to be read."""
        return self._frames.has_bytes

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the target."""
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return bytes of the target, none at the end of its connection."""
        try:
            while (content := self._frames.take()) is None:
                data = await self._stream.receive_some(max_bytes)
                if not data:
                    raise trio.BrokenResourceError("the tunnel has ended before its last frame")
                self._frames.feed(data)
        except StreamError as error:
            raise trio.BrokenResourceError(str(error)) from error
        return content


class TunnelConnection(Connection):
    """A connection to a target through a gateway."""

    def has_input(self) -> bool:
        """Return whether data or the end of the connection can be read."""
        return self.stream.has_bytes or super().has_input()

    def bound_silence(self, *, holds_memory: bool) -> None:
        """Change nothing: the kernel hears the gateway, and the gateway's the target."""

    def has_orderly_end(self) -> bool:
        """Return whether the target has ended its connection, which the last frame tells."""
        return True


async def open_tunnel(gateway: str, ask: TunnelAsk) -> tuple[TunnelConnection, list[str]]:
    """Open a connection to a target through a gateway; raise `TunnelError` if there is none.

    Returns the other entries that the gateway names, too.
    """
    try:
        connection = await connect(gateway, GATEWAY_CONNECT_TIMEOUT_MS)
    except (OSError, trio.TooSlowError) as error:
        raise TunnelError(TunnelOutcome.GATEWAY_SILENT) from error
    answer = TunnelAnswer(TunnelOutcome.GATEWAY_SILENT)
    try:
        with trio.move_on_after(GATEWAY_ANSWER_TIMEOUT_MS / 1000.0):
            await connection.stream.send_all(msgspec.json.encode(ask) + b"\n")
            answer, rest = await _read_answer(connection.stream)
        if answer.outcome is TunnelOutcome.CONNECTED:
            stream = TunnelStream(connection.stream, FrameReader(rest))
            return TunnelConnection(connection.socket, stream), answer.neighbours
    except (trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError) as error:
        connection.close()
        raise TunnelError(TunnelOutcome.GATEWAY_SILENT) from error
    except BaseException:
        connection.close()
        raise
    connection.close()
    raise TunnelError(answer.outcome, answer.neighbours)


async def tell_wait(gateway: str, wait: TargetWait) -> None:
    """Tell a gateway of a wait that a target has asked for; it isn't repeated if that fails."""
    try:
        connection = await connect(gateway, GATEWAY_CONNECT_TIMEOUT_MS)
    except (OSError, trio.TooSlowError):
        return
    try:
        await connection.stream.send_all(msgspec.json.encode(wait) + b"\n")
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        connection.close()


async def _read_answer(stream: trio.SocketStream) -> tuple[TunnelAnswer, bytes]:
    """Return the answer of a gateway, and the bytes that follow it."""
    received = b""
    while b"\n" not in received:
        data = await stream.receive_some(READ_BYTES)
        if not data or len(received) > MAX_ANSWER_BYTES:
            return TunnelAnswer(TunnelOutcome.GATEWAY_SILENT), b""
        received += data
    line, _, rest = received.partition(b"\n")
    return _ANSWER_DECODER.decode(line), rest
