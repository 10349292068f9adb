"""An in-memory network of real reducers, for tests and fuzzing."""

from __future__ import annotations

import random
from typing import NamedTuple

from marigoldarch.clock import ManualClock, Millis
from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.configuration import Snapshot
from marigoldarch.control.durable import DurableState, replay
from marigoldarch.effects import Checkpoint, Effect, LogRecord, Persist, Send
from marigoldarch.events import Event, MessageArrived, Persisted, Started, Tick
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import MESSAGES
from marigoldarch.reducer import NodeState, reduce
from marigoldarch.settings import ControlSettings, CoreSettings


class Delivery(NamedTuple):
    """A message in flight."""

    due_ms: Millis
    serial: int
    sender: str
    receiver: str
    data: bytes


class Disk:
    """The synced records of one node under the random identity of its data folder."""

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self.records: list[LogRecord] = []

    def append(self, records: tuple[LogRecord, ...]) -> None:
        """Add synced records."""
        self.records.extend(records)

    def replace(self, records: tuple[LogRecord, ...]) -> None:
        """Replace all records in one step."""
        self.records = [_as_written(record) for record in records]

    def read(self) -> DurableState:
        """Return the state that the records describe."""
        return replay(self.records, self.replica_id)


def _as_written(record: LogRecord) -> LogRecord:
    """Return a record as it is read back; a snapshot's state turns into plain JSON types."""
    if isinstance(record, Snapshot):
        return record._replace(state=decode_json(encode_json(record.state)))
    return record


class MemoryNode:
    """One node's core with its disk; effects other than Send and Persist are collected."""

    def __init__(self, settings: CoreSettings, disk: Disk) -> None:
        self.settings = settings
        self.disk = disk
        self.state = NodeState(settings, disk.read() if settings.hosts_replica else None)
        self.effects: list[Effect] = []
        self.held: list[Send] = []
        self.synced_id = 0


class MemoryCluster:
    """Nodes, a network with seeded delays, and cuts between nodes."""

    def __init__(
        self,
        nodes: int = 3,
        voters: int = 3,
        seed: int = 0,
        control: ControlSettings | None = None,
        data_folders: tuple[str, ...] = (),
    ) -> None:
        self.clock = ManualClock(1000.0)
        self.random = random.Random(seed)
        self.cuts: set[tuple[str, str]] = set()
        self.flying: list[Delivery] = []
        self.disks: dict[str, Disk] = {}
        self.nodes: dict[str, MemoryNode] = {}
        self._serial = 0
        names = [f"n{number}" for number in range(1, nodes + 1)]
        self._addresses = tuple(
            NodeAddress(name, f"dc{number % 3 + 1}", f"{name}:80", f"{name}:90")
            for number, name in enumerate(names)
        )
        self._voters = tuple(names[:voters])
        self._control = control or ControlSettings()
        self._data_folders = data_folders
        for name in names:
            self.empty_disk(name)
            self.start(name)

    @property
    def now_ms(self) -> Millis:
        """Return the current instant."""
        return self.clock.monotonic_ms()

    def start(self, name: str) -> MemoryNode:
        """Start a node, or start it again with what its disk had synced."""
        self._serial += 1
        address = next(address for address in self._addresses if address.node == name)
        settings = CoreSettings(
            address,
            self._voters,
            self._addresses,
            f"run{self._serial}",
            self._serial,
            control=self._control,
            has_data_folder=name in self._data_folders,
        )
        node = MemoryNode(settings, self.disks[name])
        self.nodes[name] = node
        self.submit(name, Started(self.now_ms))
        return node

    def empty_disk(self, name: str) -> None:
        """Replace a stopped node's disk by an empty one, which is a new replica."""
        self._serial += 1
        self.disks[name] = Disk(f"r{self._serial}")

    def kill(self, name: str) -> None:
        """Stop a node at once."""
        del self.nodes[name]

    def cut(self, name: str, other: str) -> None:
        """Drop all messages between two nodes."""
        self.cuts |= {(name, other), (other, name)}

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def submit(self, name: str, event: Event) -> list[Effect]:
        """Let a node reduce an event; return the effects that are not for the network or disk."""
        node = self.nodes[name]
        collected: list[Effect] = []
        for effect in reduce(node.state, event):
            match effect:
                case Send() if effect.after > node.synced_id:
                    node.held.append(effect)
                case Send():
                    self._send(name, effect)
                case Persist() | Checkpoint():
                    collected += self._write(name, effect)
                case _:
                    collected.append(effect)
        node.effects += collected
        return collected

    def run(self, duration_ms: Millis, step_ms: Millis = 10.0) -> None:
        """Advance time, delivering messages and ticking every node."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.clock.advance(step_ms)
            self.deliver_due()
            for name in list(self.nodes):
                self.submit(name, Tick(self.now_ms))

    def deliver_due(self) -> None:
        """Deliver every message that is due."""
        due = sorted(item for item in self.flying if item.due_ms <= self.now_ms)
        self.flying = [item for item in self.flying if item.due_ms > self.now_ms]
        for item in due:
            self._deliver(item)

    def leader(self) -> str | None:
        """Return the node that leads with a valid lease, if there is one."""
        for name, node in self.nodes.items():
            replica = node.state.control.replica
            if replica and replica.has_leader_lease(self.now_ms):
                return name
        return None

    def _send(self, name: str, effect: Send) -> None:
        self._serial += 1
        data = encode_json(MESSAGES.to_plain(effect.message))
        due_ms = self.now_ms + self.random.uniform(0.2, 3.0)
        self.flying.append(Delivery(due_ms, self._serial, name, effect.node, data))

    def _write(self, name: str, effect: Persist | Checkpoint) -> list[Effect]:
        """Write and sync at once; a subclass may take its time."""
        disk = self.nodes[name].disk
        match effect:
            case Persist():
                disk.append(effect.records)
            case Checkpoint():
                disk.replace(effect.records)
        return self._sync(name, effect.persist_id)

    def _sync(self, name: str, persist_id: int) -> list[Effect]:
        node = self.nodes[name]
        node.synced_id = persist_id
        ready = [send for send in node.held if send.after <= persist_id]
        node.held = [send for send in node.held if send.after > persist_id]
        for send in ready:
            self._send(name, send)
        return self.submit(name, Persisted(self.now_ms, persist_id))

    def _deliver(self, item: Delivery) -> None:
        is_cut = (item.sender, item.receiver) in self.cuts
        if is_cut or item.receiver not in self.nodes:
            return
        message = MESSAGES.from_plain(decode_json(item.data))
        self.submit(item.receiver, MessageArrived(self.now_ms, item.sender, message))
