"""A model of one engine with continuous batching, chunked prefill and a prefix cache.

Each step decodes one token of every running stream and prefills up to `chunk_tokens` of the first
prompts in order of priority, then of submission. Steps between two changes of the batch are alike
and are advanced in one go.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens


class EngineModelSettings(NamedTuple):
    """Size and rates of an engine: tokens of KV memory, and milliseconds per step and token."""

    memory_tokens: int = 400_000
    chunk_tokens: int = 1024
    step_ms: Millis = 8.0
    prefill_token_ms: Millis = 0.05
    decode_token_ms: Millis = 0.1
    cache_prefixes: int = 128


@dataclass
class Gang:
    """The engines of one request; prefill starts once every member has its memory."""

    size: int
    admitted: int = 0
    prefilled: int = 0


@dataclass
class Stream:
    """One request on one engine: tokens still to prefill and to decode there."""

    key: str
    priority: int
    serial: int
    memory_tokens: int
    prefill_left: int
    output_left: int
    prefix: tuple[str, ...] = ()
    gang: Gang = field(default_factory=lambda: Gang(1))
    is_lead: bool = True
    is_admitted: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Return the engine's order of work."""
        return self.priority, self.serial


class Segment(NamedTuple):
    """Alike steps: each prefills `chunk` tokens over `heads` and decodes one token per stream."""

    start_ms: Millis
    step_ms: Millis
    steps: int
    chunk: int
    heads: tuple[str, ...]


class Progress(NamedTuple):
    """A stream that was prefilled or has ended at an instant."""

    at_ms: Millis
    key: str
    is_prefilled: bool


