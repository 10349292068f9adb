"""Helpers for tests that inject a fault into the code and expect a check to fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from marigoldarch.tests.fuzz.machine import CI_SETTINGS

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from marigoldarch.tests.fuzz.machine import ClusterMachine

SEARCH_SETTINGS = settings(CI_SETTINGS, max_examples=60)


def find_violation(
    machine_class: type[ClusterMachine],
    fault: AbstractContextManager,
    search_settings: settings = SEARCH_SETTINGS,
) -> str:
    """Fuzz the code with a fault injected; return the text of the failed check, or ""."""
    with fault:
        try:
            run_state_machine_as_test(machine_class, settings=search_settings)
        except AssertionError as violation:
            return str(violation)
    return ""


def run_script(
    machine_class: type[ClusterMachine],
    fault: AbstractContextManager,
    script: Callable[[ClusterMachine], None],
    seed: int = 0,
) -> str:
    """Run a fixed sequence of steps with a fault injected; return the failed check, or ""."""
    with fault:
        machine = machine_class()
        machine.set_up(seed=seed, drift=False)
        try:
            script(machine)
            machine.teardown()
        except AssertionError as violation:
            return str(violation)
    return ""
