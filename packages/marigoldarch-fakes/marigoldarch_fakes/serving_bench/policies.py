"""Placements to compare with: the usual ones, and the project's own without one of its parts."""

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


def own(spec: EngineSpec, weights: PlacementWeights) -> Policy:
    """Return the project's placement."""
    return EnginePlacer(spec, weights).place


def without_helpers(spec: EngineSpec, weights: PlacementWeights) -> Policy:
    """Return the project's placement where one engine reads each prompt."""
    placer = EnginePlacer(spec, weights._replace(per_helper=1000.0))
    return placer.place


def round_robin(spec: EngineSpec) -> Policy:
    """Return the placement that takes one engine after the other."""
    numbers = itertools.count()

    def place(job: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        chosen = candidates[next(numbers) % len(candidates)]
        return _alone(spec, job, chosen)

    return place


def least_outstanding(spec: EngineSpec) -> Policy:
    """Return the placement that takes the engine with the fewest requests."""

    def place(job: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        return _alone(spec, job, min(candidates, key=lambda item: item.load.active))

    return place


def shortest_queue(spec: EngineSpec) -> Policy:
    """Return the placement that takes the engine that has read everything first."""

    def place(job: PlacementRequest, candidates: list[Candidate], now_ms: Millis) -> Placement:
        def key(item: Candidate) -> tuple[float, int]:
            return (max(0.0, item.load.prefill_until_ms - now_ms), item.load.active)

        return _alone(spec, job, min(candidates, key=key))

    return place


def _alone(spec: EngineSpec, job: PlacementRequest, chosen: Candidate) -> Placement:
    alone_ms = prefill_ms(spec, job.prompt_tokens)
    return Placement((chosen.target,), alone_ms + decode_pass_ms(spec, 1, 0), alone_ms)
