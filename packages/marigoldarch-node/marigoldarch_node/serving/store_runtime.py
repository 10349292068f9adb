"""The store of a control host with its disk: events in, effects carried out in their order."""

from __future__ import annotations

import secrets
import time
from collections import deque
from typing import TYPE_CHECKING

import trio

from marigoldarch.effects import Checkpoint, Persist, Record, Send
from marigoldarch.exceptions import StorageError
from marigoldarch.store.reducer import (
    Document,
    DocumentChanged,
    DocumentRead,
    DocumentStored,
    Store,
    StoreEffect,
)
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.storage.batches import write_batch

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.store.membership import KnownHost
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.storage.folder import DataFolder

TICK_S = 0.05
DISK_RETRY_S = 0.3
"""How often a write that the disk refuses is tried again."""

log = EventLog("store")


class StoreRuntime:
    """Carry out what the store's reducer returns."""

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
        self._persists: deque[Persist | Checkpoint] = deque()
        self._persist_wakeup = trio.Event()
        self._synced_id = 0
        self._held: deque[Send] = deque()
        self._replies: dict[str, trio.MemorySendChannel[Document | None]] = {}
        self._role = ""
        self.on_document: Callable[[Document], None] = lambda _: None

    @property
    def store(self) -> Store:
        """Return the reducer, for status."""
        return self._store

    async def run(self, hosts: Callable[[], dict[str, KnownHost]]) -> None:
        """Run until cancelled."""
        self.carry_out(self._store.start(self._clock.monotonic_ms()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_log)
            while True:
                self.carry_out(self._store.tick(hosts(), self._clock.monotonic_ms()))
                self._log_role()
                await trio.sleep(TICK_S)

    async def put(self, document: Document, timeout_ms: Millis) -> bool:
        """Store a document; return whether it or a newer one is durable."""
        return await self._ask(document, timeout_ms) is not None

    async def read(self, timeout_ms: Millis) -> Document | None:
        """Return the newest document, None if this host cannot be sure of it in time."""
        return await self._ask(None, timeout_ms)

    def receive(self, sender: str, message: object) -> None:
        """Take a message of another control host."""
        self.carry_out(self._store.receive(sender, message, self._clock.monotonic_ms()))

    def hand_over(self) -> None:
        """Give leadership up before a planned stop."""
        self.carry_out(self._store.hand_over(self._clock.monotonic_ms()))

    async def _ask(self, document: Document | None, timeout_ms: Millis) -> Document | None:
        request_id = secrets.token_hex(8)
        sender, receiver = trio.open_memory_channel(1)
        self._replies[request_id] = sender
        now_ms = self._clock.monotonic_ms()
        ends_ms = now_ms + timeout_ms
        try:
            if document is None:
                self.carry_out(self._store.read(request_id, ends_ms, now_ms))
            else:
                self.carry_out(self._store.put(request_id, document, ends_ms, now_ms))
            with trio.move_on_after(timeout_ms / 1000.0):
                return await receiver.receive()
            return None
        finally:
            del self._replies[request_id]
            self._store.forget(request_id)

    def carry_out(self, effects: list[StoreEffect]) -> None:
        """Carry out effects; those of own messages follow at once."""
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            match effect:
                case Send():
                    pending.extend(self._send(effect))
                case Persist() | Checkpoint():
                    self._persists.append(effect)
                    self._persist_wakeup.set()
                case Record(kind=kind, fields=fields):
                    log.info(kind, **fields)
                case DocumentStored(request_id=request_id):
                    self._reply(request_id, self._store.document)
                case DocumentRead(request_id=request_id, document=document):
                    self._reply(request_id, document)
                case DocumentChanged(document=document):
                    log.info("document committed", version=document.version)
                    self.on_document(document)

    def _send(self, effect: Send) -> list[StoreEffect]:
        if effect.after > self._synced_id:
            self._held.append(effect)
            return []
        own = self._store.replica.name.node
        if effect.node == own:
            return self._store.receive(own, effect.message, self._clock.monotonic_ms())
        self._send_to_peer(effect.node, effect.message)
        return []

    def _reply(self, request_id: str, document: Document) -> None:
        channel = self._replies.get(request_id)
        if channel is not None:
            channel.send_nowait(document)

    async def _write_log(self) -> None:
        """Sync all records that wait with one write, off the event loop."""
        while True:
            while not self._persists:
                self._persist_wakeup = trio.Event()
                await self._persist_wakeup.wait()
            batch = list(self._persists)
            began_s = time.perf_counter()
            try:
                await trio.to_thread.run_sync(write_batch, self._folder, batch)
            except StorageError as error:
                log.error("the disk refuses a write", reason=str(error))
                await trio.sleep(DISK_RETRY_S)
                await trio.to_thread.run_sync(self._folder.discard_partial_write)
                continue
            for _ in batch:
                self._persists.popleft()
            self._metrics.sync.observe({}, time.perf_counter() - began_s)
            self._on_synced(batch[-1].persist_id)

    def _on_synced(self, persist_id: int) -> None:
        self._synced_id = persist_id
        ready = [send for send in self._held if send.after <= persist_id]
        self._held = deque(send for send in self._held if send.after > persist_id)
        self.carry_out([*ready])
        self.carry_out(self._store.persisted(persist_id, self._clock.monotonic_ms()))

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
