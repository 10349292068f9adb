"""The table and the plot of the bench."""

from __future__ import annotations

from collections import defaultdict
from math import log10
from typing import NamedTuple

from marigoldarch_fakes.bench.load import DEPLOYMENTS
from marigoldarch_fakes.bench.runs import RunResult

COLOURS = ("#999999", "#c49a6c", "#6c9ac4", "#55a868", "#c44e52", "#8172b2", "#222222", "#dd8452")


class Cell(NamedTuple):
    """Results of one policy under one load, over all seeds."""

    deployment: str
    policy: str
    load: float
    results: list[RunResult]

    def ttft_ms(self, name: str, share: float) -> float:
        """Return a percentile of the time to first token of a length class."""
        return percentile([v for r in self.results for v in r.ttft_ms[name]], share)

    def ttft_ratio(self, share: float) -> float:
        """Return a percentile of the short requests' slowdown of the first token."""
        return percentile([v for r in self.results for v in r.ttft_slowdowns], share)

    def answer_ratio(self, share: float) -> float:
        """Return a percentile of the short requests' slowdown of the whole answer."""
        return percentile([v for r in self.results for v in r.answer_slowdowns], share)

    @property
    def late(self) -> int:
        """Return the requests past their deadline."""
        return sum(sum(result.late.values()) for result in self.results)

    @property
    def refused(self) -> int:
        """Return the requests refused as not run."""
        return sum(sum(result.refused.values()) for result in self.results)

    @property
    def goodput(self) -> float:
        """Return thousands of tokens a second of requests answered during the load."""
        tokens = sum(result.goodput_tokens for result in self.results)
        return tokens / sum(result.run.duration_ms for result in self.results)


def percentile(values: list[float], share: float) -> float:
    """Return the value that `share` of the values do not exceed (nearest rank)."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(share * 100) * len(ordered) // 100) - 1))]


def group(results: list[RunResult]) -> list[Cell]:
    """Group results by deployment, load and policy."""
    cells: defaultdict[tuple[str, float, str], list[RunResult]] = defaultdict(list)
    for result in results:
        run = result.run
        cells[run.deployment, run.load, run.policy].append(result)
    return [Cell(key[0], key[2], key[1], found) for key, found in cells.items()]


def write_table(cells: list[Cell]) -> str:
    """Return the text table; times in milliseconds, goodput in thousands of tokens a second."""
    lines: list[str] = []
    for deployment in DEPLOYMENTS:
        names = [item.name for item in deployment.classes]
        heads = "".join(f"{name + ' p50/p95/p99':>25}" for name in names)
        title = f"{deployment.name}: {deployment.replicas} replicas; time to first token, ms"
        for load in sorted({cell.load for cell in cells}):
            chosen = [c for c in cells if (c.deployment, c.load) == (deployment.name, load)]
            if not chosen:
                continue
            lines.append(f"{title}; load {load:.0%}")
            lines.append(
                f"{'policy':<20}{heads}{'slowdown*':>11}{'answer*':>9}"
                f"{'late':>7}{'refused':>8}{'goodput':>9}"
            )
            lines += [_write_row(cell, names) for cell in chosen]
            lines.append("")
    lines.append(
        "* short requests (first class) beside the same short load alone under the same policy,"
        " p95 of the pairs: first token, whole answer"
    )
    return "\n".join(lines) + "\n"


def _write_row(cell: Cell, names: list[str]) -> str:
    columns = ""
    for name in names:
        times = "/".join(f"{cell.ttft_ms(name, share):.0f}" for share in (0.5, 0.95, 0.99))
        columns += f"{times:>25}"
    return (
        f"{cell.policy:<20}{columns}{cell.ttft_ratio(0.95):>11.2f}{cell.answer_ratio(0.95):>9.2f}"
        f"{cell.late:>7}{cell.refused:>8}{cell.goodput:>9.1f}"
    )


def write_plot(cells: list[Cell]) -> str:
    """Return an SVG of the time to first token at p95 by load, one panel per length class."""
    panels: list[str] = []
    policies = list(dict.fromkeys(cell.policy for cell in cells))
    for row, deployment in enumerate(DEPLOYMENTS):
        for column, item in enumerate(deployment.classes):
            left, top = 70 + column * 290, 50 + row * 260
            title = f"{deployment.name} {item.name}"
            panels.append(f'<text x="{left}" y="{top - 8}" font-size="13">{title}</text>')
            panels.append(
                f'<rect x="{left}" y="{top}" width="230" height="200" fill="none" stroke="#bbb"/>'
            )
            panels += _write_axis(left, top)
            for number, policy in enumerate(policies):
                chosen = [
                    (cell.load, cell.ttft_ms(item.name, 0.95))
                    for cell in cells
                    if (cell.deployment, cell.policy) == (deployment.name, policy)
                ]
                panels.append(_write_line(sorted(chosen), left, top, COLOURS[number]))
    for number, policy in enumerate(policies):
        x = 70 + number * 160
        panels.append(f'<rect x="{x}" y="575" width="12" height="12" fill="{COLOURS[number]}"/>')
        panels.append(f'<text x="{x + 18}" y="586" font-size="12">{policy}</text>')
    body = "\n".join(panels)
    return (
        '<svg xmlns="http://www.w3.org/2000/svg" width="1260" height="610" '
        'font-family="sans-serif">\n<rect width="1260" height="610" fill="white"/>\n'
        '<text x="70" y="22" font-size="15">time to first token, p95, by load '
        f"(logarithmic)</text>\n{body}\n</svg>\n"
    )


def _scale_x(load: float) -> float:
    return (load - 0.45) / 0.8 * 230


def _scale_y(value_ms: float) -> float:
    clamped = min(max(value_ms, 100.0), 1_000_000.0)
    return 200 - (log10(clamped) - 2) / 4 * 200


def _write_axis(left: int, top: int) -> list[str]:
    marks: list[str] = []
    for value_ms, label in ((100, "0.1 s"), (1_000, "1 s"), (10_000, "10 s"), (100_000, "100 s")):
        y = top + _scale_y(value_ms)
        marks.append(f'<text x="{left - 38}" y="{y:.0f}" font-size="10">{label}</text>')
    for load in (0.5, 0.8, 0.95, 1.2):
        x = left + _scale_x(load) - 10
        marks.append(f'<text x="{x:.0f}" y="{top + 213}" font-size="10">{load:.0%}</text>')
    return marks


def _write_line(points: list[tuple[float, float]], left: int, top: int, colour: str) -> str:
    path = " ".join(
        f"{left + _scale_x(load):.1f},{top + _scale_y(value):.1f}" for load, value in points
    )
    return f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.8"/>'
