"""Compares what an entry meets over its own links with what others meet, and probes lost links.

The decisions are those of `marigoldarch.serving.target_links`; this module makes the connections.
"""

from __future__ import annotations

import re
import traceback
from enum import StrEnum
from typing import TYPE_CHECKING

import trio

from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.target_connections import ResponseError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target, TargetStart
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.target_connections import (
        TargetConnection,
        TargetConnectionPool,
    )
    from marigoldarch_node.serving.tunnel_client import TunnelClient

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
"""While some target was heard of so lately, the own links are not in doubt as a whole."""

PATH_PATTERN = re.compile(r"/[!-~]*")
"""A path that can be sent; of any other health path, "/" is asked for, whose answer counts as well."""

log = EventLog("links")


class LinkVerdict(StrEnum):
    """What a comparison says of a target that was not reached, or did not answer."""

    TARGET_AT_FAULT = "target at fault"
    LINK_LOST = "link lost"
    UNCERTAIN = "uncertain"


class LinkChecks:
    """The comparisons, controls and probes of one entry; they need `run` to be running."""

    def __init__(
        self,
        state: EntryState,
        dialect: Dialect,
        connections: TargetConnectionPool,
        tunnels: TunnelClient,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._connections = connections
        self._tunnels = tunnels
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

    @property
    def is_running(self) -> bool:
        """Return whether links can be compared."""
        return self._nursery is not None

    @property
    def silence_ms(self) -> Millis:
        """Return for how long no target has answered over an own link."""
        return self._now_ms() - self._last_heard_ms

    @property
    def is_isolated(self) -> bool:
        """Return whether the entry reaches no target over its own links."""
        links, view = self._state.links, self._state.target_view
        if not links.lost_data_centres:
            return False
        if self._generation != view.generation:
            self._generation = view.generation
            self._data_centres = {target.data_centre for target in view.usable.values()}
        return links.is_isolated(self._data_centres)

    def record_heard(self, target: Target, opened_ms: Millis) -> None:
        """Record that a target has answered on an own connection opened at `opened_ms`."""
        self._last_heard_ms = self._now_ms()
        self._record_reached(target, opened_ms)

    def is_down(self, target: Target) -> bool:
        """Return whether it was found lately that other entries don't reach a target either."""
        return self._now_ms() < self._down_until_ms.get(target.start, 0.0)

    def record_down(self, target: Target) -> None:
        """Record that no entry that was asked reaches a target."""
        self._down_until_ms[target.start] = self._now_ms() + DOWN_MS

    def forget_old(self) -> None:
        """Drop what is no longer needed."""
        now_ms = self._now_ms()
        self._down_until_ms = {
            start: until_ms for start, until_ms in self._down_until_ms.items() if now_ms < until_ms
        }

    async def run(self) -> None:
        """Probe lost links until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                if self._state.links.are_sound:
                    self._has_lost_links = trio.Event()
                    await self._has_lost_links.wait()
                await trio.sleep(self._state.links.probe_interval_ms / 1000.0)
                try:
                    while await self._probe_lost_links():
                        # The other links are probably back as well.
                        pass
                except* Exception as errors:
                    log.error("probes failed", errors=[repr(item) for item in errors.exceptions])

    def _start(self, task: Callable[..., Awaitable[object]], *arguments: object) -> None:
        """Run a task beside the requests; a fault of one must not end the entry."""

        async def run_task() -> None:
            try:
                await task(*arguments)
            except Exception as error:
                log.error(
                    "link check failed",
                    error=type(error).__name__,
                    trace=traceback.format_exc(limit=-4),
                )

        self._nursery.start_soon(run_task)

    # Targets to which no connection opens

    async def compare(self, target: Target) -> tuple[LinkVerdict, TargetConnection | None]:
        """Compare a target that was not reached with what other entries meet.

        Returns the tunnel that shows that only the own link is lost.
        """
        self._start(self.are_links_sound, target)
        tunnel = await self._tunnels.open_first(target)
        if tunnel is not None:
            self._record_lost(target)
            return LinkVerdict.LINK_LOST, tunnel
        verdict = LinkVerdict.UNCERTAIN
        if await self.are_links_sound(target):
            verdict = LinkVerdict.TARGET_AT_FAULT
            self.record_down(target)
        log.info("target compared", target=target.target_id, verdict=str(verdict))
        return verdict, None

    def compare_in_background(self, target: Target, *, is_refused: bool) -> None:
        """Compare a target beside the requests, and record its failure if it is at fault."""
        self._start(self._compare_and_record, target, is_refused)

    async def _compare_and_record(self, target: Target, is_refused: bool) -> None:
        verdict, tunnel = await self.compare(target)
        if tunnel is not None:
            self._close(tunnel)
        if verdict is LinkVerdict.TARGET_AT_FAULT:
            self._state.record_failure(target.target_id, is_unreachable=is_refused)

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
            self._start(self._run_controls, unreached, self._controls_done)
        await self._controls_done.wait()
        return self._were_controls_reached

    async def _run_controls(self, unreached: Target, done: trio.Event) -> None:
        try:
            reached = await self._try_controls(unreached, self._connects)
            self._were_controls_reached = not reached or any(reached.values())
            self._record_controls(unreached, reached)
            self._controls_ms = self._now_ms()
        finally:
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
            and not self.is_down(item)
            and not self._state.waits.left_ms(item.start, now_ms)
            and not self._state.evacuations.include(item)
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
            connection = await self._connections.connect(target.address)
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

    # Targets that have fallen silent or broken off

    def doubt(self, target: Target) -> None:
        """Compare a target that answers nothing on an own connection, unless one was compared just now."""
        if self._now_ms() < self._doubted_ms + DOUBT_INTERVAL_MS:
            return
        self._doubted_ms = self._now_ms()
        self._start(self._compare_answers, target)

    def verify_suspension(self, target: Target) -> None:
        """Tell the other entries of a suspended target, unless the own link to it is lost."""
        self._start(self._tell_unless_lost, target)

    async def _tell_unless_lost(self, target: Target) -> None:
        if await self._compare_answers(target) is LinkVerdict.TARGET_AT_FAULT:
            self._state.tell_suspension(target.target_id)

    async def _compare_answers(self, target: Target) -> LinkVerdict:
        """Send health checks over the own link and through another entry at the same moment.

        The link is lost if only the other way is answered.
        """
        answered: dict[str, bool] = {}

        async def probe_directly() -> None:
            answered["own link"] = await self._probe(target)

        async def probe_elsewhere() -> None:
            tunnel = await self._tunnels.open_first(target)
            if tunnel is not None:
                is_answered = await self._is_answered(tunnel, target, COMPARISON_MS)
                answered[tunnel.gateway] = is_answered

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_directly)
            nursery.start_soon(probe_elsewhere)
        verdict = LinkVerdict.TARGET_AT_FAULT
        if any(answered.values()) and not answered["own link"]:
            verdict = LinkVerdict.LINK_LOST
            self._record_lost(target)
        elif not answered["own link"] and not await self.are_links_sound(target):
            verdict = LinkVerdict.UNCERTAIN
        log.info(
            "silent target compared",
            target=target.target_id,
            answered=answered,
            verdict=str(verdict),
        )
        if verdict is LinkVerdict.LINK_LOST:
            # Where connections open and carry nothing, only an answer shows whether others are reached.
            is_heard = self.silence_ms < RECENTLY_HEARD_MS
            attempt = self._connects if is_heard else self._probe
            self._record_controls(target, await self._try_controls(target, attempt))
        return verdict

    # Probes

    async def _probe_lost_links(self) -> bool:
        """Probe some lost links; return whether one is back and others are still to be probed."""
        links = self._state.links
        restored = False

        async def probe(target: Target) -> None:
            nonlocal restored
            opened_ms = self._now_ms()
            if await self._probe(target):
                restored = self._record_reached(target, opened_ms) or restored

        async with trio.open_nursery() as nursery:
            for target in links.choose_probes(self._state.target_view.usable, self._now_ms()):
                if not self._state.evacuations.include(target):
                    nursery.start_soon(probe, target)
        return restored and not links.are_sound

    async def _probe(self, target: Target) -> bool:
        """Return whether a target answers over the own link; any answer to a health check counts."""
        with trio.move_on_after(PROBE_TIMEOUT_MS / 1000.0):
            try:
                connection = await self._connections.connect(target.address)
            except (OSError, trio.TooSlowError):
                return False
            used = self._connections.wrap(target.address, connection)
            return await self._is_answered(used, target, PROBE_TIMEOUT_MS)
        return False

    async def _is_answered(
        self, connection: TargetConnection, target: Target, timeout_ms: Millis
    ) -> bool:
        """Return whether a health check is answered on a new connection, which is closed then."""
        try:
            if not self._may_send(target):
                return False
            with trio.move_on_after(timeout_ms / 1000.0):
                await connection.send(self._dialect.health_check(target, self._health_path(target)))
                response = self._dialect.read_response(await connection.read_head())
                if not response.is_misdirected:
                    self._state.record_cold_response(target, response)
                return True
        except ResponseError:
            return False
        finally:
            self._close(connection)
        return False

    def _may_send(self, target: Target) -> bool:
        """Return whether a health check may be sent: targets count it like any other request."""
        is_waiting = self._state.waits.left_ms(target.start, self._now_ms()) > 0.0
        if is_waiting or self._state.evacuations.include(target):
            return False
        return self._state.permissions.try_acquire(target)

    def _health_path(self, target: Target) -> str:
        table = self._state.table
        try:
            path = table.find_service(target.service).health_path if table is not None else ""
        except KeyError:
            path = ""
        return path if PATH_PATTERN.fullmatch(path) else "/"

    def _close(self, connection: TargetConnection) -> None:
        if connection.gateway:
            self._tunnels.end_use(connection)
        connection.connection.close()

    def _record_lost(self, target: Target) -> None:
        """Record that another entry reaches a target that the own link doesn't reach."""
        if self._state.links.record_lost(target, self._now_ms()):
            log.warning("link lost", target=target.target_id, data_centre=target.data_centre)
            self._state.metrics.lost_links.inc({})
        self._state.health.lift(target.target_id)
        self._has_lost_links.set()

    def _record_reached(self, target: Target, opened_ms: Millis) -> bool:
        """Record that an own link works; return whether it was believed to be lost."""
        is_news = self._state.links.record_reached(target, opened_ms)
        if is_news:
            log.info("link is back", target=target.target_id, data_centre=target.data_centre)
        return is_news

    def _now_ms(self) -> Millis:
        return self._state.clock.monotonic_ms()
