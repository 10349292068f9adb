"""Messages between nodes as UDP datagrams; any of them may be lost.

Load pattern: a report goes to dozens of entries, and dozens of reports arrive between two turns of
a busy node. Datagrams are sent and received without a turn of the scheduler for each of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import DatagramEndpoint, open_datagrams, split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

MAX_DATAGRAM_BYTES = 65_536
MAX_BATCH = 64
"""The datagrams that are handled between two turns of the scheduler."""

log = EventLog("datagrams")


class DatagramSocket:
    """The UDP socket of a node, with messages encoded as MessagePack."""

    def __init__(self, endpoint: DatagramEndpoint, message_type: Any) -> None:
        self._endpoint = endpoint
        self._decoder = msgspec.msgpack.Decoder(message_type)

    @classmethod
    async def open(cls, address: str, message_type: Any) -> DatagramSocket:
        """Bind a socket that receives messages of a type, a union of tagged structs."""
        return cls(await open_datagrams(address), message_type)

    async def send(self, message: msgspec.Struct, *addresses: str) -> None:
        """Send a message to each address, given as `IP:PORT`."""
        await self.send_encoded(msgspec.msgpack.encode(message), *addresses)

    async def send_encoded(self, data: bytes, *addresses: str) -> None:
        """Send an encoded message to each address; log failures."""
        for address in addresses:
            try:
                self._endpoint.socket.sendto(data, split_address(address))
            except BlockingIOError:
                await self._endpoint.stream.sendto(data, split_address(address))
            except OSError as error:
                log.warning("datagram not sent", peer=address, reason=error.strerror)
        await trio.lowlevel.checkpoint()

    async def receive(self, handle: Callable[[Any], Awaitable[None]]) -> None:
        """Call `handle` with each message until cancelled; drop and log what cannot be decoded."""
        while True:
            first = await self._endpoint.stream.recvfrom(MAX_DATAGRAM_BYTES)
            for data, sender in (first, *self._waiting_datagrams()):
                try:
                    message = self._decoder.decode(data)
                except (msgspec.DecodeError, msgspec.ValidationError) as error:
                    log.warning("undecodable datagram dropped", peer=sender[0], reason=str(error))
                    continue
                await handle(message)

    def _waiting_datagrams(self) -> Iterator[tuple[bytes, tuple[str, int]]]:
        """Yield datagrams that have arrived already."""
        for _ in range(MAX_BATCH - 1):
            try:
                yield self._endpoint.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # Usually nothing is left; any other error comes again with the next wait.
                return
