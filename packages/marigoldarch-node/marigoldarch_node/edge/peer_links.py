"""Message links between nodes: one long-lived HTTP request per direction that streams batches.

Each line of the request body is a batch in JSON: `[wall_ms, counter, messages]`, the timestamp of
the sender's hybrid logical clock and the messages. A streamed chunk costs about a tenth of a
request with its response. Messages that are queued while a chunk is written form the next batch.

Messages are lost only when a link breaks or stalls; the reducers resend the messages that they
need.
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
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, authorization_header
from marigoldarch_node.edge.listener import tcp_socket_options
from marigoldarch_node.lines import LineSplitter, LineTooLongError
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
MAX_QUEUED_MESSAGES = 10_000
MAX_QUEUED_MS = 1000.0
"""Messages queued longer on a broken link are dropped: the reducers have resent them by then."""

RECONNECT_DELAY_S = 0.1
TCP_USER_TIMEOUT_MS = 2000
"""How long sent data may stay unacknowledged before the link reconnects."""

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
MAX_BATCH_BYTES = 32 * 1024 * 1024

Batch = tuple[int, int, list[Any]]

log = get_logger("peers")


class QueuedMessage(NamedTuple):
    """A message in the queue of a link, and when it was queued."""

    queued_ms: Millis
    message: Message


class LinkSettings(NamedTuple):
    """The settings that all links of a node share."""

    node: str
    key: str
    clock: Clock
    hybrid_clock: HybridLogicalClock
    keys: KeyRing
    tls: TlsContexts | None = None


class HybridLogicalClock(Protocol):
    """The hybrid logical clock of a node; batches carry its timestamps."""

    def stamp(self, wall_ms: int) -> HybridTimestamp:
        """Advance the clock and return the timestamp of an outgoing batch."""
        ...

    def observe(self, timestamp: HybridTimestamp, wall_ms: int) -> None:
        """Merge the timestamp of an incoming batch into the clock."""
        ...


class PeerLink:
    """The outgoing link to one node.

    When the queue is full, the oldest message is dropped. When the link sends again, messages older
    than `MAX_QUEUED_MS` are dropped.
    """

    def __init__(self, settings: LinkSettings, peer: NodeAddress) -> None:
        self._settings = settings
        self._peer = peer
        self._queue: deque[QueuedMessage] = deque()
        self._message_queued = trio.Event()
        self._sent_bytes = 0
        self._dropped_messages = 0

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes of batches were sent."""
        return self._sent_bytes

    @property
    def dropped_messages(self) -> int:
        """Return how many messages were dropped."""
        return self._dropped_messages

    def send(self, message: Message) -> None:
        """Queue a message for sending."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self._dropped_messages += 1
        self._queue.append(QueuedMessage(self._settings.clock.monotonic_ms(), message))
        self._message_queued.set()

    async def run(self) -> None:
        """Send queued messages and reconnect after failures, until cancelled."""
        while True:
            await self._wait_for_messages()
            try:
                await self._send_batches()
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                log.debug("The link to {} is down: {}.", self._peer.node, type(error).__name__)
            except httpcore.ProtocolError as error:
                log.warning("The link to {} broke: {}.", self._peer.node, error)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _send_batches(self) -> None:
        tls = self._settings.tls
        url = f"{'https' if tls else 'http'}://{self._peer.peer_address}{LINK_PATH}"
        headers = {NODE_HEADER: self._settings.node, **authorization_header(self._settings.key)}
        timeouts = {"connect": CONNECT_TIMEOUT_S, "write": WRITE_TIMEOUT_S}
        options = tcp_socket_options(TCP_USER_TIMEOUT_MS)
        async with (
            httpcore.AsyncConnectionPool(
                ssl_context=tls.client if tls else None, socket_options=options
            ) as pool,
            pool.stream(
                "POST",
                url,
                headers=headers,
                content=self._encode_batches(),
                extensions={"timeout": timeouts},
            ) as response,
        ):
            log.warning(
                "The peer {} closed the link with status {}.", self._peer.node, response.status
            )

    async def _wait_for_messages(self) -> None:
        while not self._queue:
            self._message_queued = trio.Event()
            await self._message_queued.wait()

    async def _encode_batches(self) -> AsyncIterator[bytes]:
        while True:
            await self._wait_for_messages()
            messages = self._take_recent_messages()
            if not messages:
                continue
            timestamp = self._settings.hybrid_clock.stamp(self._settings.clock.wall_ms())
            data = encode_json([*timestamp, messages]) + b"\n"
            self._sent_bytes += len(data)
            yield data

    def _take_recent_messages(self) -> list[Any]:
        oldest_ms = self._settings.clock.monotonic_ms() - MAX_QUEUED_MS
        recent = [item.message for item in self._queue if item.queued_ms >= oldest_ms]
        self._dropped_messages += len(self._queue) - len(recent)
        self._queue.clear()
        return [MESSAGES.to_plain(message) for message in recent]


class PeerLinks:
    """The links between this node and all other nodes, in both directions."""

    def __init__(
        self,
        settings: LinkSettings,
        peers: tuple[NodeAddress, ...],
        submit: Callable[[Event], None],
    ) -> None:
        self._settings = settings
        self._submit = submit
        self._known_nodes = {peer.node for peer in peers}
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
        """Return the routes for other nodes."""
        return [Route("POST", LINK_PATH, self._serve_link)]

    def send(self, node: str, message: Message) -> None:
        """Queue a message for a node; a message for an unknown node is dropped."""
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
        is_known = self._settings.keys.allows(Role.PEER, request.bearer_key)
        if not is_known or sender not in self._known_nodes:
            raise HttpError(401, "unknown_peer", "the peer key or node name is wrong")
        splitter = LineSplitter(MAX_BATCH_BYTES)
        while True:
            message = await request.receive()
            if message["type"] == "http.disconnect":
                return
            for line in splitter.feed(message.get("body", b"")):
                self._receive_batch(sender, line)
            try:
                splitter.check()
            except LineTooLongError as error:
                message = "a batch of messages is too large"
                raise HttpError(413, "batch_too_large", message) from error
            if not message.get("more_body"):
                await request.send_json(200, {})
                return

    def _receive_batch(self, sender: str, line: bytes) -> None:
        self._received_bytes += len(line)
        try:
            wall_ms, counter, plain_messages = msgspec.convert(decode_json(line), Batch)
        except (CodecError, msgspec.ValidationError):
            log.warning("A malformed batch from {} was dropped.", sender)
            return
        clock = self._settings.clock
        self._settings.hybrid_clock.observe(HybridTimestamp(wall_ms, counter), clock.wall_ms())
        for plain in plain_messages:
            try:
                message = MESSAGES.from_plain(plain)
            except CodecError:
                log.warning("A malformed message from {} was dropped.", sender)
                continue
            self._submit(MessageArrived(clock.monotonic_ms(), sender, message))
