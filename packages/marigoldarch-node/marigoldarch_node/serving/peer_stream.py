"""Streams of messages between nodes: an HTTP response without end, with a JSON line for each batch.

The receiver subscribes with `GET /peer/v1/messages?node=NAME&role=ROLE`, the sender pushes.
Messages are lost only when a stream breaks; senders repeat those that must arrive.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, quote, urlsplit

import h11
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError
from marigoldarch.serving.attempts import FailureReason
from marigoldarch_node.lines import LineSplitter, LineTooLongError
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import connect
from marigoldarch_node.serving.target_connections import (
    ResponseError,
    TargetConnection,
    TargetRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Collection, Sequence

    from marigoldarch.clock import Millis
    from marigoldarch.codec import Codec
    from marigoldarch.serving.presence import NodeRole
    from marigoldarch_node.serving.http_server import Exchange

MESSAGES_PATH = "/peer/v1/messages"
DOCUMENT_PATH = "/peer/v1/document"
MAX_OUTBOX_LINES = 5000
CONNECT_TIMEOUT_MS: Millis = 400.0
"""Shorter than the 1 s after which the kernel repeats a SYN, so that a host that has just started
is reached sooner. Regions are 300 ms apart at most."""

RESPONSE_TIMEOUT_MS: Millis = 1000.0
RECONNECT_DELAY_S = 0.15
IDLE_TIMEOUT_S = 2.0
"""A stream is reopened if it sends no data for four hello intervals."""

REMOTE_STATUS_INTERVAL = 4
"""A control host sends its status to entries of other data centres at every fourth interval."""

REMOTE_IDLE_TIMEOUT_S = 6.0
"""The same as `IDLE_TIMEOUT_S` for a stream from another data centre: three of its intervals."""

OPTIONAL_KINDS = ("TargetsCold",)
"""The kinds of messages that older builds cannot decode. They are sent to subscribers that list them."""

MAX_LINE_BYTES = 64 * 1024 * 1024
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024

log = EventLog("peers")


class Outbox:
    """The queue of encoded messages for one subscriber."""

    def __init__(self) -> None:
        self._lines: deque[bytes] = deque()
        self._wakeup = trio.Event()
        self._has_overflowed = False

    def put(self, line: bytes) -> None:
        """Queue a line; if the queue is full, the subscriber has to reconnect."""
        if len(self._lines) >= MAX_OUTBOX_LINES:
            self._has_overflowed = True
        else:
            self._lines.append(line)
        self._wakeup.set()

    async def take(self) -> bytes | None:
        """Wait for lines and return all of them, None if the subscriber has to reconnect."""
        while not self._lines and not self._has_overflowed:
            self._wakeup = trio.Event()
            await self._wakeup.wait()
        if self._has_overflowed:
            return None
        data = b"".join(self._lines)
        self._lines.clear()
        return data


class Subscribers:
    """The nodes that receive this node's messages; a node's new stream replaces its old one."""

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._outboxes: dict[str, Outbox] = {}
        self._groups: dict[str, str] = {}
        self._known_kinds: dict[str, frozenset[str]] = {}
        self.sent_bytes = 0

    @property
    def names(self) -> Collection[str]:
        """Return the names of the connected nodes."""
        return self._outboxes.keys()

    def send(self, node: str, message: object) -> None:
        """Queue a message for one node; it is lost if the node is not connected."""
        outbox = self._outboxes.get(node)
        if outbox is not None:
            outbox.put(self._encode_line([message]))

    @property
    def groups(self) -> set[str]:
        """Return the groups, which are data centres, of the connected nodes."""
        return set(self._groups.values())

    def send_to_all(self, message: object) -> None:
        """Queue a message for every connected node."""
        line = self._encode_line([message])
        for outbox in self._outboxes.values():
            outbox.put(line)

    def send_to_group(self, group: str, message: object) -> None:
        """Queue a message for every connected node of a group."""
        line = self._encode_line([message])
        for node, outbox in self._outboxes.items():
            if self._groups[node] == group:
                outbox.put(line)

    def send_to_other_groups(self, group: str, message: object) -> None:
        """Queue a message for every connected node that is not in a group."""
        line = self._encode_line([message])
        for node, outbox in self._outboxes.items():
            if self._groups[node] != group:
                outbox.put(line)

    def send_optional(self, message: object) -> None:
        """Queue a message for every connected node that lists its kind."""
        kind = type(message).__name__
        nodes = [node for node, kinds in self._known_kinds.items() if kind in kinds]
        if nodes:
            line = self._encode_line([message])
            for node in nodes:
                self._outboxes[node].put(line)

    async def serve(
        self,
        exchange: Exchange,
        initial_messages: list[object],
        optional_messages: Sequence[object] = (),
    ) -> None:
        """Stream messages to a subscriber until it disconnects.

        It gets those `optional_messages` first whose kinds it lists, then `initial_messages`.
        """
        node = subscriber_name(exchange)
        kinds = subscriber_kinds(exchange)
        self._groups[node] = subscriber_data_centre(exchange)
        outbox = Outbox()
        known = [message for message in optional_messages if type(message).__name__ in kinds]
        if known:
            outbox.put(self._encode_line(known))
        if initial_messages:
            outbox.put(self._encode_line(initial_messages))
        self._outboxes[node] = outbox
        self._known_kinds[node] = kinds
        log.info("subscriber connected", peer=node)
        try:
            await exchange.send_head(200, [(b"content-type", b"application/jsonl")])
            while (data := await outbox.take()) is not None:
                if self._outboxes.get(node) is not outbox:
                    break
                self.sent_bytes += len(data)
                await exchange.send_data(data)
        finally:
            exchange.abort()
            if self._outboxes.get(node) is outbox:
                del self._outboxes[node]
                del self._groups[node]
                del self._known_kinds[node]
                log.info("subscriber gone", peer=node)

    def _encode_line(self, messages: list[object]) -> bytes:
        plain = [self._codec.to_plain(message) for message in messages]
        return encode_json(plain) + b"\n"


def subscriber_name(exchange: Exchange) -> str:
    """Return the name of the node that subscribes."""
    return _query_value(exchange, "node")


def subscriber_role(exchange: Exchange) -> str:
    """Return the role of the node that subscribes."""
    return _query_value(exchange, "role")


def subscriber_data_centre(exchange: Exchange) -> str:
    """Return the data centre of the node that subscribes."""
    return _query_value(exchange, "data_centre")


def subscriber_kinds(exchange: Exchange) -> frozenset[str]:
    """Return the optional kinds of messages that the subscriber can decode."""
    return frozenset(_query_value(exchange, "kinds").split(","))


def _query_value(exchange: Exchange, name: str) -> str:
    return parse_qs(urlsplit(exchange.request.target).query).get(name, [""])[0]


class Subscription:
    """Receives the stream of messages from one peer, and reopens it whenever it breaks.

    `on_message` is called with the peer and each message, `on_connection` with the peer and whether
    the stream has opened or broken.
    """

    def __init__(
        self,
        own_name: str,
        role: NodeRole,
        peer: str,
        codec: Codec,
        on_message: Callable[[str, Any], None],
        on_connection: Callable[[str, bool], None],
        data_centre: str = "",
        idle_timeout_s: Callable[[], float] = lambda: IDLE_TIMEOUT_S,
    ) -> None:
        self._own_name = own_name
        self._role = role
        self._peer = peer
        self._codec = codec
        self._on_message = on_message
        self._on_connection = on_connection
        self._data_centre = data_centre
        self._idle_timeout_s = idle_timeout_s

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            is_connected = False
            try:
                async for line in fetch_lines(self._peer, self._path(), self._idle_timeout_s):
                    if not is_connected:
                        is_connected = True
                        log.info("connected to peer", peer=self._peer)
                        self._on_connection(self._peer, True)
                    self._receive(line)
            except (OSError, trio.TooSlowError, ResponseError) as error:
                if is_connected:
                    log.warning("lost peer", peer=self._peer, reason=type(error).__name__)
            if is_connected:
                self._on_connection(self._peer, False)
            await trio.sleep(RECONNECT_DELAY_S)

    def _path(self) -> str:
        data_centre = quote(self._data_centre)
        node = quote(self._own_name)
        query = f"node={node}&role={self._role}&data_centre={data_centre}"
        return f"{MESSAGES_PATH}?{query}&kinds={','.join(OPTIONAL_KINDS)}"

    def _receive(self, line: bytes) -> None:
        try:
            messages = [self._codec.from_plain(plain) for plain in decode_json(line)]
        except (CodecError, TypeError) as error:
            log.error("undecodable batch dropped", peer=self._peer, reason=str(error))
            return
        for message in messages:
            try:
                self._on_message(self._peer, message)
            except CodecError as error:
                log.error("undecodable message dropped", peer=self._peer, reason=str(error))


async def fetch_lines(
    address: str, path: str, idle_timeout_s: Callable[[], float]
) -> AsyncIterator[bytes]:
    """Yield the lines of a peer's stream.

    Raises `OSError` or `ResponseError` if it breaks, `trio.TooSlowError` if it does not open in
    time or sends nothing for `idle_timeout_s()`, which is asked before each wait.
    """
    connection = TargetConnection(
        address, await connect(address, CONNECT_TIMEOUT_MS), h11.Connection(h11.CLIENT), False
    )
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_MS / 1000.0):
            await connection.send(_get_request(path))
            await connection.read_head()
        splitter = LineSplitter(MAX_LINE_BYTES)
        chunks = connection.chunks()
        while True:
            with trio.fail_after(idle_timeout_s()):
                data = await anext(chunks, None)
            if data is None:
                return
            for line in splitter.feed(data):
                yield line
            splitter.check()
    except LineTooLongError as error:
        raise ResponseError(FailureReason.GARBLED, str(error)) from error
    finally:
        connection.connection.close()


async def fetch_body(address: str, path: str, timeout_s: float) -> bytes:
    """Return a peer's response body; raise `OSError`, `trio.TooSlowError` or `ResponseError`."""
    with trio.fail_after(timeout_s):
        connection = TargetConnection(
            address, await connect(address, CONNECT_TIMEOUT_MS), h11.Connection(h11.CLIENT), False
        )
        try:
            await connection.send(_get_request(path))
            head = await connection.read_head()
            body = await connection.read_body(MAX_DOCUMENT_BYTES)
        finally:
            connection.connection.close()
    if head.status != 200:
        raise OSError(f"peer {address} responded with status {head.status} to {path}")
    return body


def _get_request(path: str) -> TargetRequest:
    return TargetRequest("GET", path, [(b"host", b"peer")], b"")
