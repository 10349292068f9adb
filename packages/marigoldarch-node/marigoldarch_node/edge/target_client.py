"""The adapter for calls to targets; the contract stands in docs/dev-guide/targets.md."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import httpcore

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.entry.stream import Frame
from marigoldarch.exceptions import CodecError, MarigoldarchError

if TYPE_CHECKING:
    from marigoldarch.effects import OrderTarget
    from marigoldarch.identifiers import PermitId, TargetAddress
    from marigoldarch_node.calls import Payload

CONNECT_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 10_000
MAX_LINE_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class TargetError(MarigoldarchError):
    """A call to a target failed; `is_unsent` holds only if no byte has reached it."""

    def __init__(self, message: str, *, is_unsent: bool) -> None:
        super().__init__(message)
        self.is_unsent = is_unsent


class TargetClient:
    """Call targets over HTTP."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=30.0,
        )

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
    ) -> AsyncIterator[Frame]:
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
        url = f"http://{target.address}/v1/generate"
        try:
            async with self._pool.stream(
                "POST", url, content=encode_json(body), extensions=_timeouts(None)
            ) as response:
                _check_status(response.status)
                async for line in _lines(response):
                    yield _parse_frame(line)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetError("cannot connect", is_unsent=True) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise TargetError("the stream broke", is_unsent=False) from error

    async def call_service(
        self, target: TargetAddress, permit: PermitId, attempt: int, payload: Payload
    ) -> str:
        """Call a method of a plain service and return the whole answer."""
        body = {"call": str(permit), "attempt": attempt, "body": payload.body}
        url = f"http://{target.address}/v1/call/{payload.method}"
        try:
            response = await self._pool.request(
                "POST", url, content=encode_json(body), extensions=_timeouts(None)
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetError("cannot connect", is_unsent=True) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise TargetError("the call broke", is_unsent=False) from error
        _check_status(response.status)
        try:
            answer = decode_json(response.content)
            if answer["call"] != str(permit):
                raise TargetError("the answer belongs to another call", is_unsent=False)
            return str(answer["body"])
        except (CodecError, KeyError, TypeError) as error:
            raise TargetError("the answer is malformed", is_unsent=False) from error

    async def release(self, target: TargetAddress, permit: PermitId) -> bool:
        """Cancel a permit's stream and delete its KV; return whether the target confirmed."""
        return await self._command("DELETE", f"http://{target.address}/v1/streams/{permit}", {})

    async def order(self, effect: OrderTarget) -> bool:
        """Send an order with its fencing number; return whether the target took it."""
        body = {"order_id": effect.order_id, "fence": effect.fence, **effect.order}
        return await self._command("POST", f"http://{effect.target.address}/v1/orders", body)

    async def _command(self, method: str, url: str, body: dict[str, Any]) -> bool:
        timeouts = _timeouts(COMMAND_TIMEOUT_S)
        try:
            response = await self._pool.request(
                method, url, content=encode_json(body), extensions=timeouts
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return False
        return response.status < 300


def _timeouts(read_s: float | None) -> dict[str, Any]:
    return {"timeout": {"connect": CONNECT_TIMEOUT_S, "read": read_s, "write": read_s}}


def _check_status(status: int) -> None:
    if status != 200:
        raise TargetError(f"the target answered {status}", is_unsent=False)


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
        plain = decode_json(line)
        return Frame(
            plain["permit"],
            plain["attempt"],
            plain["offset"],
            plain.get("text", ""),
            plain.get("tokens", 0),
            plain.get("end", False),
        )
    except (CodecError, KeyError, TypeError, AttributeError) as error:
        raise TargetError("a frame is malformed", is_unsent=False) from error
