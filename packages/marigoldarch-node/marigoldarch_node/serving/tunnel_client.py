"""The tunnels of an entry: connections to targets through other entries, its gateways."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.gateways import Gateways, GatewaySettings
from marigoldarch.serving.tunnel_messages import TargetWait, TunnelAsk, TunnelOutcome
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.tunnels import TunnelError, open_tunnel, tell_wait

if TYPE_CHECKING:
    from collections.abc import Collection

    from marigoldarch.clock import Millis
    from marigoldarch.serving.report_recipients import EntryNode
    from marigoldarch.serving.targets import Target, TargetStart
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.target_connections import (
        TargetConnection,
        TargetConnectionPool,
    )

CANNOT_HELP = (
    TunnelOutcome.GATEWAY_SILENT,
    TunnelOutcome.CUT_OFF,
    TunnelOutcome.BUSY,
    TunnelOutcome.NOT_ALLOWED,
)
"""Outcomes after which a gateway is not asked for any target for a while."""

TARGET_NOT_REACHED = (TunnelOutcome.TARGET_REFUSED, TunnelOutcome.TARGET_SILENT)
"""Outcomes that say something of the target: the gateway has tried it over a sound link."""

log = EventLog("links")


class TunnelClient:
    """Opens tunnels, and counts those in use through each gateway."""

    def __init__(self, state: EntryState, connections: TargetConnectionPool) -> None:
        self._state = state
        self._connections = connections
        self._in_use: Counter[str] = Counter()
        self._gateways = Gateways(
            state.settings.data_centre, GatewaySettings(), state.link_rng, self._in_use
        )

    @property
    def in_use(self) -> int:
        """Return how many tunnels carry a request."""
        return self._in_use.total()

    @property
    def has_gateways(self) -> bool:
        """Return whether any other entry is known."""
        return not self._gateways.is_empty

    @property
    def has_usable_gateways(self) -> bool:
        """Return whether some entry may be asked for a tunnel now."""
        return self._gateways.has_usable(self._now_ms())

    @property
    def wait_ms(self) -> Millis:
        """Return after how long an entry may be asked again, 0 if one may be asked now."""
        return self._gateways.wait_ms(self._now_ms())

    def set_entries(self, entries: Collection[EntryNode]) -> None:
        """Set the other entries that are known; kept tunnels through others are closed."""
        self._gateways.set_entries(entries)
        self._connections.close_tunnels(lambda node: not self._is_usable(node))

    def name_neighbours(self) -> list[str]:
        """Return some other entries of this data centre that entries elsewhere may ask for tunnels."""
        return self._gateways.name_neighbours()

    def choose_gateways(self) -> list[str]:
        """Return the entries to ask for one tunnel, in this order."""
        return self._gateways.choose(self._now_ms())

    def take_kept(self, target: Target, *, for_orders: bool) -> TargetConnection | None:
        """Return a kept tunnel to a target, None if there is none."""
        kept = self._connections.take_kept_tunnel(
            target.address, self._is_usable, for_orders=for_orders
        )
        if kept is not None:
            self._in_use[kept.gateway] += 1
        return kept

    async def open(self, gateway: str, target: Target) -> TargetConnection:
        """Open a tunnel; raise `TunnelError`, and avoid a gateway that can't help for now."""
        ask = TunnelAsk(target.target_id, target.born_ms, target.address, self._token)
        try:
            connection, neighbours = await open_tunnel(gateway, ask)
        except TunnelError as error:
            self._learn(error.neighbours)
            log.info("no tunnel", peer=gateway, target=target.target_id, outcome=str(error.outcome))
            if error.outcome in CANNOT_HELP:
                is_silent = error.outcome is TunnelOutcome.GATEWAY_SILENT
                self._gateways.avoid(gateway, self._now_ms(), is_silent=is_silent)
                self._connections.close_tunnels(lambda node: node == gateway)
            raise
        self._learn(neighbours)
        self._in_use[gateway] += 1
        return self._connections.wrap_tunnel(target.address, gateway, connection)

    async def open_first(self, target: Target) -> TargetConnection | None:
        """Ask several entries at once; return the first tunnel that opens, None if none does."""
        opened: list[TargetConnection] = []

        async def open_one(gateway: str) -> None:
            with suppress(TunnelError):
                opened.append(await self.open(gateway, target))
                nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                for gateway in self.choose_gateways():
                    nursery.start_soon(open_one, gateway)
        except BaseException:
            self._close_all(opened)
            raise
        self._close_all(opened[1:])
        return opened[0] if opened else None

    def end_use(self, used: TargetConnection) -> bool:
        """Record that a tunnel carries no request any more; return whether it is worth to be kept."""
        self._in_use[used.gateway] -= 1
        return self._gateways.is_preferred(used.gateway, self._now_ms())

    async def tell_wait(self, gateway: str, start: TargetStart, wait_ms: Millis) -> None:
        """Tell a gateway that a target wants nothing from its host for a while."""
        wait = TargetWait(start.target_id, start.born_ms, wait_ms, self._token)
        await tell_wait(gateway, wait)

    def _close_all(self, tunnels: list[TargetConnection]) -> None:
        for tunnel in tunnels:
            self.end_use(tunnel)
            tunnel.connection.close()

    def _learn(self, nodes: Collection[str]) -> None:
        self._gateways.learn(nodes, self._state.settings.peer_address, self._now_ms())

    def _is_usable(self, gateway: str) -> bool:
        return self._gateways.is_usable(gateway, self._now_ms())

    @property
    def _token(self) -> str:
        table = self._state.table
        return table.node_token if table is not None else ""

    def _now_ms(self) -> Millis:
        return self._state.clock.monotonic_ms()
