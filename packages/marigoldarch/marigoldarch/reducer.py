"""The reducer of a node, which passes each event to the reducers of its parts."""

from __future__ import annotations

import random
from collections import deque

from marigoldarch.clock import Millis
from marigoldarch.control.durable import DurableState
from marigoldarch.control.reducer import ControlState, reduce_control
from marigoldarch.drain import Drain
from marigoldarch.effects import Effect, Send
from marigoldarch.entry.directory import DirectoryAnswer, order_addresses
from marigoldarch.entry.reducer import reduce_entry
from marigoldarch.entry.state import EntryState
from marigoldarch.events import Event, MessageArrived
from marigoldarch.pools.reducer import PoolsState, reduce_pools
from marigoldarch.settings import CoreSettings


class NodeState:
    """The state of one node's core."""

    def __init__(self, settings: CoreSettings, durable: DurableState | None = None) -> None:
        self.settings = settings
        self.control = ControlState(settings, durable)
        self.pools = PoolsState(settings)
        self.entry = EntryState(settings, self.control.member, self.control.proposals)
        self.drain = Drain(settings.entry)
        self.rng = random.Random(settings.seed)

    @property
    def is_leaving(self) -> bool:
        """Return whether the node is stopping gracefully."""
        return self.drain.is_leaving

    @property
    def active(self) -> int:
        """Return the number of requests in progress at this node."""
        return len(self.entry.requests)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress at this node and no proposal is pending."""
        return self.active == 0 and not self.control.proposals.pending_ids

    def ask_directory(self, data_centre: str, now_ms: Millis) -> DirectoryAnswer | None:
        """Return the addresses that a caller in `data_centre` should use.

        Returns None without a lease, as the node then does not know which nodes are live.
        """
        if not self.control.member.has_lease(now_ms):
            return None
        nodes = list(self.control.member.nodes.values())
        ttl_ms = self.settings.entry.directory_ttl_ms
        return order_addresses(nodes, data_centre, ttl_ms, self.rng)


def reduce(state: NodeState, event: Event) -> list[Effect]:
    """Apply an event to the state and return the effects to carry out.

    Messages of the node to itself are applied in the same call and not returned as effects.
    """
    effects: list[Effect] = []
    events: deque[Event] = deque([event])
    while events:
        for effect in _reduce_event(state, events.popleft()):
            match effect:
                case Send(node=state.settings.node, message=message, after_persist_id=0):
                    events.append(MessageArrived(event.at_ms, state.settings.node, message))
                case _:
                    effects.append(effect)
    return effects


def _reduce_event(state: NodeState, event: Event) -> list[Effect]:
    effects = reduce_control(state.control, event, state.active, state.is_leaving)
    effects += reduce_pools(state.pools, event, state.control.member)
    effects += reduce_entry(
        state.entry, event, is_closed_to_calls=state.drain.is_closed_to_calls(event.at_ms)
    )
    effects += state.drain.reduce(event, state.control.member, is_idle=state.is_idle)
    return effects
