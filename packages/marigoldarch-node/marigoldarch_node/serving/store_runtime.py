"""Runs the store of a control host: passes events to it and executes its effects in order."""

from __future__ import annotations

import secrets
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import trio

from marigoldarch.effects import Checkpoint, Persist, RecordEvent, Send
from marigoldarch.exceptions import StorageError
from marigoldarch.store.reducer import (
    Document,
    DocumentChanged,
    DocumentRead,
    DocumentStored,
    EvacuationDecided,
    EvacuationsChanged,
    Store,
    StoreEffect,
)
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.storage.batches import write_batch

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.evacuations import EvacuationOrder, Evacuations
    from marigoldarch.store.membership import KnownHost
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.storage.folder import DataFolder

TICK_INTERVAL_S = 0.05
WRITE_RETRY_DELAY_S = 0.3
"""How long to wait before a failed write is retried."""

log = EventLog("store")


class StoreRuntime:
    """Executes the effects that the store's reducer returns: writes, sends and replies.

    `on_document` is called with each newly committed document, `on_evacuations` after each newly
    committed order.
    """

    def __init__(
        self,
        store: Store,
        folder: DataFolder,
        clock: Clock,
        metrics: ServingMetrics,
        send: Callable[[str, object], None],
    ) -> None:
        self._store = store
        self._folder = folder
        self._clock = clock
        self._metrics = metrics
        self._send_to_peer = send
        self._write_queue: deque[Persist | Checkpoint] = deque()
        self._write_queued = trio.Event()
        self._synced_persist_id = 0
        self._sends_awaiting_sync: deque[Send] = deque()
        self._replies: dict[str, trio.MemorySendChannel[Document | Evacuations]] = {}
        self._role = ""
        self.on_document: Callable[[Document], None] = lambda _: None
        self.on_evacuations: Callable[[], None] = lambda: None

    @property
    def store(self) -> Store:
        """Return the store's reducer, for status."""
        return self._store

    async def run(self, hosts: Callable[[], dict[str, KnownHost]]) -> None:
        """Start the store and drive it until cancelled; `hosts` returns the known control hosts."""
        self.execute(self._store.start(self._clock.monotonic_ms()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_log_writer)
            while True:
                self.execute(self._store.tick(hosts(), self._clock.monotonic_ms()))
                self._log_role()
                await trio.sleep(TICK_INTERVAL_S)

    async def put(self, document: Document, timeout_ms: Millis) -> bool:
        """Store a document; return whether it or a newer one is known to be durable in time."""

        def start(request_id: str, deadline_ms: Millis, now_ms: Millis) -> list[StoreEffect]:
            return self._store.put(request_id, document, deadline_ms, now_ms)

        return await self._request(start, timeout_ms) is not None

    async def read(self, timeout_ms: Millis) -> Document | None:
        """Return the newest document, None if a majority does not confirm it in time."""
        return await self._request(self._store.read, timeout_ms)

    async def order(self, order: EvacuationOrder, timeout_ms: Millis) -> Evacuations | None:
        """Log an order; return the evacuations once it has been applied, None if not in time."""

        def start(request_id: str, deadline_ms: Millis, now_ms: Millis) -> list[StoreEffect]:
            return self._store.order(request_id, order, deadline_ms, now_ms)

        return await self._request(start, timeout_ms)

    def receive(self, sender: str, message: object) -> None:
        """Pass on a message from another control host."""
        self.execute(self._store.receive(sender, message, self._clock.monotonic_ms()))

    def transfer_leadership(self) -> None:
        """Transfer leadership to another control host before a planned stop."""
        self.execute(self._store.transfer_leadership(self._clock.monotonic_ms()))

    async def _request(
        self, start: Callable[[str, Millis, Millis], list[StoreEffect]], timeout_ms: Millis
    ) -> Any:
        """Start a request of the store with an id, a deadline and the time; return its answer."""
        request_id = secrets.token_hex(8)
        sender, receiver = trio.open_memory_channel(1)
        self._replies[request_id] = sender
        now_ms = self._clock.monotonic_ms()
        deadline_ms = now_ms + timeout_ms
        try:
            self.execute(start(request_id, deadline_ms, now_ms))
            with trio.move_on_after(timeout_ms / 1000.0):
                return await receiver.receive()
            return None
        finally:
            del self._replies[request_id]
            self._store.cancel(request_id)

    def execute(self, effects: list[StoreEffect]) -> None:
        """Execute effects in order, and those that messages of this host to itself cause."""
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            match effect:
                case Send():
                    pending.extend(self._send(effect))
                case Persist() | Checkpoint():
                    self._write_queue.append(effect)
                    self._write_queued.set()
                case RecordEvent(kind=kind, fields=fields):
                    log.info(kind, **fields)
                case DocumentStored(request_id=request_id):
                    self._reply(request_id, self._store.document)
                case DocumentRead(request_id=request_id, document=document):
                    self._reply(request_id, document)
                case DocumentChanged(document=document):
                    log.info("document committed", version=document.version)
                    self.on_document(document)
                case EvacuationDecided(request_id=request_id, evacuations=evacuations):
                    self._reply(request_id, evacuations)
                case EvacuationsChanged(evacuations=evacuations):
                    log.info(
                        "evacuations committed",
                        revision=evacuations.revision,
                        data_centres=evacuations.data_centres,
                    )
                    self.on_evacuations()

    def _send(self, effect: Send) -> list[StoreEffect]:
        """Send a message when its record is synced; return the effects of one to this host."""
        if effect.after_persist_id > self._synced_persist_id:
            self._sends_awaiting_sync.append(effect)
            return []
        own_node = self._store.replica.name.node
        if effect.node == own_node:
            return self._store.receive(own_node, effect.message, self._clock.monotonic_ms())
        self._send_to_peer(effect.node, effect.message)
        return []

    def _reply(self, request_id: str, answer: Document | Evacuations) -> None:
        channel = self._replies.get(request_id)
        if channel is not None:
            channel.send_nowait(answer)

    async def _run_log_writer(self) -> None:
        """Write and sync all queued records in one batch, in a thread."""
        while True:
            while not self._write_queue:
                self._write_queued = trio.Event()
                await self._write_queued.wait()
            batch = list(self._write_queue)
            began_s = time.perf_counter()
            try:
                await trio.to_thread.run_sync(write_batch, self._folder, batch)
            except StorageError as error:
                log.error("the disk refuses a write", reason=str(error))
                await trio.sleep(WRITE_RETRY_DELAY_S)
                await trio.to_thread.run_sync(self._folder.discard_partial_write)
                continue
            for _ in batch:
                self._write_queue.popleft()
            self._metrics.log_sync.observe({}, time.perf_counter() - began_s)
            self._on_synced(batch[-1].persist_id)

    def _on_synced(self, persist_id: int) -> None:
        self._synced_persist_id = persist_id
        ready = [send for send in self._sends_awaiting_sync if send.after_persist_id <= persist_id]
        self._sends_awaiting_sync = deque(
            send for send in self._sends_awaiting_sync if send.after_persist_id > persist_id
        )
        self.execute([*ready])
        self.execute(self._store.persisted(persist_id, self._clock.monotonic_ms()))

    def _log_role(self) -> None:
        replica = self._store.replica
        role = f"{replica.role} in term {replica.term}"
        if role != self._role:
            self._role = role
            log.info(
                "role",
                role=str(replica.role),
                term=replica.term,
                leader=replica.leader,
                voters=[str(voter) for voter in replica.configuration.voters],
            )
