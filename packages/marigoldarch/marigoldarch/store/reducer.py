"""The replicated document at one control host; each call returns the effects to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from marigoldarch.clock import Millis
from marigoldarch.control.commands import COMMANDS, Configure, Entry, PutDocument
from marigoldarch.control.dispatch import dispatch
from marigoldarch.control.replica import Replica
from marigoldarch.control.replication import NEVER_MS
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.serving.evacuations import EvacuationOrder, Evacuations
from marigoldarch.serving.presence import DATA_FORMAT
from marigoldarch.settings import ControlSettings
from marigoldarch.store.document import Document
from marigoldarch.store.membership import (
    HOST_ALIVE_TIMEOUT_MS,
    RECENT_ACK_MS,
    KnownHost,
    LeaderView,
    next_change,
)
from marigoldarch.store.messages import (
    EvacuationRequest,
    PutReply,
    PutRequest,
    ReadReply,
    ReadRequest,
)

if TYPE_CHECKING:
    from marigoldarch.control.durable import DurableState
    from marigoldarch.identifiers import ReplicaName

REQUEST_RETRY_MS: Millis = 150.0
"""A request to the leader is resent after this time.

Three round trips and two disk syncs take less than half of it.
"""

DOCUMENT_SAVE_DELAY_MS: Millis = 250.0
"""How long a committed document may be in the log alone. Load pattern: all hosts lose power. A host that
starts again knows what its snapshot holds to be committed, and the rest of its log only once a leader
is elected; until then entries would serve nothing. In a storm of changes several share one snapshot."""


class StoreSettings(NamedTuple):
    """Settings of the document's replica at one control host.

    `first_voters` are the hosts of the first configuration; empty except at the first start of an
    installation. `tolerated_losses` is how many disks may be lost at once.
    """

    host: str
    first_voters: tuple[str, ...]
    tolerated_losses: int
    control: ControlSettings
    seed: int = 0


@dataclass(frozen=True)
class DocumentStored:
    """Effect: the document of a put, or a newer one, is durable on a majority."""

    request_id: str


@dataclass(frozen=True)
class DocumentRead:
    """Effect: the result of a read; it covers every put acknowledged before the read."""

    request_id: str
    document: Document


@dataclass(frozen=True)
class DocumentChanged:
    """Effect: a newer document was applied at this host."""

    document: Document


@dataclass(frozen=True)
class EvacuationDecided:
    """Effect: an order has been applied; the evacuations tell whether it had an effect."""

    request_id: str
    evacuations: Evacuations


@dataclass(frozen=True)
class EvacuationsChanged:
    """Effect: a newer order was applied at this host."""

    evacuations: Evacuations


StoreEffect = (
    Effect
    | DocumentStored
    | DocumentRead
    | DocumentChanged
    | EvacuationDecided
    | EvacuationsChanged
)


@dataclass
class _PendingRequest:
    """A put, read or order of this host without an answer.

    `read_index` is the leader's answer to a read or an order, which waits until the log is applied
    up to it.
    """

    message: PutRequest | ReadRequest | EvacuationRequest
    expires_ms: Millis
    sent_ms: Millis = NEVER_MS
    read_index: int | None = None


class Store:
    """One host's replica, the document and the evacuations in its applied log, and its requests."""

    def __init__(self, settings: StoreSettings, durable: DurableState) -> None:
        self._settings = settings
        self._replica = Replica(
            settings.host, settings.first_voters, settings.control, durable, settings.seed
        )
        self._document = Document()
        self._evacuations = Evacuations()
        self._hosts: dict[str, KnownHost] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._unanswered_puts: dict[str, tuple[str, int]] = {}
        self._unanswered_orders: dict[str, tuple[str, int]] = {}
        self._puts_term = 0
        self._unsaved_since_ms: Millis | None = None
        self._started_ms: Millis = 0.0
        self._restore_snapshot()

    @property
    def document(self) -> Document:
        """Return the latest document that this host knows to be committed."""
        return self._document

    @property
    def evacuations(self) -> Evacuations:
        """Return the latest evacuations that this host knows to be committed."""
        return self._evacuations

    @property
    def replica(self) -> Replica:
        """Return the replica, for reports of its status."""
        return self._replica

    def start(self, now_ms: Millis) -> list[StoreEffect]:
        """Start the replica from its durable state."""
        self._started_ms = now_ms
        return [*self._replica.start(now_ms), *self._process_log(now_ms)]

    def tick(self, hosts: dict[str, KnownHost], now_ms: Millis) -> list[StoreEffect]:
        """Advance timers, change the membership if hosts came or went, and resend requests."""
        self._hosts = hosts
        effects: list[StoreEffect] = [*self._replica.tick(now_ms)]
        effects += self._change_membership(hosts, now_ms)
        effects += self._send_pending(now_ms)
        return effects + self._process_log(now_ms)

    def put(
        self, request_id: str, document: Document, expires_ms: Millis, now_ms: Millis
    ) -> list[StoreEffect]:
        """Store a document; a `DocumentStored` follows, or nothing if it fails by `expires_ms`."""
        message = PutRequest(request_id, document.version, document.text)
        self._pending[request_id] = _PendingRequest(message, expires_ms)
        return self._send_pending(now_ms) + self._process_log(now_ms)

    def read(self, request_id: str, expires_ms: Millis, now_ms: Millis) -> list[StoreEffect]:
        """Read the latest document; a `DocumentRead` follows, or nothing by `expires_ms`."""
        self._pending[request_id] = _PendingRequest(ReadRequest(request_id), expires_ms)
        return self._send_pending(now_ms) + self._process_log(now_ms)

    def order(
        self, request_id: str, order: EvacuationOrder, expires_ms: Millis, now_ms: Millis
    ) -> list[StoreEffect]:
        """Log an order; an `EvacuationDecided` follows, or nothing if it fails by `expires_ms`."""
        self._pending[request_id] = _PendingRequest(
            EvacuationRequest(request_id, order), expires_ms
        )
        return self._send_pending(now_ms) + self._process_log(now_ms)

    def cancel(self, request_id: str) -> None:
        """Drop a pending request."""
        self._pending.pop(request_id, None)

    def persisted(self, persist_id: int, now_ms: Millis) -> list[StoreEffect]:
        """Record that the writes up to `persist_id` are durable."""
        effects: list[StoreEffect] = [*self._replica.on_persisted(persist_id, now_ms)]
        return effects + self._process_log(now_ms)

    def transfer_leadership(self, now_ms: Millis) -> list[StoreEffect]:
        """Transfer leadership to another voter before a planned stop."""
        return [*self._replica.transfer_leadership(now_ms)]

    def receive(self, sender: str, message: object, now_ms: Millis) -> list[StoreEffect]:
        """Handle a message of another control host."""
        effects: list[StoreEffect] = []
        match message:
            case PutRequest():
                effects += self._on_put(sender, message, now_ms)
            case PutReply(request_id=request_id):
                if self._pending.pop(request_id, None) is not None:
                    effects.append(DocumentStored(request_id))
            case ReadRequest():
                effects += self._on_read(sender, message, now_ms)
            case EvacuationRequest():
                effects += self._on_order(sender, message, now_ms)
            case ReadReply(request_id=request_id, index=index):
                pending = self._pending.get(request_id)
                if pending is not None and pending.read_index is None:
                    pending.read_index = index
            case _:
                effects += dispatch(self._replica, sender, message, now_ms)
        return effects + self._process_log(now_ms)

    def _send_pending(self, now_ms: Millis) -> list[StoreEffect]:
        """Send the pending requests that are due to the leader, and drop expired ones."""
        effects: list[StoreEffect] = []
        for request_id, pending in list(self._pending.items()):
            if now_ms >= pending.expires_ms:
                del self._pending[request_id]
                continue
            is_due = now_ms >= pending.sent_ms + REQUEST_RETRY_MS
            leader = self._replica.leader
            if pending.read_index is not None or not leader or not is_due:
                continue
            if isinstance(pending.message, EvacuationRequest) and not self._applies_orders(leader):
                continue
            pending.sent_ms = now_ms
            effects.append(Send(leader, pending.message))
        return effects

    def _on_put(self, sender: str, message: PutRequest, now_ms: Millis) -> list[StoreEffect]:
        if not self._is_authoritative(now_ms):
            return []
        if message.version <= self._document.version:
            return [Send(sender, PutReply(message.request_id))]
        if message.request_id in self._unanswered_puts:
            return []
        self._unanswered_puts[message.request_id] = (sender, message.version)
        if any(
            version >= message.version and request_id != message.request_id
            for request_id, (_, version) in self._unanswered_puts.items()
        ):
            # This or a higher version is in the log; the put is answered when that is applied.
            return []
        return [*self._replica.propose(PutDocument(message.version, message.text), now_ms)[1]]

    def _on_read(self, sender: str, message: ReadRequest, now_ms: Millis) -> list[StoreEffect]:
        if not self._is_authoritative(now_ms):
            return []
        return [Send(sender, ReadReply(message.request_id, self._replica.commit_index))]

    def _on_order(
        self, sender: str, message: EvacuationRequest, now_ms: Millis
    ) -> list[StoreEffect]:
        """Log an order, unless the state that it is based on has changed."""
        if not self._is_authoritative(now_ms) or not self._do_voters_apply_orders(now_ms):
            return []
        request_id, order = message.request_id, message.order
        if order.base_revision < self._evacuations.revision:
            return [Send(sender, ReadReply(request_id, self._replica.commit_index))]
        if request_id in self._unanswered_orders:
            return []
        index, effects = self._replica.propose(PutDocument(0, "", order), now_ms)
        self._unanswered_orders[request_id] = (sender, index)
        return [*effects]

    def _applies_orders(self, host: str) -> bool:
        known = self._hosts.get(host)
        return known is not None and known.data_format >= DATA_FORMAT

    def _do_voters_apply_orders(self, now_ms: Millis) -> bool:
        """Return whether every voter keeps orders in its state.

        One of an earlier build drops them with its next snapshot. A voter that has not been heard
        from since this host's start counts if it acknowledges entries, or may just not have had the
        time for a hello; otherwise it is down, and others make the majority.
        """
        replica = self._replica
        for voter in replica.configuration.voters:
            if self._applies_orders(voter.node):
                continue
            progress = replica.progress_of(voter)
            is_acking = progress is not None and progress.acked_ms >= now_ms - RECENT_ACK_MS
            is_starting = now_ms < self._started_ms + HOST_ALIVE_TIMEOUT_MS
            if voter.node in self._hosts or is_acking or is_starting:
                return False
        return True

    def _is_authoritative(self, now_ms: Millis) -> bool:
        """Return whether this host is leader and has applied everything acknowledged so far.

        It also requires a majority larger than the tolerated losses: a smaller one could be lost at
        once, and with it an acknowledged document.
        """
        replica = self._replica
        tolerates_losses = replica.configuration.majority > self._settings.tolerated_losses
        return tolerates_losses and replica.is_caught_up and replica.has_leader_lease(now_ms)

    def _change_membership(self, hosts: dict[str, KnownHost], now_ms: Millis) -> list[StoreEffect]:
        replica = self._replica
        may_change = replica.is_leader and replica.is_caught_up and replica.has_leader_lease(now_ms)
        if not may_change or not replica.is_configuration_committed:
            return []

        def is_synced(name: ReplicaName) -> bool:
            progress = replica.progress_of(name)
            if progress is None or progress.acked_ms < now_ms - RECENT_ACK_MS:
                return False
            return progress.match_index >= replica.commit_index

        def acked_ms(name: ReplicaName) -> Millis:
            progress = replica.progress_of(name)
            return progress.acked_ms if progress else NEVER_MS

        view = LeaderView(
            replica.name,
            hosts,
            is_synced,
            acked_ms,
            self._started_ms,
            self._settings.tolerated_losses,
        )
        change = next_change(replica.configuration, view, now_ms)
        if change is None:
            return []
        fields = {
            "reason": change.reason,
            "replica": str(change.replica),
            "voters": [str(voter) for voter in change.configuration.voters],
            "learners": [str(learner) for learner in change.configuration.learners],
        }
        command = Configure(change.configuration)
        return [RecordEvent("membership_changed", fields), *replica.propose(command, now_ms)[1]]

    def _process_log(self, now_ms: Millis) -> list[StoreEffect]:
        """Apply committed entries, answer requests that waited for them, and compact the log."""
        previous_version = self._document.version
        previous_revision = self._evacuations.revision
        self._restore_snapshot()
        restored = (self._document.version, self._evacuations.revision)
        for entry in self._replica.take_committed():
            self._apply(entry)
        effects: list[StoreEffect] = []
        if self._document.version > previous_version:
            effects.append(DocumentChanged(self._document))
        if self._evacuations.revision > previous_revision:
            effects.append(EvacuationsChanged(self._evacuations))
        effects += self._answer_puts()
        effects += self._answer_reads()
        if self._unsaved_since_ms is None and self._document.version > restored[0]:
            self._unsaved_since_ms = now_ms
        # Orders are rare. From a snapshot this host tells them to entries at its next start at once,
        # when a leader has yet to be elected.
        has_new_order = self._evacuations.revision > restored[1]
        if has_new_order or self._replica.is_snapshot_due or self._is_document_due(now_ms):
            self._unsaved_since_ms = None
            effects += self._replica.save_snapshot(self._snapshot_state())
        return effects

    def _is_document_due(self, now_ms: Millis) -> bool:
        """Return whether the document has been in the log alone for long enough."""
        since_ms = self._unsaved_since_ms
        return since_ms is not None and now_ms >= since_ms + DOCUMENT_SAVE_DELAY_MS

    def _restore_snapshot(self) -> None:
        snapshot = self._replica.take_snapshot_to_restore()
        if snapshot is not None and snapshot.state:
            document = Document(snapshot.state["version"], snapshot.state["text"])
            self._document = max(self._document, document)
            # A snapshot of a host of an earlier build has no evacuations.
            plain = snapshot.state.get("evacuations", ())
            self._evacuations = max(self._evacuations, msgspec.convert(plain, Evacuations))

    def _snapshot_state(self) -> dict[str, Any]:
        state = self._document._asdict()
        if self._evacuations.revision:
            state["evacuations"] = self._evacuations
        return state

    def _apply(self, entry: Entry) -> None:
        command = COMMANDS.from_plain(entry.command)
        if not isinstance(command, PutDocument):
            return
        if command.evacuation is not None:
            self._evacuations = self._evacuations.after(command.evacuation, entry.index)
        elif command.version > self._document.version:
            self._document = Document(command.version, command.text)

    def _answer_puts(self) -> list[StoreEffect]:
        """Answer the puts and orders received in this term as leader.

        Others are resent to the new leader.
        """
        if not self._replica.is_leader or self._replica.term != self._puts_term:
            self._unanswered_puts.clear()
            self._unanswered_orders.clear()
            self._puts_term = self._replica.term
        done = [
            request_id
            for request_id, (_, version) in self._unanswered_puts.items()
            if version <= self._document.version
        ]
        effects = [Send(self._unanswered_puts.pop(item)[0], PutReply(item)) for item in done]
        for request_id, (sender, index) in list(self._unanswered_orders.items()):
            if self._replica.applied_index >= index:
                del self._unanswered_orders[request_id]
                effects.append(Send(sender, ReadReply(request_id, index)))
        return effects

    def _answer_reads(self) -> list[StoreEffect]:
        done = [
            request_id
            for request_id, pending in self._pending.items()
            if pending.read_index is not None and self._replica.applied_index >= pending.read_index
        ]
        return [self._answer_of(self._pending.pop(request_id)) for request_id in done]

    def _answer_of(self, pending: _PendingRequest) -> StoreEffect:
        match pending.message:
            case EvacuationRequest(request_id=request_id):
                return EvacuationDecided(request_id, self._evacuations)
            case message:
                return DocumentRead(message.request_id, self._document)
