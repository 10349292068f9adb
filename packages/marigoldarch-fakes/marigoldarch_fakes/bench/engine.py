"""A model of one engine with continuous batching, chunked prefill and a prefix cache.

Each step decodes one token of every decoding stream and prefills up to `chunk_tokens` of pending
prompts, in order of priority and then of submission. All steps between two changes of the batch are
identical and are simulated at once, as a segment.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.prefix import prefix_tokens


class EngineModelSettings(NamedTuple):
    """The size and the speed of an engine.

    `memory_tokens` is its KV cache memory. A step takes `step_ms`, plus `prefill_token_ms` for each
    prefilled and `decode_token_ms` for each decoded token. `cache_prefixes` is the number of
    prefixes that the prefix cache keeps.
    """

    memory_tokens: int = 400_000
    chunk_tokens: int = 1024
    step_ms: Millis = 8.0
    prefill_token_ms: Millis = 0.05
    decode_token_ms: Millis = 0.1
    cache_prefixes: int = 128


@dataclass
class Gang:
    """The engines that share one request.

    None of them prefills before all `size` members have admitted the request.
    """

    size: int
    admitted: int = 0
    prefilled: int = 0


@dataclass
class Stream:
    """One request on one engine, with the tokens still to prefill and to decode there.

    Lower values of `priority` run first, and among equals lower values of `serial`. A stream is
    admitted once its memory is granted. `is_lead` marks the member of a gang that decodes.
    """

    key: str
    priority: int
    serial: int
    memory_tokens: int
    remaining_prefill_tokens: int
    remaining_output_tokens: int
    prefix: tuple[str, ...] = ()
    gang: Gang = field(default_factory=lambda: Gang(1))
    is_lead: bool = True
    is_admitted: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the key by which the engine sorts streams."""
        return self.priority, self.serial


class Segment(NamedTuple):
    """Identical steps, of which none changes the batch but the last.

    Each step prefills `step_prefill_tokens` of the streams `prefilling_keys`, in this order, and
    decodes one token per decoding stream.
    """

    start_ms: Millis
    step_ms: Millis
    steps: int
    step_prefill_tokens: int
    prefilling_keys: tuple[str, ...]


class Progress(NamedTuple):
    """The instant at which a stream was prefilled, or ended if not `is_prefilled`."""

    at_ms: Millis
    key: str
    is_prefilled: bool


