"""The messages that a control host sends to the entries that watch it."""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from marigoldarch.codec import Codec
from marigoldarch.exceptions import CodecError
from marigoldarch.serving.cold_news import TargetsCold
from marigoldarch.serving.evacuations import Evacuations
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.target_lists import read_targets
from marigoldarch.serving.targets import Target

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True)
class HostStatus:
    """A heartbeat with the version of the declaration that the host knows to be in force.

    With `has_all_targets` the host has received announcements for long enough to list every target.
    `entry_count` is the number of live entries that it knows in all data centres. `evacuations` are
    None before the first order.
    """

    version: int
    has_all_targets: bool
    data_centre: str
    entry_count: int = 0
    evacuations: Evacuations | None = None


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
class TargetsTold:
    """Several targets are new or have changed; the text is made by `pack_targets`.

    Load pattern: hundreds of targets announce themselves to hundreds of entries in other data
    centres. Compressed together, a target takes a fifth of the bytes of a `TargetTold`.
    """

    text: str


@dataclass(frozen=True)
class TargetSilent:
    """No control host has received a recent announcement of a target."""

    target_id: str


WatchMessage = (
    HostStatus | NodesTold | EntriesChanged | TargetTold | TargetsTold | TargetSilent | TargetsCold
)

WATCH_MESSAGES = Codec(
    (HostStatus, NodesTold, EntriesChanged, TargetTold, TargetsTold, TargetSilent, TargetsCold)
)


def pack_targets(targets: Iterable[Target]) -> TargetsTold:
    """Return the message for several targets."""
    data = msgspec.json.encode([tuple(target) for target in targets])
    return TargetsTold(base64.b85encode(zlib.compress(data)).decode())


def unpack_targets(message: TargetsTold) -> list[Target]:
    """Return the sound targets of a message; raise `CodecError` if its text cannot be decoded."""
    try:
        data = zlib.decompress(base64.b85decode(message.text))
        return read_targets(data, msgspec.json.decode).targets
    except (ValueError, zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(f"targets of a control host cannot be decoded: {error}") from error
