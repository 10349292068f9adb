"""The connections of an entry to targets: over its own links, or through another entry.

The decisions are those of `marigoldarch.serving.target_links` and `gateways`; this module opens
connections, compares what it meets with what other entries meet, and probes lost links.
"""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.gateways import Gateways, GatewaySettings
from marigoldarch.serving.tunnel_messages import TargetWait, TunnelAsk, TunnelOutcome
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.target_connections import ResponseError, UnreachableError
from marigoldarch_node.serving.tunnels import TunnelError, open_tunnel, tell_wait

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

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

PROBE_TIMEOUT_MS: Millis = 700.0
"""How long a target may take to answer a probe; a busy one answers late or refuses at once."""

COMPARISON_MS: Millis = 350.0
"""How long a target may take to answer a probe through another entry. It is shorter than the probe over
the own link, so that a busy target isn't taken for one whose link is lost."""

CONTROLS_VALID_MS: Millis = 250.0
"""Controls are not repeated this soon; many requests meet the same cut at once."""

DOWN_MS: Millis = 1000.0
"""A target that two entries did not reach is compared again after this time only."""

DOUBT_INTERVAL_MS: Millis = 500.0
"""The shortest time between two comparisons of targets that have fallen silent."""

RECENTLY_HEARD_MS: Millis = 500.0
"""While some target was heard of so lately, one to which connecting takes too long is compared beside
the request, which goes to another target, and no other targets have to answer a health check."""

log = EventLog("links")


class LinkVerdict(StrEnum):
    """What a comparison says of a target that did not answer."""

    TARGET_AT_FAULT = "target at fault"
    LINK_LOST = "link lost"
    UNCERTAIN = "uncertain"


