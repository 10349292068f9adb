"""Links to the other nodes: one endless HTTP request each way, a JSON line for each batch.

A streamed chunk costs about a tenth of a request and its response, and batches form by themselves
while a chunk is being written. A batch is `[wall_ms, counter, messages]`: the stamp of the sender's
hybrid logical clock and the messages.

A link may lose messages when it breaks, and only then; the reducers resend what matters.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import httpcore
import msgspec
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.events import Event, MessageArrived
from marigoldarch.exceptions import CodecError
from marigoldarch.messages import MESSAGES, Message
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, bearer_header
from marigoldarch_node.edge.listener import connection_options
from marigoldarch_node.logs import get_logger
from marigoldarch_node.security.keys import KeyRing, Role
from marigoldarch_node.security.tls import TlsContexts
from marigoldarch_node.timeline.hybrid_clock import HybridTimestamp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.identifiers import NodeAddress

LINK_PATH = "/peer/v1/link"
NODE_HEADER = "x-marigoldarch-node"
OUTBOX_MESSAGES = 10_000
MAX_AGE_MS = 1000.0
"""Messages that waited longer for a broken link are dropped: their senders have resent them."""

RECONNECT_S = 0.1
UNACKNOWLEDGED_MS = 2000
"""How long a peer may leave data unacknowledged before the link is opened anew."""

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 32 * 1024 * 1024

Batch = tuple[int, int, list[Any]]

log = get_logger("peers")


class Outgoing(NamedTuple):
    """A message that waits for its link."""

    queued_ms: Millis
    message: Message


class LinkSettings(NamedTuple):
    """What all links of a node share."""

    node: str
    key: str
    clock: Clock
    stamps: StampSource
    keys: KeyRing
    tls: TlsContexts | None = None


class StampSource(Protocol):
    """The hybrid logical clock that travels along with the messages."""

    def stamp(self, wall_ms: int) -> HybridTimestamp:
        """Return a stamp to send."""
        ...

    def observe(self, stamp: HybridTimestamp, wall_ms: int) -> None:
        """Take note of a stamp that has arrived."""
        ...


class PeerLink:
    """The outgoing link to one node.

    While it is broken the oldest messages are dropped, and those that are too old to be of use.
    """

    def __init__(self, settings: LinkSettings, peer: NodeAddress) -> None:
        self._settings = settings
        self._peer = peer
        self._outbox: deque[Outgoing] = deque()
        self._wakeup = trio.Event()
        self._sent_bytes = 0
        self._dropped_messages = 0

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes of messages were sent."""
        return self._sent_bytes

    @property
    def dropped_messages(self) -> int:
        """Return how many messages were dropped."""
        return self._dropped_messages

    def send(self, message: Message) -> None:
        """Queue a message."""
        if len(self._outbox) >= OUTBOX_MESSAGES:
            self._outbox.popleft()
            self._dropped_messages += 1
        self._outbox.append(Outgoing(self._settings.clock.monotonic_ms(), message))
        self._wakeup.set()

    async def run(self) -> None:
        """Keep the link connected while there is something to send."""
        while True:
            await self._wait_for_messages()
            try:
                await self._connect()
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                log.debug("Link to {} is down: {}.", self._peer.node, type(error).__name__)
            except httpcore.ProtocolError as error:
                log.warning("Link to {} broke: {}.", self._peer.node, error)
            await trio.sleep(RECONNECT_S)

    async def _connect(self) -> None:
        tls = self._settings.tls
        url = f"{'https' if tls else 'http'}://{self._peer.peer_address}{LINK_PATH}"
        headers = {NODE_HEADER: self._settings.node, **bearer_header(self._settings.key)}
        timeouts = {"connect": CONNECT_TIMEOUT_S, "write": WRITE_TIMEOUT_S}
        options = connection_options(UNACKNOWLEDGED_MS)
        async with (
            httpcore.AsyncConnectionPool(
                ssl_context=tls.client if tls else None, socket_options=options
            ) as pool,
            pool.stream(
                "POST",
                url,
                headers=headers,
                content=self._batches(),
                extensions={"timeout": timeouts},
            ) as response,
        ):
            log.warning("Link to {} was closed with {}.", self._peer.node, response.status)

    async def _wait_for_messages(self) -> None:
        while not self._outbox:
            self._wakeup = trio.Event()
            await self._wakeup.wait()

    async def _batches(self) -> AsyncIterator[bytes]:
        while True:
            await self._wait_for_messages()
            messages = self._take_fresh()
            if not messages:
                continue
            stamp = self._settings.stamps.stamp(self._settings.clock.wall_ms())
            data = encode_json([*stamp, messages]) + b"\n"
            self._sent_bytes += len(data)
            yield data

    def _take_fresh(self) -> list[Any]:
        oldest_ms = self._settings.clock.monotonic_ms() - MAX_AGE_MS
        fresh = [item.message for item in self._outbox if item.queued_ms >= oldest_ms]
        self._dropped_messages += len(self._outbox) - len(fresh)
        self._outbox.clear()
        return [MESSAGES.to_plain(message) for message in fresh]


class PeerLinks:
    """The links of a node, to and from all others."""

    def __init__(
        self,
        settings: LinkSettings,
        peers: tuple[NodeAddress, ...],
        submit: Callable[[Event], None],
    ) -> None:
        self._settings = settings
        self._submit = submit
        self._nodes = {peer.node for peer in peers}
        self._links = {
            peer.node: PeerLink(settings, peer) for peer in peers if peer.node != settings.node
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
    def dropped_messages(self) -> int:
        """Return how many messages all links have dropped."""
        return sum(link.dropped_messages for link in self._links.values())

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
        is_known = self._settings.keys.allows(Role.PEER, request.bearer)
        if not is_known or sender not in self._nodes:
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
            wall_ms, counter, plain_messages = msgspec.convert(decode_json(line), Batch)
        except (CodecError, msgspec.ValidationError):
            log.warning("A batch of {} is malformed and was dropped.", sender)
            return
        clock = self._settings.clock
        self._settings.stamps.observe(HybridTimestamp(wall_ms, counter), clock.wall_ms())
        for plain in plain_messages:
            try:
                message = MESSAGES.from_plain(plain)
            except CodecError:
                log.warning("A message of {} is malformed and was dropped.", sender)
                continue
            self._submit(MessageArrived(clock.monotonic_ms(), sender, message))
