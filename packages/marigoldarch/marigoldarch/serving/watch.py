"""The messages that a control host sends to the entries that watch it."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.codec import Codec
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.targets import Target


@dataclass(frozen=True)
class HostStatus:
    """A heartbeat with the version of the declaration that the host knows to be in force.

    With `has_all_targets` the host has received announcements for long enough to list every target.
    `entry_count` is the number of live entries that it knows in all data centres.
    """

    version: int
    has_all_targets: bool
    data_centre: str
    entry_count: int = 0


@dataclass(frozen=True)
class NodesTold:
    """The control hosts that the host knows, and the entries that the receiver must know.

    It is the first message of a stream, and is sent again when the control hosts change.
    """

    hosts: tuple[str, ...]
    entries: tuple[EntryNode, ...]


@dataclass(frozen=True)
class EntriesChanged:
    """The entries that were added to those of the last `NodesTold`, and the names of those removed.

    Load pattern: hundreds of entries start at once. Whole lists would grow with the square of their
    number for each that starts.
    """

    added: tuple[EntryNode, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True)
class TargetTold:
    """A target is new, has changed or is leaving."""

    target: Target


@dataclass(frozen=True)
class TargetSilent:
    """No control host has received a recent announcement of a target."""

    target_id: str


WatchMessage = HostStatus | NodesTold | EntriesChanged | TargetTold | TargetSilent

WATCH_MESSAGES = Codec((HostStatus, NodesTold, EntriesChanged, TargetTold, TargetSilent))
