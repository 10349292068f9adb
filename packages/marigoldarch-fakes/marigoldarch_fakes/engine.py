"""A stand-in engine: continuous batching as prefill chunks that take turns and decode steps."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from marigoldarch.codec import encode_json
from marigoldarch_fakes.announcer import Announcer, TargetIdentity
from marigoldarch_fakes.faults import Fault, FaultPlan
from marigoldarch_fakes.prefix_cache import Lagged, PrefixCache
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

PREFILL_CHUNK_TOKENS = 2048
BYTES_PER_TOKEN = 4
LATE_S = 2.0


class EngineSettings(NamedTuple):
    """The engine's identity, size, rates and habits.

    `load_lag` counts announcements; `cache_loss` is the share of cache events that get lost; each
    token's text is at least `word_bytes` long.
    """

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
    cache_tokens: int = 100_000
    cache_loss: float = 0.0
    cache_delay_ms: float = 200.0
    load_lag: int = 1
    word_bytes: int = 0
    seed: int = 0


@dataclass
class Stream:
    """A running stream and the memory it holds."""

    permit: str
    tokens: int
    ignores_cancel: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Engine:
    """Hold streams, and serve the contract of targets."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._streams: dict[str, Stream] = {}
        self._exports: dict[str, int] = {}
        self._prefill_turn = trio.Lock()
        self._highest_fence = 0
        self._is_leaving = False
        self._faults = FaultPlan()
        self._cache = PrefixCache(settings.cache_tokens, settings.cache_loss, settings.seed)
        self._load = Lagged(settings.load_lag)
        self._orders: list[dict[str, Any]] = []

    @property
    def routes(self) -> list[Route]:
        """Return the engine's routes."""
        return [
            Route("POST", "/v1/generate", self._serve_generate),
            Route("GET", "/v1/holdings", self._serve_holdings),
            Route("DELETE", "/v1/streams/", self._serve_release, is_prefix=True),
            Route("POST", "/v1/kv/export/", self._serve_export, is_prefix=True),
            Route("POST", "/v1/kv/import/", self._serve_import, is_prefix=True),
            Route("POST", "/v1/orders", self._serve_order),
            Route("GET", "/orders", self._serve_orders),
            Route("POST", "/fault/leave", self._serve_leave),
            *self._faults.routes,
        ]

    async def run(self) -> None:
        """Serve, announce and publish cache events."""
        settings = self._settings
        identity = TargetIdentity(
            settings.target,
            secrets.token_hex(4),
            "engine",
            settings.model,
            settings.address,
            settings.data_centre,
        )
        announcer = Announcer(identity, settings.nodes, settings.key, self.describe)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_routes, self.routes, settings.address)
            nursery.start_soon(announcer.run)
            nursery.start_soon(self._publish_cache, announcer)

    def describe(self) -> dict[str, Any]:
        """Return what the engine announces besides its identity."""
        present = {
            "running": len(self._streams),
            "used_tokens": sum(stream.tokens for stream in self._streams.values()),
        }
        return {
            "memory_tokens": self._settings.memory_tokens,
            "checks_fence": self._settings.checks_fence,
            "is_leaving": self._is_leaving,
            "load": self._load.read(present),
            "holdings": self._holdings(),
        }

    def _holdings(self) -> list[str]:
        return sorted({*self._streams, *self._exports})

    async def _publish_cache(self, announcer: Announcer) -> None:
        while True:
            await trio.sleep(self._settings.cache_delay_ms / 1000.0)
            event = self._cache.publish()
            if event is not None:
                await announcer.publish_cache(event._asdict())

    async def _serve_generate(self, request: HttpRequest) -> None:
        order = await request.read_json()
        if self._faults.take(Fault.REFUSE):
            raise HttpError(503, "busy", "the engine does not take this")
        size = order["gang"]["size"]
        prompt = order["prompt"].encode()
        prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        share = -(-(prompt_tokens + order["max_tokens"]) // size)
        stream = Stream(order["permit"], share, self._faults.take(Fault.IGNORE_CANCEL))
        self._streams[stream.permit] = stream
        self._exports.pop(stream.permit, None)
        await request.start(200, "application/x-ndjson", {})
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_watch, request, stream)
                with stream.scope:
                    if order["gang"]["rank"] > 0:
                        await trio.sleep_forever()
                    cached = self._cache.use(prompt, order["model"] + order["adapter"])
                    await self._prefill(max(0, prompt_tokens - cached) // size)
                    await self._decode(request, order)
                nursery.cancel_scope.cancel()
            await request.send_chunk(b"", is_last=True)
        finally:
            if self._streams.get(stream.permit) is stream:
                del self._streams[stream.permit]

    async def _prefill(self, tokens: int) -> None:
        while tokens > 0:
            chunk = min(tokens, PREFILL_CHUNK_TOKENS)
            async with self._prefill_turn:
                await trio.sleep(chunk / self._settings.prefill_tokens_per_s)
            tokens -= chunk

    async def _decode(self, request: HttpRequest, order: dict[str, Any]) -> None:
        last = order["max_tokens"]
        offset = order["offset"]
        if self._faults.take(Fault.LATE):
            await trio.sleep(LATE_S)
        if offset >= last:
            await request.send_chunk(_frame(order, offset, tokens=0, text="", end=True))
            return
        middle = (offset + last) // 2
        for position in range(offset, last):
            await trio.sleep(self._settings.decode_step_ms / 1000.0)
            if position == middle and await self._shows_fault(request, order, position):
                return
            word = f"w{position} ".rjust(self._settings.word_bytes)
            frame = _frame(order, position, text=word, end=position + 1 == last)
            await request.send_chunk(frame)

    async def _shows_fault(self, request: HttpRequest, order: dict[str, Any], offset: int) -> bool:
        """Show what is due in the middle of a stream; return whether the stream ends here."""
        if self._faults.take(Fault.HANG):
            await trio.sleep_forever()
        if self._faults.take(Fault.CUT):
            return True
        if self._faults.take(Fault.DUPLICATE) and offset > order["offset"]:
            await request.send_chunk(_frame(order, offset - 1))
        if self._faults.take(Fault.CROSS):
            await request.send_chunk(_frame(order, offset, permit="0-0", text="crossed "))
            await request.send_chunk(_frame(order, offset, attempt=0, text="old "))
        return False

    async def _serve_holdings(self, request: HttpRequest) -> None:
        await request.send_json(200, {"holdings": self._holdings()})

    async def _serve_release(self, request: HttpRequest) -> None:
        permit = request.path.rpartition("/")[2]
        stream = self._streams.get(permit)
        if stream is not None and not stream.ignores_cancel:
            stream.scope.cancel()
        if stream is not None:
            stream.ignores_cancel = False
        self._exports.pop(permit, None)
        await request.send_json(200, {})

    async def _serve_export(self, request: HttpRequest) -> None:
        """Stop a stream and keep its KV cache, which still takes its memory."""
        permit = request.path.rpartition("/")[2]
        stream = self._streams.get(permit)
        if stream is None:
            raise HttpError(404, "unknown_permit", "no stream of this permit runs")
        self._exports[permit] = stream.tokens
        stream.scope.cancel()
        await request.send_json(200, {"permit": permit, "tokens": stream.tokens})

    async def _serve_import(self, request: HttpRequest) -> None:
        """Take over the KV cache that another engine has exported."""
        permit = request.path.rpartition("/")[2]
        order = await request.read_json()
        self._exports[permit] = int(order["tokens"])
        await request.send_json(200, {})

    async def _serve_order(self, request: HttpRequest) -> None:
        order = await request.read_json()
        if self._settings.checks_fence and order["fence"] < self._highest_fence:
            await request.send_json(409, {"error": {"type": "old_fence", "run": "not_run"}})
            return
        self._highest_fence = max(self._highest_fence, order["fence"])
        self._orders.append(order)
        await request.send_json(200, {})

    async def _serve_orders(self, request: HttpRequest) -> None:
        await request.send_json(200, {"orders": self._orders})

    async def _serve_leave(self, request: HttpRequest) -> None:
        self._is_leaving = True
        await request.send_json(200, {})


def _frame(order: dict[str, Any], offset: int, **changes: Any) -> bytes:
    frame = {
        "permit": order["permit"],
        "attempt": order["attempt"],
        "offset": offset,
        "text": f"w{offset} ",
        "tokens": 1,
        "end": False,
        **changes,
    }
    return encode_json(frame) + b"\n"


async def _watch(request: HttpRequest, stream: Stream) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    if not stream.ignores_cancel:
        stream.scope.cancel()
