"""Seeded rounds in which control hosts are removed for good during a storm of declarations.

Run `python -m marigoldarch.tests.store.replacement_rounds ROUNDS FIRST_SEED` for many rounds. The
oracle is that of `rounds`. Each loss takes a leader, and where two losses are tolerated at once, a
second one follows within a moment: another host is removed, emptied or killed.
"""

from __future__ import annotations

import random

from marigoldarch.tests.rounds_command import run_rounds
from marigoldarch.tests.store.rounds import StoreRound

MAX_SECOND_LOSS_DELAY_MS = 800.0
"""The second loss comes at most this long after the first one, before any successor has joined."""


class ReplacementRound(StoreRound):
    """A round whose faults are mainly removals of the leader."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.random = random.Random(f"replacement/{seed}")

    def _inject_fault(self) -> None:
        if self._may_lose_disk():
            self._remove_leader()
        else:
            super()._inject_fault()

    def _remove_leader(self) -> None:
        """Remove the leader, with or without a transfer of its role, and cause a second loss."""
        leader = self.cluster.leader()
        if leader is None:
            return
        if self.random.random() < 0.5:
            self.cluster.transfer_leadership(leader)
            self._advance_under_load(self.random.choice((50.0, 300.0)))
            self.faults["leader stops as planned"] += 1
        if self.tolerated_losses > 1:
            others = [name for name in self._running() if name != leader]
            self._second_loss(self.random.choice(others))
            self._advance_under_load(self.random.uniform(50.0, MAX_SECOND_LOSS_DELAY_MS))
        self.faults["leader removed"] += 1
        self._lose_disk(leader, is_replaced=True)

    def _second_loss(self, name: str) -> None:
        kind = self.random.choice(("killed", "emptied", "removed"))
        self.faults[f"another {kind}"] += 1
        match kind:
            case "killed":
                self._kill(name, self.random.uniform(500.0, 3000.0))
            case "emptied":
                self.cluster.replace_disk(name)
                self.restart_due_ms[name] = self.cluster.now_ms + 300.0
            case _:
                self.cluster.remove(name)
                self.hosts_created += 1
                self.cluster.add(f"n{self.hosts_created}")


if __name__ == "__main__":
    run_rounds(ReplacementRound, lambda store_round: len(store_round.sent_texts), "versions sent")
