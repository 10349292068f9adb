"""Opens connections to targets for other entries, whose own links don't reach them.

It connects to targets itself, never through a third entry, and only to those that it knows. What is sent
and who may send it is decided by the entry that asks.
"""

from __future__ import annotations

import hmac
import traceback
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldarch.clock import Millis
from marigoldarch.serving.targets import TargetStart
from marigoldarch.serving.tunnel_messages import (
    MAX_FRAME_BYTES,
    TargetWait,
    TunnelAnswer,
    TunnelAsk,
    TunnelOutcome,
    encode_frame,
)
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.sockets import PEER_BOUNDS, listen, set_tcp_options

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.sockets import Connection
    from marigoldarch_node.serving.target_paths import TargetPaths

MAX_TUNNELS = 300
"""Each takes two file descriptors, beside those of the callers' connections and the own ones."""

NEW_REQUEST_PAUSE_MS: Millis = 1000.0
"""Bytes for a target that follow others after a longer pause belong to a new request. A target whose data
centre is evacuated meanwhile gets none, also from an entry that has not heard of it."""

ASK_TIMEOUT_S = 1.0
MAX_ASK_BYTES = 4096

_ASK_DECODER = msgspec.json.Decoder(TunnelAsk | TargetWait)
_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)

log = EventLog("tunnels")


