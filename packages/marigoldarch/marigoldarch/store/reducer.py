"""The replicated document of one control host: events in, effects out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.commands import COMMANDS, Configure, Entry, PutDocument
from marigoldarch.control.delivery import deliver
from marigoldarch.control.replica import Replica
from marigoldarch.control.replication import NEVER_MS
from marigoldarch.effects import Effect, RecordEvent, Send
from marigoldarch.settings import ControlSettings
from marigoldarch.store.membership import IN_TOUCH_MS, KnownHost, LeaderView, next_change
from marigoldarch.store.messages import PutReply, PutRequest, ReadReply, ReadRequest

if TYPE_CHECKING:
    from marigoldarch.control.durable import DurableState
    from marigoldarch.identifiers import ReplicaName

FORWARD_INTERVAL_MS: Millis = 150.0
"""A request to the leader is repeated after this time: three round trips and two syncs take less
than half of it."""


class StoreSettings(NamedTuple):
    """How one control host holds the document.

    `first_voters` are the hosts of the first configuration, empty but at an installation's first
    start. `tolerated_losses` is how many disks may be lost at once.
    """

    host: str
    first_voters: tuple[str, ...]
    tolerated_losses: int
    control: ControlSettings
    seed: int = 0


class Document(NamedTuple):
    """The stored text; version 0 is that of no document."""

    version: int = 0
    text: str = ""


@dataclass(frozen=True)
class DocumentStored:
    """The document asked for, or a newer one, is durable."""

    request_id: str


@dataclass(frozen=True)
class DocumentRead:
    """The newest document of everything acknowledged before the read."""

    request_id: str
    document: Document


@dataclass(frozen=True)
class DocumentChanged:
    """A newer document is committed."""

    document: Document


StoreEffect = Effect | DocumentStored | DocumentRead | DocumentChanged


@dataclass
class _Waiting:
    """A put or read of this host that waits for the leader."""

    message: PutRequest | ReadRequest
    ends_ms: Millis
    sent_ms: Millis = NEVER_MS
    index: int | None = None


class Store:
    """One host's replica with the document it leads to, and the requests that wait here."""

    def __init__(self, settings: StoreSettings, durable: DurableState) -> None:
        self._settings = settings
        self._replica = Replica(
            settings.host, settings.first_voters, settings.control, durable, settings.seed
        )
        self._document = Document()
        self._waiting: dict[str, _Waiting] = {}
        self._puts: dict[str, tuple[str, int]] = {}
        self._led_term = 0
        self._started_ms: Millis = 0.0
        self._restore()

    @property
    def document(self) -> Document:
        """Return the newest document that this host knows to be committed."""
        return self._document

    @property
    def replica(self) -> Replica:
        """Return the replica, for status."""
        return self._replica

    def start(self, now_ms: Millis) -> list[StoreEffect]:
        """Begin with what the disk held."""
        self._started_ms = now_ms
        return [*self._replica.start(now_ms), *self._follow_log(now_ms)]

    def tick(self, hosts: dict[str, KnownHost], now_ms: Millis) -> list[StoreEffect]:
        """Act on the time, and change the configuration where hosts came or went."""
        effects: list[StoreEffect] = [*self._replica.tick(now_ms)]
        effects += self._change_membership(hosts, now_ms)
        effects += self._serve_waiting(now_ms)
        return effects + self._follow_log(now_ms)

    def put(
        self, request_id: str, document: Document, ends_ms: Millis, now_ms: Millis
    ) -> list[StoreEffect]:
        """Store a document; answered by `DocumentStored`, or not at all."""
        message = PutRequest(request_id, document.version, document.text)
        self._waiting[request_id] = _Waiting(message, ends_ms)
        return self._serve_waiting(now_ms) + self._follow_log(now_ms)

    def read(self, request_id: str, ends_ms: Millis, now_ms: Millis) -> list[StoreEffect]:
        """Read the newest document; answered by `DocumentRead`, or not at all."""
        self._waiting[request_id] = _Waiting(ReadRequest(request_id), ends_ms)
        return self._serve_waiting(now_ms) + self._follow_log(now_ms)

    def forget(self, request_id: str) -> None:
        """Drop a request that nobody waits for any more."""
        self._waiting.pop(request_id, None)

    def persisted(self, persist_id: int, now_ms: Millis) -> list[StoreEffect]:
        """Take note that writes are durable."""
        effects: list[StoreEffect] = [*self._replica.on_persisted(persist_id, now_ms)]
        return effects + self._follow_log(now_ms)

    def hand_over(self, now_ms: Millis) -> list[StoreEffect]:
        """Give leadership up before a planned stop."""
        return [*self._replica.hand_over(now_ms)]

    def receive(self, sender: str, message: object, now_ms: Millis) -> list[StoreEffect]:
        """Take a message of another control host."""
        effects: list[StoreEffect] = []
        match message:
            case PutRequest():
                effects += self._on_put(sender, message, now_ms)
            case PutReply(request_id=request_id):
                if self._waiting.pop(request_id, None) is not None:
                    effects.append(DocumentStored(request_id))
            case ReadRequest():
                effects += self._on_read(sender, message, now_ms)
            case ReadReply(request_id=request_id, index=index):
                waiting = self._waiting.get(request_id)
                if waiting is not None and waiting.index is None:
                    waiting.index = index
            case _:
                effects += deliver(self._replica, sender, message, now_ms)
        return effects + self._follow_log(now_ms)

    def _serve_waiting(self, now_ms: Millis) -> list[StoreEffect]:
        """Send what waits to the leader, and drop what nobody waits for any more."""
        effects: list[StoreEffect] = []
        for request_id, waiting in list(self._waiting.items()):
            if now_ms >= waiting.ends_ms:
                del self._waiting[request_id]
                continue
            is_due = now_ms >= waiting.sent_ms + FORWARD_INTERVAL_MS
            if waiting.index is not None or not self._replica.leader or not is_due:
                continue
            waiting.sent_ms = now_ms
            effects.append(Send(self._replica.leader, waiting.message))
        return effects

    def _on_put(self, sender: str, message: PutRequest, now_ms: Millis) -> list[StoreEffect]:
        if not self._is_sure(now_ms):
            return []
        if message.version <= self._document.version:
            return [Send(sender, PutReply(message.request_id))]
        if message.request_id in self._puts:
            return []
        self._puts[message.request_id] = (sender, message.version)
        if any(
            version >= message.version and request_id != message.request_id
            for request_id, (_, version) in self._puts.items()
        ):
            # The version is in the log already; the put is answered when that entry is applied.
            return []
        return [*self._replica.propose(PutDocument(message.version, message.text), now_ms)[1]]

    def _on_read(self, sender: str, message: ReadRequest, now_ms: Millis) -> list[StoreEffect]:
        if not self._is_sure(now_ms):
            return []
        return [Send(sender, ReadReply(message.request_id, self._replica.commit_index))]

    def _is_sure(self, now_ms: Millis) -> bool:
        """Return whether this host leads, and knows everything that was ever acknowledged.

        A majority that is smaller than the tolerated losses plus one could be lost at once.
        """
        replica = self._replica
        is_safe = replica.configuration.majority > self._settings.tolerated_losses
        return is_safe and replica.is_caught_up and replica.has_leader_lease(now_ms)

    def _change_membership(self, hosts: dict[str, KnownHost], now_ms: Millis) -> list[StoreEffect]:
        replica = self._replica
        is_able = replica.is_leader and replica.is_caught_up and replica.has_leader_lease(now_ms)
        if not is_able or not replica.is_configuration_committed:
            return []

        def is_synced(name: ReplicaName) -> bool:
            progress = replica.progress_of(name)
            if progress is None or progress.acked_ms < now_ms - IN_TOUCH_MS:
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

    def _follow_log(self, now_ms: Millis) -> list[StoreEffect]:
        """Apply what was committed, answer who waits for it, and compact the log."""
        before = self._document.version
        self._restore()
        for entry in self._replica.take_committed():
            self._apply(entry)
        effects: list[StoreEffect] = []
        if self._document.version > before:
            effects.append(DocumentChanged(self._document))
        effects += self._answer_puts()
        effects += self._answer_reads()
        if self._replica.wants_snapshot:
            effects += self._replica.save_snapshot(self._document._asdict())
        return effects

    def _restore(self) -> None:
        snapshot = self._replica.take_restored()
        if snapshot is not None and snapshot.state:
            document = Document(snapshot.state["version"], snapshot.state["text"])
            self._document = max(self._document, document)

    def _apply(self, entry: Entry) -> None:
        command = COMMANDS.from_plain(entry.command)
        if isinstance(command, PutDocument) and command.version > self._document.version:
            self._document = Document(command.version, command.text)

    def _answer_puts(self) -> list[StoreEffect]:
        """Answer the puts of this leader's term; those of an earlier term are sent again."""
        if not self._replica.is_leader or self._replica.term != self._led_term:
            self._puts.clear()
            self._led_term = self._replica.term
        done = [
            request_id
            for request_id, (_, version) in self._puts.items()
            if version <= self._document.version
        ]
        return [Send(self._puts.pop(item)[0], PutReply(item)) for item in done]

    def _answer_reads(self) -> list[StoreEffect]:
        done = [
            request_id
            for request_id, waiting in self._waiting.items()
            if waiting.index is not None and self._replica.applied_index >= waiting.index
        ]
        for request_id in done:
            del self._waiting[request_id]
        return [DocumentRead(request_id, self._document) for request_id in done]
