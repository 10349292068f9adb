"""HTTP/1.1 connections of `httpcore` that bound what precedes the body of a response.

Load pattern: a faulty target sends responses that are not the final one, or header fields, without end.
httpcore passes over any number of the former, and a parsed field takes many times its bytes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

MAX_HEAD_BYTES = 64 * 1024
"""What may arrive before a response's head is complete, informational responses included."""

MAX_HEAD_FIELDS = 256

HEAD_READ_BYTES = 16 * 1024
"""How much is read at once before the body, so that other tasks run between the reads."""


class BoundedConnection(httpcore.AsyncHTTPConnection):
    """A connection whose responses have heads of bounded size."""

    def __init__(self, origin: httpcore.Origin, **options: Any) -> None:
        self._backend = _BoundedBackend()
        super().__init__(origin, network_backend=self._backend, **options)

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request; return its response once the head is complete.

        Raises `httpcore.RemoteProtocolError` if the head exceeds its bounds.
        """
        self._backend.head_bytes_left = MAX_HEAD_BYTES
        try:
            response = await super().handle_async_request(request)
        finally:
            self._backend.head_bytes_left = None
        if len(response.headers) > MAX_HEAD_FIELDS:
            await response.aclose()
            raise httpcore.RemoteProtocolError(f"a head exceeds {MAX_HEAD_FIELDS} fields")
        return response


class _BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens the stream of one connection; `head_bytes_left` is None while a body is read."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()
        self.head_bytes_left: int | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return _BoundedStream(stream, self)

    async def sleep(self, seconds: float) -> None:
        """Sleep between tries to connect."""
        await self._backend.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """The stream of a connection, which counts what it reads before a body."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, backend: _BoundedBackend) -> None:
        self._stream = stream
        self._backend = backend

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes; raise `httpcore.RemoteProtocolError` beyond the bound of a head."""
        left = self._backend.head_bytes_left
        if left is None:
            return await self._stream.read(max_bytes, timeout)
        if left <= 0:
            raise httpcore.RemoteProtocolError(f"a head exceeds {MAX_HEAD_BYTES} bytes")
        data = await self._stream.read(min(max_bytes, HEAD_READ_BYTES), timeout)
        self._backend.head_bytes_left = left - len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the encrypted stream over this one."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _BoundedStream(stream, self._backend)

    def get_extra_info(self, info: str) -> Any:
        """Return what the inner stream tells of its socket."""
        return self._stream.get_extra_info(info)
