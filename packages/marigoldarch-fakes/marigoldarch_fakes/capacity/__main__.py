"""Measure the slopes of single reducers and codecs, and the role costs that follow from them.

Everything runs in this process; whole installations are measured on the infrastructure's bench.

`python -m marigoldarch_fakes.capacity [--write=docs/CAPACITY.md]`
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import fire

from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import CONTROL
from marigoldarch_fakes.capacity.limits import LIMITS
from marigoldarch_fakes.capacity.roles import ROLE_TABLE_HEADER, compute_role_costs
from marigoldarch_fakes.capacity.serving import SERVING
from marigoldarch_fakes.capacity.slopes import SLOPE_TABLE_HEADER

BEGIN_MARKER = "<!-- measured: begin -->"
END_MARKER = "<!-- measured: end -->"


def measured_lines() -> Iterator[str]:
    """Run all measurements; yield the Markdown lines of the page's measured section."""
    slopes = [item.run() for item in (*CONTROL, *SERVING, *LIMITS)]
    yield "### Slopes"
    yield ""
    yield from SLOPE_TABLE_HEADER
    yield from (slope.to_row() for slope in slopes)
    yield ""
    yield "### Roles at the target size"
    yield ""
    yield from ROLE_TABLE_HEADER
    yield from (role.to_row() for role in compute_role_costs(slopes))
    yield ""
    yield (
        f"Budget of a node: {sizes.BUDGET_BYTES_PER_S:,} bytes/s, "
        f"{sizes.BUDGET_CPU_MS_PER_S:g} ms/s, {sizes.BUDGET_MEMORY_BYTES:,} bytes."
    )


def replace_measured_section(page: str, lines: list[str]) -> str:
    """Return the page with the section between `BEGIN_MARKER` and `END_MARKER` replaced."""
    before, _, rest = page.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return "\n".join([before + BEGIN_MARKER, "", *lines, "", END_MARKER]) + after


def main(write: str = "") -> None:
    """Print the measured section; with `--write` also replace it in that page."""
    lines: list[str] = []
    for line in measured_lines():
        print(line, flush=True)
        lines.append(line)
    if write:
        path = Path(write)
        path.write_text(replace_measured_section(path.read_text(), lines))


if __name__ == "__main__":
    fire.Fire(main)
