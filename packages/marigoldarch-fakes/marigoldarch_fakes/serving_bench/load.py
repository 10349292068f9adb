"""Load patterns: kinds of prompts with sizes and goals, and phases that change their rates."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from marigoldarch.clock import Millis


class PromptKind(NamedTuple):
    """Prompts of similar size and with the same goals, which arrive `requests_per_s` on average.

    Prompt sizes are log-normal with mean `mean_tokens` and shape `sigma`, at most `max_tokens`. An
    answer earns `credit` if its first token comes within `goal_ms` and no pause between events
    exceeds `pause_goal_ms`, and `late_credit` otherwise; it earns nothing if its first token comes
    after `deadline_ms`. Both credits are those of an answer of mean size.
    """

    name: str
    requests_per_s: float
    mean_tokens: float
    sigma: float
    max_tokens: int
    mean_answer_events: float
    goal_ms: Millis
    pause_goal_ms: Millis
    deadline_ms: Millis
    credit: float
    late_credit: float
    rank: int = 0


class Arrival(NamedTuple):
    """A request of a load pattern, with the instant at which it arrives."""

    at_ms: Millis
    kind: PromptKind
    prompt_tokens: int
    answer_tokens: int
    customer: str = ""


class Phase(NamedTuple):
    """From `start_s` on, the rate of each kind is multiplied by its factor.

    `rate_factors` has the order of the kinds.
    """

    start_s: float
    rate_factors: tuple[float, ...]


TOKENS_PER_EVENT = 34
"""The decode steps of one pass of the engine: a stream sends one event per pass."""

GUILD_PROMPT_KINDS = (
    PromptKind("quiz", 16.0, 4960, 0.9, 23_800, 38.5, 300, 250, 10_000, 1.3, 0.33),
    PromptKind("roleplay", 0.895, 45_000, 0.5, 110_000, 23.1, 1500, 600, 10_000, 3.9, 0.97),
    PromptKind("binder", 0.415, 182_000, 0.55, 900_000, 19.2, 3000, 1000, 15_000, 24.0, 6.1),
)

PATTERNS: dict[str, tuple[Phase, ...]] = {
    "steady": (Phase(0, (1.0, 1.0, 1.0)),),
    "largest": (Phase(0, (0.4, 1.3, 2.9)),),
    "shortest": (Phase(0, (2.5, 0.5, 0.05)),),
    "both": (Phase(0, (2.5, 0.5, 0.05)), Phase(10, (0.31, 1.3, 2.9)), Phase(20, (2.5, 0.5, 0.05))),
    "overload": (Phase(0, (2.5, 2.0, 5.0)),),
}
"""The phases of each load pattern.

- `steady`: every kind at its own rate.
- `largest`: more long prompts and fewer short ones.
- `shortest`: more short prompts and hardly any long ones.
- `both`: a burst of short prompts, then one of long prompts, then one of short prompts.
- `overload`: every kind at 2 to 5 times its own rate.
"""


def generate_arrivals(
    pattern: tuple[Phase, ...], kinds: tuple[PromptKind, ...], duration_s: float, seed: int
) -> list[Arrival]:
    """Generate the requests of a pattern, sorted by arrival; arrivals are a Poisson process."""
    rng = random.Random(f"load/{seed}")
    arrivals: list[Arrival] = []
    phase_ends_s = [phase.start_s for phase in pattern[1:]] + [duration_s]
    for phase, end_s in zip(pattern, phase_ends_s, strict=True):
        for kind, factor in zip(kinds, phase.rate_factors, strict=True):
            at_s = phase.start_s + rng.expovariate(kind.requests_per_s * factor)
            while at_s < end_s:
                arrivals.append(_draw_arrival(kind, at_s * 1000.0, rng))
                at_s += rng.expovariate(kind.requests_per_s * factor)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _draw_arrival(kind: PromptKind, at_ms: Millis, rng: random.Random) -> Arrival:
    prompt_tokens = min(_log_normal(kind.mean_tokens, kind.sigma, rng), kind.max_tokens)
    answer_events = max(1, round(_log_normal(kind.mean_answer_events, 0.6, rng)))
    return Arrival(at_ms, kind, max(1, int(prompt_tokens)), answer_events * TOKENS_PER_EVENT)


def _log_normal(mean: float, sigma: float, rng: random.Random) -> float:
    """Draw from the log-normal distribution with this mean, not this median."""
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)


def credit_for(kind: PromptKind, arrival: Arrival, *, is_late: bool) -> float:
    """Return the credit for an answer.

    The credit of the kind is multiplied by `0.3 + 0.7 * size / mean size`, at most 4. In a size, an
    answer token counts as ten prompt tokens.
    """
    size = arrival.prompt_tokens + 10 * arrival.answer_tokens
    mean_size = kind.mean_tokens + 10 * kind.mean_answer_events * TOKENS_PER_EVENT
    factor = min(4.0, 0.3 + 0.7 * size / mean_size)
    return (kind.late_credit if is_late else kind.credit) * factor
