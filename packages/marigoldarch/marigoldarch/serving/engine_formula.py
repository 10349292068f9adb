"""The published arithmetic of engines: how long reading and writing take."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec


def prefill_ms(engine: EngineSpec, tokens: int) -> Millis:
    """Return how long one engine reads a prompt of `tokens`, alone.

    Each token attends to every earlier one, so the pairs grow with half the square.
    """
    million_pairs = tokens * tokens / 2e6
    return (
        tokens / engine.prefill_tokens_per_ms
        + million_pairs * engine.prefill_ms_per_million_token_pairs
    )


def decode_pass_ms(engine: EngineSpec, writers: int, context_tokens: int) -> Millis:
    """Return the length of a pass in which `writers` requests write and none is read."""
    step_ms = engine.step_ms + writers * engine.step_ms_per_decoding_request
    step_ms += context_tokens / 1000.0 * engine.step_ms_per_1k_context
    return step_ms * engine.steps_per_pass
