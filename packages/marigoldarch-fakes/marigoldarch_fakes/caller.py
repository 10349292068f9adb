"""A client that finds nodes through the directory, caches the addresses and sends requests.

Addresses are tried in the order that the directory gives. A request is sent again only if the
connection was refused before any byte was sent, or if the answer says `not_run`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from enum import StrEnum
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError

READ_WRITE_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 6
MAX_RETRY_DELAY_S = 2.0
DIRECTORY_RETRY_DELAY_S = 0.5

_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class DirectoryError(MarigoldarchError):
    """No known node answered the directory request."""


class CallOutcome(StrEnum):
    """What a caller finally knows about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class CallResult(NamedTuple):
    """The result of a request; times are in milliseconds since it was sent."""

    status: int
    body: Any
    headers: dict[str, str]
    text: str = ""
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    tokens: int = 0
    is_complete: bool = False
    token_gaps_ms: tuple[float, ...] = ()
    attempts: int = 1

    @property
    def outcome(self) -> CallOutcome:
        """Return the outcome; it is unknown if the connection broke before an answer."""
        if self.status == 200 and self.is_complete:
            return CallOutcome.ANSWERED
        try:
            return CallOutcome(self.body["error"]["run"])
        except (KeyError, TypeError, ValueError):
            return CallOutcome.UNKNOWN

    @property
    def retry_after_s(self) -> float:
        """Return the delay in seconds before a retry, at most `MAX_RETRY_DELAY_S`; 0 for none."""
        error = self.body.get("error", {}) if isinstance(self.body, dict) else {}
        return min(MAX_RETRY_DELAY_S, float(error.get("retry_after_ms", 0.0)) / 1000.0)


