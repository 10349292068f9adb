"""A small ASGI layer: routes, bounded requests, and typed errors."""

from __future__ import annotations

import math
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError, NodeFailedError
from marigoldarch_node.logs import get_logger

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 256 * 1024 * 1024
MAX_HEADERS = 100
MAX_HEADER_BYTES = 32 * 1024
MAX_OPEN_REQUESTS = 8_000
MAX_QUERY_FIELDS = 32
BODY_TIMEOUT_S = 30.0
OVERLOAD_RETRY_MS = 1000.0
BAD_HEADERS_STATUS = 431

log = get_logger("edge")

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendMessage = Callable[[dict[str, Any]], Awaitable[None]]


class HttpError(MarigoldarchError):
    """An HTTP request that cannot be served."""

    def __init__(
        self,
        status: int,
        kind: str,
        message: str,
        *,
        retry_after_ms: float = 0.0,
        run: str = "not_run",
    ) -> None:
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.retry_after_ms = retry_after_ms
        self.run = run


class BodyBudget:
    """The bytes of bodies that all requests together may have in memory while they are read."""

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are taken."""
        return self._used_bytes

    def take(self, size: int) -> None:
        """Take bytes; raise `HttpError` when too many are in use."""
        if self._used_bytes + size > self._limit_bytes:
            message = "too many bodies are being read at once"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_MS)
        self._used_bytes += size

    def give_back(self, size: int) -> None:
        """Return bytes that were taken."""
        self._used_bytes -= size


class HttpRequest:
    """One HTTP request of an ASGI scope."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: SendMessage,
        budget: BodyBudget | None = None,
    ) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self._budget = budget or BodyBudget()
        self._is_started = False
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self._scope["method"]

    @property
    def path(self) -> str:
        """Return the path."""
        return self._scope["path"]

    @property
    def client(self) -> Any:
        """Return the address that the request came from, where it is known."""
        return self._scope.get("client")

    @property
    def is_started(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._is_started

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters; raise `HttpError` when there are too many."""
        text = self._scope["query_string"].decode("latin-1")
        try:
            return dict(parse_qsl(text, max_num_fields=MAX_QUERY_FIELDS))
        except ValueError as error:
            raise HttpError(400, "invalid_query", "too many query parameters") from error

    @property
    def header_count(self) -> int:
        """Return the number of headers, repeated ones included."""
        return len(self._scope["headers"])

    @property
    def header_bytes(self) -> int:
        """Return the size of all header names and values."""
        return sum(len(name) + len(value) for name, value in self._scope["headers"])

    @property
    def bearer(self) -> str:
        """Return the bearer key, or an empty string."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI message."""
        return await self._receive()

    async def read_body(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raises `HttpError` when it is larger than `limit` bytes or takes longer than
        `BODY_TIMEOUT_S`.
        """
        with trio.move_on_after(BODY_TIMEOUT_S):
            return await self._collect_body(limit)
        raise HttpError(408, "body_timeout", f"the body took longer than {BODY_TIMEOUT_S:g} s")

    async def _collect_body(self, limit: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        try:
            while True:
                message = await self._receive()
                if message["type"] == "http.disconnect":
                    raise HttpError(400, "disconnected", "the caller went away")
                part = message.get("body", b"")
                if size + len(part) > limit:
                    raise HttpError(413, "body_too_large", f"the body exceeds {limit} bytes")
                self._budget.take(len(part))
                size += len(part)
                parts.append(part)
                if not message.get("more_body"):
                    return b"".join(parts)
        finally:
            self._budget.give_back(size)

    async def read_json(self, limit: int = MAX_BODY_BYTES) -> Any:
        """Return the decoded body; raise `HttpError` when it is not JSON."""
        try:
            return decode_json(await self.read_body(limit))
        except CodecError as error:
            raise HttpError(400, "invalid_json", str(error)) from error

    async def start(self, status: int, content_type: str, headers: dict[str, str]) -> None:
        """Send the head of the response."""
        raw = [(b"content-type", content_type.encode())]
        raw += [(name.encode(), value.encode()) for name, value in headers.items()]
        self._is_started = True
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def send_chunk(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a part of the response's body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": not is_last})

    async def send_json(self, status: int, plain: Any, headers: dict[str, str] | None = None):
        """Send a whole JSON response."""
        await self.start(status, "application/json", headers or {})
        await self.send_chunk(encode_json(plain), is_last=True)


class Route(NamedTuple):
    """A method, a path prefix or whole path, and the handler."""

    method: str
    path: str
    handler: Callable[[HttpRequest], Awaitable[None]]
    is_prefix: bool = False


class Router:
    """Find the handler of a request and turn errors into responses."""

    def __init__(self, routes: list[Route], max_open: int = MAX_OPEN_REQUESTS) -> None:
        self._whole = {(r.method, r.path): r.handler for r in routes if not r.is_prefix}
        self._prefixes = [r for r in routes if r.is_prefix]
        self._paths = {r.path for r in routes if not r.is_prefix}
        self._budget = BodyBudget()
        self._max_open = max_open
        self._open = 0

    @property
    def open_requests(self) -> int:
        """Return how many requests are being served."""
        return self._open

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of bodies are being read."""
        return self._budget.used_bytes

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: SendMessage) -> None:
        """Serve one ASGI scope."""
        match scope["type"]:
            case "lifespan":
                await _serve_lifespan(receive, send)
            case "websocket":
                await send({"type": "websocket.close"})
            case "http":
                await self._serve(HttpRequest(scope, receive, send, self._budget))

    async def _serve(self, request: HttpRequest) -> None:
        self._open += 1
        try:
            self._check_bounds(request)
            await self._find(request)(request)
        except HttpError as error:
            await _send_error(request, error)
        except NodeFailedError:
            raise
        except Exception as error:
            log.error("A handler failed with {}.", type(error).__name__, exc_info=True)
            failure = HttpError(500, "internal_error", "the handler failed", run="unknown")
            await _send_error(request, failure)
        finally:
            self._open -= 1

    def _check_bounds(self, request: HttpRequest) -> None:
        if self._open > self._max_open:
            message = "too many requests are open"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_MS)
        if request.header_count > MAX_HEADERS or request.header_bytes > MAX_HEADER_BYTES:
            message = f"use at most {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes together"
            raise HttpError(BAD_HEADERS_STATUS, "headers_too_large", message)

    def _find(self, request: HttpRequest) -> Callable[[HttpRequest], Awaitable[None]]:
        handler = self._whole.get((request.method, request.path))
        if handler is not None:
            return handler
        for route in self._prefixes:
            if route.method == request.method and request.path.startswith(route.path):
                return route.handler
        if request.path in self._paths:
            raise HttpError(405, "method_not_allowed", f"{request.method} is not served here")
        raise HttpError(404, "not_found", "no such path")


async def _send_error(request: HttpRequest, error: HttpError) -> None:
    """Send a typed error; a response that has begun is cut off, as nothing fits into it."""
    if request.is_started:
        return
    request_id = f"req-{uuid.uuid4().hex}"
    fields = {"type": error.kind, "message": str(error), "run": error.run, "request_id": request_id}
    headers = {"x-request-id": request_id}
    if error.retry_after_ms > 0:
        fields["retry_after_ms"] = error.retry_after_ms
        headers["retry-after"] = str(math.ceil(error.retry_after_ms / 1000.0))
    await request.send_json(error.status, {"error": fields}, headers)


async def _serve_lifespan(receive: Receive, send: SendMessage) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


def authorization_header(key: str) -> dict[str, str]:
    """Return the header that presents a key; none for an empty key."""
    return {"authorization": f"Bearer {key}"} if key else {}