class TunnelServer:
    """The tunnels that an entry carries for others."""

    def __init__(self, state: EntryState, paths: TargetPaths) -> None:
        self._state = state
        self._paths = paths
        self._open = 0

    @property
    def open_tunnels(self) -> int:
        """Return how many tunnels are open or being opened."""
        return self._open

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections of other entries until cancelled."""
        listener = await listen(self._state.settings.peer_address)
        await trio.serve_listeners(self._handle, [listener], task_status=task_status)

    async def _handle(self, stream: trio.SocketStream) -> None:
        self._open += 1
        try:
            set_tcp_options(stream.socket, PEER_BOUNDS)
            with trio.move_on_after(ASK_TIMEOUT_S) as scope:
                message = await _read_message(stream)
            if scope.cancelled_caught or message is None:
                return
            if isinstance(message, TargetWait):
                self._record_wait(message)
                return
            await self._serve(stream, message)
        except (*_BROKEN, OSError):
            return
        except Exception as error:
            # A fault of one tunnel must not end the entry.
            log.error(
                "tunnel failed", error=type(error).__name__, trace=traceback.format_exc(limit=-4)
            )
        finally:
            self._open -= 1
            stream.socket.close()

    async def _serve(self, stream: trio.SocketStream, ask: TunnelAsk) -> None:
        """Answer an ask, and carry bytes if the target is reached."""
        outcome, connection = self._find_obstacle(ask), None
        if outcome is None:
            target = self._state.target_view.usable[ask.target_id]
            outcome, connection = await self._connect(target)
        log.info(
            "tunnel",
            peer=_peer_of(stream),
            target=ask.target_id,
            outcome=str(outcome),
            open_tunnels=self._open,
        )
        self._state.metrics.tunnels.inc({"outcome": str(outcome)})
        try:
            is_node = outcome is not TunnelOutcome.NOT_ALLOWED
            answer = TunnelAnswer(outcome, self._paths.name_neighbours() if is_node else [])
            await stream.send_all(msgspec.json.encode(answer) + b"\n")
            if connection is not None:
                await _carry(stream, connection, lambda: self._is_evacuated(ask), self._state.clock)
        finally:
            if connection is not None:
                connection.close()

    def _find_obstacle(self, ask: TunnelAsk) -> TunnelOutcome | None:
        """Return why no connection is opened, None if one may be."""
        state = self._state
        if not self._is_allowed(ask.token):
            return TunnelOutcome.NOT_ALLOWED
        if state.stop_plan is not None or self._open > MAX_TUNNELS:
            return TunnelOutcome.BUSY
        target = state.target_view.usable.get(ask.target_id)
        if target is None or (target.born_ms, target.address) != (ask.born_ms, ask.address):
            return TunnelOutcome.UNKNOWN_TARGET
        if state.evacuations.include(target):
            # Entries of earlier builds know no outcome of its own.
            return TunnelOutcome.UNKNOWN_TARGET
        if state.waits.left_ms(target.start, state.clock.monotonic_ms()) > 0.0:
            return TunnelOutcome.TARGET_WAITS
        if self._paths.is_isolated:
            return TunnelOutcome.CUT_OFF
        if state.links.is_lost(target):
            return TunnelOutcome.LINK_LOST
        return None

    async def _connect(self, target: Target) -> tuple[TunnelOutcome, Connection | None]:
        try:
            return TunnelOutcome.CONNECTED, await self._paths.connect_directly(target)
        except (OSError, trio.TooSlowError) as error:
            # A cut reaches several entries at once; one that is cut off itself accuses no target.
            if not await self._paths.are_links_sound(target):
                return TunnelOutcome.CUT_OFF, None
            is_refused = isinstance(error, ConnectionRefusedError | ConnectionResetError)
            return (
                TunnelOutcome.TARGET_REFUSED if is_refused else TunnelOutcome.TARGET_SILENT,
                None,
            )

    def _is_evacuated(self, ask: TunnelAsk) -> bool:
        target = self._state.target_view.find(ask.target_id)
        return target is not None and self._state.evacuations.include(target)

    def _is_allowed(self, token: str) -> bool:
        given = token.encode()
        return any(hmac.compare_digest(given, known.encode()) for known in self._state.node_tokens)

    def _record_wait(self, message: TargetWait) -> None:
        """Record that a target has asked this host for a wait, in a response that it has carried."""
        if self._is_allowed(message.token):
            start = TargetStart(message.target_id, message.born_ms)
            now_ms = self._state.clock.monotonic_ms()
            wait_ms = self._state.waits.ask(start, message.wait_ms, now_ms)
            log.info("target asks for a wait", target=start.target_id, wait_ms=round(wait_ms))


async def _read_message(stream: trio.SocketStream) -> TunnelAsk | TargetWait | None:
    """Return the first line of a connection, None if it is no message."""
    received = b""
    while not received.endswith(b"\n"):
        data = await stream.receive_some(MAX_FRAME_BYTES)
        received += data
        if not data or len(received) > MAX_ASK_BYTES:
            return None
    try:
        return _ASK_DECODER.decode(received)
    except msgspec.MsgspecError as error:
        log.warning("ask dropped", peer=_peer_of(stream), reason=str(error))
        return None


async def _carry(
    stream: trio.SocketStream,
    connection: Connection,
    is_evacuated: Callable[[], bool],
    clock: Clock,
) -> None:
    """Carry bytes both ways until one end closes; the ends of both are passed on as they are.

    A new request to a target that `is_evacuated` ends the tunnel. A target that resets its connection
    ends it without a last frame.
    """

    async def carry_requests() -> None:
        carried_ms = clock.monotonic_ms()
        try:
            while data := await stream.receive_some(MAX_FRAME_BYTES):
                now_ms = clock.monotonic_ms()
                if now_ms > carried_ms + NEW_REQUEST_PAUSE_MS and is_evacuated():
                    break
                carried_ms = now_ms
                await connection.stream.send_all(data)
        except _BROKEN:
            pass
        # The asking entry only closes when it needs no answer any more.
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(carry_requests)
        try:
            while data := await connection.stream.receive_some(MAX_FRAME_BYTES):
                await stream.send_all(encode_frame(data))
            if connection.has_orderly_end():
                await stream.send_all(encode_frame(b""))
        except _BROKEN:
            pass
        nursery.cancel_scope.cancel()


def _peer_of(stream: trio.SocketStream) -> str:
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""
