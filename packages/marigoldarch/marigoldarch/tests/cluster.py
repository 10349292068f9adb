"""An in-memory cluster of nodes with real reducers, for tests and fuzzing."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import ManualClock, Millis
from marigoldarch.codec import decode_json, encode_json
from marigoldarch.effects import Checkpoint, Effect, Persist, Send
from marigoldarch.events import Event, MessageArrived, Persisted, Started, Tick
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import MESSAGES, Message
from marigoldarch.reducer import NodeState, reduce
from marigoldarch.settings import ControlSettings, CoreSettings
from marigoldarch.tests.disk import Disk
from marigoldarch.tests.network import Delivery, Network

if TYPE_CHECKING:
    from collections.abc import Callable


class ClientMessage(NamedTuple):
    """A message that a node sent to a client of the test."""

    node: str
    message: Message


class MemoryNode:
    """One node's core and its disk.

    `effects` collects those that are not for the network or disk. `unsynced_sends` wait until their
    persist is synced, `inbox` holds messages that arrive while the process is paused.
    """

    def __init__(self, settings: CoreSettings, disk: Disk) -> None:
        self.settings = settings
        self.disk = disk
        self.state = NodeState(settings, disk.read() if settings.hosts_replica else None)
        self.effects: list[Effect] = []
        self.unsynced_sends: list[Send] = []
        self.synced_id = 0
        self.is_paused = False
        self.inbox: list[Delivery] = []


class MemoryCluster:
    """Nodes, their disks and clocks, and the network between them.

    `sync_delay_ms` is the longest time that a write takes to become durable; with 0 it is durable
    at once. `clients` are names other than nodes that messages may be sent to; these are collected
    in `client_messages`. `observers` are called with (node, effect) for every effect that is not
    for the network or disk. `clock_rates` are the speeds of the nodes' clocks, 1.0 if absent.
    """

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
        self.network = Network(self.random)
        self.sync_delay_ms = 0.0
        self.disks: dict[str, Disk] = {}
        self.nodes: dict[str, MemoryNode] = {}
        self.clock_rates: dict[str, float] = {}
        self.clients: set[str] = {"client"}
        self.client_messages: list[ClientMessage] = []
        self.observers: list[Callable[[str, Effect], None]] = []
        self._start_count = 0
        self._disk_count = 0
        self._control = control or ControlSettings()
        self._data_folders = data_folders
        self.names = tuple(f"n{number}" for number in range(1, nodes + 1))
        self._addresses = tuple(
            NodeAddress(name, f"dc{number % 3 + 1}", f"{name}:80", f"{name}:90")
            for number, name in enumerate(self.names)
        )
        self.voters = self.names[:voters]
        for name in self.names:
            self.replace_disk(name)
            self.start(name)

    @property
    def now_ms(self) -> Millis:
        """Return the current time of the cluster, which is that of nodes without clock drift."""
        return self.clock.monotonic_ms()

    @property
    def cuts(self) -> set[tuple[str, str]]:
        """Return the links that are cut, each as (sender, receiver)."""
        return self.network.cuts

    @property
    def running(self) -> list[str]:
        """Return the nodes that are running and not paused."""
        return [name for name, node in self.nodes.items() if not node.is_paused]

    def local_ms(self, name: str) -> Millis:
        """Return the current time of a node's own clock."""
        return self.now_ms * self.clock_rates.get(name, 1.0)

    def start(self, name: str) -> MemoryNode:
        """Start or restart a node with the synced records of its disk."""
        self._start_count += 1
        address = next(address for address in self._addresses if address.node == name)
        settings = CoreSettings(
            address,
            self.voters,
            self._addresses,
            f"run{self._start_count}",
            self._start_count,
            control=self._control,
            has_data_folder=name in self._data_folders,
        )
        node = MemoryNode(settings, self.disks[name])
        self.nodes[name] = node
        self.submit(name, Started(self.local_ms(name)))
        return node

    def replace_disk(self, name: str) -> None:
        """Replace a stopped node's disk by an empty one, which belongs to a new replica."""
        self._disk_count += 1
        self.disks[name] = Disk(f"r{self._disk_count}")

    def kill(self, name: str, kept_records: int = 0) -> None:
        """Kill a node; its unsynced records are lost except the first `kept_records`."""
        del self.nodes[name]
        self.disks[name].crash(kept_records)

    def pause(self, name: str) -> None:
        """Pause a node's process while its clock goes on."""
        self.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a paused process, which handles the messages of its pause before its next tick."""
        node = self.nodes[name]
        node.is_paused = False
        waiting, node.inbox = node.inbox, []
        for item in waiting:
            self._deliver(item)

    def cut(self, name: str, other: str) -> None:
        """Cut the links between two nodes in both directions."""
        self.cuts.update({(name, other), (other, name)})

    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Cut the link from `sender` to `receiver`."""
        self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Cut the links between a node and all others."""
        for other in self.names:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def submit(self, name: str, event: Event) -> list[Effect]:
        """Apply an event to a node; return the effects that are not for the network or disk."""
        node = self.nodes[name]
        collected: list[Effect] = []
        for effect in reduce(node.state, event):
            match effect:
                case Send() if effect.after_persist_id > node.synced_id:
                    node.unsynced_sends.append(effect)
                case Send():
                    self._send(name, effect)
                case Persist() | Checkpoint():
                    collected += self._persist(name, effect)
                case _:
                    collected.append(effect)
                    self._observe(name, effect)
        node.effects += collected
        return collected

    def send_from_client(self, node: str, message: Message, client: str = "client") -> None:
        """Send a message from a client to a node over the network."""
        self.network.send(client, node, encode_json(MESSAGES.to_plain(message)), self.now_ms)

    def run(self, duration_ms: Millis, step_ms: Millis = 10.0) -> None:
        """Advance time in steps; in each, deliver messages, sync disks and tick every node."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step(step_ms)

    def step(self, step_ms: Millis = 10.0) -> None:
        """Advance time by one step."""
        self.clock.advance(step_ms)
        self.deliver_due()
        self.sync_due()
        for name in self.running:
            self.submit(name, Tick(self.local_ms(name)))

    def deliver_due(self) -> None:
        """Deliver every message that is due."""
        for item in self.network.take_due(self.now_ms):
            self._deliver(item)

    def sync_due(self) -> None:
        """Make due writes durable and report them to their nodes."""
        for name in self.running:
            persist_id = self.disks[name].sync_due(self.now_ms)
            if persist_id is not None:
                self._on_synced(name, persist_id)

    def leader(self) -> str | None:
        """Return a node that leads with a valid lease, None if there is none."""
        return next(iter(self.leaders()), None)

    def leaders(self) -> list[str]:
        """Return the running nodes that lead with a valid lease."""
        found = []
        for name in self.running:
            replica = self.nodes[name].state.control.replica
            if replica and replica.has_leader_lease(self.local_ms(name)):
                found.append(name)
        return found

    def _observe(self, name: str, effect: Effect) -> None:
        for observer in self.observers:
            observer(name, effect)

    def _send(self, name: str, effect: Send) -> None:
        data = encode_json(MESSAGES.to_plain(effect.message))
        self.network.send(name, effect.node, data, self.now_ms)

    def _persist(self, name: str, effect: Persist | Checkpoint) -> list[Effect]:
        disk = self.nodes[name].disk
        if self.sync_delay_ms > 0:
            disk.write(effect, self.now_ms + self.random.uniform(0.0, self.sync_delay_ms))
            return []
        disk.write(effect, self.now_ms)
        persist_id = disk.sync_due(self.now_ms)
        return [] if persist_id is None else self._on_synced(name, persist_id)

    def _on_synced(self, name: str, persist_id: int) -> list[Effect]:
        node = self.nodes[name]
        node.synced_id = max(node.synced_id, persist_id)
        ready = [send for send in node.unsynced_sends if send.after_persist_id <= node.synced_id]
        node.unsynced_sends = [
            send for send in node.unsynced_sends if send.after_persist_id > node.synced_id
        ]
        for send in ready:
            self._send(name, send)
        return self.submit(name, Persisted(self.local_ms(name), persist_id))

    def _deliver(self, item: Delivery) -> None:
        message = MESSAGES.from_plain(decode_json(item.data))
        if item.receiver in self.clients:
            self.client_messages.append(ClientMessage(item.sender, message))
            return
        node = self.nodes.get(item.receiver)
        if node is None:
            return
        if node.is_paused:
            node.inbox.append(item)
            return
        event = MessageArrived(self.local_ms(item.receiver), item.sender, message)
        self.submit(item.receiver, event)
