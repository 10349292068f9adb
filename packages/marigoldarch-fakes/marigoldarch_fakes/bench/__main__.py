"""Run the bench: print the table, and write it with a plot."""

from __future__ import annotations

from pathlib import Path

import fire

from marigoldarch_fakes.bench.load import DEPLOYMENTS
from marigoldarch_fakes.bench.report import group, write_plot, write_table
from marigoldarch_fakes.bench.runs import DURATION_MS, LOADS, POLICIES, SEEDS, Run, perform_all


def bench(
    reports: str = "reports",
    seeds: int = len(SEEDS),
    duration_s: float = DURATION_MS / 1000.0,
    policies: str = "",
    loads: str = "",
) -> None:
    """Run policies (names joined by `+`, all by default) under loads (such as `0.8+0.95`)."""
    chosen = policies.split("+") if policies else POLICIES
    levels = [float(text) for text in str(loads).split("+")] if loads else LOADS
    runs = [
        Run(deployment.name, policy, load, seed, duration_s * 1000.0)
        for deployment in DEPLOYMENTS
        for load in levels
        for policy in chosen
        for seed in SEEDS[:seeds]
    ]
    cells = group(perform_all(runs))
    table = write_table(cells)
    print(table, end="")
    folder = Path(reports)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "bench.txt").write_text(table)
    (folder / "bench.svg").write_text(write_plot(cells))


if __name__ == "__main__":
    fire.Fire(bench)
