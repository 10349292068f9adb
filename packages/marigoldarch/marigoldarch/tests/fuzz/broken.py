"""Support for showing that a predicate catches the fault it is meant for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from marigoldarch.tests.fuzz.machine import CI_SETTINGS

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from marigoldarch.tests.fuzz.machine import ClusterMachine

HUNT_SETTINGS = settings(CI_SETTINGS, max_examples=60)


def find_breach(
    machine: type[ClusterMachine], fault: AbstractContextManager, hunt: settings = HUNT_SETTINGS
) -> str:
    """Fuzz a deliberately broken variant; return the breach it was caught by, or nothing."""
    with fault:
        try:
            run_state_machine_as_test(machine, settings=hunt)
        except AssertionError as breach:
            return str(breach)
    return ""


def run_script(
    machine: type[ClusterMachine],
    fault: AbstractContextManager,
    script: Callable[[ClusterMachine], None],
    seed: int = 0,
) -> str:
    """Run one sequence of steps on a broken variant; return the breach it was caught by."""
    with fault:
        state = machine()
        state.set_up(seed=seed, drift=False)
        try:
            script(state)
            state.teardown()
        except AssertionError as breach:
            return str(breach)
    return ""
