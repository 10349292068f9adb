"""The reducer for pools: forwards target announcements, and runs the schedulers of this node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from expression import Result

from marigoldarch.control.member import Member
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.events import (
    CacheEventsArrived,
    Event,
    MessageArrived,
    TargetAnnounced,
    TargetCommandEnded,
    Tick,
)
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import (
    CacheReport,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    TargetReport,
)
from marigoldarch.pools.scheduler import PoolScheduler
from marigoldarch.targets import parse_announcement

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.settings import CoreSettings


RECOVERY_MARGIN_MS: Millis = 250.0
"""How much longer than a lease a new scheduler waits for the listings of silent entry nodes."""


@dataclass
class PoolsState:
    """The schedulers that run on this node, by pool."""

    settings: CoreSettings
    schedulers: dict[PoolId, PoolScheduler] = field(default_factory=dict)


def reduce_pools(state: PoolsState, event: Event, member: Member) -> list[Effect]:
    """Reduce one event to effects; a scheduler acts only while this node is assigned its pool."""
    match event:
        case Tick(at_ms=now_ms):
            return _on_tick(state, member, now_ms)
        case TargetAnnounced(announcement=announcement):
            return _forward(member, TargetReport(announcement.pool, _to_builtins(announcement)))
        case CacheEventsArrived() as cache_events:
            report = CacheReport(
                cache_events.pool,
                cache_events.target,
                cache_events.sequence,
                list(cache_events.stored),
                list(cache_events.removed),
            )
            return _forward(member, report)
        case MessageArrived(at_ms=now_ms, sender=sender):
            return _on_message(state, event, sender, member, now_ms)
        case TargetCommandEnded():
            return _on_command_ended(state, event, member)
    return []


def _to_builtins(announcement: object) -> dict:
    return msgspec.to_builtins(announcement)


def _forward(member: Member, report: TargetReport | CacheReport) -> list[Effect]:
    assignment = member.view.assignments.get(report.pool)
    if assignment is None:
        member.want_pool(report.pool)
        return []
    return [Send(assignment.node, report)]


def _on_message(
    state: PoolsState, event: MessageArrived, sender: str, member: Member, now_ms: Millis
) -> list[Effect]:
    match event.message:
        case (
            TargetReport() | CacheReport() | PermitRequest() | PermitReleased() | PermitsHeld()
        ) as message:
            scheduler = _find_scheduler(state, PoolId(*message.pool), member, now_ms)
        case _:
            return []
    if scheduler is None:
        return []
    match message:
        case TargetReport(announcement=announced):
            match parse_announcement(announced):
                case Result(tag="ok", ok=announcement):
                    return scheduler.report_target(announcement, now_ms)
                case _:
                    return []
        case CacheReport():
            return scheduler.report_cache(message, now_ms)
        case PermitRequest():
            return scheduler.request(sender, message, now_ms)
        case PermitReleased():
            return scheduler.release(message, now_ms)
        case PermitsHeld():
            return scheduler.update_held_permits(sender, message, now_ms)
    return []


def _on_command_ended(state: PoolsState, event: TargetCommandEnded, member: Member) -> list[Effect]:
    scheduler = state.schedulers.get(event.pool)
    if scheduler is None or not member.holds_pool(event.pool, event.at_ms):
        return []
    return scheduler.record_command_result(
        event.target, event.command_id, is_confirmed=event.is_confirmed, now_ms=event.at_ms
    )


def _find_scheduler(
    state: PoolsState, pool: PoolId, member: Member, now_ms: Millis
) -> PoolScheduler | None:
    if not member.holds_pool(pool, now_ms):
        return None
    fence = member.view.assignments[pool].fence
    scheduler = state.schedulers.get(pool)
    if scheduler is None or scheduler.fence != fence:
        wait_ms = state.settings.control.session_lease_ms + RECOVERY_MARGIN_MS
        scheduler = PoolScheduler(pool, fence, state.settings.pools, now_ms + wait_ms, now_ms)
        scheduler.set_live_nodes(frozenset(member.nodes), now_ms)
        state.schedulers[pool] = scheduler
    return scheduler


def _on_tick(state: PoolsState, member: Member, now_ms: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for pool, scheduler in list(state.schedulers.items()):
        assignment = member.view.assignments.get(pool)
        if assignment is None or assignment.fence != scheduler.fence:
            del state.schedulers[pool]
            effects.append(RecordEvent("scheduler_closed", {"pool": str(pool)}))
        elif member.holds_pool(pool, now_ms):
            scheduler.set_live_nodes(frozenset(member.nodes), now_ms)
            adapters, versions = _wanted_loads(member, pool)
            scheduler.registry.orders.set_wanted_loads(adapters, versions)
            effects += scheduler.tick(now_ms)
    return effects


def _wanted_loads(member: Member, pool: PoolId) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the adapters and versions that teams have declared for a pool's model."""
    adapters: dict[str, None] = {}
    versions: dict[str, None] = {}
    for team in member.view.teams.values():
        model = team.declaration.models.get(pool.name)
        if model is not None:
            adapters.update(dict.fromkeys(model.adapters))
            versions.update(dict.fromkeys(model.versions))
    return tuple(adapters), tuple(versions)
