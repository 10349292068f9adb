"""Node discovery: control hosts and entries send hello datagrams to the control hosts.

Load pattern: hundreds of entries, each of which is known to every control host. An entry sends most
of its hellos to the control hosts of its own data centre, which are the ones that its callers ask.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec

from marigoldarch.clock import Millis
from marigoldarch.identifiers import ReplicaName
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.work_reports import name_hash
from marigoldarch.store.membership import KnownHost

DATA_FORMAT = 1
"""The newest format of log entries and messages that this build applies: 1 has evacuations. A node that
tells none applies format 0."""

HELLO_INTERVAL_MS: Millis = 500.0
"""The interval between a node's hellos."""

ENTRY_ALIVE_MS: Millis = 1600.0
"""An entry stays in the directory for this long after its last hello: three hellos may be lost."""

REMOTE_HELLO_INTERVAL = 4
"""A control host in another data centre gets every fourth hello, and each one with a change."""

REMOTE_ENTRY_ALIVE_MS: Millis = REMOTE_HELLO_INTERVAL * ENTRY_ALIVE_MS
"""The same as `ENTRY_ALIVE_MS` for an entry of another data centre."""

WARM_UP_MS: Millis = 1600.0
"""A control host answers directory requests from this long after its start on, when every entry has
had time to send three hellos."""

NODE_RETENTION_MS: Millis = 30_000.0
"""A node is forgotten this long after its last hello."""

MAX_DIRECTORY_ADDRESSES = 64
"""Callers use at most this many addresses of one directory answer."""

MIN_LOCAL_ADDRESSES = 8
"""Callers get entries of their own data centre only if at least this many are ready."""

RELAYS_PER_DATA_CENTRE = 4
"""An entry knows this many entries of each other data centre with many entries, which forward its
reports there. Any one of them may stop at any time."""


class NodeRole(StrEnum):
    """The role of a node."""

    CONTROL = "control"
    ENTRY = "entry"


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """The state that a node reports of itself.

    `start_id` identifies the node's process, and `serial` grows with each of its hellos.
    `data_format` is the newest format of log entries and messages that the node applies; hellos of
    earlier builds have none.
    """

    node: str
    role: NodeRole
    start_id: int
    serial: int
    data_centre: str
    caller_address: str
    replica_id: str
    is_ready: bool
    is_leaving: bool
    data_format: int = 0


class HostsKnown(msgspec.Struct, array_like=True, frozen=True, tag="hosts"):
    """The answer to a hello: the control hosts that the answering control host knows."""

    hosts: list[str]


@dataclass
class EntryPresence:
    """The last hello of an entry, and when it was received."""

    hello: Hello
    heard_ms: Millis


class EntryAddress(NamedTuple):
    """The addresses of an entry: `node` for its peers, `caller_address` for callers."""

    node: str
    caller_address: str


