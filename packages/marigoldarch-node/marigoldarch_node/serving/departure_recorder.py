"""Records departures of targets on the disks of several control hosts before they are acknowledged.

Load pattern: a target stays in use after its departure was acknowledged, since all control hosts were
killed at that moment and their files of targets were older.

Load pattern: a large part of a service's targets leaves in the same moment. All that wait share one sync.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.departures import DepartureRound, copies_needed
from marigoldarch.store.messages import TargetsHeard, TargetsNoted
from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Container

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.peer_stream import Subscribers
    from marigoldarch_node.storage.departure_file import DepartureFile

CONFIRMATION_TIMEOUT_MS: Millis = 500.0
"""How long the control hosts have to record a departure. Targets go to another one after a second."""

WRITE_RETRY_DELAY_S = 0.3

OWN = ""
"""Stands for this host among those that have recorded a departure."""

log = EventLog("targets")


class ControlHosts(NamedTuple):
    """How many control hosts are known, and how many lost disks the installation tolerates."""

    known: int
    tolerated_losses: int


class _Stage(NamedTuple):
    """Which announcement of a target's departure was recorded."""

    born_ms: int
    is_gone: bool


@dataclass
class _Waiting:
    """A round, and the event that wakes whoever waits for it."""

    round: DepartureRound
    is_recorded: trio.Event = field(default_factory=trio.Event)


class DepartureRecorder:
    """Records departures here and at the other control hosts.

    `control_hosts` returns how many there are, `remembered` the departures that are still remembered.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: ServingMetrics,
        subscribers: Subscribers,
        file: DepartureFile,
        control_hosts: Callable[[], ControlHosts],
        remembered: Callable[[], list[Target]],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._subscribers = subscribers
        self._file = file
        self._control_hosts = control_hosts
        self._remembered = remembered
        self._recorded: dict[str, _Stage] = {}
        self._unwritten: dict[str, Target] = {}
        self._on_written: list[Callable[[], None]] = []
        self._has_unwritten = trio.Event()
        self._last_batch = 0
        self._waiting: dict[int, _Waiting] = {}

    def load(self) -> list[Target]:
        """Return the departures that were recorded before a restart."""
        try:
            return self._file.load()
        except StorageError as error:
            log.warning("departures not restored", reason=str(error))
            return []

    async def run(self) -> None:
        """Write departures until cancelled, all that wait in one sync."""
        while True:
            await self._has_unwritten.wait()
            targets, callbacks = list(self._unwritten.values()), self._on_written
            self._on_written = []
            try:
                if targets:
                    await trio.to_thread.run_sync(self._file.append, targets)
            except StorageError as error:
                # Whoever waits asks another control host before long.
                log.warning("departures not written", targets=len(targets), reason=str(error))
                await trio.sleep(WRITE_RETRY_DELAY_S)
                continue
            for target in targets:
                if self._unwritten.get(target.target_id) is target:
                    del self._unwritten[target.target_id]
            for callback in callbacks:
                callback()
            await self._rewrite_if_due()
            if not self._unwritten and not self._on_written:
                self._has_unwritten = trio.Event()

    async def record(self, target: Target) -> bool:
        """Record the departure of a target; return whether enough control hosts have done so in time.

        Without that it may be lost, and must not be acknowledged.
        """
        stage = _Stage(target.born_ms, target.is_gone)
        if self._recorded.get(target.target_id) == stage:
            return True
        began_ms = self._clock.monotonic_ms()
        ended = await self._ask_hosts((target,))
        is_recorded = ended.is_recorded
        if is_recorded:
            self._recorded[target.target_id] = stage
        log.info(
            "departure recorded" if is_recorded else "departure not recorded",
            target=target.target_id,
            serial=target.serial,
            is_gone=target.is_gone,
            copies=len(ended.recorded_by),
            needed=ended.copies,
            waited_ms=round(self._clock.monotonic_ms() - began_ms),
        )
        self._metrics.departures.inc({"outcome": "recorded" if is_recorded else "unconfirmed"})
        return is_recorded

    async def hear_others(self) -> bool:
        """Return whether as many control hosts answer now as record a departure."""
        return (await self._ask_hosts(())).is_recorded

    async def _ask_hosts(self, targets: tuple[Target, ...]) -> DepartureRound:
        """Ask all control hosts to record departures, and wait until enough have, or for too long."""
        self._last_batch += 1
        batch = self._last_batch
        hosts = self._control_hosts()
        copies = copies_needed(hosts.tolerated_losses, hosts.known)
        waiting = self._waiting[batch] = _Waiting(DepartureRound(copies))
        self._subscribers.send_to_all(TargetsHeard(batch, targets))
        self._write(targets, lambda: self.receive_confirmation(OWN, batch))
        try:
            with trio.move_on_after(CONFIRMATION_TIMEOUT_MS / 1000.0):
                await waiting.is_recorded.wait()
        finally:
            del self._waiting[batch]
        return waiting.round

    def record_for(self, peer: str, batch: int, targets: Collection[Target]) -> None:
        """Record departures that another control host asks for, and confirm that to it."""
        self._write(targets, lambda: self._subscribers.send(peer, TargetsNoted(batch)))

    def receive_confirmation(self, host: str, batch: int) -> None:
        """Count a control host that has recorded the departures of a batch."""
        waiting = self._waiting.get(batch)
        if waiting is not None:
            waiting.round.recorded_by.add(host)
            if waiting.round.is_recorded:
                waiting.is_recorded.set()

    def forget(self, known_targets: Container[str]) -> None:
        """Forget which departures were recorded of targets that are no longer remembered."""
        for target_id in [item for item in self._recorded if item not in known_targets]:
            del self._recorded[target_id]

    def _write(self, targets: Collection[Target], on_written: Callable[[], None]) -> None:
        for target in targets:
            self._unwritten[target.target_id] = target
        self._on_written.append(on_written)
        self._has_unwritten.set()

    async def _rewrite_if_due(self) -> None:
        if not self._file.is_rewrite_due:
            return
        try:
            await trio.to_thread.run_sync(self._file.replace, self._remembered())
        except StorageError as error:
            log.warning("departures not rewritten", reason=str(error))