class EngineModel:
    """One engine; `next_ms` is when its batch changes by itself."""

    def __init__(self, name: str, settings: EngineModelSettings) -> None:
        self.name = name
        self.settings = settings
        self.streams: dict[str, Stream] = {}
        self.used_tokens = 0
        self.cached: OrderedDict[str, None] = OrderedDict()
        self.stored: list[str] = []
        self.removed: list[str] = []
        self._waiting: list[tuple[int, int, str]] = []
        self._prefilling: list[tuple[int, int, str]] = []
        self._decoding: set[str] = set()
        self._admitted_gangs: list[Stream] = []
        self._segment: Segment | None = None
        self._ready_ms: Millis = 0.0

    @property
    def next_ms(self) -> Millis:
        """Return when the running segment ends, infinity when the engine is idle."""
        segment = self._segment
        if segment is None:
            return float("inf")
        return segment.start_ms + segment.steps * segment.step_ms

    @property
    def waiting(self) -> int:
        """Return how many streams wait for memory."""
        return sum(not stream.is_admitted for stream in self.streams.values())

    @property
    def pending_tokens(self) -> int:
        """Return the tokens still to be prefilled, over all streams."""
        return sum(stream.prefill_left for stream in self.streams.values())

    def submit(self, stream: Stream, now_ms: Millis) -> list[Progress]:
        """Add a stream."""
        progress = self.advance(now_ms)
        self.streams[stream.key] = stream
        heapq.heappush(self._waiting, (*stream.order, stream.key))
        self._admit()
        self._plan(now_ms)
        return progress

    def cancel(self, key: str, now_ms: Millis) -> list[Progress]:
        """Drop a stream and free its memory."""
        progress = self.advance(now_ms)
        self._remove(key)
        self._admit()
        self._plan(now_ms)
        return progress

    def start_gang_member(self, key: str, now_ms: Millis) -> list[Progress]:
        """Let an admitted gang member prefill, now that all are admitted."""
        progress = self.advance(now_ms)
        stream = self.streams[key]
        heapq.heappush(self._prefilling, (*stream.order, key))
        self._plan(now_ms)
        return progress

    def start_decode(self, key: str, now_ms: Millis) -> list[Progress]:
        """Let the lead of a gang decode, now that all members are prefilled."""
        progress = self.advance(now_ms)
        self._decoding.add(key)
        self._plan(now_ms)
        return progress

    def take_admitted_gangs(self) -> list[Stream]:
        """Return gang members whose memory was granted since the last call."""
        taken, self._admitted_gangs = self._admitted_gangs, []
        return taken

    def advance(self, now_ms: Millis) -> list[Progress]:
        """Run all steps that end by `now_ms`."""
        progress: list[Progress] = []
        while self._segment is not None:
            segment = self._segment
            is_over = self.next_ms <= now_ms
            steps = segment.steps
            if not is_over:
                steps = int((now_ms - segment.start_ms) / segment.step_ms)
            if steps <= 0:
                break
            end_ms = segment.start_ms + steps * segment.step_ms
            progress += self._apply(segment, steps, end_ms)
            self._segment = None
            self._ready_ms = end_ms
            if is_over:
                self._admit()
            self._plan(end_ms)
            if not is_over:
                break
        return progress

    def _apply(self, segment: Segment, steps: int, end_ms: Millis) -> list[Progress]:
        progress: list[Progress] = []
        for key in list(self._decoding):
            stream = self.streams[key]
            stream.output_left -= steps
            if stream.output_left <= 0:
                progress.append(Progress(end_ms, key, False))
                self._remove(key)
        budget = segment.chunk * steps
        for key in segment.heads:
            stream = self.streams.get(key)
            if stream is None:
                continue
            taken = min(budget, stream.prefill_left)
            stream.prefill_left -= taken
            budget -= taken
            if stream.prefill_left == 0:
                progress.append(Progress(end_ms, key, True))
                self._finish_prefill(stream)
        return progress

    def _finish_prefill(self, stream: Stream) -> None:
        self._prefilling.remove((*stream.order, stream.key))
        heapq.heapify(self._prefilling)
        self._store(stream.prefix)
        stream.gang.prefilled += 1
        if stream.gang.size == 1:
            stream.output_left -= 1
            self._decoding.add(stream.key)

    def _plan(self, now_ms: Millis) -> None:
        """Plan the next segment; a running step is never cut short."""
        segment = self._segment
        if segment is not None:
            if segment.start_ms + segment.step_ms > now_ms and segment.steps > 1:
                self._segment = segment._replace(steps=1)
            return
        decode_left = min((self.streams[key].output_left for key in self._decoding), default=0)
        if not self._prefilling and not self._decoding:
            return
        heads, chunk, steps = self._plan_prefill()
        if self._decoding:
            steps = max(1, min(steps, decode_left) if heads else decode_left)
        settings = self.settings
        step_ms = settings.step_ms + chunk * settings.prefill_token_ms
        step_ms += len(self._decoding) * settings.decode_token_ms
        start_ms = max(now_ms, self._ready_ms)
        self._segment = Segment(start_ms, step_ms, steps, chunk, heads)

    def _plan_prefill(self) -> tuple[tuple[str, ...], int, int]:
        if not self._prefilling:
            return (), 0, 1
        budget = self.settings.chunk_tokens
        head = self._prefilling[0][2]
        whole_steps = self.streams[head].prefill_left // budget
        if whole_steps:
            return (head,), budget, whole_steps
        heads: list[str] = []
        for _, _, key in sorted(self._prefilling):
            heads.append(key)
            budget -= self.streams[key].prefill_left
            if budget <= 0:
                break
        return tuple(heads), self.settings.chunk_tokens - max(0, budget), 1

    def _admit(self) -> None:
        """Grant memory in order; the first that does not fit blocks the rest."""
        while self._waiting:
            stream = self.streams.get(self._waiting[0][2])
            if stream is None or stream.is_admitted:
                heapq.heappop(self._waiting)
                continue
            if self.used_tokens + stream.memory_tokens > self.settings.memory_tokens:
                return
            heapq.heappop(self._waiting)
            self.used_tokens += stream.memory_tokens
            stream.is_admitted = True
            stream.prefill_left = self._uncached(stream)
            stream.gang.admitted += 1
            if stream.gang.size == 1:
                heapq.heappush(self._prefilling, (*stream.order, stream.key))
            else:
                self._admitted_gangs.append(stream)

    def _remove(self, key: str) -> None:
        stream = self.streams.pop(key, None)
        if stream is None:
            return
        if stream.is_admitted:
            self.used_tokens -= stream.memory_tokens
        self._decoding.discard(key)
        entry = (*stream.order, key)
        if entry in self._prefilling:
            self._prefilling.remove(entry)
            heapq.heapify(self._prefilling)

    def _uncached(self, stream: Stream) -> int:
        for position in range(len(stream.prefix) - 1, -1, -1):
            if stream.prefix[position] in self.cached:
                self.cached.move_to_end(stream.prefix[position])
                return max(1, stream.prefill_left - prefix_tokens(position))
        return stream.prefill_left

    def _store(self, prefix: tuple[str, ...]) -> None:
        for name in prefix:
            if name not in self.cached:
                self.stored.append(name)
            self.cached[name] = None
            self.cached.move_to_end(name)
        while len(self.cached) > self.settings.cache_prefixes:
            self.removed.append(self.cached.popitem(last=False)[0])
