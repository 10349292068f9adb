"""Long fuzzing runs: `python -m marigoldarch.tests.fuzz.run SEED STEPS [MACHINE]`.

A run is repeated by the same seed and number of steps; after a failure the command that repeats it
is printed.
"""

from __future__ import annotations

import sys
import time
import traceback

from hypothesis import seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from marigoldarch.tests.fuzz.crash_suspects_tests import CrashSuspectMachine
from marigoldarch.tests.fuzz.declarations_tests import DeclarationMachine
from marigoldarch.tests.fuzz.ledger_tests import LedgerMachine
from marigoldarch.tests.fuzz.log_tests import LogMachine
from marigoldarch.tests.fuzz.machine import CI_SETTINGS, STATISTICS
from marigoldarch.tests.fuzz.permits_tests import PermitMachine
from marigoldarch.tests.fuzz.target_signals_tests import TargetSignalMachine

RULES_PER_EXAMPLE = 50

MACHINES: dict[str, type[RuleBasedStateMachine]] = {
    "log": LogMachine,
    "declarations": DeclarationMachine,
    "ledger": LedgerMachine,
    "permits": PermitMachine,
    "signals": TargetSignalMachine,
    "suspects": CrashSuspectMachine,
}


def run(name: str, seed_number: int, steps: int) -> bool:
    """Run one machine for about `steps` rules; print the statistics, return whether all checks held."""
    long_settings = settings(
        CI_SETTINGS,
        derandomize=False,
        max_examples=max(1, steps // RULES_PER_EXAMPLE),
        stateful_step_count=RULES_PER_EXAMPLE,
    )
    STATISTICS.clear()
    started_s = time.monotonic()
    # Hypothesis takes the seed of a state machine from its class.
    machine = seed(seed_number)(MACHINES[name])
    is_passed = True
    try:
        run_state_machine_as_test(machine, settings=long_settings)
    except Exception:  # Any exception is a failure of the run, and is printed in full.
        is_passed = False
        traceback.print_exc()
    counts = ", ".join(f"{count} {what}" for what, count in sorted(STATISTICS.items()))
    verdict = "held" if is_passed else "BROKEN"
    print(f"{name}: {verdict} in {time.monotonic() - started_s:.0f} s; {counts}", flush=True)
    if not is_passed:
        print(f"replay: make fuzz SEED={seed_number} STEPS={steps} MACHINE={name}", flush=True)
    return is_passed


def main() -> None:
    """Run all machines, or the named ones; exit with 1 if a check failed."""
    seed_number, steps = int(sys.argv[1]), int(sys.argv[2])
    names = sys.argv[3:] or list(MACHINES)
    results = [run(name, seed_number, steps) for name in names]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
