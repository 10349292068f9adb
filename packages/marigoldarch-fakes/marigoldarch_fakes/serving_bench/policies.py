"""The placement policies that are compared: `EnginePlacer`, and common ones as baselines."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from marigoldarch.serving.engine_formula import decode_pass_ms, prefill_ms
from marigoldarch.serving.placement import (
    Candidate,
    EnginePlacer,
    Placement,
    PlacementRequest,
    Saturated,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec
    from marigoldarch.serving.placement import PlacementWeights

    Policy = Callable[[PlacementRequest, list[Candidate], Millis], Placement | Saturated]


def engine_placer(spec: EngineSpec, weights: PlacementWeights) -> Policy:
    """Return the placement policy that entries use."""
    return EnginePlacer(spec, weights).place


def engine_placer_without_helpers(spec: EngineSpec, weights: PlacementWeights) -> Policy:
    """Return the policy that entries use, restricted to one engine per prompt.

    The cost of a helper is set so high that a split prefill never pays.
    """
    placer = EnginePlacer(spec, weights._replace(per_helper=1000.0))
    return placer.place


def round_robin(spec: EngineSpec) -> Policy:
    """Return the policy that uses the engines in turn."""
    placement_numbers = itertools.count()

    def place(request: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        chosen = candidates[next(placement_numbers) % len(candidates)]
        return _place_on_one_engine(spec, request, chosen)

    return place


def least_outstanding(spec: EngineSpec) -> Policy:
    """Return the policy that uses the engine with the fewest requests."""

    def place(request: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        return _place_on_one_engine(
            spec, request, min(candidates, key=lambda item: item.load.active)
        )

    return place


def shortest_queue(spec: EngineSpec) -> Policy:
    """Return the policy that uses the engine whose pending prefills end first."""

    def place(request: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        def backlog(candidate: Candidate) -> tuple[float, int]:
            return (max(0.0, candidate.load.prefill_until_ms - now_ms), candidate.load.active)

        return _place_on_one_engine(spec, request, min(candidates, key=backlog))

    return place


def _place_on_one_engine(
    spec: EngineSpec, request: PlacementRequest, chosen: Candidate
) -> Placement:
    prompt_prefill_ms = prefill_ms(spec, request.prompt_tokens)
    return Placement(
        (chosen.target,), prompt_prefill_ms + decode_pass_ms(spec, 1, 0), prompt_prefill_ms
    )
