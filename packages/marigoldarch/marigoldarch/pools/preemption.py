"""Preemption: chooses permits to withdraw for work that would otherwise miss its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.estimates import DurationEstimator
    from marigoldarch.pools.fleet import Target
    from marigoldarch.pools.permits import Permit
    from marigoldarch.pools.placement import ReservationPlan

RESTART_MARGIN = 3.0
"""The time left until a victim's deadline must be at least this multiple of its service time."""


class VictimSelector:
    """Chooses permits to withdraw: first attempts still in prefill, with time to start again.

    Those with the highest rank number, which is the least important work, go first, then the
    largest.
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations

    def choose_victims(self, plan: ReservationPlan, now_ms: Millis) -> list[Permit]:
        """Return the permits whose withdrawal frees a plan's memory on its targets.

        A target on which not enough memory can be freed contributes none.
        """
        return [
            permit
            for target in plan.targets
            for permit in self._choose_on_target(target, plan.tokens_per_target, now_ms)
        ]

    def _choose_on_target(self, target: Target, tokens: int, now_ms: Millis) -> list[Permit]:
        free = target.free_tokens
        candidates = [
            held for held in target.permits.values() if self._is_restartable(held, now_ms)
        ]
        candidates.sort(key=lambda held: (-held.item.rank, -held.tokens_per_target))
        chosen: list[Permit] = []
        for permit in candidates:
            if free >= tokens:
                break
            chosen.append(permit)
            free += permit.tokens_per_target
        return chosen if free >= tokens else []

    def _is_restartable(self, permit: Permit, now_ms: Millis) -> bool:
        item = permit.item
        if not item.model or item.attempt > 1 or permit.withdrawn_ms is not None:
            return False
        if now_ms >= permit.prefill_ends_ms:
            return False
        needed_ms = RESTART_MARGIN * self._durations.service_ms(
            item, permit.lane, len(permit.targets)
        )
        return permit.deadline_ms - now_ms >= needed_ms
