"""The graceful stop of a node.

The node leaves the directory, hands over its pools, finishes its requests and only then exits.
"""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.member import Member
from marigoldarch.effects import Effect, Exit, RecordEvent
from marigoldarch.events import DrainRequested, Event, Tick
from marigoldarch.settings import EntrySettings

DIRECTORY_UPDATE_MS: Millis = 1500.0
"""Time until every directory omits a leaving node: two heartbeats and a margin."""

HANDOVER_DELAY_MS: Millis = 800.0
"""Time until the leader knows that the node leaves and assigns no pool to it any more."""

FLUSH_DELAY_MS: Millis = 300.0
"""Time given to the last messages to be sent before the process exits."""


class Drain:
    """The progress of a node's graceful stop."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._started_ms: Millis | None = None
        self._session_ended_ms: Millis | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether a graceful stop has begun."""
        return self._started_ms is not None

    def is_closed_to_calls(self, now_ms: Millis) -> bool:
        """Return whether no caller can still hold a directory answer with this node's address."""
        if self._started_ms is None:
            return False
        wait_ms = self._settings.directory_ttl_ms + DIRECTORY_UPDATE_MS
        return now_ms >= self._started_ms + wait_ms

    def reduce(self, event: Event, member: Member, *, is_idle: bool) -> list[Effect]:
        """Apply one event; `is_idle` tells that no request or ledger proposal is in progress."""
        match event:
            case DrainRequested(at_ms=now_ms) if not self.is_leaving:
                self._started_ms = now_ms
                return [RecordEvent("drain_started")]
            case Tick(at_ms=now_ms) if self.is_leaving:
                return self._on_tick(member, now_ms, is_idle)
        return []

    def _on_tick(self, member: Member, now_ms: Millis, is_idle: bool) -> list[Effect]:
        if self._session_ended_ms is not None:
            return [Exit()] if now_ms >= self._session_ended_ms + FLUSH_DELAY_MS else []
        effects = self._hand_over(member, now_ms)
        if self.is_closed_to_calls(now_ms) and is_idle:
            self._session_ended_ms = now_ms
            effects += [RecordEvent("drain_finished"), *member.leave()]
        return effects

    def _hand_over(self, member: Member, now_ms: Millis) -> list[Effect]:
        """Relinquish all pools while a node that is not leaving can take them.

        Otherwise the node keeps its pools, since its own requests still need permits.
        """
        if now_ms < self._started_ms + HANDOVER_DELAY_MS:
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
