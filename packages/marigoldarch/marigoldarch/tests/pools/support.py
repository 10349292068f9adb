"""A scheduler with a manual clock, and builders of the messages that tests send to it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, OrderTarget, ReleaseMemory, Send
from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.messages import (
    HeldPermit,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PermitWithdrawn,
    WorkItem,
)
from marigoldarch.pools.scheduler import PoolScheduler
from marigoldarch.settings import PoolSettings
from marigoldarch.targets import Announcement

POOL = PoolId("dc1", "coach")
MEMORY_TOKENS = 100_000


def make_announcement(target: str, **fields: Any) -> Announcement:
    """Build an engine's announcement; `fields` replace its defaults."""
    default = Announcement(
        target, "i1", "engine", POOL.name, f"{target}:1", POOL.data_centre, ttl_ms=60_000.0
    )
    values = {field: getattr(default, field) for field in default.__struct_fields__}
    return Announcement(**{**values, "memory_tokens": MEMORY_TOKENS, **fields})


def make_item(request_id: str, prompt_tokens: int = 1_000, **fields: Any) -> WorkItem:
    """Build a work item for the pool's model; `fields` replace its defaults."""
    default = WorkItem(
        request_id, 1, "harbor", "guild", "quiz", 0, 1.0, prompt_tokens, 100, 600_000.0, POOL.name
    )
    return default._replace(**fields)


class SchedulerDriver:
    """A scheduler under a manual clock, with all effects that it has returned."""

    def __init__(
        self,
        fence: int = 5,
        settings: PoolSettings | None = None,
        recovery_ms: Millis = 0.0,
        start_ms: Millis = 0.0,
        **changes: Any,
    ) -> None:
        self.now_ms = start_ms
        settings = replace(
            settings or PoolSettings(queued_request_timeout_ms=float("inf")), **changes
        )
        self.scheduler = PoolScheduler(POOL, fence, settings, start_ms + recovery_ms, start_ms)
        self.effects: list[Effect] = []

    def announce(self, target: str, **fields: Any) -> list[Effect]:
        """Announce an engine, or renew its announcement."""
        announcement = make_announcement(target, **fields)
        return self._record(self.scheduler.report_target(announcement, self.now_ms))

    def request_permit(self, item: WorkItem, node: str = "n1") -> list[Effect]:
        """Request a permit."""
        request = PermitRequest(POOL, item)
        return self._record(self.scheduler.request(node, request, self.now_ms))

    def release(self, granted: PermitGranted, **fields: Any) -> list[Effect]:
        """Release a granted permit."""
        released = PermitReleased(
            POOL, granted.request_id, granted.attempt, granted.permit, **fields
        )
        return self._record(self.scheduler.release(released, self.now_ms))

    def update_held_permits(
        self, node: str, held: list[HeldPermit], epoch: int = 5, **fields: Any
    ) -> None:
        """Send an entry node's listing of its permits."""
        message = PermitsHeld(POOL, epoch, held, **fields)
        self._record(self.scheduler.update_held_permits(node, message, self.now_ms))

    def advance(self, duration_ms: Millis, step_ms: Millis = 50.0) -> list[Effect]:
        """Advance the clock in ticks; return the effects of these."""
        found: list[Effect] = []
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            found += self._record(self.scheduler.tick(self.now_ms))
        return found

    def grants(self) -> dict[str, PermitGranted]:
        """Return all grants so far, by request id."""
        messages = [effect.message for effect in self.effects if isinstance(effect, Send)]
        return {
            message.request_id: message
            for message in messages
            if isinstance(message, PermitGranted)
        }

    def refusals(self) -> dict[str, PermitRefused]:
        """Return all refusals so far, by request id."""
        messages = [effect.message for effect in self.effects if isinstance(effect, Send)]
        return {
            message.request_id: message
            for message in messages
            if isinstance(message, PermitRefused)
        }

    def withdrawals(self) -> list[PermitWithdrawn]:
        """Return all withdrawals so far."""
        messages = [effect.message for effect in self.effects if isinstance(effect, Send)]
        return [message for message in messages if isinstance(message, PermitWithdrawn)]

    def _record(self, effects: list[Effect]) -> list[Effect]:
        self.effects += effects
        return effects


def released_permits(effects: list[Effect]) -> list[PermitId]:
    """Return the permits of the memory releases among effects."""
    return [effect.permit for effect in effects if isinstance(effect, ReleaseMemory)]


def orders(effects: list[Effect]) -> list[OrderTarget]:
    """Return the orders among effects."""
    return [effect for effect in effects if isinstance(effect, OrderTarget)]
