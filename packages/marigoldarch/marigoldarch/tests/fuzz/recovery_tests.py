"""The loss of a pool's scheduler while prompts run and the network loses messages.

Guards against two failures. A new scheduler released live permits when the message in which an entry
node lists them was lost. A scheduler that waited without a limit for the list of an idle entry node
never released the memory of lost permits.
"""

from __future__ import annotations

import random
import unittest

from marigoldarch.tests.fuzz.permits_tests import (
    GANG_PROMPT,
    LONG_PROMPT,
    SHORT_PROMPT,
    PermitMachine,
)

SEEDS = (0, 8, 10, 12, 22, 28, 32, 54)


def lose_scheduler(seed: int) -> None:
    """Kill the scheduler while prompts hang and the network is lossy, then check the recovery."""
    chooser = random.Random(seed)
    machine = PermitMachine()
    machine.set_up(seed=seed, drift=False)
    for number in range(3):
        machine.set_engine_mode(number, "hang", 0)
    for _ in range(3):
        prompt = chooser.choice([SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT])
        machine.send_prompts(chooser.randrange(6), prompt, 2)
    machine.advance(chooser.choice([100.0, 400.0]))
    machine.disturb_network(
        chooser.choice([0.05, 0.3]), chooser.choice([0.0, 0.2]), chooser.choice([3.0, 60.0, 900.0])
    )
    machine.kill_scheduler()
    machine.advance(3500.0)
    machine.teardown()


class LostSchedulerTests(unittest.TestCase):
    """Seeds with which a guarantee of permits was broken."""

    def test_live_permits_stay_and_lost_ones_are_released(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                lose_scheduler(seed)
