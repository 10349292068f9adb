"""Links to the other nodes: one endless HTTP request each way, a JSON line for each batch.

A streamed chunk costs about a tenth of a request and its response, and batches form by themselves
while a chunk is being written.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.events import Event, MessageArrived
from marigoldarch.exceptions import CodecError
from marigoldarch.messages import MESSAGES, Message
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, bearer_header
from marigoldarch_node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from marigoldarch.clock import Clock
    from marigoldarch.identifiers import NodeAddress

LINK_PATH = "/peer/v1/link"
NODE_HEADER = "x-marigoldarch-node"
OUTBOX_MESSAGES = 10_000
RECONNECT_S = 0.2
CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 32 * 1024 * 1024

log = get_logger("peers")


class PeerLink:
    """The outgoing link to one node; the oldest messages are dropped when it stays broken."""

    def __init__(self, own_node: str, peer: NodeAddress, key: str) -> None:
        self._own_node = own_node
        self._peer = peer
        self._key = key
        self._outbox: deque[Message] = deque(maxlen=OUTBOX_MESSAGES)
        self._wakeup = trio.Event()
        self._sent_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes of messages were sent."""
        return self._sent_bytes

    def send(self, message: Message) -> None:
        """Queue a message."""
        self._outbox.append(message)
        self._wakeup.set()

    async def run(self) -> None:
        """Keep the link connected while there is something to send."""
        url = f"http://{self._peer.peer_address}{LINK_PATH}"
        headers = {NODE_HEADER: self._own_node, **bearer_header(self._key)}
        timeouts = {"connect": CONNECT_TIMEOUT_S, "write": WRITE_TIMEOUT_S}
        while True:
            await self._wait_for_messages()
            try:
                async with (
                    httpcore.AsyncConnectionPool() as pool,
                    pool.stream(
                        "POST",
                        url,
                        headers=headers,
                        content=self._batches(),
                        extensions={"timeout": timeouts},
                    ) as response,
                ):
                    log.warning("Link to {} was closed with {}.", self._peer.node, response.status)
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                log.debug("Link to {} is down: {}.", self._peer.node, type(error).__name__)
            except httpcore.ProtocolError as error:
                log.warning("Link to {} broke: {}.", self._peer.node, error)
            self._outbox.clear()
            await trio.sleep(RECONNECT_S)

    async def _wait_for_messages(self) -> None:
        while not self._outbox:
            self._wakeup = trio.Event()
            await self._wakeup.wait()

    async def _batches(self) -> AsyncIterator[bytes]:
        while True:
            await self._wait_for_messages()
            batch = [MESSAGES.to_plain(message) for message in self._outbox]
            self._outbox.clear()
            data = encode_json(batch) + b"\n"
            self._sent_bytes += len(data)
            yield data


class PeerLinks:
    """The links of a node, to and from all others."""

    def __init__(
        self,
        own_node: str,
        peers: tuple[NodeAddress, ...],
        key: str,
        clock: Clock,
        submit: Callable[[Event], None],
    ) -> None:
        self._clock = clock
        self._submit = submit
        self._key = key
        self._nodes = {peer.node for peer in peers}
        self._links = {
            peer.node: PeerLink(own_node, peer, key) for peer in peers if peer.node != own_node
        }
        self._received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes all links have sent."""
        return sum(link.sent_bytes for link in self._links.values())

    @property
    def received_bytes(self) -> int:
        """Return how many bytes all links have received."""
        return self._received_bytes

    @property
    def routes(self) -> list[Route]:
        """Return the routes for the other nodes."""
        return [Route("POST", LINK_PATH, self._serve_link)]

    def send(self, node: str, message: Message) -> None:
        """Queue a message to a node; an unknown node's are dropped."""
        link = self._links.get(node)
        if link is not None:
            link.send(message)

    async def run(self) -> None:
        """Run all outgoing links."""
        async with trio.open_nursery() as nursery:
            for link in self._links.values():
                nursery.start_soon(link.run)

    async def _serve_link(self, request: HttpRequest) -> None:
        sender = request.headers.get(NODE_HEADER, "")
        if request.bearer != self._key or sender not in self._nodes:
            raise HttpError(401, "unknown_peer", "the peer key or node name is wrong")
        rest = b""
        while True:
            message = await request.receive()
            if message["type"] == "http.disconnect":
                return
            *lines, rest = (rest + message.get("body", b"")).split(b"\n")
            for line in lines:
                self._receive_batch(sender, line)
            if len(rest) > MAX_LINE_BYTES:
                raise HttpError(413, "batch_too_large", "a batch of messages is too large")
            if not message.get("more_body"):
                await request.send_json(200, {})
                return

    def _receive_batch(self, sender: str, line: bytes) -> None:
        self._received_bytes += len(line)
        try:
            batch = [MESSAGES.from_plain(plain) for plain in decode_json(line)]
        except (CodecError, TypeError):
            log.warning("A batch of {} is malformed and was dropped.", sender)
            return
        for item in batch:
            self._submit(MessageArrived(self._clock.monotonic_ms(), sender, item))
