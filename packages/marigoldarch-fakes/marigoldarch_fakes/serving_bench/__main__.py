"""Compares placement policies under load patterns.

Run it with `python -m marigoldarch_fakes.serving_bench [--seeds N] [--engines N]`.
"""

from __future__ import annotations

import fire

from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.placement import PlacementWeights
from marigoldarch_fakes.serving_bench import policies
from marigoldarch_fakes.serving_bench.load import GUILD_PROMPT_KINDS, PATTERNS, generate_arrivals
from marigoldarch_fakes.serving_bench.simulation import Result, Simulation

ENGINE_SPEC = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
DURATION_S = 30.0


def compare(seeds: int = 3, engines: int = 16, patterns: str = "") -> None:
    """Print the share of the possible credit by load pattern, policy and kind of prompt."""
    names = patterns.split(",") if patterns else list(PATTERNS)
    for name in names:
        print(
            f"\n{name:12} {'share':>6} {'late':>5} {'none':>5}   "
            "share by kind (p50/p99 of the first token, ms)"
        )
        for label, make_policy in placement_policies().items():
            results = [
                Simulation(ENGINE_SPEC, engines, make_policy()).run(
                    generate_arrivals(PATTERNS[name], GUILD_PROMPT_KINDS, DURATION_S, seed)
                )
                for seed in range(seeds)
            ]
            print(format_row(label, results))


def placement_policies() -> dict[str, object]:
    """Return a factory of each policy by its name; each run needs a new policy."""
    spec, weights = ENGINE_SPEC, PlacementWeights()
    return {
        "round robin": lambda: policies.round_robin(spec),
        "outstanding": lambda: policies.least_outstanding(spec),
        "short queue": lambda: policies.shortest_queue(spec),
        "no helpers": lambda: policies.engine_placer_without_helpers(spec, weights),
        "own": lambda: policies.engine_placer(spec, weights),
    }


def format_row(label: str, results: list[Result]) -> str:
    """Return the table row of one policy."""
    share = sum(result.credit_share for result in results) / len(results)
    late = sum(result.late for result in results)
    unanswered = sum(result.unanswered for result in results)
    line = f"{label:12} {share:6.3f} {late:5} {unanswered:5}  "
    for kind in GUILD_PROMPT_KINDS:
        kind_share = sum(result.credit_share_of(kind.name) for result in results) / len(results)
        first_token_ms = sorted(
            item for result in results for item in result.first_token_ms.get(kind.name, [0.0])
        )
        median_ms, p99_ms = (
            first_token_ms[len(first_token_ms) // 2],
            first_token_ms[int(len(first_token_ms) * 0.99)],
        )
        line += f" {kind.name} {kind_share:.3f} ({median_ms:.0f}/{p99_ms:.0f})"
    return line


if __name__ == "__main__":
    fire.Fire(compare, name="serving_bench")
