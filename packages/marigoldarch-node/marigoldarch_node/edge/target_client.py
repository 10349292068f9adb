"""HTTP client for calls to targets: generation streams, service calls, releases and orders."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, closing, contextmanager
from typing import TYPE_CHECKING, Annotated, Any

import httpcore
import msgspec
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.entry.stream import Frame
from marigoldarch.exceptions import CodecError, MarigoldarchError
from marigoldarch_node.edge.connection_pool import HttpcoreConnectionPool
from marigoldarch_node.edge.forwarding import (
    CONNECT_ERRORS,
    FORWARD_PATH,
    RELAYED_HEADER,
    Forwarders,
    TargetCall,
)
from marigoldarch_node.lines import LineSplitter, LineTooLongError
from marigoldarch_node.logs import get_logger
from marigoldarch_node.serving.response_memory import HeldResponse, ResponseMemory
from marigoldarch_node.serving.target_connections import ResponseError

if TYPE_CHECKING:
    from marigoldarch.effects import OrderTarget
    from marigoldarch.identifiers import PermitId, TargetAddress
    from marigoldarch_node.calls import Payload
    from marigoldarch_node.security.tls import TlsContexts

COMMAND_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 1024 * 1024
MAX_LINE_CHUNKS = 8192
"""The number of chunks or reads in which a line may arrive; each costs processor time."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ANSWER_CHUNKS = 32_768
MAX_HELD_ANSWER_BYTES = 64 * 1024 * 1024
"""What all answers of targets together may take that a node is reading, and twice what those of one may."""

MAX_COMMAND_ANSWER_BYTES = 16 * 1024
MAX_FRAME_TOKENS = 1_000_000
NOT_RUN = "not_run"

TokenOffset = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class TargetError(MarigoldarchError):
    """A call to a target failed.

    `is_unsent` is true only if no byte has reached the target, or if the target itself answered
    that it has not run the call: only then can the call be repeated without running twice.
    `is_connection_lost` tells that the connection broke after it had been used for the call.
    """

    def __init__(self, message: str, *, is_unsent: bool, is_connection_lost: bool = False) -> None:
        super().__init__(message)
        self.is_unsent = is_unsent
        self.is_connection_lost = is_connection_lost


class WireFrame(msgspec.Struct):
    """A frame of a generation stream; targets send one JSON object per line."""

    permit: str
    attempt: int
    offset: TokenOffset
    text: str = ""
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_FRAME_TOKENS)] = 0
    end: bool = False


log = get_logger("targets")

_FRAME_DECODER = msgspec.json.Decoder(WireFrame)


