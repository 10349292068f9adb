"""A stand-in engine that models the timing of continuous batching.

Prefill chunks of all streams run one at a time; decode steps of the streams run concurrently.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from marigoldarch.codec import encode_json
from marigoldarch_fakes.announcer import Announcer, TargetIdentity
from marigoldarch_fakes.faults import Fault, FaultPlan
from marigoldarch_fakes.prefix_cache import DelayedValue, PrefixCache
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

PREFILL_CHUNK_TOKENS = 2048
BYTES_PER_TOKEN = 4
LATE_FAULT_DELAY_S = 2.0
RESTART_S = 0.3


class EngineSettings(NamedTuple):
    """The engine's identity, memory, rates and behaviour.

    The announced load is `load_lag` announcements old. `cache_loss` is the fraction of cache events
    that get lost, and `cache_delay_ms` the interval at which the events are published. Each token's
    text is at least `word_bytes` long. An engine with `checks_fence` refuses orders with an old
    fence. An engine crashes when it begins to answer a prompt that contains `crash_text`, and starts
    again as another incarnation; an empty text means never.
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
    crash_text: str = ""


@dataclass
class Stream:
    """A running stream and the memory that it holds, in tokens."""

    permit: str
    tokens: int
    ignores_cancel: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Engine:
    """Runs streams and serves the HTTP interface of an engine target."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._crash_count = 0
        self._reset()

    @property
    def crash_count(self) -> int:
        """Return how many times the engine has crashed."""
        return self._crash_count

    @property
    def routes(self) -> list[Route]:
        """Return the routes of the target interface and those that control faults."""
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
        """Serve requests, announce the engine and publish cache events until cancelled."""
        while True:
            await self._run_until_crash()
            await trio.sleep(RESTART_S)
            self._reset()

    async def _run_until_crash(self) -> None:
        settings = self._settings
        identity = TargetIdentity(
            settings.target,
            secrets.token_hex(4),
            "engine",
            settings.model,
            settings.address,
            settings.data_centre,
        )
        announcer = Announcer(identity, settings.nodes, settings.key, self.announced_fields)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_routes, self.routes, settings.address)
            nursery.start_soon(announcer.run)
            nursery.start_soon(self._publish_cache_events, announcer)
            await self._crashed.wait()
            self._crash_count += 1
            nursery.cancel_scope.cancel()

    def _reset(self) -> None:
        """Set the state of an engine that has just started."""
        settings = self._settings
        self._crashed = trio.Event()
        self._streams: dict[str, Stream] = {}
        self._exported_tokens: dict[str, int] = {}
        self._prefill_lock = trio.Lock()
        self._highest_fence = 0
        self._is_leaving = False
        self._faults = FaultPlan()
        self._cache = PrefixCache(settings.cache_tokens, settings.cache_loss, settings.seed)
        self._delayed_load = DelayedValue(settings.load_lag)
        self._orders: list[dict[str, Any]] = []

    def announced_fields(self) -> dict[str, Any]:
        """Return the fields of an announcement besides the identity."""
        load = {
            "running": len(self._streams),
            "used_tokens": sum(stream.tokens for stream in self._streams.values()),
        }
        return {
            "memory_tokens": self._settings.memory_tokens,
            "checks_fence": self._settings.checks_fence,
            "is_leaving": self._is_leaving,
            "load": self._delayed_load.read(load),
            "holdings": self._holdings(),
        }

    def _holdings(self) -> list[str]:
        return sorted({*self._streams, *self._exported_tokens})

    async def _publish_cache_events(self, announcer: Announcer) -> None:
        while True:
            await trio.sleep(self._settings.cache_delay_ms / 1000.0)
            event = self._cache.next_event()
            if event is not None:
                await announcer.publish_cache_events(event._asdict())

    async def _serve_generate(self, request: HttpRequest) -> None:
        generation = await request.read_json()
        if self._faults.consume(Fault.REFUSE):
            raise HttpError(503, "busy", "the engine refuses this request as a fault")
        gang_size = generation["gang"]["size"]
        prompt = generation["prompt"].encode()
        prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        tokens_per_member = -(-(prompt_tokens + generation["max_tokens"]) // gang_size)
        stream = Stream(
            generation["permit"], tokens_per_member, self._faults.consume(Fault.IGNORE_CANCEL)
        )
        self._streams[stream.permit] = stream
        self._exported_tokens.pop(stream.permit, None)
        await request.start(200, "application/x-ndjson", {})
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, request, stream)
                with stream.scope:
                    if generation["gang"]["rank"] > 0:
                        await trio.sleep_forever()
                    cached = self._cache.use(prompt, generation["model"] + generation["adapter"])
                    await self._prefill(max(0, prompt_tokens - cached) // gang_size)
                    await self._decode(request, generation)
                nursery.cancel_scope.cancel()
            await request.send_chunk(b"", is_last=True)
        finally:
            if self._streams.get(stream.permit) is stream:
                del self._streams[stream.permit]

    async def _prefill(self, tokens: int) -> None:
        while tokens > 0:
            chunk = min(tokens, PREFILL_CHUNK_TOKENS)
            async with self._prefill_lock:
                await trio.sleep(chunk / self._settings.prefill_tokens_per_s)
            tokens -= chunk

    async def _decode(self, request: HttpRequest, generation: dict[str, Any]) -> None:
        end_offset = generation["max_tokens"]
        offset = generation["offset"]
        if self._faults.consume(Fault.LATE):
            await trio.sleep(LATE_FAULT_DELAY_S)
        if offset >= end_offset:
            await request.send_chunk(_frame(generation, offset, tokens=0, text="", end=True))
            return
        fault_offset = (offset + end_offset) // 2
        for token_offset in range(offset, end_offset):
            await trio.sleep(self._settings.decode_step_ms / 1000.0)
            if self._settings.crash_text and self._settings.crash_text in generation["prompt"]:
                self._crashed.set()
                await trio.sleep_forever()
            if token_offset == fault_offset and await self._apply_midstream_fault(
                request, generation, token_offset
            ):
                return
            word = f"w{token_offset} ".rjust(self._settings.word_bytes)
            frame = _frame(generation, token_offset, text=word, end=token_offset + 1 == end_offset)
            await request.send_chunk(frame)

    async def _apply_midstream_fault(
        self, request: HttpRequest, generation: dict[str, Any], offset: int
    ) -> bool:
        """Apply the scheduled mid-stream faults; return whether the stream ends here."""
        if self._faults.consume(Fault.HANG):
            await trio.sleep_forever()
        if self._faults.consume(Fault.CUT):
            return True
        if self._faults.consume(Fault.DUPLICATE) and offset > generation["offset"]:
            await request.send_chunk(_frame(generation, offset - 1))
        if self._faults.consume(Fault.CROSS):
            await request.send_chunk(_frame(generation, offset, permit="0-0", text="crossed "))
            await request.send_chunk(_frame(generation, offset, attempt=0, text="old "))
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
        self._exported_tokens.pop(permit, None)
        await request.send_json(200, {})

    async def _serve_export(self, request: HttpRequest) -> None:
        """Stop a stream and keep its KV cache.

        The permit stays among the holdings, since the cache still occupies the engine's memory.
        """
        permit = request.path.rpartition("/")[2]
        stream = self._streams.get(permit)
        if stream is None:
            raise HttpError(404, "unknown_permit", f"no stream of permit {permit} is running")
        self._exported_tokens[permit] = stream.tokens
        stream.scope.cancel()
        await request.send_json(200, {"permit": permit, "tokens": stream.tokens})

    async def _serve_import(self, request: HttpRequest) -> None:
        """Hold the KV cache that another engine has exported."""
        permit = request.path.rpartition("/")[2]
        exported = await request.read_json()
        self._exported_tokens[permit] = int(exported["tokens"])
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


def _frame(generation: dict[str, Any], offset: int, **changes: Any) -> bytes:
    frame = {
        "permit": generation["permit"],
        "attempt": generation["attempt"],
        "offset": offset,
        "text": f"w{offset} ",
        "tokens": 1,
        "end": False,
        **changes,
    }
    return encode_json(frame) + b"\n"


async def _cancel_on_disconnect(request: HttpRequest, stream: Stream) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    if not stream.ignores_cancel:
        stream.scope.cancel()
