"""One engine by the published formula: passes of steps, prompts read in chunks between tokens."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldarch.serving.engine_formula import prefill_ms

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec


@dataclass
class Generation:
    """A request inside the engines: its prompt is read in parts, then its events are written."""

    request_id: int
    prompt_tokens: int
    answer_tokens: int
    urgency: int
    parts: int
    unread_parts: int
    written_tokens: int = 0
    preemptions: int = 0
    event_times_ms: list[Millis] = field(default_factory=list)
    is_cancelled: bool = False

    @property
    def is_done(self) -> bool:
        """Return whether the whole answer is written."""
        return self.written_tokens >= self.answer_tokens


@dataclass
class Reading:
    """A part of a prompt that one engine reads."""

    generation: Generation
    left_ms: Millis
    tokens_left: float
    is_help: bool


class ModelEngine:
    """One engine in virtual time; `pace` over 1 makes it slower by that factor."""

    def __init__(self, spec: EngineSpec) -> None:
        self._spec = spec
        self._readings: list[Reading] = []
        self._writers: list[Generation] = []
        self._queue: list[Generation] = []
        self._reading_now: list[tuple[Reading, Millis, float]] = []
        self.pace = 1.0
        self.is_down = False
        self.pass_ends_ms: Millis | None = None

    @property
    def active(self) -> int:
        """Return how many requests run or are read here, helps left out."""
        own = sum(1 for reading in self._readings if not reading.is_help)
        return own + len(self._writers)

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def memory_used(self) -> int:
        """Return how many tokens are held."""
        read = sum(item.generation.prompt_tokens for item in self._readings if not item.is_help)
        return read + sum(item.prompt_tokens + item.written_tokens for item in self._writers)

    def submit(self, generation: Generation) -> None:
        """Take a request; it waits if all slots or the memory are taken."""
        self._queue.append(generation)
        self._queue.sort(key=lambda item: item.urgency)

    def help(self, generation: Generation) -> None:
        """Read a part of another engine's prompt, ahead of older parts and of whole prompts."""
        self._readings.insert(0, self._part_of(generation, is_help=True))

    def cancel(self, generation: Generation) -> None:
        """Drop a request."""
        generation.is_cancelled = True
        self._queue = [item for item in self._queue if item is not generation]
        self._writers = [item for item in self._writers if item is not generation]
        self._readings = [item for item in self._readings if item.generation is not generation]

    def begin_pass(self, now_ms: Millis) -> Millis | None:
        """Begin the next pass; return when it ends, None when there is nothing to do."""
        self._admit()
        if not self._writers and not self._readings:
            self.pass_ends_ms = None
            return None
        spec = self._spec
        steps = spec.steps_per_pass if self._writers else 1
        tokens = float(spec.chunk_tokens * steps)
        duration_ms = steps * self._step_ms()
        self._reading_now = []
        for reading in self._readings:
            if tokens <= 0:
                break
            share = min(1.0, tokens / reading.tokens_left) if reading.tokens_left else 1.0
            self._reading_now.append(
                (reading, reading.left_ms * share, reading.tokens_left * share)
            )
            tokens -= reading.tokens_left * share
            duration_ms += reading.left_ms * share
        self.pass_ends_ms = now_ms + duration_ms * self.pace
        return self.pass_ends_ms

    def end_pass(self, now_ms: Millis) -> list[Generation]:
        """End the pass; return the generations that have written an event or were read."""
        touched = list(self._writers)
        for generation in self._writers:
            generation.written_tokens += self._spec.steps_per_pass
            generation.event_times_ms.append(now_ms)
        self._writers = [item for item in self._writers if not item.is_done]
        for reading, spent_ms, tokens in self._reading_now:
            reading.left_ms -= spent_ms
            reading.tokens_left -= tokens
            if reading.tokens_left <= 0.5 and reading in self._readings:
                self._readings.remove(reading)
                reading.generation.unread_parts -= 1
                touched.append(reading.generation)
        self._reading_now = []
        return touched

    def write(self, generation: Generation) -> None:
        """Begin to write: all parts of the prompt are read."""
        self._writers.append(generation)

    def _admit(self) -> None:
        while self._queue and self.active < self._spec.slots:
            generation = self._queue[0]
            needed = generation.prompt_tokens + generation.answer_tokens
            if self.active and self.memory_used + needed > self._spec.memory_tokens:
                return
            self._queue.pop(0)
            part = self._part_of(generation, is_help=False)
            self._readings.insert(0 if generation.parts > 1 else len(self._readings), part)

    def _part_of(self, generation: Generation, *, is_help: bool) -> Reading:
        whole_ms = prefill_ms(self._spec, generation.prompt_tokens)
        parts = generation.parts
        return Reading(generation, whole_ms / parts, generation.prompt_tokens / parts, is_help)

    def _step_ms(self) -> Millis:
        spec = self._spec
        step_ms = spec.step_ms + len(self._writers) * spec.step_ms_per_decoding_request
        for generation in self._writers:
            context = (generation.prompt_tokens + generation.written_tokens) / generation.parts
            step_ms += context / 1000.0 * spec.step_ms_per_1k_context
            if generation.parts > 1:
                step_ms += spec.helper_hop_ms
        return step_ms
