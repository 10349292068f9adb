"""The engine formula: expected prefill and decode times from the published figures of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec


def prefill_ms(engine: EngineSpec, tokens: int) -> Millis:
    """Return the time in which one engine prefills a prompt of `tokens` if it does nothing else.

    Each token attends to every earlier one, so the number of token pairs grows
    with half the square of the tokens.
    """
    million_pairs = tokens * tokens / 2e6
    return (
        tokens / engine.prefill_tokens_per_ms
        + million_pairs * engine.prefill_ms_per_million_token_pairs
    )


def decode_pass_ms(engine: EngineSpec, decoding_requests: int, context_tokens: int) -> Millis:
    """Return the duration of a pass that decodes this many requests and prefills nothing."""
    step_ms = engine.step_ms + decoding_requests * engine.step_ms_per_decoding_request
    step_ms += context_tokens / 1000.0 * engine.step_ms_per_1k_context
    return step_ms * engine.steps_per_pass


def has_all_tokens(engine: EngineSpec, events: int, max_tokens: int) -> bool:
    """Return whether a stream has as many events as the longest answer to its request.

    Each pass of the engine makes one event, of a token for each step.
    """
    return 0 < max_tokens <= events * engine.steps_per_pass