class EngineModel:
    """One engine in virtual time.

    `stored_prefixes` and `removed_prefixes` collect the changes of the prefix cache until they are
    reported.
    """

    def __init__(self, name: str, settings: EngineModelSettings) -> None:
        self.name = name
        self.settings = settings
        self.streams: dict[str, Stream] = {}
        self.used_tokens = 0
        self.cached_prefixes: OrderedDict[str, None] = OrderedDict()
        self.stored_prefixes: list[str] = []
        self.removed_prefixes: list[str] = []
        self._waiting: list[tuple[int, int, str]] = []
        self._prefilling: list[tuple[int, int, str]] = []
        self._decoding: set[str] = set()
        self._admitted_gang_streams: list[Stream] = []
        self._segment: Segment | None = None
        self._last_step_end_ms: Millis = 0.0

    @property
    def next_change_ms(self) -> Millis:
        """Return when the batch changes next without a call, infinity when the engine is idle."""
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
        return sum(stream.remaining_prefill_tokens for stream in self.streams.values())

    def submit(self, stream: Stream, now_ms: Millis) -> list[Progress]:
        """Queue a stream; return what has happened by `now_ms`."""
        progress = self.advance(now_ms)
        self.streams[stream.key] = stream
        heapq.heappush(self._waiting, (*stream.sort_key, stream.key))
        self._admit()
        self._plan_segment(now_ms)
        return progress

    def cancel(self, key: str, now_ms: Millis) -> list[Progress]:
        """Remove a stream and free its memory; return what has happened by `now_ms`."""
        progress = self.advance(now_ms)
        self._remove(key)
        self._admit()
        self._plan_segment(now_ms)
        return progress

    def start_gang_member(self, key: str, now_ms: Millis) -> list[Progress]:
        """Start the prefill of a gang member; every member must be admitted."""
        progress = self.advance(now_ms)
        stream = self.streams[key]
        heapq.heappush(self._prefilling, (*stream.sort_key, key))
        self._plan_segment(now_ms)
        return progress

    def start_decode(self, key: str, now_ms: Millis) -> list[Progress]:
        """Start the decode on the lead of a gang; every member must be prefilled."""
        progress = self.advance(now_ms)
        self._decoding.add(key)
        self._plan_segment(now_ms)
        return progress

    def take_admitted_gang_streams(self) -> list[Stream]:
        """Return the streams of gangs that were admitted since the last call."""
        taken, self._admitted_gang_streams = self._admitted_gang_streams, []
        return taken

    def advance(self, now_ms: Millis) -> list[Progress]:
        """Run all steps that end by `now_ms`; return what has happened in them."""
        progress: list[Progress] = []
        while self._segment is not None:
            segment = self._segment
            is_complete = self.next_change_ms <= now_ms
            steps = segment.steps
            if not is_complete:
                steps = int((now_ms - segment.start_ms) / segment.step_ms)
            if steps <= 0:
                break
            end_ms = segment.start_ms + steps * segment.step_ms
            progress += self._apply(segment, steps, end_ms)
            self._segment = None
            self._last_step_end_ms = end_ms
            if is_complete:
                self._admit()
            self._plan_segment(end_ms)
            if not is_complete:
                break
        return progress

    def _apply(self, segment: Segment, steps: int, end_ms: Millis) -> list[Progress]:
        progress: list[Progress] = []
        for key in list(self._decoding):
            stream = self.streams[key]
            stream.remaining_output_tokens -= steps
            if stream.remaining_output_tokens <= 0:
                progress.append(Progress(end_ms, key, False))
                self._remove(key)
        budget_tokens = segment.step_prefill_tokens * steps
        for key in segment.prefilling_keys:
            stream = self.streams.get(key)
            if stream is None:
                continue
            prefilled_tokens = min(budget_tokens, stream.remaining_prefill_tokens)
            stream.remaining_prefill_tokens -= prefilled_tokens
            budget_tokens -= prefilled_tokens
            if stream.remaining_prefill_tokens == 0:
                progress.append(Progress(end_ms, key, True))
                self._finish_prefill(stream)
        return progress

    def _finish_prefill(self, stream: Stream) -> None:
        self._prefilling.remove((*stream.sort_key, stream.key))
        heapq.heapify(self._prefilling)
        self._cache_prefixes(stream.prefix)
        stream.gang.prefilled += 1
        if stream.gang.size == 1:
            # The last prefill step yields the first output token.
            stream.remaining_output_tokens -= 1
            self._decoding.add(stream.key)

    def _plan_segment(self, now_ms: Millis) -> None:
        """Plan the next segment if there is work.

        A segment in progress ends with its current step, which always runs to its end.
        """
        segment = self._segment
        if segment is not None:
            if segment.start_ms + segment.step_ms > now_ms and segment.steps > 1:
                self._segment = segment._replace(steps=1)
            return
        decode_steps = min(
            (self.streams[key].remaining_output_tokens for key in self._decoding), default=0
        )
        if not self._prefilling and not self._decoding:
            return
        prefilling_keys, step_prefill_tokens, steps = self._plan_prefill()
        if self._decoding:
            steps = max(1, min(steps, decode_steps) if prefilling_keys else decode_steps)
        settings = self.settings
        step_ms = settings.step_ms + step_prefill_tokens * settings.prefill_token_ms
        step_ms += len(self._decoding) * settings.decode_token_ms
        start_ms = max(now_ms, self._last_step_end_ms)
        self._segment = Segment(start_ms, step_ms, steps, step_prefill_tokens, prefilling_keys)

    def _plan_prefill(self) -> tuple[tuple[str, ...], int, int]:
        """Return the streams to prefill, the tokens per step, and the number of such steps."""
        if not self._prefilling:
            return (), 0, 1
        budget_tokens = self.settings.chunk_tokens
        first_key = self._prefilling[0][2]
        full_steps = self.streams[first_key].remaining_prefill_tokens // budget_tokens
        if full_steps:
            return (first_key,), budget_tokens, full_steps
        prefilling_keys: list[str] = []
        for _, _, key in sorted(self._prefilling):
            prefilling_keys.append(key)
            budget_tokens -= self.streams[key].remaining_prefill_tokens
            if budget_tokens <= 0:
                break
        return tuple(prefilling_keys), self.settings.chunk_tokens - max(0, budget_tokens), 1

    def _admit(self) -> None:
        """Grant memory in sort order; a stream that does not fit blocks those behind it."""
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
            stream.remaining_prefill_tokens = self._uncached_prompt_tokens(stream)
            stream.gang.admitted += 1
            if stream.gang.size == 1:
                heapq.heappush(self._prefilling, (*stream.sort_key, stream.key))
            else:
                self._admitted_gang_streams.append(stream)

    def _remove(self, key: str) -> None:
        stream = self.streams.pop(key, None)
        if stream is None:
            return
        if stream.is_admitted:
            self.used_tokens -= stream.memory_tokens
        self._decoding.discard(key)
        queue_entry = (*stream.sort_key, key)
        if queue_entry in self._prefilling:
            self._prefilling.remove(queue_entry)
            heapq.heapify(self._prefilling)

    def _uncached_prompt_tokens(self, stream: Stream) -> int:
        """Return the tokens to prefill beyond the longest cached prefix, at least 1."""
        for position in range(len(stream.prefix) - 1, -1, -1):
            if stream.prefix[position] in self.cached_prefixes:
                self.cached_prefixes.move_to_end(stream.prefix[position])
                return max(1, stream.remaining_prefill_tokens - prefix_tokens(position))
        return stream.remaining_prefill_tokens

    def _cache_prefixes(self, prefix: tuple[str, ...]) -> None:
        for name in prefix:
            if name not in self.cached_prefixes:
                self.stored_prefixes.append(name)
            self.cached_prefixes[name] = None
            self.cached_prefixes.move_to_end(name)
        while len(self.cached_prefixes) > self.settings.cache_prefixes:
            self.removed_prefixes.append(self.cached_prefixes.popitem(last=False)[0])