class TargetClient:
    """A client that calls targets over pooled HTTP connections.

    Where the own link to a target is lost, the call goes through one of `forwarders`.
    """

    def __init__(
        self, forwarders: Forwarders | None = None, peer_tls: TlsContexts | None = None
    ) -> None:
        self._connections = HttpcoreConnectionPool()
        self._peer_connections = HttpcoreConnectionPool(tls=peer_tls)
        self._forwarders = forwarders
        self._memory = ResponseMemory(
            MAX_ANSWER_BYTES, MAX_HELD_ANSWER_BYTES, "bytes of all answers"
        )

    @property
    def connections(self) -> HttpcoreConnectionPool:
        """Return the connections to targets."""
        return self._connections

    async def run(self) -> None:
        """Close expired idle connections, and probe lost links, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._connections.close_expired_periodically)
            nursery.start_soon(self._peer_connections.close_expired_periodically)
            if self._forwarders is not None:
                nursery.start_soon(self._forwarders.run)

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
        """Stream the frames of an answer, starting at token `offset`.

        The target takes part as member `rank` of a gang of `size` targets. Raises `TargetError`
        when the call fails or a frame is malformed.
        """
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
        with closing(self._memory.open(target.address)) as held:
            async with self._open_response("POST", target, "/v1/generate", body, None) as response:
                async for line in _read_lines(response, held):
                    yield _parse_frame(line)

    async def call_service(
        self, target: TargetAddress, permit: PermitId, attempt: int, payload: Payload
    ) -> str:
        """Call a method of a plain service and return the body of its answer.

        Raises `TargetError` when the call fails, or when the answer carries another permit.
        """
        body = {"call": str(permit), "attempt": attempt, "body": payload.body}
        path = f"/v1/call/{payload.method}"
        with closing(self._memory.open(target.address)) as held:
            async with self._open_response("POST", target, path, body, None) as response:
                content = await _read_body(response, MAX_ANSWER_BYTES, held)
            return _parse_service_answer(content, permit)

    async def release_permit(self, target: TargetAddress, permit: PermitId) -> bool:
        """Cancel a permit's stream and delete its KV cache; return whether the target confirmed."""
        return await self._send_command("DELETE", target, f"/v1/streams/{permit}", {})

    async def send_order(self, effect: OrderTarget) -> bool:
        """Send an order with its fencing token; return whether the target accepted it."""
        body = {"order_id": effect.order_id, "fence": effect.fence, **effect.order}
        return await self._send_command("POST", effect.target, "/v1/orders", body)

    async def _send_command(
        self, method: str, target: TargetAddress, path: str, body: dict[str, Any]
    ) -> bool:
        try:
            async with self._open_response(
                method, target, path, body, COMMAND_TIMEOUT_S
            ) as response:
                await _read_body(response, MAX_COMMAND_ANSWER_BYTES)
                return True
        except TargetError:
            return False

    @asynccontextmanager
    async def _open_response(
        self,
        method: str,
        target: TargetAddress,
        path: str,
        body: dict[str, Any],
        io_timeout_s: float | None,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and open its response; raise `TargetError` unless the status is 200."""
        call = TargetCall(method, target, path, encode_json(body), io_timeout_s)
        try:
            async with AsyncExitStack() as stack:
                response = await self._send(call, stack)
                if response.status != 200:
                    raise await _refusal_error(response)
                yield response
        except CONNECT_ERRORS as error:
            raise TargetError(f"cannot connect to {target.address}", is_unsent=True) from error
        except httpcore.TimeoutException as error:
            raise TargetError(f"{target.address} did not answer", is_unsent=False) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise TargetError(
                f"the connection to {target.address} broke",
                is_unsent=False,
                is_connection_lost=True,
            ) from error

    async def _send(self, call: TargetCall, stack: AsyncExitStack) -> httpcore.Response:
        """Open the response to a call, which stays open as long as `stack`.

        Raises one of `CONNECT_ERRORS` if the target is reached neither by the own link nor through
        another node.
        """
        forwarders = self._forwarders
        if forwarders is None or forwarders.is_empty:
            return await self._send_directly(call, stack)
        if not forwarders.is_lost(call.target):
            try:
                return await self._send_directly(call, stack)
            except CONNECT_ERRORS:
                log.info("No connection to {}, other nodes are tried.", call.target.address)
        for gateway in forwarders.choose():
            response = await self._send_through(gateway, call, stack)
            if response is not None:
                forwarders.record_lost(call.target)
                return response
        raise httpcore.ConnectError(f"no node reaches {call.target.address}")

    async def _send_directly(self, call: TargetCall, stack: AsyncExitStack) -> httpcore.Response:
        connection = await stack.enter_async_context(self._connections.acquire(call.target.address))
        url = f"http://{call.target.address}{call.path}"
        extensions = {"timeout": call.timeouts}
        return await stack.enter_async_context(
            connection.stream(call.method, url, content=call.content, extensions=extensions)
        )

    async def _send_through(
        self, gateway: str, call: TargetCall, stack: AsyncExitStack
    ) -> httpcore.Response | None:
        """Open the response of a target through another node, None if that did not call it."""
        async with AsyncExitStack() as attempt:
            try:
                connection = await attempt.enter_async_context(
                    self._peer_connections.acquire(gateway)
                )
                response = await attempt.enter_async_context(
                    connection.stream(
                        "POST",
                        f"{self._peer_connections.scheme}://{gateway}{FORWARD_PATH}",
                        headers=self._forwarders.forwarded_headers(call),
                        content=call.content,
                        extensions={"timeout": call.timeouts},
                    )
                )
            except CONNECT_ERRORS:
                self._forwarders.avoid(gateway)
                return None
            if RELAYED_HEADER in dict(response.headers):
                stack.push_async_exit(attempt.pop_all())
                return response
            error = await _refusal_error(response)
            if error.is_unsent:
                return None
            raise error


async def _refusal_error(response: httpcore.Response) -> TargetError:
    """Return the error for a refused call.

    Only the target can tell that it has not run the call; without that statement the call counts
    as sent.
    """
    try:
        error = decode_json(await _read_body(response, MAX_COMMAND_ANSWER_BYTES))["error"]
        is_unsent = error["run"] == NOT_RUN
    except (CodecError, KeyError, TypeError):
        is_unsent = False
    return TargetError(f"the target answered {response.status}", is_unsent=is_unsent)


async def _read_body(
    response: httpcore.Response, max_bytes: int, held: HeldResponse | None = None
) -> bytes:
    """Return a body; raise `TargetError` over a bound, of all answers too if it is `held`."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_stream():
        chunks.append(chunk)
        size += len(chunk)
        if held is not None:
            with _bounded():
                held.add(len(chunk))
        if size > max_bytes:
            raise TargetError(f"the answer exceeds {max_bytes} bytes", is_unsent=False)
        if len(chunks) > MAX_ANSWER_CHUNKS:
            raise TargetError(f"the answer exceeds {MAX_ANSWER_CHUNKS} chunks", is_unsent=False)
    return b"".join(chunks)


@contextmanager
def _bounded() -> Iterator[None]:
    """Raise `TargetError` where the memory of answers is exceeded."""
    try:
        yield
    except ResponseError as error:
        raise TargetError(f"the answer exceeds {error.limit}", is_unsent=False) from error


async def _read_lines(response: httpcore.Response, held: HeldResponse) -> AsyncIterator[bytes]:
    splitter = LineSplitter(MAX_LINE_BYTES, MAX_LINE_CHUNKS)
    async for chunk in response.aiter_stream():
        for line in splitter.feed(chunk):
            yield line
        try:
            splitter.check()
        except LineTooLongError as error:
            raise TargetError(f"a frame is too long: {error}", is_unsent=False) from error
        with _bounded():
            held.begin_event(splitter.incomplete_bytes)


def _parse_service_answer(content: bytes, permit: PermitId) -> str:
    """Return the body of a plain service's answer; raise `TargetError` if it is not this call's."""
    try:
        answer = decode_json(content)
        if answer["call"] != str(permit):
            raise TargetError("the answer belongs to another call", is_unsent=False)
        return str(answer["body"])
    except (CodecError, KeyError, TypeError) as error:
        raise TargetError("the answer is malformed", is_unsent=False) from error


def _parse_frame(line: bytes) -> Frame:
    try:
        wire_frame = _FRAME_DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TargetError("a frame is malformed", is_unsent=False) from error
    return Frame(
        wire_frame.permit,
        wire_frame.attempt,
        wire_frame.offset,
        wire_frame.text,
        wire_frame.tokens,
        wire_frame.end,
    )
