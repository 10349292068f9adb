"""Simulates one engine by the engine formula.

The engine works in passes. While any request decodes, a pass consists of several steps; each step
decodes one token per stream and prefills a chunk of the pending prompts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldarch.serving.engine_formula import prefill_ms

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec


@dataclass
class Generation:
    """A request on its engines: its prompt is prefilled in parts, then its answer is decoded.

    `lane` is 0 for short, 1 for medium and 2 for long prompts; lower lanes are admitted first.
    """

    request_id: int
    prompt_tokens: int
    answer_tokens: int
    lane: int
    prefill_parts: int
    pending_prefill_parts: int
    decoded_tokens: int = 0
    preemptions: int = 0
    event_times_ms: list[Millis] = field(default_factory=list)
    is_cancelled: bool = False

    @property
    def is_done(self) -> bool:
        """Return whether the whole answer is decoded."""
        return self.decoded_tokens >= self.answer_tokens


@dataclass
class PrefillPart:
    """The part of a prompt that one engine prefills.

    `is_helper_part` tells that the request is decoded by another engine.
    """

    generation: Generation
    remaining_ms: Millis
    remaining_tokens: float
    is_helper_part: bool


class FormulaEngine:
    """One engine in virtual time.

    Its passes take `slowdown` times as long as by the engine formula. `pass_ends_ms` is the end of
    the pass in progress, None while the engine is idle. `is_down` has no effect.
    """

    def __init__(self, spec: EngineSpec) -> None:
        self._spec = spec
        self._prefills: list[PrefillPart] = []
        self._decoding: list[Generation] = []
        self._queue: list[Generation] = []
        self._pass_prefills: list[tuple[PrefillPart, Millis, float]] = []
        self.slowdown = 1.0
        self.is_down = False
        self.pass_ends_ms: Millis | None = None

    @property
    def active(self) -> int:
        """Return how many requests hold a slot here; parts prefilled as a helper hold none."""
        own_prefills = sum(1 for part in self._prefills if not part.is_helper_part)
        return own_prefills + len(self._decoding)

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def used_tokens(self) -> int:
        """Return how many tokens of its own requests the engine holds in memory."""
        prefilling = sum(
            part.generation.prompt_tokens for part in self._prefills if not part.is_helper_part
        )
        return prefilling + sum(item.prompt_tokens + item.decoded_tokens for item in self._decoding)

    @property
    def generations(self) -> list[Generation]:
        """Return the requests that wait or run here, also those of which it prefills a part."""
        prefilled = [part.generation for part in self._prefills]
        return [*self._queue, *prefilled, *self._decoding]

    def submit(self, generation: Generation) -> None:
        """Queue a request, which waits until a slot and enough memory are free."""
        self._queue.append(generation)
        self._queue.sort(key=lambda item: item.lane)

    def submit_helper_part(self, generation: Generation) -> None:
        """Prefill a part of another engine's prompt, before older parts and whole prompts."""
        self._prefills.insert(0, self._make_prefill_part(generation, is_helper_part=True))

    def cancel(self, generation: Generation) -> None:
        """Remove a request, whether it is queued, prefilled or decoded."""
        generation.is_cancelled = True
        self._queue = [item for item in self._queue if item is not generation]
        self._decoding = [item for item in self._decoding if item is not generation]
        self._prefills = [item for item in self._prefills if item.generation is not generation]

    def begin_pass(self, now_ms: Millis) -> Millis | None:
        """Begin the next pass; return the instant of its end, None when there is nothing to do."""
        self._admit()
        if not self._decoding and not self._prefills:
            self.pass_ends_ms = None
            return None
        spec = self._spec
        step_count = spec.steps_per_pass if self._decoding else 1
        budget_tokens = float(spec.chunk_tokens * step_count)
        duration_ms = step_count * self._step_ms()
        self._pass_prefills = []
        for part in self._prefills:
            if budget_tokens <= 0:
                break
            fraction = (
                min(1.0, budget_tokens / part.remaining_tokens) if part.remaining_tokens else 1.0
            )
            self._pass_prefills.append(
                (part, part.remaining_ms * fraction, part.remaining_tokens * fraction)
            )
            budget_tokens -= part.remaining_tokens * fraction
            duration_ms += part.remaining_ms * fraction
        self.pass_ends_ms = now_ms + duration_ms * self.slowdown
        return self.pass_ends_ms

    def end_pass(self, now_ms: Millis) -> list[Generation]:
        """End the pass; return the generations that sent an event or whose part was prefilled."""
        progressed = list(self._decoding)
        for generation in self._decoding:
            generation.decoded_tokens += self._spec.steps_per_pass
            generation.event_times_ms.append(now_ms)
        self._decoding = [item for item in self._decoding if not item.is_done]
        for part, spent_ms, tokens in self._pass_prefills:
            part.remaining_ms -= spent_ms
            part.remaining_tokens -= tokens
            if part.remaining_tokens <= 0.5 and part in self._prefills:
                self._prefills.remove(part)
                part.generation.pending_prefill_parts -= 1
                progressed.append(part.generation)
        self._pass_prefills = []
        return progressed

    def start_decode(self, generation: Generation) -> None:
        """Begin to decode a request of which all parts are prefilled."""
        self._decoding.append(generation)

    def _admit(self) -> None:
        """Give slots to queued requests in order; one that lacks memory blocks those behind it.

        A request that needs more memory than the engine has is admitted when it is alone.
        """
        while self._queue and self.active < self._spec.slots:
            generation = self._queue[0]
            needed_tokens = generation.prompt_tokens + generation.answer_tokens
            if self.active and self.used_tokens + needed_tokens > self._spec.memory_tokens:
                return
            self._queue.pop(0)
            part = self._make_prefill_part(generation, is_helper_part=False)
            self._prefills.insert(0 if generation.prefill_parts > 1 else len(self._prefills), part)

    def _make_prefill_part(self, generation: Generation, *, is_helper_part: bool) -> PrefillPart:
        prompt_prefill_ms = prefill_ms(self._spec, generation.prompt_tokens)
        part_count = generation.prefill_parts
        return PrefillPart(
            generation,
            prompt_prefill_ms / part_count,
            generation.prompt_tokens / part_count,
            is_helper_part,
        )

    def _step_ms(self) -> Millis:
        spec = self._spec
        step_ms = spec.step_ms + len(self._decoding) * spec.step_ms_per_decoding_request
        for generation in self._decoding:
            context_tokens = (
                generation.prompt_tokens + generation.decoded_tokens
            ) / generation.prefill_parts
            step_ms += context_tokens / 1000.0 * spec.step_ms_per_1k_context
            if generation.prefill_parts > 1:
                step_ms += spec.helper_hop_ms
        return step_ms