class Presence:
    """The nodes from which one control host has received hellos."""

    def __init__(self, started_ms: Millis, data_centre: str = "") -> None:
        self._started_ms = started_ms
        self._data_centre = data_centre
        self._hosts: dict[str, KnownHost] = {}
        self._entries: dict[str, EntryPresence] = {}
        self._serials: dict[str, tuple[int, int]] = {}

    @property
    def control_hosts(self) -> dict[str, KnownHost]:
        """Return the control hosts by name."""
        return self._hosts

    def is_warmed_up(self, now_ms: Millis) -> bool:
        """Return whether every live entry has had time to send hellos since this host's start."""
        return now_ms >= self._started_ms + WARM_UP_MS

    def receive(self, hello: Hello, now_ms: Millis) -> bool:
        """Store a hello unless it is outdated; return whether it adds a node."""
        last_start_id, last_serial = self._serials.get(hello.node, (hello.start_id, -1))
        if hello.start_id == last_start_id and hello.serial <= last_serial:
            return False
        self._serials[hello.node] = (hello.start_id, hello.serial)
        if hello.role is NodeRole.CONTROL:
            is_new = hello.node not in self._hosts
            replica = ReplicaName(hello.node, hello.replica_id)
            self._hosts[hello.node] = KnownHost(
                replica, now_ms, hello.is_leaving, hello.data_format
            )
            return is_new
        is_new = hello.node not in self._entries
        self._entries[hello.node] = EntryPresence(hello, now_ms)
        return is_new

    def expire(self, now_ms: Millis) -> bool:
        """Remove nodes without recent hellos; return whether there were any."""
        entries = [
            name
            for name, entry in self._entries.items()
            if now_ms >= entry.heard_ms + NODE_RETENTION_MS
        ]
        hosts = [
            name
            for name, host in self._hosts.items()
            if now_ms >= host.heard_ms + NODE_RETENTION_MS
        ]
        for name in entries:
            del self._entries[name]
        for name in hosts:
            del self._hosts[name]
        for name in (*entries, *hosts):
            del self._serials[name]
        return bool(entries or hosts)

    def entry_nodes(self, now_ms: Millis) -> list[EntryNode]:
        """Return the live entries that are not leaving; they send work reports to each other."""
        return [
            EntryNode(name, entry.hello.data_centre)
            for name, entry in self._entries.items()
            if self._is_alive(entry, now_ms) and not entry.hello.is_leaving
        ]

    def entries_of_earlier_builds(self, now_ms: Millis) -> list[str]:
        """Return the names of the live entries that apply no evacuations, and are not leaving."""
        return [
            node.node
            for node in self.entry_nodes(now_ms)
            if self._entries[node.node].hello.data_format < DATA_FORMAT
        ]

    def entries_for(self, data_centre: str, now_ms: Millis) -> set[EntryNode]:
        """Return the entries that those of a data centre must know.

        These are all entries of the data centre and the possible relays elsewhere. Their number does
        not grow with the other data centres' entries.
        """
        by_data_centre: dict[str, list[EntryNode]] = defaultdict(list)
        for entry in self.entry_nodes(now_ms):
            by_data_centre[entry.data_centre].append(entry)
        known: set[EntryNode] = set()
        for other, entries in by_data_centre.items():
            if other != data_centre and len(entries) > RELAYS_PER_DATA_CENTRE:
                entries.sort(key=lambda entry: name_hash(f"{data_centre}/{entry.node}"))
                del entries[RELAYS_PER_DATA_CENTRE:]
            known.update(entries)
        return known

    def _is_alive(self, entry: EntryPresence, now_ms: Millis) -> bool:
        is_local = entry.hello.data_centre == self._data_centre
        alive_ms = ENTRY_ALIVE_MS if is_local else REMOTE_ENTRY_ALIVE_MS
        return now_ms < entry.heard_ms + alive_ms

    def live_host_names(self) -> list[str]:
        """Return the names of the known control hosts that are not leaving."""
        return [name for name, host in self._hosts.items() if not host.is_leaving]

    def addresses(self, data_centre: str, now_ms: Millis, rng: random.Random) -> list[str]:
        """Return addresses for a data centre's callers, in random order, local entries first.

        Entries of other data centres are left out if there are enough local ones.
        """
        ready = [
            entry.hello
            for entry in self._entries.values()
            if entry.hello.is_ready and not entry.hello.is_leaving and self._is_alive(entry, now_ms)
        ]
        local = [hello for hello in ready if hello.data_centre == data_centre]
        others = [hello for hello in ready if hello.data_centre != data_centre]
        rng.shuffle(local)
        rng.shuffle(others)
        chosen = local if len(local) >= MIN_LOCAL_ADDRESSES else [*local, *others]
        return [hello.caller_address for hello in chosen[:MAX_DIRECTORY_ADDRESSES]]


def hello_recipients(
    hosts: Iterable[str], local_hosts: Collection[str], serial: int, *, is_change: bool
) -> list[str]:
    """Return the control hosts that get an entry's hello with a serial.

    An entry without a control host in its own data centre sends every hello to all.
    """
    known = sorted(hosts)
    local = [host for host in known if host in local_hosts]
    if is_change or not local or serial % REMOTE_HELLO_INTERVAL == 1:
        return known
    return local
