"""The command that plays many seeded rounds and prints what they did."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


def run_rounds(make: Callable[[int], Any], count_work: Callable[[Any], int], what: str) -> None:
    """Play the rounds that the arguments ROUNDS and FIRST_SEED name.

    A round has `run`, which raises `AssertionError` when its oracle is contradicted, and `faults`.
    """
    count, first_seed = int(sys.argv[1]), int(sys.argv[2])
    faults: Counter[str] = Counter()
    failed: list[int] = []
    work = 0
    for seed in range(first_seed, first_seed + count):
        item = make(seed)
        try:
            item.run()
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
        faults.update(item.faults)
        work += count_work(item)
    print(f"{count} rounds, {len(failed)} failed {failed}, {work} {what}")
    print(f"faults: {dict(faults)}")
