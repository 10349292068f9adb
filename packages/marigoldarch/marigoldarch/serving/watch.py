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
    """

    version: int
    has_all_targets: bool
    data_centre: str


@dataclass(frozen=True)
class NodesTold:
    """The control hosts and entries that the host knows, sent when they change."""

    hosts: tuple[str, ...]
    entries: tuple[EntryNode, ...]


@dataclass(frozen=True)
class TargetTold:
    """A target is new, has changed or is leaving."""

    target: Target


@dataclass(frozen=True)
class TargetSilent:
    """No control host has received a recent announcement of a target."""

    target_id: str


WatchMessage = HostStatus | NodesTold | TargetTold | TargetSilent

WATCH_MESSAGES = Codec((HostStatus, NodesTold, TargetTold, TargetSilent))
