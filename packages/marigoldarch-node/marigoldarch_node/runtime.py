"""The run loop of a node, which feeds events to the reducer and executes its effects."""

from __future__ import annotations

import random
import time
from collections import deque
from typing import TYPE_CHECKING

import trio
from aioprometheus import Registry

from marigoldarch.effects import (
    CallTarget,
    CancelCall,
    Checkpoint,
    Effect,
    Exit,
    OperatorReply,
    OrderTarget,
    Persist,
    RecordEvent,
    ReleaseMemory,
    Reply,
    Send,
)
from marigoldarch.events import Event, MessageArrived, Persisted, Started, TargetCommandEnded, Tick
from marigoldarch.exceptions import NodeFailedError
from marigoldarch.reducer import NodeState, reduce
from marigoldarch_node.attempts import AttemptRunner
from marigoldarch_node.calls import CallTable
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.edge.forwarding import Forwarders, ForwardRoutes
from marigoldarch_node.edge.peer_links import LinkSettings, PeerLinks
from marigoldarch_node.edge.target_client import TargetClient
from marigoldarch_node.logs import get_logger
from marigoldarch_node.metrics import Metrics
from marigoldarch_node.security.credential_store import CredentialStore
from marigoldarch_node.storage.batches import write_batch
from marigoldarch_node.storage.folder import DataFolder
from marigoldarch_node.timeline.recorder import TimelineRecorder

if TYPE_CHECKING:
    from marigoldarch_node.config.node import NodeSettings

TICK_INTERVAL_S = 0.05

log = get_logger("runtime")


