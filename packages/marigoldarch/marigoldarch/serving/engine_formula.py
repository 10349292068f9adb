"""The engine formula: expected prefill and decode times from the published figures of an engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec
    from marigoldarch.serving.pool_view import TargetLoad
    from marigoldarch.serving.routing import PromptSize


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


def answer_ms(engine: EngineSpec, prompt: PromptSize, load: TargetLoad) -> Millis:
    """Return the time in which a target with a load writes the longest answer to a prompt."""
    passes = math.ceil(prompt.answer_tokens / engine.steps_per_pass)
    return passes * decode_pass_ms(engine, load.active + 1, load.context_tokens + prompt.tokens)


def has_all_tokens(engine: EngineSpec, events: int, max_tokens: int) -> bool:
    """Return whether a stream has as many events as the longest answer to its request.

    Each pass of the engine makes one event, of a token for each step.
    """
    return 0 < max_tokens <= events * engine.steps_per_pass
