"""Short messages between nodes as datagrams; any of them may be lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import open_datagrams, split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

MAX_DATAGRAM_BYTES = 65_536

log = EventLog("datagrams")


class DatagramSocket:
    """The datagram socket of a node."""

    def __init__(self, sock: trio.socket.SocketType, message_type: Any) -> None:
        self._socket = sock
        self._decoder = msgspec.msgpack.Decoder(message_type)

    @classmethod
    async def open(cls, address: str, message_type: Any) -> DatagramSocket:
        """Open the port that takes messages of a type, a union of tagged structs."""
        return cls(await open_datagrams(address), message_type)

    async def send(self, message: msgspec.Struct, *addresses: str) -> None:
        """Send a message to some nodes."""
        await self.send_encoded(msgspec.msgpack.encode(message), *addresses)

    async def send_encoded(self, data: bytes, *addresses: str) -> None:
        """Send a message that is encoded already."""
        for address in addresses:
            try:
                await self._socket.sendto(data, split_address(address))
            except OSError as error:
                log.warning("datagram not sent", peer=address, reason=error.strerror)

    async def receive(self, handle: Callable[[Any], Awaitable[None]]) -> None:
        """Hand over every message that can be decoded, until cancelled."""
        while True:
            data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                message = self._decoder.decode(data)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                log.warning("undecodable datagram dropped", peer=sender[0], reason=str(error))
                continue
            await handle(message)
