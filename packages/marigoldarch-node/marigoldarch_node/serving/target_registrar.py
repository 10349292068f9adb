"""Registration of targets at a control host.

Targets announce themselves to any control host. It tells the other control hosts and the entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.cold_news import ColdNews, ColdRegistry, TargetsCold
from marigoldarch.serving.target_lists import is_sound
from marigoldarch.serving.targets import TARGET_SILENCE_MS, Target, TargetRegistry
from marigoldarch.serving.watch import TargetSilent, TargetTold, pack_targets
from marigoldarch.store.messages import TargetsHeard, TargetsNoted
from marigoldarch_node.serving.departure_recorder import ControlHosts, DepartureRecorder
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import JSON_HEADERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.http_server import Exchange
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.peer_stream import Subscribers
    from marigoldarch_node.storage.departure_file import DepartureFile
    from marigoldarch_node.storage.target_file import TargetFile

RENEWAL_RELAY_INTERVAL_S = 0.15
"""How often announcements that only renew a target are sent to the other control hosts."""

SAVE_INTERVAL_S = 1.0
"""How often at most the targets are written to the file."""

log = EventLog("targets")


class TargetFiles(NamedTuple):
    """What a control host keeps of targets on its disk."""

    targets: TargetFile
    departures: DepartureFile


class TargetRegistrar:
    """Registers the targets that announce themselves here or at another control host.

    Of targets of `cold_services` it tells how long they stay cold.
    """

    def __init__(
        self,
        dialect: Dialect,
        clock: Clock,
        metrics: ServingMetrics,
        entry_subscribers: Subscribers,
        control_subscribers: Subscribers,
        files: TargetFiles,
        data_centre: str,
        control_hosts: Callable[[], ControlHosts],
    ) -> None:
        self._dialect = dialect
        self._data_centre = data_centre
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._metrics = metrics
        self._entry_subscribers = entry_subscribers
        self._control_subscribers = control_subscribers
        self._file = files.targets
        self._has_unsaved_changes = False
        self._registry = TargetRegistry()
        self._departures = DepartureRecorder(
            clock,
            metrics,
            control_subscribers,
            files.departures,
            control_hosts,
            lambda: self._registry.departures,
        )
        self._renewals_to_relay: dict[str, Target] = {}
        self._untold_elsewhere: dict[str, Target] = {}
        self._cold = ColdRegistry()
        self._untold_cold: dict[str, ColdNews] = {}
        self.cold_services: frozenset[str] = frozenset()

    @property
    def targets(self) -> list[Target]:
        """Return every registered target that is not silent."""
        return self._registry.targets

    @property
    def known_targets(self) -> list[Target]:
        """Return what another control host must know: `targets`, and those that have left and are silent."""
        listed = {target.target_id: target for target in self._registry.departures + self.targets}
        return list(listed.values())

    @property
    def has_all_targets(self) -> bool:
        """Return whether each live target has had time to announce itself since the start."""
        return self._clock.monotonic_ms() >= self._started_ms + TARGET_SILENCE_MS

    def restore(self) -> None:
        """Load the targets that were registered before a restart, and their departures."""
        departures = self._departures.load()
        targets: list[Target] = []
        try:
            targets = self._file.load()
        except StorageError as error:
            log.warning("targets not restored", reason=str(error))
        self._registry.restore(targets + departures, self._clock.monotonic_ms())
        log.info("targets restored", targets=len(targets), departures=len(departures))

    async def record_departures(self) -> None:
        """Write departures to their file until cancelled."""
        await self._departures.run()

    async def save_changes(self) -> None:
        """Write the targets to the file whenever one is new or has changed, until cancelled."""
        while True:
            await trio.sleep(SAVE_INTERVAL_S)
            if not self._has_unsaved_changes:
                continue
            self._has_unsaved_changes = False
            try:
                await trio.to_thread.run_sync(self._file.save, self.targets)
            except StorageError as error:
                log.warning("targets not saved", reason=str(error))
                self._has_unsaved_changes = True

    async def handle_announcement(self, exchange: Exchange, target_id: str) -> None:
        """Serve the announcement of a target.

        A target that leaves gets 503 until enough control hosts have recorded it.
        """
        match self._dialect.read_announcement(target_id, exchange.request.body):
            case Target() as target:
                pass
            case fault:
                log.warning("announcement cannot be decoded", target=target_id, reason=fault.reason)
                self._metrics.announcements.inc({"outcome": "unreadable"})
                body = msgspec.json.encode({"error": fault.reason})
                await exchange.answer(400, JSON_HEADERS, body)
                return
        cold_ms = self._dialect.read_cold_ms(exchange.request.body)
        if cold_ms is not None and target.service in self.cold_services:
            self._record_cold(ColdNews(target_id, target.born_ms, target.serial, cold_ms))
        is_new = self._register(target)
        self._metrics.announcements.inc({"outcome": "taken"})
        known = self._registry.find(target_id)
        is_departure = target.is_leaving and known.start == target.start
        # One that is not new may have been told by a try that no other host has heard.
        if is_departure and not await self._departures.record(known):
            await exchange.answer(503, JSON_HEADERS, b"{}")
            return
        if not is_new:
            self._renewals_to_relay[target_id] = target
        elif not target.is_leaving:
            self._control_subscribers.send_to_all(TargetsHeard(0, (target,)))
        await exchange.answer(200, JSON_HEADERS, b"{}")

    async def handle_leave(self, exchange: Exchange, target_id: str) -> None:
        """Serve the message of a target that has left; 503 until enough hosts have recorded it."""
        is_recorded = await self._record_leave(target_id)
        await exchange.answer(200 if is_recorded else 503, JSON_HEADERS, b"{}")

    async def _record_leave(self, target_id: str) -> bool:
        """Return whether it is recorded that a target has left, or that no host knows it.

        A host that has just started with an old file may not know a target that the others have in use.
        """
        departed = self._mark_gone(target_id)
        if departed is not None:
            return await self._departures.record(departed)
        is_heard = self.has_all_targets and await self._departures.hear_others()
        log.info("unknown target has left", target=target_id, is_heard_by_others=is_heard)
        # What the others had told before they answered has arrived.
        departed = self._mark_gone(target_id)
        return is_heard if departed is None else await self._departures.record(departed)

    def _mark_gone(self, target_id: str) -> Target | None:
        """Mark a target as gone and tell the entries; return None if it is unknown."""
        departed = self._registry.mark_gone(target_id, self._clock.monotonic_ms())
        if departed is not None:
            self._has_unsaved_changes = True
            log.info("target has left", target=target_id, serial=departed.serial)
            self._tell_entries(departed)
        return departed

    def receive(self, peer: str, message: TargetsHeard | TargetsNoted | TargetsCold) -> None:
        """Apply a message from another control host."""
        match message:
            case TargetsCold(news=news):
                now_ms = self._clock.monotonic_ms()
                changes = tuple(item for item in news if self._cold.record(item, now_ms))
                if changes:
                    self._entry_subscribers.send_optional(TargetsCold(changes))
            case TargetsHeard(batch=batch, targets=targets):
                sound = [target for target in targets if is_sound(target)]
                for target in sound:
                    self._register(target)
                if len(sound) < len(targets):
                    log.warning("odd targets ignored", peer=peer, odd=len(targets) - len(sound))
                elif batch:
                    self._departures.record_for(peer, batch, targets)
            case TargetsNoted(batch=batch):
                self._departures.receive_confirmation(peer, batch)

    def expire(self) -> None:
        """Tell the entries which targets no longer announce themselves."""
        self._cold.forget_old(self._clock.monotonic_ms())
        self._departures.forget(self._registry)
        for target in self._registry.expire(self._clock.monotonic_ms()):
            self._has_unsaved_changes = True
            log.warning("target is silent", target=target.target_id, address=target.address)
            self._untold_elsewhere.pop(target.target_id, None)
            self._entry_subscribers.send_to_all(TargetSilent(target.target_id))

    async def relay_renewals(self) -> None:
        """Send renewed announcements to the other control hosts, until cancelled.

        What is new of cold phases goes to the entries as well.
        """
        while True:
            await trio.sleep(RENEWAL_RELAY_INTERVAL_S)
            self._tell_cold()
            if self._renewals_to_relay:
                renewals = TargetsHeard(0, tuple(self._renewals_to_relay.values()))
                self._renewals_to_relay.clear()
                self._control_subscribers.send_to_all(renewals)

    def cold_targets(self) -> list[TargetsCold]:
        """Return the message on the targets that are cold, for a node that connects."""
        news = self._cold.cold_targets(self._clock.monotonic_ms())
        return [TargetsCold(news)] if news else []

    def _record_cold(self, news: ColdNews) -> None:
        now_ms = self._clock.monotonic_ms()
        if self._cold.record(news, now_ms):
            self._untold_cold[news.target_id] = news
            log.info(
                "target is cold" if news.left_ms > 0.0 else "target is not cold",
                target=news.target_id,
                born_ms=news.born_ms,
                serial=news.serial,
                left_ms=round(news.left_ms),
            )

    def _tell_cold(self) -> None:
        if self._untold_cold:
            message = TargetsCold(tuple(self._untold_cold.values()))
            self._untold_cold.clear()
            self._entry_subscribers.send_optional(message)
            self._control_subscribers.send_optional(message)

    def _register(self, target: Target) -> bool:
        """Register a target; if it is new or changed, tell the entries and return True."""
        is_new = self._registry.record_announcement(target, self._clock.monotonic_ms())
        if is_new:
            self._has_unsaved_changes = True
            log.info(
                "target announced",
                target=target.target_id,
                service=target.service,
                address=target.address,
                is_leaving=target.is_leaving,
                is_gone=target.is_gone,
                serial=target.serial,
            )
            self._tell_entries(target)
        return is_new

    def _tell_entries(self, target: Target) -> None:
        """Tell the entries of a change; those of other data centres get new targets in batches.

        A target that leaves is told to all at once.
        """
        if target.is_leaving:
            self._untold_elsewhere.pop(target.target_id, None)
            self._entry_subscribers.send_to_all(TargetTold(target))
        else:
            self._untold_elsewhere[target.target_id] = target
            self._entry_subscribers.send_to_group(self._data_centre, TargetTold(target))

    def tell_elsewhere(self) -> None:
        """Send the entries of other data centres the targets that have become known."""
        if self._untold_elsewhere:
            batch = pack_targets(self._untold_elsewhere.values())
            self._untold_elsewhere.clear()
            self._entry_subscribers.send_to_other_groups(self._data_centre, batch)
