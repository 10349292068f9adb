"""The connections of an entry to targets: over its own links, or through another entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.tunnel_messages import TunnelOutcome
from marigoldarch_node.serving.link_checks import RECENTLY_HEARD_MS, LinkChecks, LinkVerdict
from marigoldarch_node.serving.target_connections import UnreachableError
from marigoldarch_node.serving.tunnel_client import TARGET_NOT_REACHED, TunnelClient
from marigoldarch_node.serving.tunnels import TunnelError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from marigoldarch.clock import Millis
    from marigoldarch.serving.report_recipients import EntryNode
    from marigoldarch.serving.targets import Target, TargetStart
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.sockets import Connection
    from marigoldarch_node.serving.target_connections import (
        ResponseHead,
        TargetConnection,
        TargetConnectionPool,
    )


class TargetPaths:
    """Opens and keeps the connections of an entry to its targets.

    While `run` is not running, or no other entry is known, all connections use the own links.
    """

    def __init__(
        self, state: EntryState, dialect: Dialect, connections: TargetConnectionPool
    ) -> None:
        self._state = state
        self._connections = connections
        self._tunnels = TunnelClient(state, connections)
        self._checks = LinkChecks(state, dialect, connections, self._tunnels)
        self._nursery: trio.Nursery | None = None
        state.candidates.find_unreachable = self._find_unreachable

    @property
    def is_isolated(self) -> bool:
        """Return whether the entry reaches no target over its own links."""
        return self._checks.is_isolated

    @property
    def silence_ms(self) -> Millis:
        """Return for how long no target has answered over an own link."""
        return self._checks.silence_ms

    @property
    def tunnels_in_use(self) -> int:
        """Return how many tunnels through other entries carry a request."""
        return self._tunnels.in_use

    def set_entries(self, entries: Collection[EntryNode]) -> None:
        """Set the other entries that are known, which may carry requests for this one."""
        self._tunnels.set_entries(entries)

    def name_neighbours(self) -> list[str]:
        """Return some other entries of this data centre that entries elsewhere may ask for tunnels."""
        return self._tunnels.name_neighbours()

    async def run(self) -> None:
        """Probe lost links until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await self._checks.run()

    def cut_off_ms(self) -> Millis | None:
        """Return after how long a request may reach some target again, None if it may now.

        Load pattern: all entries lose their links. What can't be served is refused at once.
        """
        if not self._uses_gateways or not self.is_isolated or self._tunnels.has_usable_gateways:
            return None
        return max(self._tunnels.wait_ms, self._state.links.probe_interval_ms / 2.0)

    async def acquire(
        self, target: Target, *, must_be_new: bool, for_orders: bool = False
    ) -> TargetConnection:
        """Return a kept or new connection; raise `UnreachableError` if none can be opened."""
        kept = None
        if self._uses_gateways and self._state.links.is_lost(target) and not must_be_new:
            kept = self._tunnels.take_kept(target, for_orders=for_orders)
        connection = kept or await self._open(target, must_be_new, for_orders)
        connection.for_orders = for_orders
        return connection

    async def _open(self, target: Target, must_be_new: bool, for_orders: bool) -> TargetConnection:
        """Return a new tunnel, or a kept or new direct connection."""
        if self._uses_gateways and self._state.links.is_lost(target):
            return await self._open_tunnel(target)
        try:
            return await self._connections.acquire(
                target.address, must_be_new=must_be_new, for_orders=for_orders
            )
        except UnreachableError as error:
            if not self._uses_gateways or self._checks.is_down(target):
                raise
            return await self._reach_otherwise(target, error)

    def release(self, used: TargetConnection, head: ResponseHead | None) -> None:
        """Keep a connection for reuse, or close it; without `head` its response is incomplete."""
        if used.gateway and not self._tunnels.end_use(used):
            head = None
        self._connections.release(used, head)

    def close_expired(self) -> None:
        """Close kept connections that have expired or were closed by their targets."""
        self._connections.close_expired()
        self._checks.forget_old()

    async def connect_directly(self, target: Target) -> Connection:
        """Open a connection over the own link; raise `OSError`, or `trio.TooSlowError`."""
        return await self._connections.connect(target.address)

    async def are_links_sound(self, unreached: Target) -> bool:
        """Return whether some other target is reached over the own links, beside one that isn't."""
        return await self._checks.are_links_sound(unreached)

    def record_heard(self, target: Target, connection: TargetConnection) -> None:
        """Record that a target has answered on a connection."""
        if not connection.gateway:
            self._checks.record_heard(target, connection.opened_ms)

    def record_wait(
        self, connection: TargetConnection, start: TargetStart, wait_ms: Millis
    ) -> None:
        """Tell the gateway of a connection, if any, that the target wants nothing from its host."""
        if connection.gateway:
            self._nursery.start_soon(self._tunnels.tell_wait, connection.gateway, start, wait_ms)

    def doubt(self, target: Target, connection: TargetConnection | None) -> None:
        """Compare a target that has fallen silent on an own connection with what other entries meet."""
        is_own_link = connection is not None and not connection.gateway
        is_asked = is_own_link and not self._state.evacuations.include(target)
        if self._uses_gateways and is_asked and not self._state.links.is_lost(target):
            self._checks.doubt(target)

    def verify_suspension(self, target: Target) -> None:
        """Tell the other entries of a suspended target, unless the own link to it is lost."""
        if not self._uses_gateways:
            self._state.tell_suspension(target.target_id)
        elif not (self._state.links.is_lost(target) or self._state.evacuations.include(target)):
            self._checks.verify_suspension(target)

    async def _open_tunnel(self, target: Target) -> TargetConnection:
        """Return a new tunnel to a target whose own link is lost."""
        outcomes: list[TunnelOutcome] = []
        for gateway in self._tunnels.choose_gateways():
            try:
                return await self._tunnels.open(gateway, target)
            except TunnelError as error:
                if error.outcome in TARGET_NOT_REACHED:
                    outcomes.append(error.outcome)
        # One other entry alone may have lost its link, too.
        if len(outcomes) > 1:
            self._checks.record_down(target)
        raise UnreachableError(
            f"{target.address}: no other entry reaches it",
            is_refused=TunnelOutcome.TARGET_REFUSED in outcomes,
            is_target_at_fault=self._checks.is_down(target),
        )

    async def _reach_otherwise(self, target: Target, error: UnreachableError) -> TargetConnection:
        """Return a tunnel to a target that the own link did not reach.

        Raises `UnreachableError` if other entries don't reach it either. Connecting to a dead target
        takes long; if the own links seem sound, the request doesn't wait for the comparison as well.
        """
        if not error.is_refused and self.silence_ms < RECENTLY_HEARD_MS:
            self._checks.compare_in_background(target, is_refused=False)
            raise UnreachableError(str(error), is_target_at_fault=False) from error
        verdict, tunnel = await self._checks.compare(target)
        if tunnel is not None:
            return tunnel
        raise UnreachableError(
            str(error),
            is_refused=error.is_refused,
            is_target_at_fault=verdict is LinkVerdict.TARGET_AT_FAULT,
        ) from error

    def _find_unreachable(self) -> Callable[[Target], bool] | None:
        """Return whether a target is reached by no path now, None if each has one."""
        links = self._state.links
        if links.are_sound or not self._uses_gateways or self._tunnels.has_usable_gateways:
            return None
        return links.is_lost

    @property
    def _uses_gateways(self) -> bool:
        return self._checks.is_running and self._tunnels.has_gateways
