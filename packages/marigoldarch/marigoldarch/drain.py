"""The graceful stop of a node: leave the directory, hand pools over, finish, and only then exit."""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.member import Member
from marigoldarch.effects import Effect, Exit, RecordEvent
from marigoldarch.events import DrainRequested, Event, Tick
from marigoldarch.settings import EntrySettings

DIRECTORY_MARGIN_MS: Millis = 1500.0
"""How long it may take until every directory leaves a leaving node out: two heartbeats and slack."""

HANDOVER_DELAY_MS: Millis = 800.0
"""How long the leader may take to learn that the node leaves; it then assigns no pool to it."""

FLUSH_MS: Millis = 300.0
"""How long the last messages are given to leave the node."""


class Drain:
    """How far a node's graceful stop has come."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._since_ms: Millis | None = None
        self._left_ms: Millis | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the node is on its way out."""
        return self._since_ms is not None

    def is_closed_to_calls(self, now_ms: Millis) -> bool:
        """Return whether no caller can still hold a directory answer that names this node."""
        if self._since_ms is None:
            return False
        wait_ms = self._settings.directory_ttl_ms + DIRECTORY_MARGIN_MS
        return now_ms >= self._since_ms + wait_ms

    def reduce(self, event: Event, member: Member, *, is_idle: bool) -> list[Effect]:
        """Reduce one event; `is_idle` tells that nothing is in progress at the node."""
        match event:
            case DrainRequested(at_ms=now_ms) if not self.is_leaving:
                self._since_ms = now_ms
                return [RecordEvent("drain_started")]
            case Tick(at_ms=now_ms) if self.is_leaving:
                return self._on_tick(member, now_ms, is_idle)
        return []

    def _on_tick(self, member: Member, now_ms: Millis, is_idle: bool) -> list[Effect]:
        if self._left_ms is not None:
            return [Exit()] if now_ms >= self._left_ms + FLUSH_MS else []
        effects = self._hand_over(member, now_ms)
        if self.is_closed_to_calls(now_ms) and is_idle:
            self._left_ms = now_ms
            effects += [RecordEvent("drain_finished"), *member.leave()]
        return effects

    def _hand_over(self, member: Member, now_ms: Millis) -> list[Effect]:
        """Give pools up while another node stays that can take them.

        The last node keeps its pools, since its own requests still need permits.
        """
        if now_ms < self._since_ms + HANDOVER_DELAY_MS:
            return []
        if all(load.is_leaving for load in member.nodes.values()):
            return []
        effects: list[Effect] = []
        for pool in member.held_pools():
            effects += [
                RecordEvent("pool_relinquished", {"pool": str(pool)}),
                *member.relinquish(pool),
            ]
        return effects