class Runtime:
    """A running node: the reducer's state and the components that execute its effects."""

    def __init__(self, settings: NodeSettings) -> None:
        core = settings.core
        self.settings = settings
        self.clock = SystemClock()
        self.calls = CallTable()
        self.metrics = Metrics(core.pools.prefill_tokens_per_s, Registry())
        self.recorder = TimelineRecorder(core.node, settings.timeline_file)
        self.security = CredentialStore(settings)
        self.keys = self.security.keys
        link_settings = LinkSettings(
            core.node,
            settings.peer_key,
            self.clock,
            self.recorder,
            self.keys,
            self.security.peer_tls,
        )
        self.links = PeerLinks(link_settings, core.peers, self.submit)
        forwarders = Forwarders(core.address, core.peers, settings.peer_key, random.Random())
        self.client = TargetClient(forwarders, self.security.peer_tls)
        self.forwarding = ForwardRoutes(self.client.connections, self.keys)
        self.attempts = AttemptRunner(self.calls, self.client, self.clock, self.submit)
        self.stopped = trio.Event()
        self.operator_replies: dict[str, trio.MemorySendChannel] = {}
        self._data_folder: DataFolder | None = None
        stored_state = None
        if core.hosts_replica:
            self._data_folder = DataFolder(settings.data_folder, core.node, settings.installation)
            stored_state = self._data_folder.open()
        self.state = NodeState(core, stored_state)
        self._failure: NodeFailedError | None = None
        self._nursery: trio.Nursery | None = None
        self._write_queue: deque[Persist | Checkpoint] = deque()
        self._write_queued = trio.Event()
        self._synced_persist_id = 0
        self._sends_awaiting_sync: deque[Send] = deque()

    def submit(self, event: Event) -> None:
        """Reduce an event and execute the effects.

        Raises `NodeFailedError`, and stops the node, when the reducer raises an exception: its
        state may then be partly updated, and acting on it could violate a guarantee. All later
        events raise the same error.
        """
        if self._failure is not None:
            raise self._failure
        with self.metrics.count_cpu_time(event):
            self.metrics.on_event(event)
            try:
                effects = reduce(self.state, event)
            except Exception as error:
                self._stop_with_failure(event, error)
            for effect in effects:
                self.metrics.on_effect(effect)
                self._execute(effect)

    def _stop_with_failure(self, event: Event, error: Exception) -> None:
        kind = type(event).__name__
        log.critical("The reducer failed on {} with {}.", kind, type(error).__name__, exc_info=True)
        self._failure = NodeFailedError(f"the reducer failed on {kind} with {type(error).__name__}")
        self.stopped.set()
        raise self._failure from error

    async def run(self) -> None:
        """Run until the node has stopped; raise `NodeFailedError` if it stopped on a failure."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.links.run)
            nursery.start_soon(self._run_log_writer)
            nursery.start_soon(self.security.watch)
            nursery.start_soon(self.client.run)
            self.submit(Started(self.clock.monotonic_ms()))
            nursery.start_soon(self._run_ticks)
            await self.stopped.wait()
            nursery.cancel_scope.cancel()
        if self._data_folder is not None:
            self._data_folder.close()
        if self._failure is not None:
            raise self._failure

    async def _run_ticks(self) -> None:
        while True:
            self.submit(Tick(self.clock.monotonic_ms()))
            await trio.sleep(TICK_INTERVAL_S)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send():
                self._send(effect)
            case Persist() | Checkpoint():
                self._write_queue.append(effect)
                self._write_queued.set()
            case Reply():
                self.calls.finish(effect.request_id, effect.outcome)
            case CallTarget():
                self._nursery.start_soon(self.attempts.run, effect)
            case CancelCall():
                self.attempts.cancel(effect.request_id, effect.attempt)
            case ReleaseMemory():
                self._nursery.start_soon(self._release_memory, effect)
            case OrderTarget():
                self._nursery.start_soon(self._order_target, effect)
            case OperatorReply():
                self._reply_to_operator(effect)
            case RecordEvent():
                self.recorder.record(effect, self.clock.wall_ms())
            case Exit():
                self.stopped.set()

    def _send(self, effect: Send) -> None:
        if effect.after_persist_id > self._synced_persist_id:
            self._sends_awaiting_sync.append(effect)
        elif effect.node == self.settings.core.node:
            event = MessageArrived(self.clock.monotonic_ms(), effect.node, effect.message)
            self.submit(event)
        else:
            self.links.send(effect.node, effect.message)

    async def _run_log_writer(self) -> None:
        """Write and sync pending records in batches, in a worker thread."""
        while True:
            while not self._write_queue:
                self._write_queued = trio.Event()
                await self._write_queued.wait()
            batch = list(self._write_queue)
            self._write_queue.clear()
            started_s = time.perf_counter()
            await trio.to_thread.run_sync(write_batch, self._data_folder, batch)
            self.metrics.on_log_synced(time.perf_counter() - started_s)
            self._on_synced(batch[-1].persist_id)

    def _on_synced(self, persist_id: int) -> None:
        self._synced_persist_id = persist_id
        unsynced = [
            send for send in self._sends_awaiting_sync if send.after_persist_id > persist_id
        ]
        ready = [send for send in self._sends_awaiting_sync if send.after_persist_id <= persist_id]
        self._sends_awaiting_sync = deque(unsynced)
        for send in ready:
            self._send(send)
        self.submit(Persisted(self.clock.monotonic_ms(), persist_id))

    async def _release_memory(self, effect: ReleaseMemory) -> None:
        is_confirmed = await self.client.release_permit(effect.target, effect.permit)
        self._submit_command_ended(effect, str(effect.permit), is_confirmed)

    async def _order_target(self, effect: OrderTarget) -> None:
        is_confirmed = await self.client.send_order(effect)
        self._submit_command_ended(effect, effect.order_id, is_confirmed)

    def _submit_command_ended(
        self, effect: ReleaseMemory | OrderTarget, command_id: str, is_confirmed: bool
    ) -> None:
        now_ms = self.clock.monotonic_ms()
        permit = effect.permit if isinstance(effect, ReleaseMemory) else None
        self.submit(
            TargetCommandEnded(
                now_ms, effect.pool, effect.target.target, command_id, is_confirmed, permit
            )
        )

    def _reply_to_operator(self, effect: OperatorReply) -> None:
        channel = self.operator_replies.pop(effect.request_id, None)
        if channel is not None:
            channel.send_nowait(effect.body)