class TargetPaths:
    """Opens and keeps the connections of an entry to its targets.

    While `run` is not running, or no other entry is known, all connections use the own links.
    """

    def __init__(
        self, state: EntryState, dialect: Dialect, connections: TargetConnectionPool
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._connections = connections
        self._in_use: Counter[str] = Counter()
        self._gateways = Gateways(
            state.settings.data_centre, GatewaySettings(), state.link_rng, self._in_use
        )
        self._nursery: trio.Nursery | None = None
        self._has_lost_links = trio.Event()
        self._down_until_ms: dict[TargetStart, Millis] = {}
        self._controls_done: trio.Event | None = None
        self._controls_ms: Millis = float("-inf")
        self._were_controls_reached = True
        self._doubted_ms: Millis = float("-inf")
        self._last_heard_ms: Millis = float("-inf")
        self._data_centres: set[str] = set()
        self._generation = -1
        state.candidates.find_unreachable = self._find_unreachable

    @property
    def is_isolated(self) -> bool:
        """Return whether the entry reaches no target over its own links."""
        links = self._state.links
        if not links.lost_data_centres:
            return False
        view = self._state.target_view
        if self._generation != view.generation:
            self._generation = view.generation
            self._data_centres = {target.data_centre for target in view.usable.values()}
        return links.is_isolated(self._data_centres)

    @property
    def tunnels_in_use(self) -> int:
        """Return how many tunnels through other entries carry a request."""
        return self._in_use.total()

    @property
    def silence_ms(self) -> Millis:
        """Return for how long no target has answered over an own link."""
        return self._now_ms() - self._last_heard_ms

    def set_entries(self, entries: Collection[EntryNode]) -> None:
        """Set the other entries that are known; kept tunnels through others are closed."""
        self._gateways.set_entries(entries)
        self._connections.close_tunnels(lambda node: not self._is_usable(node))

    def name_neighbours(self) -> list[str]:
        """Return some other entries of this data centre that entries elsewhere may ask for tunnels."""
        return self._gateways.name_neighbours()

    def cut_off_ms(self) -> Millis | None:
        """Return after how long a request may reach some target again, None if it may now.

        Load pattern: all entries lose their links. What can't be served is refused at once.
        """
        if not self._uses_gateways or not self.is_isolated:
            return None
        if self._gateways.has_usable(self._now_ms()):
            return None
        return max(
            self._gateways.wait_ms(self._now_ms()), self._state.links.probe_interval_ms / 2.0
        )

    def _find_unreachable(self) -> Callable[[Target], bool] | None:
        """Return whether a target is reached by no path now, None if each has one."""
        links = self._state.links
        if links.are_sound or not self._uses_gateways or self._gateways.has_usable(self._now_ms()):
            return None
        return links.is_lost

    # Connections

    async def acquire(self, target: Target, *, must_be_new: bool) -> TargetConnection:
        """Return a kept or new connection; raise `UnreachableError` if none can be opened."""
        if self._uses_gateways and self._state.links.is_lost(target):
            return await self._acquire_tunnel(target, must_be_new=must_be_new)
        try:
            return await self._connections.acquire(target.address, must_be_new=must_be_new)
        except UnreachableError as error:
            if not self._uses_gateways:
                raise
            return await self._reach_otherwise(target, error)

    def release(self, used: TargetConnection, head: ResponseHead | None) -> None:
        """Keep a connection for reuse, or close it; without `head` its response is incomplete."""
        if used.gateway:
            self._in_use[used.gateway] -= 1
            if not self._gateways.is_preferred(used.gateway, self._now_ms()):
                head = None
        self._connections.release(used, head)

    def close_expired(self) -> None:
        """Close kept connections that have expired or were closed by their targets."""
        self._connections.close_expired()
        now_ms = self._now_ms()
        self._down_until_ms = {
            start: until_ms for start, until_ms in self._down_until_ms.items() if now_ms < until_ms
        }

    def record_heard(self, target: Target, connection: TargetConnection) -> None:
        """Record that a target has answered on a connection."""
        if connection.gateway:
            return
        self._last_heard_ms = self._now_ms()
        if self._state.links.record_reached(target, connection.opened_ms):
            log.info("link is back", target=target.target_id, data_centre=target.data_centre)

    def record_wait(
        self, connection: TargetConnection, start: TargetStart, wait_ms: Millis
    ) -> None:
        """Tell the gateway of a connection that the target wants nothing from its host for a while."""
        if connection.gateway and self._nursery is not None:
            wait = TargetWait(start.target_id, start.born_ms, wait_ms, self._token)
            self._nursery.start_soon(tell_wait, connection.gateway, wait)

    async def connect_directly(self, target: Target) -> Connection:
        """Open a connection over the own link; raise `OSError`, or `trio.TooSlowError`."""
        return await self._connections.connect(target.address)

    async def _acquire_tunnel(self, target: Target, *, must_be_new: bool) -> TargetConnection:
        """Return a kept or new tunnel to a target whose own link is lost."""
        if not must_be_new:
            kept = self._connections.take_kept_tunnel(target.address, self._is_usable)
            if kept is not None:
                self._in_use[kept.gateway] += 1
                return kept
        refusals, is_refused = 0, False
        for gateway in self._gateways.choose(self._now_ms()):
            try:
                return await self._open_tunnel(gateway, target)
            except TunnelError as error:
                if error.outcome not in (TunnelOutcome.TARGET_REFUSED, TunnelOutcome.TARGET_SILENT):
                    continue
                refusals += 1
                is_refused = error.outcome is TunnelOutcome.TARGET_REFUSED
                if self._is_down(target):
                    break
        if refusals > 1:
            self._record_down(target)
        raise UnreachableError(
            f"{target.address}: no other entry reaches it",
            is_refused=is_refused,
            is_target_at_fault=self._is_down(target),
        )

    async def _open_tunnel(self, gateway: str, target: Target) -> TargetConnection:
        """Open a tunnel; raise `TunnelError`, and avoid a gateway that can't help for now."""
        ask = TunnelAsk(target.target_id, target.born_ms, target.address, self._token)
        try:
            connection, neighbours = await open_tunnel(gateway, ask)
        except TunnelError as error:
            self._learn(error.neighbours)
            log.info("no tunnel", peer=gateway, target=target.target_id, outcome=str(error.outcome))
            if error.outcome in (
                TunnelOutcome.GATEWAY_SILENT,
                TunnelOutcome.CUT_OFF,
                TunnelOutcome.BUSY,
                TunnelOutcome.NOT_ALLOWED,
            ):
                is_silent = error.outcome is TunnelOutcome.GATEWAY_SILENT
                self._gateways.avoid(gateway, self._now_ms(), is_silent=is_silent)
                self._connections.close_tunnels(lambda node: node == gateway)
            raise
        self._learn(neighbours)
        self._in_use[gateway] += 1
        return self._connections.wrap_tunnel(target.address, gateway, connection)

    def _learn(self, nodes: Collection[str]) -> None:
        self._gateways.learn(nodes, self._state.settings.peer_address, self._now_ms())

    # Comparisons

    async def _reach_otherwise(self, target: Target, error: UnreachableError) -> TargetConnection:
        """Return a tunnel to a target that the own link did not reach.

        Raises `UnreachableError` if other entries don't reach it either. Connecting to a dead target
        takes long; if the own links seem sound, the request doesn't wait for the comparison as well.
        """
        if self._is_down(target):
            raise error
        if not error.is_refused and self.silence_ms < RECENTLY_HEARD_MS:
            self._nursery.start_soon(self._compare_in_background, target, error)
            raise UnreachableError(str(error), is_target_at_fault=False) from error
        verdict, connection = await self._compare(target)
        if connection is not None:
            return connection
        raise UnreachableError(
            str(error),
            is_refused=error.is_refused,
            is_target_at_fault=verdict is LinkVerdict.TARGET_AT_FAULT,
        ) from error

    async def _compare_in_background(self, target: Target, error: UnreachableError) -> None:
        verdict, connection = await self._compare(target)
        if connection is not None:
            self.release(connection, None)
        if verdict is LinkVerdict.TARGET_AT_FAULT:
            self._state.record_failure(target.target_id, is_unreachable=error.is_refused)

    async def _compare(self, target: Target) -> tuple[LinkVerdict, TargetConnection | None]:
        """Compare what the own link met with what other entries meet; return a tunnel if one opens."""
        self._nursery.start_soon(self.are_links_sound, target)
        connection = await self._open_first_tunnel(target)
        if connection is not None:
            self._record_lost(target)
            return LinkVerdict.LINK_LOST, connection
        verdict = LinkVerdict.UNCERTAIN
        if await self.are_links_sound(target):
            verdict = LinkVerdict.TARGET_AT_FAULT
            self._record_down(target)
        log.info("target compared", target=target.target_id, verdict=str(verdict))
        return verdict, None

    async def _open_first_tunnel(self, target: Target) -> TargetConnection | None:
        """Ask several entries at once; return the first tunnel that opens, None if none does."""
        opened: list[TargetConnection] = []

        async def open_one(gateway: str) -> None:
            with suppress(TunnelError):
                opened.append(await self._open_tunnel(gateway, target))
                nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                for gateway in self._gateways.choose(self._now_ms()):
                    nursery.start_soon(open_one, gateway)
        except BaseException:
            self._release_all(opened)
            raise
        self._release_all(opened[1:])
        return opened[0] if opened else None

    def _release_all(self, connections: list[TargetConnection]) -> None:
        for connection in connections:
            self.release(connection, None)

    async def are_links_sound(self, unreached: Target) -> bool:
        """Return whether some other target is reached, beside one that isn't.

        It is also true if there is no other target that should be reached.
        """
        if self._nursery is None:
            return True
        if self._controls_done is None:
            if self._now_ms() < self._controls_ms + CONTROLS_VALID_MS:
                return self._were_controls_reached
            self._controls_done = trio.Event()
            self._nursery.start_soon(self._run_controls, unreached, self._controls_done)
        await self._controls_done.wait()
        return self._were_controls_reached

    async def _run_controls(self, unreached: Target, done: trio.Event) -> None:
        reached = await self._try_controls(unreached, self._connects)
        self._were_controls_reached = not reached or any(reached.values())
        self._record_controls(unreached, reached)
        self._controls_ms = self._now_ms()
        self._controls_done = None
        done.set()

    async def _try_controls(
        self, unreached: Target, attempt: Callable[[Target], Awaitable[bool]]
    ) -> dict[Target, bool]:
        """Return which of some other targets are reached by an attempt over the own link."""
        now_ms, health = self._now_ms(), self._state.health
        others = [
            item
            for item in self._state.target_view.usable.values()
            if not health.is_suspended(item.target_id, now_ms)
            and not self._is_down(item)
            and not self._state.waits.left_ms(item.start, now_ms)
        ]
        controls = self._state.links.choose_controls(unreached, others)
        reached = dict.fromkeys(controls, False)

        async def run_attempt(target: Target) -> None:
            reached[target] = await attempt(target)

        async with trio.open_nursery() as nursery:
            for target in controls:
                nursery.start_soon(run_attempt, target)
        return reached

    async def _connects(self, target: Target) -> bool:
        """Return whether a connection to a target opens over the own link."""
        try:
            connection = await self.connect_directly(target)
        except (OSError, trio.TooSlowError):
            return False
        connection.close()
        return True

    def _record_controls(self, unreached: Target, reached: dict[Target, bool]) -> None:
        lost = self._state.links.record_controls(unreached, reached, self._now_ms())
        if lost:
            log.warning(
                "links lost",
                data_centres=lost,
                unreached=unreached.target_id,
                controls=[target.target_id for target in reached],
                is_isolated=self.is_isolated,
            )
            self._has_lost_links.set()

    def doubt(self, target: Target, connection: TargetConnection | None) -> None:
        """Compare a target that has fallen silent or broken off with what other entries meet.

        If nothing answers on the own link but something does through another entry, the link is lost.
        """
        is_own_link = connection is not None and not connection.gateway
        if not self._uses_gateways or not is_own_link or self._state.links.is_lost(target):
            return
        if self._now_ms() < self._doubted_ms + DOUBT_INTERVAL_MS:
            return
        self._doubted_ms = self._now_ms()
        self._nursery.start_soon(self._resolve_doubt, target)

    def verify_suspension(self, target: Target) -> None:
        """Tell the other entries of a suspended target, unless the own link to it is lost."""
        if not self._uses_gateways:
            self._state.tell_suspension(target.target_id)
        elif not self._state.links.is_lost(target):
            self._nursery.start_soon(self._tell_unless_lost, target)

    async def _tell_unless_lost(self, target: Target) -> None:
        if await self._resolve_doubt(target) is LinkVerdict.TARGET_AT_FAULT:
            self._state.tell_suspension(target.target_id)

    async def _resolve_doubt(self, target: Target) -> LinkVerdict:
        answered: dict[str, bool] = {}
        reached: dict[Target, bool] = {}

        async def probe_directly() -> None:
            answered["own link"] = await self._probe(target, PROBE_TIMEOUT_MS)

        async def probe_elsewhere() -> None:
            connection = await self._open_first_tunnel(target)
            if connection is None:
                return
            if not self._may_send(target):
                self.release(connection, None)
                return
            gateway = connection.gateway
            answered[gateway] = await self._is_answered(connection, target, COMPARISON_MS)

        async def probe_others() -> None:
            if self.silence_ms < RECENTLY_HEARD_MS:
                return
            reached.update(
                await self._try_controls(target, lambda other: self._probe(other, PROBE_TIMEOUT_MS))
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_directly)
            nursery.start_soon(probe_elsewhere)
            nursery.start_soon(probe_others)
        verdict = LinkVerdict.TARGET_AT_FAULT
        if any(answered.values()) and not answered["own link"]:
            verdict = LinkVerdict.LINK_LOST
            self._record_lost(target)
            if reached:
                self._record_controls(target, reached)
            else:
                await self.are_links_sound(target)
        elif reached and not any(reached.values()):
            verdict = LinkVerdict.UNCERTAIN
        log.info(
            "silent target compared",
            target=target.target_id,
            answered=answered,
            controls={other.target_id: is_reached for other, is_reached in reached.items()},
            verdict=str(verdict),
        )
        return verdict

    def _record_lost(self, target: Target) -> None:
        """Record that another entry reaches a target that the own link doesn't reach."""
        if self._state.links.record_lost(target, self._now_ms()):
            log.warning("link lost", target=target.target_id, data_centre=target.data_centre)
            self._state.metrics.lost_links.inc({})
        self._state.health.lift(target.target_id)
        self._has_lost_links.set()

    def _is_down(self, target: Target) -> bool:
        return self._now_ms() < self._down_until_ms.get(target.start, 0.0)

    def _record_down(self, target: Target) -> None:
        self._down_until_ms[target.start] = self._now_ms() + DOWN_MS

    # Probes

    async def run(self) -> None:
        """Probe lost links until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                if self._state.links.are_sound:
                    self._has_lost_links = trio.Event()
                    await self._has_lost_links.wait()
                await trio.sleep(self._state.links.probe_interval_ms / 1000.0)
                while await self._probe_lost_links():
                    # The other links are probably back as well.
                    pass

    async def _probe_lost_links(self) -> bool:
        """Probe some lost links; return whether one is back and others are still to be probed."""
        links = self._state.links
        restored = False

        async def probe(target: Target) -> None:
            nonlocal restored
            opened_ms = self._now_ms()
            if await self._probe(target, PROBE_TIMEOUT_MS):
                restored = links.record_reached(target, opened_ms) or restored
                log.info("link is back", target=target.target_id, data_centre=target.data_centre)

        async with trio.open_nursery() as nursery:
            for target in links.choose_probes(self._state.target_view.usable, self._now_ms()):
                nursery.start_soon(probe, target)
        return restored and not links.are_sound

    async def _probe(self, target: Target, timeout_ms: Millis) -> bool:
        """Return whether a target answers over the own link; any answer to a health check counts."""
        if not self._may_send(target):
            return False
        with trio.move_on_after(timeout_ms / 1000.0):
            try:
                connection = self._connections.wrap(
                    target.address, await self.connect_directly(target)
                )
            except (OSError, trio.TooSlowError):
                return False
            return await self._is_answered(connection, target, timeout_ms)
        return False

    async def _is_answered(
        self, connection: TargetConnection, target: Target, timeout_ms: Millis
    ) -> bool:
        """Return whether a health check is answered on a new connection, which is closed then."""
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                await connection.send(self._dialect.health_check(target, self._health_path(target)))
                await connection.read_head()
                return True
        except ResponseError:
            return False
        finally:
            self.release(connection, None)
        return False

    def _may_send(self, target: Target) -> bool:
        """Return whether a health check may be sent: targets count it like any other request."""
        is_waiting = self._state.waits.left_ms(target.start, self._now_ms()) > 0.0
        return not is_waiting and self._state.permissions.try_acquire(target)

    def _health_path(self, target: Target) -> str:
        table = self._state.table
        try:
            return table.find_service(target.service).health_path if table is not None else "/"
        except KeyError:
            return "/"

    # What is asked often

    @property
    def _uses_gateways(self) -> bool:
        return self._nursery is not None and not self._gateways.is_empty

    def _is_usable(self, gateway: str) -> bool:
        return self._gateways.is_usable(gateway, self._now_ms())

    @property
    def _token(self) -> str:
        table = self._state.table
        return table.node_token if table is not None else ""

    def _now_ms(self) -> Millis:
        return self._state.clock.monotonic_ms()
