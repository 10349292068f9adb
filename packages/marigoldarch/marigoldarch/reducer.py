"""The one reducer over all events of a node, composed of one reducer for each part."""

from __future__ import annotations

import random
from collections import deque

from marigoldarch.clock import Millis
from marigoldarch.control.durable import DurableState
from marigoldarch.control.reducer import ControlState, reduce_control
from marigoldarch.effects import Effect, Exit, Record, Send
from marigoldarch.entry.directory import DirectoryAnswer, answer
from marigoldarch.entry.reducer import reduce_entry
from marigoldarch.entry.state import EntryState
from marigoldarch.events import DrainRequested, Event, MessageArrived, Tick
from marigoldarch.pools.reducer import PoolsState, reduce_pools
from marigoldarch.settings import CoreSettings

DRAIN_MARGIN_MS: Millis = 1500.0
"""How long it may take until every directory leaves a leaving node out: two heartbeats and slack."""


class NodeState:
    """The whole state of one node's core."""

    def __init__(self, settings: CoreSettings, durable: DurableState | None = None) -> None:
        self.settings = settings
        self.control = ControlState(settings, durable)
        self.pools = PoolsState(settings)
        self.entry = EntryState(settings, self.control.member, self.control.proposals)
        self.drain_since_ms: Millis | None = None
        self.chooser = random.Random(settings.seed)

    @property
    def is_leaving(self) -> bool:
        """Return whether the node is on its way out."""
        return self.drain_since_ms is not None

    @property
    def active(self) -> int:
        """Return how many requests are in progress here."""
        return len(self.entry.requests)

    def is_closed(self, now_ms: Millis) -> bool:
        """Return whether no caller can still hold a directory answer that names this node."""
        if self.drain_since_ms is None:
            return False
        wait_ms = self.settings.entry.directory_ttl_ms + DRAIN_MARGIN_MS
        return now_ms >= self.drain_since_ms + wait_ms

    def ask_directory(self, data_centre: str, now_ms: Millis) -> DirectoryAnswer | None:
        """Return the addresses that a caller in `data_centre` should use.

        A node without a lease cannot know which nodes live, and answers None.
        """
        if not self.control.member.has_lease(now_ms):
            return None
        nodes = list(self.control.member.nodes.values())
        ttl_ms = self.settings.entry.directory_ttl_ms
        return answer(nodes, data_centre, ttl_ms, self.chooser)


def reduce(state: NodeState, event: Event) -> list[Effect]:
    """Apply an event to the state and return the effects for the shell.

    Messages of the node to itself are events of the same step and never leave it.
    """
    effects: list[Effect] = []
    events: deque[Event] = deque([event])
    while events:
        for effect in _reduce_one(state, events.popleft()):
            match effect:
                case Send(node=state.settings.node, message=message, after=0):
                    events.append(MessageArrived(event.at_ms, state.settings.node, message))
                case _:
                    effects.append(effect)
    return effects


def _reduce_one(state: NodeState, event: Event) -> list[Effect]:
    effects = reduce_control(state.control, event, state.active, state.is_leaving)
    effects += reduce_pools(state.pools, event, state.control.member)
    effects += reduce_entry(state.entry, event, is_closed=state.is_closed(event.at_ms))
    effects += _reduce_drain(state, event)
    return effects


def _reduce_drain(state: NodeState, event: Event) -> list[Effect]:
    match event:
        case DrainRequested(at_ms=now_ms) if not state.is_leaving:
            state.drain_since_ms = now_ms
            return [Record("drain_started")]
        case Tick(at_ms=now_ms) if state.is_closed(now_ms) and _is_idle(state):
            return [Record("drain_finished"), Exit()]
    return []


def _is_idle(state: NodeState) -> bool:
    return state.active == 0 and not state.control.proposals.pending_ids
