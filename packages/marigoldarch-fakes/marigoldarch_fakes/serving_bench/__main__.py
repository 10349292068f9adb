"""Compare placements: `python -m marigoldarch_fakes.serving_bench [--seeds N] [--engines N]`."""

from __future__ import annotations

import fire

from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.placement import PlacementWeights
from marigoldarch_fakes.serving_bench import policies
from marigoldarch_fakes.serving_bench.load import GUILD, PATTERNS, arrivals
from marigoldarch_fakes.serving_bench.simulation import Result, Simulation

SHEET_ENGINE = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
SECONDS = 30.0


def compare(seeds: int = 3, engines: int = 16, patterns: str = "") -> None:
    """Print the credit by pattern, placement and kind."""
    names = patterns.split(",") if patterns else list(PATTERNS)
    for name in names:
        print(
            f"\n{name:12} {'share':>6} {'late':>5} {'none':>5}   by kind, and p50/p99 of the first"
        )
        for label, make in placements().items():
            results = [
                Simulation(SHEET_ENGINE, engines, make()).run(
                    arrivals(PATTERNS[name], GUILD, SECONDS, seed)
                )
                for seed in range(seeds)
            ]
            print(row(label, results))


def placements() -> dict[str, object]:
    """Return the placements by name; each run makes its own."""
    spec, weights = SHEET_ENGINE, PlacementWeights()
    return {
        "round robin": lambda: policies.round_robin(spec),
        "outstanding": lambda: policies.least_outstanding(spec),
        "short queue": lambda: policies.shortest_queue(spec),
        "no helpers": lambda: policies.without_helpers(spec, weights),
        "own": lambda: policies.own(spec, weights),
    }


def row(label: str, results: list[Result]) -> str:
    """Return the line of one placement."""
    share = sum(result.share for result in results) / len(results)
    late = sum(result.late for result in results)
    refused = sum(result.refused for result in results)
    line = f"{label:12} {share:6.3f} {late:5} {refused:5}  "
    for kind in GUILD:
        kinds = sum(result.share_of(kind.name) for result in results) / len(results)
        firsts = sorted(item for result in results for item in result.firsts.get(kind.name, [0.0]))
        middle, far = firsts[len(firsts) // 2], firsts[int(len(firsts) * 0.99)]
        line += f" {kind.name} {kinds:.3f} ({middle:.0f}/{far:.0f})"
    return line


if __name__ == "__main__":
    fire.Fire(compare, name="serving_bench")
