"""The table and the plot of the benchmark."""

from __future__ import annotations

from collections import defaultdict
from math import log10
from typing import NamedTuple

from marigoldarch_fakes.bench.load import DEPLOYMENTS
from marigoldarch_fakes.bench.runs import RunResult

COLOURS = ("#999999", "#c49a6c", "#6c9ac4", "#55a868", "#c44e52", "#8172b2", "#222222", "#dd8452")


class ResultGroup(NamedTuple):
    """The results of one policy under one load of a deployment, with all seeds."""

    deployment: str
    policy: str
    load: float
    results: list[RunResult]

    def ttft_ms(self, length_class: str, share: float) -> float:
        """Return a percentile of the time to first token of a length class, in milliseconds."""
        return percentile([v for r in self.results for v in r.ttft_ms[length_class]], share)

    def ttft_slowdown(self, share: float) -> float:
        """Return a percentile of the slowdown of short requests until the first token."""
        return percentile([v for r in self.results for v in r.ttft_slowdowns], share)

    def answer_slowdown(self, share: float) -> float:
        """Return a percentile of the slowdown of short requests until the end of the answer."""
        return percentile([v for r in self.results for v in r.answer_slowdowns], share)

    @property
    def late(self) -> int:
        """Return how many requests passed their deadline."""
        return sum(sum(result.late.values()) for result in self.results)

    @property
    def refused(self) -> int:
        """Return how many requests were refused without having run."""
        return sum(sum(result.refused.values()) for result in self.results)

    @property
    def goodput(self) -> float:
        """Return the tokens of requests answered during the arrivals, in thousands per second."""
        tokens = sum(result.goodput_tokens for result in self.results)
        return tokens / sum(result.run.duration_ms for result in self.results)


def percentile(values: list[float], share: float) -> float:
    """Return the value that `share` of the values do not exceed (nearest rank)."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(share * 100) * len(ordered) // 100) - 1))]


def group_results(results: list[RunResult]) -> list[ResultGroup]:
    """Group results by deployment, load and policy."""
    groups: defaultdict[tuple[str, float, str], list[RunResult]] = defaultdict(list)
    for result in results:
        run = result.run
        groups[run.deployment, run.load, run.policy].append(result)
    return [ResultGroup(key[0], key[2], key[1], members) for key, members in groups.items()]


def render_table(groups: list[ResultGroup]) -> str:
    """Return the table; times are in milliseconds, goodput in thousands of tokens per second."""
    lines: list[str] = []
    for deployment in DEPLOYMENTS:
        class_names = [length_class.name for length_class in deployment.classes]
        class_headings = "".join(f"{name + ' p50/p95/p99':>25}" for name in class_names)
        title = f"{deployment.name}: {deployment.replicas} replicas; time to first token, ms"
        for load in sorted({group.load for group in groups}):
            load_groups = [g for g in groups if (g.deployment, g.load) == (deployment.name, load)]
            if not load_groups:
                continue
            lines.append(f"{title}; load {load:.0%}")
            lines.append(
                f"{'policy':<20}{class_headings}{'slowdown*':>11}{'answer*':>9}"
                f"{'late':>7}{'refused':>8}{'goodput':>9}"
            )
            lines += [_render_row(group, class_names) for group in load_groups]
            lines.append("")
    lines.append(
        "* short requests (first class) beside the same short load alone under the same policy,"
        " p95 of the pairs: first token, whole answer"
    )
    return "\n".join(lines) + "\n"


def _render_row(group: ResultGroup, class_names: list[str]) -> str:
    columns = ""
    for name in class_names:
        times = "/".join(f"{group.ttft_ms(name, share):.0f}" for share in (0.5, 0.95, 0.99))
        columns += f"{times:>25}"
    return (
        f"{group.policy:<20}{columns}"
        f"{group.ttft_slowdown(0.95):>11.2f}{group.answer_slowdown(0.95):>9.2f}"
        f"{group.late:>7}{group.refused:>8}{group.goodput:>9.1f}"
    )


def render_plot(groups: list[ResultGroup]) -> str:
    """Return an SVG plot of the p95 time to first token by load, one panel per length class."""
    panels: list[str] = []
    policies = list(dict.fromkeys(group.policy for group in groups))
    for row, deployment in enumerate(DEPLOYMENTS):
        for column, length_class in enumerate(deployment.classes):
            left, top = 70 + column * 290, 50 + row * 260
            title = f"{deployment.name} {length_class.name}"
            panels.append(f'<text x="{left}" y="{top - 8}" font-size="13">{title}</text>')
            panels.append(
                f'<rect x="{left}" y="{top}" width="230" height="200" fill="none" stroke="#bbb"/>'
            )
            panels += _render_axis(left, top)
            for number, policy in enumerate(policies):
                points = [
                    (group.load, group.ttft_ms(length_class.name, 0.95))
                    for group in groups
                    if (group.deployment, group.policy) == (deployment.name, policy)
                ]
                panels.append(_render_line(sorted(points), left, top, COLOURS[number]))
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


def _render_axis(left: int, top: int) -> list[str]:
    labels: list[str] = []
    for value_ms, label in ((100, "0.1 s"), (1_000, "1 s"), (10_000, "10 s"), (100_000, "100 s")):
        y = top + _scale_y(value_ms)
        labels.append(f'<text x="{left - 38}" y="{y:.0f}" font-size="10">{label}</text>')
    for load in (0.5, 0.8, 0.95, 1.2):
        x = left + _scale_x(load) - 10
        labels.append(f'<text x="{x:.0f}" y="{top + 213}" font-size="10">{load:.0%}</text>')
    return labels


def _render_line(points: list[tuple[float, float]], left: int, top: int, colour: str) -> str:
    path = " ".join(
        f"{left + _scale_x(load):.1f},{top + _scale_y(value):.1f}" for load, value in points
    )
    return f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.8"/>'
