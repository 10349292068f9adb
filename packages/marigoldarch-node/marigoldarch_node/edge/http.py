"""A small ASGI layer: routes, bounded bodies, and typed errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError

MAX_BODY_BYTES = 16 * 1024 * 1024

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendMessage = Callable[[dict[str, Any]], Awaitable[None]]


class HttpError(MarigoldarchError):
    """An HTTP request that cannot be served."""

    def __init__(self, status: int, kind: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.kind = kind


class HttpRequest:
    """One HTTP request of an ASGI scope."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: SendMessage) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
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
    def query(self) -> dict[str, str]:
        """Return the query parameters."""
        return dict(parse_qsl(self._scope["query_string"].decode("latin-1")))

    @property
    def bearer(self) -> str:
        """Return the bearer key, or an empty string."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI message."""
        return await self._receive()

    async def read_body(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body; raise `HttpError` when it is larger than `limit` bytes."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise HttpError(400, "disconnected", "the caller went away")
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise HttpError(413, "body_too_large", f"the body exceeds {limit} bytes")
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

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
    """Find the handler of a request and turn typed errors into responses."""

    def __init__(self, routes: list[Route]) -> None:
        self._whole = {(r.method, r.path): r.handler for r in routes if not r.is_prefix}
        self._prefixes = [r for r in routes if r.is_prefix]
        self._paths = {r.path for r in routes if not r.is_prefix}

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: SendMessage) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request = HttpRequest(scope, receive, send)
        try:
            await self._find(request)(request)
        except HttpError as error:
            body = {"error": {"type": error.kind, "message": str(error), "run": "not_run"}}
            await request.send_json(error.status, body)

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


async def _serve_lifespan(receive: Receive, send: SendMessage) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


def bearer_header(key: str) -> dict[str, str]:
    """Return the header that presents a key; none for an empty key."""
    return {"authorization": f"Bearer {key}"} if key else {}
