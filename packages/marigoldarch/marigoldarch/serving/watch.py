"""What a control host tells the entries that watch it."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.codec import Codec
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.targets import Target


@dataclass(frozen=True)
class HostStatus:
    """A sign of life: the version that the host knows to be in force.

    With `has_all_targets` the host has listened for long enough to list every target.
    """

    version: int
    has_all_targets: bool
    data_centre: str


@dataclass(frozen=True)
class NodesTold:
    """The control hosts and entries that the host knows; told when they change."""

    hosts: tuple[str, ...]
    entries: tuple[EntryNode, ...]


@dataclass(frozen=True)
class TargetTold:
    """A target is new, has changed or leaves."""

    target: Target


@dataclass(frozen=True)
class TargetSilent:
    """No control host has heard from a target for long."""

    target_id: str


WatchMessage = HostStatus | NodesTold | TargetTold | TargetSilent

WATCH_MESSAGES = Codec((HostStatus, NodesTold, TargetTold, TargetSilent))