class Caller:
    """Sends requests with the key of one customer.

    `seeds` are addresses of nodes that are asked for the directory first.
    """

    def __init__(self, seeds: list[str], key: str, data_centre: str = "") -> None:
        self._seeds = seeds
        self._key = key
        self._data_centre = data_centre
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000
        )
        self._addresses: list[str] = []
        self._expires_at = 0.0

    def pin_address(self, address: str) -> None:
        """Always use this address and never ask the directory."""
        self._addresses = [address]
        self._expires_at = float("inf")

    async def preferred_address(self) -> str:
        """Return the first address that the directory gave."""
        return (await self.addresses())[0]

    async def addresses(self) -> list[str]:
        """Return the directory's addresses, refreshed once their time to live has passed.

        Raises `DirectoryError` if no node answers the refresh.
        """
        if trio.current_time() >= self._expires_at:
            await self._refresh_addresses()
        return self._addresses

    async def prompt(
        self,
        model: str,
        kind: str,
        prompt: str,
        max_tokens: int,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send a prompt and read the streamed answer."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        all_headers = {**self._headers(), "x-marigoldarch-kind": kind, **(headers or {})}
        content = encode_json(body)
        return await self._send_with_retries(
            lambda address: self._send_prompt(address, all_headers, content)
        )

    async def call(
        self, service: str, method: str, body: Any, idempotency_key: str = ""
    ) -> CallResult:
        """Call a method of a plain service."""
        headers = self._headers()
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        path = f"/v1/services/{service}/{method}"
        content = encode_json(body)
        return await self._send_with_retries(
            lambda address: self._send_request(address, path, headers, content)
        )

    async def _send_with_retries(
        self, send: Callable[[str], Awaitable[CallResult | None]]
    ) -> CallResult:
        """Send to one address after another while the outcome is `not_run` and may be retried.

        A `not_run` answer without a retry delay is final.
        """
        result = _no_node_reachable()
        for attempt in range(MAX_ATTEMPTS):
            try:
                addresses = await self.addresses()
            except DirectoryError:
                await trio.sleep(DIRECTORY_RETRY_DELAY_S)
                continue
            answer = await send(addresses[attempt % len(addresses)])
            if answer is None:
                continue
            result = answer._replace(attempts=attempt + 1)
            if result.outcome is not CallOutcome.NOT_RUN or not result.retry_after_s:
                return result
            await trio.sleep(result.retry_after_s)
        return result

    async def _send_request(
        self, address: str, path: str, headers: dict[str, str], content: bytes
    ) -> CallResult | None:
        """Send one request; return None if the connection was refused before any byte was sent."""
        try:
            response = await self._pool.request(
                "POST",
                f"http://{address}{path}",
                headers=headers,
                content=content,
                extensions=_timeouts(),
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        except _CONNECTION_ERRORS:
            return _connection_lost()
        decoded = _decode(response.content)
        return CallResult(response.status, decoded, _decode_headers(response), is_complete=True)

    async def _send_prompt(
        self, address: str, headers: dict[str, str], content: bytes
    ) -> CallResult | None:
        """Send one prompt; return None if the connection was refused before any byte was sent."""
        reader = StreamReader()
        try:
            async with self._pool.stream(
                "POST",
                f"http://{address}/v1/chat/completions",
                headers=headers,
                content=content,
                extensions=_timeouts(),
            ) as response:
                if response.status != 200:
                    decoded = _decode(await response.aread())
                    return CallResult(response.status, decoded, _decode_headers(response))
                await reader.read(response)
                return reader.result(_decode_headers(response))
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        except _CONNECTION_ERRORS:
            return reader.result({})._replace(is_complete=False)

    async def _refresh_addresses(self) -> None:
        query = f"?data_centre={self._data_centre}" if self._data_centre else ""
        timeout = {"timeout": dict.fromkeys(("connect", "read", "write"), CONNECT_TIMEOUT_S)}
        for seed in dict.fromkeys([*self._addresses, *self._seeds]):
            try:
                response = await self._pool.request(
                    "GET", f"http://{seed}/v1/directory{query}", extensions=timeout
                )
            except _CONNECTION_ERRORS:
                continue
            answer = _decode(response.content)
            if response.status == 200 and answer["addresses"]:
                self._addresses = answer["addresses"]
                self._expires_at = trio.current_time() + answer["ttl_ms"] / 1000.0
                return
        raise DirectoryError("none of the known nodes answered the directory request")

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self._key}", "content-type": "application/json"}


class StreamReader:
    """Reads the server-sent events of one answer and records when each token arrives."""

    def __init__(self) -> None:
        self._sent_s = trio.current_time()
        self._arrivals: list[float] = []
        self._texts: list[str] = []
        self._error: Any = None
        self._is_complete = False

    async def read(self, response: httpcore.Response) -> None:
        """Read to the end of the stream."""
        async for event in _read_events(response):
            if event == b"[DONE]":
                self._is_complete = True
                continue
            decoded = decode_json(event)
            if "error" in decoded:
                self._error = decoded
                continue
            text = decoded["choices"][0]["delta"]["content"]
            if text:
                self._arrivals.append(trio.current_time())
                self._texts.append(text)

    def result(self, headers: dict[str, str]) -> CallResult:
        """Return the text, times and error that were read so far."""
        times = self._arrivals
        gaps = tuple((b - a) * 1000.0 for a, b in zip(times, times[1:], strict=False))
        return CallResult(
            200,
            self._error,
            headers,
            "".join(self._texts),
            (times[0] - self._sent_s) * 1000.0 if times else 0.0,
            (trio.current_time() - self._sent_s) * 1000.0,
            len(self._texts),
            self._is_complete,
            gaps,
        )


def _no_node_reachable() -> CallResult:
    error = {"type": "no_node_reachable", "run": str(CallOutcome.NOT_RUN)}
    return CallResult(0, {"error": error}, {})


def _connection_lost() -> CallResult:
    error = {"type": "connection_broke", "run": str(CallOutcome.UNKNOWN)}
    return CallResult(0, {"error": error}, {})


def _decode(content: bytes) -> Any:
    try:
        return decode_json(content)
    except CodecError:
        return None


def _timeouts() -> dict[str, Any]:
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_S,
            "read": READ_WRITE_TIMEOUT_S,
            "write": READ_WRITE_TIMEOUT_S,
        }
    }


def _decode_headers(response: httpcore.Response) -> dict[str, str]:
    return {name.decode().lower(): value.decode() for name, value in response.headers}


async def _read_events(response: httpcore.Response) -> AsyncIterator[bytes]:
    remainder = b""
    async for chunk in response.aiter_stream():
        *events, remainder = (remainder + chunk).split(b"\n\n")
        for event in events:
            yield event.removeprefix(b"data: ")
