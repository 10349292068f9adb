"""Preemption: take memory back from long work for work that would otherwise be too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.estimates import DurationEstimator
    from marigoldarch.pools.fleet import Target
    from marigoldarch.pools.permits import Permit
    from marigoldarch.pools.placement import ReservationPlan

RESTART_MARGIN = 3.0
"""How many times its own service time a victim must have left until its deadline."""


class Preemption:
    """Choose victims: first attempts in prefill, of the lowest rank, with time to start again."""

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations

    def choose(self, plan: ReservationPlan, now_ms: Millis) -> list[Permit]:
        """Return the permits whose end frees a plan's memory on its targets."""
        return [
            permit
            for target in plan.targets
            for permit in self._victims(target, plan.tokens_per_target, now_ms)
        ]

    def _victims(self, target: Target, tokens: int, now_ms: Millis) -> list[Permit]:
        free = target.free_tokens
        candidates = [held for held in target.permits.values() if self._may_restart(held, now_ms)]
        candidates.sort(key=lambda held: (-held.item.rank, -held.tokens_per_target))
        chosen: list[Permit] = []
        for permit in candidates:
            if free >= tokens:
                break
            chosen.append(permit)
            free += permit.tokens_per_target
        return chosen if free >= tokens else []

    def _may_restart(self, permit: Permit, now_ms: Millis) -> bool:
        item = permit.item
        if not item.model or item.attempt > 1 or permit.withdrawn_ms is not None:
            return False
        if now_ms >= permit.prefill_ends_ms:
            return False
        needed_ms = RESTART_MARGIN * self._durations.service_ms(
            item, permit.lane, len(permit.targets)
        )
        return permit.deadline_ms - now_ms >= needed_ms
