"""Run the stateful machines long: `python -m marigoldarch.tests.fuzz.run SEED STEPS [MACHINE]`.

The same seed and number of steps repeat a run, so a failure is replayed by the printed command.
"""

from __future__ import annotations

import sys
import time
import traceback

from hypothesis import seed, settings
from hypothesis.stateful import run_state_machine_as_test

from marigoldarch.tests.fuzz.declarations_tests import DeclarationMachine
from marigoldarch.tests.fuzz.ledger_tests import LedgerMachine
from marigoldarch.tests.fuzz.log_tests import LogMachine
from marigoldarch.tests.fuzz.machine import CI_SETTINGS, STATISTICS, ClusterMachine
from marigoldarch.tests.fuzz.permits_tests import PermitMachine

RULES_PER_EXAMPLE = 50

MACHINES: dict[str, type[ClusterMachine]] = {
    "log": LogMachine,
    "declarations": DeclarationMachine,
    "ledger": LedgerMachine,
    "permits": PermitMachine,
}


def run(name: str, seed_number: int, steps: int) -> bool:
    """Run one machine for about `steps` rules; print what was seen, return whether it held."""
    long_settings = settings(
        CI_SETTINGS,
        derandomize=False,
        max_examples=max(1, steps // RULES_PER_EXAMPLE),
        stateful_step_count=RULES_PER_EXAMPLE,
    )
    STATISTICS.clear()
    started_s = time.monotonic()
    # The seed is set on the class, as Hypothesis runs the machine as one test.
    machine = seed(seed_number)(MACHINES[name])
    held = True
    try:
        run_state_machine_as_test(machine, settings=long_settings)
    except Exception:  # Whatever was raised is the finding, and is printed whole.
        held = False
        traceback.print_exc()
    seen = ", ".join(f"{count} {what}" for what, count in sorted(STATISTICS.items()))
    verdict = "held" if held else "BROKEN"
    print(f"{name}: {verdict} in {time.monotonic() - started_s:.0f} s; {seen}", flush=True)
    if not held:
        print(f"replay: make fuzz SEED={seed_number} STEPS={steps} MACHINE={name}", flush=True)
    return held


def main() -> None:
    """Run all machines, or the named one; exit 1 when one does not hold."""
    seed_number, steps = int(sys.argv[1]), int(sys.argv[2])
    names = sys.argv[3:] or list(MACHINES)
    results = [run(name, seed_number, steps) for name in names]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
