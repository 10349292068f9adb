"""A minimal ASGI framework: routing, request size limits and JSON error responses."""

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
OVERLOAD_RETRY_AFTER_MS = 1000.0
HEADERS_TOO_LARGE_STATUS = 431

log = get_logger("edge")

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendMessage = Callable[[dict[str, Any]], Awaitable[None]]


class HttpError(MarigoldarchError):
    """An HTTP request that is answered with an error.

    `kind` is the error type in the response body, and `run` says whether the request was run:
    "not_run", "failed" or "unknown". A positive `retry_after_ms` is also sent as a header.
    """

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


class MemoryBudget:
    """A limit on the total size of the bodies that concurrent requests hold in memory."""

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._used_bytes

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes; raise `HttpError` when that would exceed the limit."""
        if self._used_bytes + size > self._limit_bytes:
            message = "too many bodies are being read at once"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        self._used_bytes += size

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self._used_bytes -= size


class HttpRequest:
    """An HTTP request of an ASGI scope, and the response to it."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: SendMessage,
        body_budget: MemoryBudget | None = None,
    ) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self._body_budget = body_budget or MemoryBudget()
        self._is_response_started = False
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
        """Return the path without the query string."""
        return self._scope["path"]

    @property
    def client(self) -> Any:
        """Return the (address, port) of the client, or None if it is unknown."""
        return self._scope.get("client")

    @property
    def is_response_started(self) -> bool:
        """Return whether the status and headers of the response were sent."""
        return self._is_response_started

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
        """Return the number of headers; a repeated header counts each time."""
        return len(self._scope["headers"])

    @property
    def header_bytes(self) -> int:
        """Return the size of all header names and values."""
        return sum(len(name) + len(value) for name, value in self._scope["headers"])

    @property
    def bearer_key(self) -> str:
        """Return the key of the `Authorization: Bearer` header, or an empty string."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def receive(self) -> dict[str, Any]:
        """Wait for the next ASGI message of the request and return it."""
        return await self._receive()

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raises `HttpError` when it is larger than `max_bytes` bytes or takes longer than
        `BODY_TIMEOUT_S`.
        """
        with trio.move_on_after(BODY_TIMEOUT_S):
            return await self._collect_body(max_bytes)
        raise HttpError(408, "body_timeout", f"the body took longer than {BODY_TIMEOUT_S:g} s")

    async def _collect_body(self, max_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        try:
            while True:
                message = await self._receive()
                if message["type"] == "http.disconnect":
                    raise HttpError(400, "disconnected", "the caller went away")
                chunk = message.get("body", b"")
                if size + len(chunk) > max_bytes:
                    raise HttpError(413, "body_too_large", f"the body exceeds {max_bytes} bytes")
                self._body_budget.reserve(len(chunk))
                size += len(chunk)
                chunks.append(chunk)
                if not message.get("more_body"):
                    return b"".join(chunks)
        finally:
            self._body_budget.release(size)

    async def read_json(self, max_bytes: int = MAX_BODY_BYTES) -> Any:
        """Return the decoded JSON body.

        Raises `HttpError` when the body is not JSON, is larger than `max_bytes` bytes or takes
        longer than `BODY_TIMEOUT_S`.
        """
        try:
            return decode_json(await self.read_body(max_bytes))
        except CodecError as error:
            raise HttpError(400, "invalid_json", str(error)) from error

    async def start(self, status: int, content_type: str, headers: dict[str, str]) -> None:
        """Send the status and headers of the response."""
        encoded_headers = [(b"content-type", content_type.encode())]
        encoded_headers += [(name.encode(), value.encode()) for name, value in headers.items()]
        self._is_response_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded_headers}
        )

    async def send_chunk(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a part of the response body; `is_last` ends the response."""
        await self._send({"type": "http.response.body", "body": data, "more_body": not is_last})

    async def send_json(self, status: int, body: Any, headers: dict[str, str] | None = None):
        """Send a complete JSON response."""
        await self.start(status, "application/json", headers or {})
        await self.send_chunk(encode_json(body), is_last=True)


class Route(NamedTuple):
    """The handler of requests with a method and an exact path, or a path prefix."""

    method: str
    path: str
    handler: Callable[[HttpRequest], Awaitable[None]]
    is_prefix: bool = False


class Router:
    """An ASGI application that dispatches requests to handlers and answers errors as JSON.

    At most `max_open_requests` requests are served at once; the others are answered with 503.
    """

    def __init__(self, routes: list[Route], max_open_requests: int = MAX_OPEN_REQUESTS) -> None:
        self._exact_handlers = {(r.method, r.path): r.handler for r in routes if not r.is_prefix}
        self._prefix_routes = [r for r in routes if r.is_prefix]
        self._exact_paths = {r.path for r in routes if not r.is_prefix}
        self._body_budget = MemoryBudget()
        self._max_open_requests = max_open_requests
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Return how many requests are being served."""
        return self._open_requests

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of the request bodies being read are in memory."""
        return self._body_budget.used_bytes

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: SendMessage) -> None:
        """Serve one ASGI scope."""
        match scope["type"]:
            case "lifespan":
                await _serve_lifespan(receive, send)
            case "websocket":
                await send({"type": "websocket.close"})
            case "http":
                await self._serve_request(HttpRequest(scope, receive, send, self._body_budget))

    async def _serve_request(self, request: HttpRequest) -> None:
        self._open_requests += 1
        try:
            self._check_limits(request)
            await self._find_handler(request)(request)
        except HttpError as error:
            await _send_error(request, error)
        except NodeFailedError:
            raise
        except Exception as error:
            log.error("A request handler raised {}.", type(error).__name__, exc_info=True)
            failure = HttpError(500, "internal_error", "the handler failed", run="unknown")
            await _send_error(request, failure)
        finally:
            self._open_requests -= 1

    def _check_limits(self, request: HttpRequest) -> None:
        if self._open_requests > self._max_open_requests:
            message = "too many requests are open"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)
        if request.header_count > MAX_HEADERS or request.header_bytes > MAX_HEADER_BYTES:
            message = f"use at most {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes together"
            raise HttpError(HEADERS_TOO_LARGE_STATUS, "headers_too_large", message)

    def _find_handler(self, request: HttpRequest) -> Callable[[HttpRequest], Awaitable[None]]:
        handler = self._exact_handlers.get((request.method, request.path))
        if handler is not None:
            return handler
        for route in self._prefix_routes:
            if route.method == request.method and request.path.startswith(route.path):
                return route.handler
        if request.path in self._exact_paths:
            raise HttpError(405, "method_not_allowed", f"{request.method} is not served here")
        raise HttpError(404, "not_found", "no such path")


async def _send_error(request: HttpRequest, error: HttpError) -> None:
    """Send an error response.

    After the response headers are sent, no error response can follow: the response is cut off.
    """
    if request.is_response_started:
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
    """Return the Authorization header with a bearer key; no header for an empty key."""
    return {"authorization": f"Bearer {key}"} if key else {}
