"""Compares what entries share of their requests, from few entries to many.

Run it with `python -m marigoldarch_fakes.serving_bench.sharing [--seeds N] [--largest N]`. Messages
are those of reports and summaries, without repeated whole reports.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import fire

from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.placement import EnginePlacer, PlacementWeights
from marigoldarch_fakes.serving_bench.layout import Layout, Sharing, Shift
from marigoldarch_fakes.serving_bench.load import PATTERNS, PromptKind, generate_arrivals
from marigoldarch_fakes.serving_bench.simulation import Result, Simulation

ENGINE_SPEC = EngineSpec(10, 405_000, 1.31, 0.000917, 0.00213, 154.0, 0.162, 2048, 53, 0.1)
DURATION_S = 20.0
KINDS_ENGINES = 135
"""The number of engines for which the rates of `LARGE_PROMPT_KINDS` are given."""

LARGE_PROMPT_KINDS = (
    PromptKind("quiz", 92.0, 4960, 0.9, 23_800, 26.1, 400, 300, 10_000, 1.3, 0.34),
    PromptKind("roleplay", 7.5, 45_000, 0.5, 110_000, 15.6, 1500, 800, 10_000, 2.9, 0.72),
    PromptKind("binder", 1.88, 260_000, 0.55, 900_000, 13.0, 4000, 1200, 15_000, 30.0, 7.6),
)


class Size(NamedTuple):
    """An installation: its data centres, entries and engines."""

    data_centres: int
    entries: int
    engines: int


SIZES = (Size(3, 9, 16), Size(3, 72, 54), Size(5, 195, 135), Size(10, 520, 400))
SHIFT = Shift(5000.0, 15_000.0, 0.5)


def compare(seeds: int = 2, largest: int = 520) -> None:
    """Print the share of the possible credit and the messages by size, pattern and sharing."""
    print(
        f"{'entries':>7} {'engines':>7} {'pattern':9} {'sharing':17} {'share':>6} {'largest':>7} "
        f"{'sent/s':>8} {'left/s':>7} {'each/s':>7} {'run s':>6}"
    )
    for size in SIZES:
        for pattern in ("steady", "largest", "shifted", "overload"):
            for sharing in Sharing:
                # Beyond 200 entries a run with everything shared takes too long.
                if size.entries > largest or (size.entries > 200 and sharing is Sharing.EVERYTHING):
                    continue
                print(_row(size, pattern, sharing, seeds), flush=True)


def _row(size: Size, pattern: str, sharing: Sharing, seeds: int) -> str:
    started_s = time.monotonic()
    shift = SHIFT if pattern == "shifted" else None
    layout = Layout(size.data_centres, size.entries, sharing, shift)
    phases = PATTERNS["steady" if shift else pattern]
    factor = size.engines / KINDS_ENGINES
    kinds = tuple(
        kind._replace(requests_per_s=kind.requests_per_s * factor) for kind in LARGE_PROMPT_KINDS
    )
    results: list[Result] = []
    sent = left = 0
    for seed in range(seeds):
        placer = EnginePlacer(ENGINE_SPEC, PlacementWeights())
        simulation = Simulation(
            ENGINE_SPEC, size.engines, placer.place, layout=layout, placer=placer
        )
        results.append(simulation.run(generate_arrivals(phases, kinds, DURATION_S, seed)))
        sent += simulation.messages.sent
        left += simulation.messages.sent_elsewhere
    share = sum(result.credit_share for result in results) / seeds
    largest = sum(result.credit_share_of("binder") for result in results) / seeds
    seconds = seeds * DURATION_S
    return (
        f"{size.entries:7} {size.engines:7} {pattern:9} {sharing:17} {share:6.3f} {largest:7.3f} "
        f"{sent / seconds:8.0f} {left / seconds:7.0f} {sent / seconds / size.entries:7.1f} "
        f"{time.monotonic() - started_s:6.1f}"
    )


if __name__ == "__main__":
    fire.Fire(compare, name="sharing")
