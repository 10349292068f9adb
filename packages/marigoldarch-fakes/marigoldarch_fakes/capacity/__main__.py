"""Print the slopes again, and optionally write them into the capacity page.

`python -m marigoldarch_fakes.capacity [--write=docs/CAPACITY.md]`
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import fire

from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import CONTROL
from marigoldarch_fakes.capacity.limits import LIMITS
from marigoldarch_fakes.capacity.processes import bare_server, process_slopes
from marigoldarch_fakes.capacity.roles import ROLE_HEAD, work_out
from marigoldarch_fakes.capacity.serving import SERVING
from marigoldarch_fakes.capacity.slopes import TABLE_HEAD, format_cost

BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"


def measured_lines() -> Iterator[str]:
    """Measure everything; yield the lines of the page's measured part."""
    slopes = [item.run() for item in (*CONTROL, *SERVING, *LIMITS)]
    slopes += process_slopes()
    yield "### Slopes"
    yield ""
    yield from TABLE_HEAD
    yield from (slope.to_row() for slope in slopes)
    yield ""
    bare = bare_server()
    yield (
        f"A bare server of the same libraries: {format_cost(bare.resident_bytes)} bytes resident, "
        f"{bare.cpu_ms_per_s:.1f} ms of processor time a second."
    )
    yield ""
    yield "### Roles at the target size"
    yield ""
    yield from ROLE_HEAD
    yield from (role.to_row() for role in work_out(slopes))
    yield ""
    yield (
        f"Budget of a node: {sizes.BUDGET_BYTES_PER_S:,} bytes/s, "
        f"{sizes.BUDGET_CPU_MS_PER_S:g} ms/s, {sizes.BUDGET_MEMORY_BYTES:,} bytes."
    )


def replace_measured(page: str, lines: list[str]) -> str:
    """Return the page with the part between its two marks replaced."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return "\n".join([head + BEGIN, "", *lines, "", END]) + tail


def main(write: str = "") -> None:
    """Print the measured part; with --write also put it into a page."""
    lines: list[str] = []
    for line in measured_lines():
        print(line, flush=True)
        lines.append(line)
    if write:
        path = Path(write)
        path.write_text(replace_measured(path.read_text(), lines))


if __name__ == "__main__":
    fire.Fire(main)
