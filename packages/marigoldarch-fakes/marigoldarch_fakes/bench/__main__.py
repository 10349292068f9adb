"""Runs the benchmark, prints its table, and writes the table and a plot."""

from __future__ import annotations

from pathlib import Path

import fire

from marigoldarch_fakes.bench.load import DEPLOYMENTS
from marigoldarch_fakes.bench.report import group_results, render_plot, render_table
from marigoldarch_fakes.bench.runs import DURATION_MS, LOADS, POLICIES, SEEDS, Run, simulate_all


def run_benchmark(
    reports: str = "reports",
    seeds: int = len(SEEDS),
    duration_s: float = DURATION_MS / 1000.0,
    policies: str = "",
    loads: str = "",
) -> None:
    """Run policies under loads, both joined by `+` (such as `0.8+0.95`) and all by default.

    The table and the plot are written to the folder `reports`.
    """
    policy_names = policies.split("+") if policies else POLICIES
    load_levels = [float(text) for text in str(loads).split("+")] if loads else LOADS
    runs = [
        Run(deployment.name, policy, load, seed, duration_s * 1000.0)
        for deployment in DEPLOYMENTS
        for load in load_levels
        for policy in policy_names
        for seed in SEEDS[:seeds]
    ]
    groups = group_results(simulate_all(runs))
    table = render_table(groups)
    print(table, end="")
    folder = Path(reports)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "bench.txt").write_text(table)
    (folder / "bench.svg").write_text(render_plot(groups))


if __name__ == "__main__":
    fire.Fire(run_benchmark)
