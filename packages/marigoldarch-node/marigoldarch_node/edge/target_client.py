"""The adapter for calls to targets; the contract stands in docs/dev-guide/targets.md."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Annotated, Any

import httpcore
import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.entry.stream import Frame
from marigoldarch.exceptions import CodecError, MarigoldarchError
from marigoldarch_node.edge.connections import Connections

if TYPE_CHECKING:
    from marigoldarch.effects import OrderTarget
    from marigoldarch.identifiers import PermitId, TargetAddress
    from marigoldarch_node.calls import Payload

CONNECT_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_REFUSAL_BYTES = 16 * 1024
MAX_FRAME_TOKENS = 1_000_000
REFUSED_AS_NOT_RUN = "not_run"

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.ConnectionNotAvailable)

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class TargetError(MarigoldarchError):
    """A call to a target failed.

    `is_unsent` holds only if no byte has reached the target, or if the target itself answered that
    it has not run the call.
    """

    def __init__(self, message: str, *, is_unsent: bool) -> None:
        super().__init__(message)
        self.is_unsent = is_unsent


class WireFrame(msgspec.Struct):
    """A frame as targets send it, one JSON document a line."""

    permit: str
    attempt: int
    offset: Count
    text: str = ""
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_FRAME_TOKENS)] = 0
    end: bool = False


_FRAMES = msgspec.json.Decoder(WireFrame)


class TargetClient:
    """Call targets over HTTP."""

    def __init__(self) -> None:
        self._connections = Connections()

    async def run(self) -> None:
        """Look after idle connections until cancelled."""
        await self._connections.sweep()

    async def generate(
        self,
        target: TargetAddress,
        permit: PermitId,
        attempt: int,
        payload: Payload,
        *,
        priority: int,
        offset: int,
        rank: int,
        size: int,
    ) -> AsyncGenerator[Frame]:
        """Stream an answer from token `offset` on, as rank `rank` of a gang of `size`."""
        body = {
            "permit": str(permit),
            "attempt": attempt,
            "model": payload.model,
            "adapter": payload.adapter,
            "version": payload.version,
            "prompt": payload.prompt,
            "max_tokens": payload.max_tokens,
            "priority": priority,
            "offset": offset,
            "gang": {"rank": rank, "size": size},
        }
        async with self._open("POST", target, "/v1/generate", body, None) as response:
            async for line in _lines(response):
                yield _parse_frame(line)

    async def call_service(
        self, target: TargetAddress, permit: PermitId, attempt: int, payload: Payload
    ) -> str:
        """Call a method of a plain service and return the whole answer."""
        body = {"call": str(permit), "attempt": attempt, "body": payload.body}
        path = f"/v1/call/{payload.method}"
        async with self._open("POST", target, path, body, None) as response:
            content = await _read_whole(response, MAX_ANSWER_BYTES)
        try:
            answer = decode_json(content)
            if answer["call"] != str(permit):
                raise TargetError("the answer belongs to another call", is_unsent=False)
            return str(answer["body"])
        except (CodecError, KeyError, TypeError) as error:
            raise TargetError("the answer is malformed", is_unsent=False) from error

    async def release(self, target: TargetAddress, permit: PermitId) -> bool:
        """Cancel a permit's stream and delete its KV; return whether the target confirmed."""
        return await self._command("DELETE", target, f"/v1/streams/{permit}", {})

    async def order(self, effect: OrderTarget) -> bool:
        """Send an order with its fencing number; return whether the target took it."""
        body = {"order_id": effect.order_id, "fence": effect.fence, **effect.order}
        return await self._command("POST", effect.target, "/v1/orders", body)

    async def _command(
        self, method: str, target: TargetAddress, path: str, body: dict[str, Any]
    ) -> bool:
        try:
            async with self._open(method, target, path, body, COMMAND_TIMEOUT_S) as response:
                await _read_whole(response, MAX_REFUSAL_BYTES)
                return True
        except TargetError:
            return False

    @asynccontextmanager
    async def _open(
        self,
        method: str,
        target: TargetAddress,
        path: str,
        body: dict[str, Any],
        read_s: float | None,
    ) -> AsyncIterator[httpcore.Response]:
        """Open a response of status 200; raise `TargetError` for anything else."""
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": read_s, "write": read_s}
        url = f"http://{target.address}{path}"
        try:
            async with (
                self._connections.use(target.address) as connection,
                connection.stream(
                    method, url, content=encode_json(body), extensions={"timeout": timeouts}
                ) as response,
            ):
                if response.status != 200:
                    raise await _refusal(response)
                yield response
        except _NOT_SENT as error:
            raise TargetError("cannot connect", is_unsent=True) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise TargetError("the connection broke", is_unsent=False) from error


async def _refusal(response: httpcore.Response) -> TargetError:
    """Return the error of a refused call; only the target itself can say that it was not run."""
    try:
        error = decode_json(await _read_whole(response, MAX_REFUSAL_BYTES))["error"]
        is_unsent = error["run"] == REFUSED_AS_NOT_RUN
    except (CodecError, KeyError, TypeError):
        is_unsent = False
    return TargetError(f"the target answered {response.status}", is_unsent=is_unsent)


async def _read_whole(response: httpcore.Response, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        parts.append(part)
        size += len(part)
        if size > limit:
            raise TargetError(f"the answer exceeds {limit} bytes", is_unsent=False)
    return b"".join(parts)


async def _lines(response: httpcore.Response) -> AsyncIterator[bytes]:
    rest = b""
    async for chunk in response.aiter_stream():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield line
        if len(rest) > MAX_LINE_BYTES:
            raise TargetError("a frame is too long", is_unsent=False)


def _parse_frame(line: bytes) -> Frame:
    try:
        wire = _FRAMES.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TargetError("a frame is malformed", is_unsent=False) from error
    return Frame(wire.permit, wire.attempt, wire.offset, wire.text, wire.tokens, wire.end)
