"""Messages between nodes as UDP datagrams; any of them may be lost.

Load pattern: each report goes to dozens of entries, and dozens of reports arrive each second. They
are sent without a turn of the scheduler for each of them, and received with few system calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import DatagramEndpoint, open_datagrams, split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_DATAGRAM_BYTES = 65_536

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
        sock = self._endpoint.socket
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                continue
            try:
                message = self._decoder.decode(data)
            except (msgspec.DecodeError, RecursionError) as error:
                log.warning("undecodable datagram dropped", peer=sender[0], reason=str(error))
                continue
            await handle(message)
