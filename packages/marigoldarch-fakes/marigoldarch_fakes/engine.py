"""A stand-in engine: continuous batching as prefill chunks that take turns and decode steps."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from marigoldarch.codec import encode_json
from marigoldarch_fakes.announcer import Announcer, TargetIdentity
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.edge.http import HttpRequest, Route

PREFILL_CHUNK_TOKENS = 2048
BYTES_PER_TOKEN = 4


class EngineSettings(NamedTuple):
    """The engine's identity, size and rates."""

    target: str
    address: str
    data_centre: str
    model: str
    nodes: tuple[str, ...]
    key: str = ""
    memory_tokens: int = 200_000
    prefill_tokens_per_s: float = 100_000.0
    decode_step_ms: float = 10.0
    checks_fence: bool = True


@dataclass
class Stream:
    """A running stream and the memory it holds."""

    permit: str
    tokens: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Engine:
    """Hold streams, and serve the contract of targets."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._streams: dict[str, Stream] = {}
        self._prefill_turn = trio.Lock()
        self._highest_fence = 0
        self._is_leaving = False

    @property
    def routes(self) -> list[Route]:
        """Return the engine's routes."""
        return [
            Route("POST", "/v1/generate", self._serve_generate),
            Route("GET", "/v1/holdings", self._serve_holdings),
            Route("DELETE", "/v1/streams/", self._serve_release, is_prefix=True),
            Route("POST", "/v1/orders", self._serve_order),
            Route("POST", "/fault/leave", self._serve_leave),
        ]

    async def run(self) -> None:
        """Serve and announce."""
        settings = self._settings
        identity = TargetIdentity(
            settings.target,
            secrets.token_hex(4),
            "engine",
            settings.model,
            settings.address,
            settings.data_centre,
        )
        announcer = Announcer(identity, settings.nodes, settings.key, self._describe)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_routes, self.routes, settings.address)
            nursery.start_soon(announcer.run)

    def _describe(self) -> dict[str, Any]:
        return {
            "memory_tokens": self._settings.memory_tokens,
            "checks_fence": self._settings.checks_fence,
            "is_leaving": self._is_leaving,
            "load": {
                "running": len(self._streams),
                "used_tokens": sum(stream.tokens for stream in self._streams.values()),
            },
            "holdings": sorted(self._streams),
        }

    async def _serve_generate(self, request: HttpRequest) -> None:
        order = await request.read_json()
        size = order["gang"]["size"]
        prompt_tokens = max(1, len(order["prompt"].encode()) // BYTES_PER_TOKEN)
        share = -(-(prompt_tokens + order["max_tokens"]) // size)
        stream = Stream(order["permit"], share)
        self._streams[stream.permit] = stream
        await request.start(200, "application/x-ndjson", {})
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_watch, request, stream)
                with stream.scope:
                    if order["gang"]["rank"] > 0:
                        await trio.sleep_forever()
                    await self._prefill(prompt_tokens // size)
                    await self._decode(request, order)
                nursery.cancel_scope.cancel()
            await request.send_chunk(b"", is_last=True)
        finally:
            self._streams.pop(stream.permit, None)

    async def _prefill(self, tokens: int) -> None:
        while tokens > 0:
            chunk = min(tokens, PREFILL_CHUNK_TOKENS)
            async with self._prefill_turn:
                await trio.sleep(chunk / self._settings.prefill_tokens_per_s)
            tokens -= chunk

    async def _decode(self, request: HttpRequest, order: dict[str, Any]) -> None:
        last = order["max_tokens"]
        for offset in range(order["offset"], last):
            await trio.sleep(self._settings.decode_step_ms / 1000.0)
            frame = {
                "permit": order["permit"],
                "attempt": order["attempt"],
                "offset": offset,
                "text": f"w{offset} ",
                "tokens": 1,
                "end": offset + 1 == last,
            }
            await request.send_chunk(encode_json(frame) + b"\n")

    async def _serve_holdings(self, request: HttpRequest) -> None:
        await request.send_json(200, {"holdings": sorted(self._streams)})

    async def _serve_release(self, request: HttpRequest) -> None:
        stream = self._streams.get(request.path.rpartition("/")[2])
        if stream is not None:
            stream.scope.cancel()
        await request.send_json(200, {})

    async def _serve_order(self, request: HttpRequest) -> None:
        order = await request.read_json()
        if self._settings.checks_fence and order["fence"] < self._highest_fence:
            await request.send_json(409, {"error": {"type": "old_fence"}})
            return
        self._highest_fence = max(self._highest_fence, order["fence"])
        await request.send_json(200, {})

    async def _serve_leave(self, request: HttpRequest) -> None:
        self._is_leaving = True
        await request.send_json(200, {})


async def _watch(request: HttpRequest, stream: Stream) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    stream.scope.cancel()
