"""The command that runs many seeded random test rounds and prints a summary."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


def run_rounds(
    make_round: Callable[[int], Any], count_work: Callable[[Any], int], work_name: str
) -> None:
    """Run the rounds given by the command-line arguments ROUNDS and FIRST_SEED.

    A round has `run`, which raises `AssertionError` if an invariant is violated, and `faults`, the
    counts of the faults that it injected. `count_work` returns how much a round did, in units of
    `work_name`.
    """
    round_count, first_seed = int(sys.argv[1]), int(sys.argv[2])
    faults: Counter[str] = Counter()
    failed: list[int] = []
    work = 0
    for seed in range(first_seed, first_seed + round_count):
        test_round = make_round(seed)
        try:
            test_round.run()
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
        faults.update(test_round.faults)
        work += count_work(test_round)
    print(f"{round_count} rounds, {len(failed)} failed {failed}, {work} {work_name}")
    print(f"faults: {dict(faults)}")
