"""Which nodes are there: control hosts and entries make themselves known by short datagrams."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec

from marigoldarch.clock import Millis
from marigoldarch.identifiers import ReplicaName
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.store.membership import KnownHost

HELLO_INTERVAL_MS: Millis = 500.0
"""How often a node makes itself known."""

ENTRY_ALIVE_MS: Millis = 1600.0
"""An entry stays in the directory for three lost hellos."""

WARM_AFTER_MS: Millis = 1600.0
"""A control host that has just started answers for the directory once every entry had time for
three hellos."""

FORGET_NODE_MS: Millis = 30_000.0
DIRECTORY_LIMIT = 64
"""Callers use at most this many addresses of one answer, see PROTOCOL.md."""


class NodeRole(StrEnum):
    """What a node does."""

    CONTROL = "control"
    ENTRY = "entry"


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """What a node says of itself; `serial` grows within one start."""

    node: str
    role: NodeRole
    start_id: int
    serial: int
    data_centre: str
    caller_address: str
    replica_id: str
    is_ready: bool
    is_leaving: bool


class HostsKnown(msgspec.Struct, array_like=True, frozen=True, tag="hosts"):
    """The control hosts that a control host knows, in answer to a hello."""

    hosts: list[str]


@dataclass
class EntryPresence:
    """An entry as it last made itself known."""

    hello: Hello
    heard_ms: Millis


class EntryAddress(NamedTuple):
    """Where an entry takes callers and peers."""

    node: str
    caller_address: str


class Presence:
    """The nodes that one control host has heard of."""

    def __init__(self, started_ms: Millis) -> None:
        self._started_ms = started_ms
        self._hosts: dict[str, KnownHost] = {}
        self._entries: dict[str, EntryPresence] = {}
        self._serials: dict[str, tuple[int, int]] = {}

    @property
    def control_hosts(self) -> dict[str, KnownHost]:
        """Return the control hosts by name."""
        return self._hosts

    def is_warmed_up(self, now_ms: Millis) -> bool:
        """Return whether every entry alive had time to make itself known."""
        return now_ms >= self._started_ms + WARM_AFTER_MS

    def receive(self, hello: Hello, now_ms: Millis) -> bool:
        """Take a hello; return whether the set of entries or of hosts has changed."""
        last_start, last_serial = self._serials.get(hello.node, (hello.start_id, -1))
        if hello.start_id == last_start and hello.serial <= last_serial:
            return False
        self._serials[hello.node] = (hello.start_id, hello.serial)
        if hello.role is NodeRole.CONTROL:
            is_new = hello.node not in self._hosts
            replica = ReplicaName(hello.node, hello.replica_id)
            self._hosts[hello.node] = KnownHost(replica, now_ms, hello.is_leaving)
            return is_new
        is_new = hello.node not in self._entries
        self._entries[hello.node] = EntryPresence(hello, now_ms)
        return is_new

    def expire(self, now_ms: Millis) -> bool:
        """Forget nodes that were silent for long; return whether any was."""
        entries = [
            name
            for name, entry in self._entries.items()
            if now_ms >= entry.heard_ms + FORGET_NODE_MS
        ]
        hosts = [
            name for name, host in self._hosts.items() if now_ms >= host.heard_ms + FORGET_NODE_MS
        ]
        for name in entries:
            del self._entries[name]
        for name in hosts:
            del self._hosts[name]
        return bool(entries or hosts)

    def entry_nodes(self, now_ms: Millis) -> list[EntryNode]:
        """Return the entries that tell each other of their work."""
        return [
            EntryNode(name, entry.hello.data_centre)
            for name, entry in self._entries.items()
            if now_ms < entry.heard_ms + ENTRY_ALIVE_MS and not entry.hello.is_leaving
        ]

    def live_host_names(self) -> list[str]:
        """Return the control hosts that are known and do not leave."""
        return [name for name, host in self._hosts.items() if not host.is_leaving]

    def addresses(self, data_centre: str, now_ms: Millis, chooser: random.Random) -> list[str]:
        """Return where callers of a data centre may connect, near entries first."""
        ready = [
            entry.hello
            for entry in self._entries.values()
            if entry.hello.is_ready
            and not entry.hello.is_leaving
            and now_ms < entry.heard_ms + ENTRY_ALIVE_MS
        ]
        chooser.shuffle(ready)
        ready.sort(key=lambda hello: hello.data_centre != data_centre)
        return [hello.caller_address for hello in ready[:DIRECTORY_LIMIT]]
