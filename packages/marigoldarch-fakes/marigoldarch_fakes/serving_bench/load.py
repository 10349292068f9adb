"""Load patterns of the users' sheets: kinds of prompts, their sizes, and waves of each."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from marigoldarch.clock import Millis


class PromptKind(NamedTuple):
    """A kind of prompt; sizes are log-normal with the given mean and spread."""

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    most_tokens: int
    mean_events: float
    goal_ms: Millis
    pause_ms: Millis
    deadline_ms: Millis
    worth: float
    late_worth: float


class Arrival(NamedTuple):
    """A request of a pattern."""

    at_ms: Millis
    kind: PromptKind
    prompt_tokens: int
    answer_tokens: int


class Wave(NamedTuple):
    """From `from_s` on, each kind comes `factors` times as often."""

    from_s: float
    factors: tuple[float, ...]


TOKENS_PER_EVENT = 34

GUILD = (
    PromptKind("quiz", 16.0, 4960, 0.9, 23_800, 38.5, 300, 250, 10_000, 1.3, 0.33),
    PromptKind("roleplay", 0.895, 45_000, 0.5, 110_000, 23.1, 1500, 600, 10_000, 3.9, 0.97),
    PromptKind("binder", 0.415, 182_000, 0.55, 900_000, 19.2, 3000, 1000, 15_000, 24.0, 6.1),
)

PATTERNS: dict[str, tuple[Wave, ...]] = {
    "steady": (Wave(0, (1.0, 1.0, 1.0)),),
    "largest": (Wave(0, (0.4, 1.3, 2.9)),),
    "shortest": (Wave(0, (2.5, 0.5, 0.05)),),
    "both": (Wave(0, (2.5, 0.5, 0.05)), Wave(10, (0.31, 1.3, 2.9)), Wave(20, (2.5, 0.5, 0.05))),
    "overload": (Wave(0, (2.5, 2.0, 5.0)),),
}


def arrivals(
    pattern: tuple[Wave, ...], kinds: tuple[PromptKind, ...], seconds: float, seed: int
) -> list[Arrival]:
    """Draw the requests of a pattern, in the order of their arrival."""
    chooser = random.Random(f"load/{seed}")
    found: list[Arrival] = []
    ends = [wave.from_s for wave in pattern[1:]] + [seconds]
    for wave, end_s in zip(pattern, ends, strict=True):
        for kind, factor in zip(kinds, wave.factors, strict=True):
            at_s = wave.from_s + chooser.expovariate(kind.per_s * factor)
            while at_s < end_s:
                found.append(_draw(kind, at_s * 1000.0, chooser))
                at_s += chooser.expovariate(kind.per_s * factor)
    return sorted(found, key=lambda item: item.at_ms)


def _draw(kind: PromptKind, at_ms: Millis, chooser: random.Random) -> Arrival:
    tokens = min(_log_normal(kind.mean_tokens, kind.spread, chooser), kind.most_tokens)
    events = max(1, round(_log_normal(kind.mean_events, 0.6, chooser)))
    return Arrival(at_ms, kind, max(1, int(tokens)), events * TOKENS_PER_EVENT)


def _log_normal(mean: float, spread: float, chooser: random.Random) -> float:
    return chooser.lognormvariate(math.log(mean) - spread * spread / 2.0, spread)


def worth_of(kind: PromptKind, arrival: Arrival, *, is_late: bool) -> float:
    """Return the worth of an answer: 0.3 + 0.7 of its size against the mean, at most 4."""
    size = arrival.prompt_tokens + 10 * arrival.answer_tokens
    mean = kind.mean_tokens + 10 * kind.mean_events * TOKENS_PER_EVENT
    factor = min(4.0, 0.3 + 0.7 * size / mean)
    return (kind.late_worth if is_late else kind.worth) * factor
