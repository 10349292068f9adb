"""A small caller: ask the directory, keep its answer for a while, and send requests."""

from __future__ import annotations

from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import decode_json, encode_json

TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 1.0


class CallResult(NamedTuple):
    """What came of a request; times are in milliseconds from its sending."""

    status: int
    body: Any
    headers: dict[str, str]
    text: str = ""
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    tokens: int = 0
    is_complete: bool = False


class Caller:
    """Send requests as one customer."""

    def __init__(self, seeds: list[str], key: str, data_centre: str = "") -> None:
        self._seeds = seeds
        self._key = key
        self._data_centre = data_centre
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)
        self._addresses: list[str] = []
        self._expires_at = 0.0

    async def address(self) -> str:
        """Return the address that the directory gave, asking again when it is too old."""
        if trio.current_time() >= self._expires_at:
            await self._ask_directory()
        return self._addresses[0]

    async def prompt(
        self,
        model: str,
        kind: str,
        prompt: str,
        max_tokens: int,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send a prompt and read its stream."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        sent = trio.current_time()
        first = 0.0
        texts: list[str] = []
        is_complete = False
        url = f"http://{await self.address()}/v1/chat/completions"
        all_headers = {**self._headers(), "x-marigoldarch-kind": kind, **(headers or {})}
        async with self._pool.stream(
            "POST", url, headers=all_headers, content=encode_json(body), extensions=_timeouts()
        ) as response:
            if response.status != 200:
                await response.aread()
                return CallResult(
                    response.status, decode_json(response.content), _plain_headers(response)
                )
            error = None
            async for event in _events(response):
                if event == b"[DONE]":
                    is_complete = True
                    continue
                plain = decode_json(event)
                if "error" in plain:
                    error = plain
                    continue
                text = plain["choices"][0]["delta"]["content"]
                if text and not texts:
                    first = (trio.current_time() - sent) * 1000.0
                if text:
                    texts.append(text)
        total = (trio.current_time() - sent) * 1000.0
        return CallResult(
            200,
            error,
            _plain_headers(response),
            "".join(texts),
            first,
            total,
            len(texts),
            is_complete,
        )

    async def call(
        self, service: str, method: str, body: Any, idempotency_key: str = ""
    ) -> CallResult:
        """Call a plain service."""
        headers = self._headers()
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        url = f"http://{await self.address()}/v1/services/{service}/{method}"
        response = await self._pool.request(
            "POST", url, headers=headers, content=encode_json(body), extensions=_timeouts()
        )
        plain = decode_json(response.content)
        return CallResult(response.status, plain, _plain_headers(response), is_complete=True)

    async def _ask_directory(self) -> None:
        query = f"?data_centre={self._data_centre}" if self._data_centre else ""
        for seed in [*self._addresses, *self._seeds]:
            try:
                response = await self._pool.request(
                    "GET", f"http://{seed}/v1/directory{query}", extensions=_timeouts()
                )
            except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                continue
            answer = decode_json(response.content)
            if answer["addresses"]:
                self._addresses = answer["addresses"]
                self._expires_at = trio.current_time() + answer["ttl_ms"] / 1000.0
                return
        raise RuntimeError("no node answers the directory request")

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self._key}", "content-type": "application/json"}


def _timeouts() -> dict[str, Any]:
    return {"timeout": {"connect": CONNECT_TIMEOUT_S, "read": TIMEOUT_S, "write": TIMEOUT_S}}


def _plain_headers(response: httpcore.Response) -> dict[str, str]:
    return {name.decode().lower(): value.decode() for name, value in response.headers}


async def _events(response: httpcore.Response):
    rest = b""
    async for chunk in response.aiter_stream():
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            yield event.removeprefix(b"data: ")
