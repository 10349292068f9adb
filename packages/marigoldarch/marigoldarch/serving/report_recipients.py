"""Chooses the entries that receive an entry's work reports.

Load pattern: many entries in several data centres, all of which need a report of every request. A
report is sent only once to a remote data centre with many entries; one entry there, the relay,
forwards it to the others. The relay changes with every complete report, so that a relay that has
stopped loses only the reports until the next complete one.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.work_reports import name_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DIRECT_ENTRIES = 4
"""A remote data centre with at most this many entries gets reports directly: the traffic that a
relay would save there is not worth the reports that it may lose."""


class EntryNode(NamedTuple):
    """An entry: `node` is its address for peers."""

    node: str
    data_centre: str


class ReportRecipients(NamedTuple):
    """The entries that receive a report, and those that also forward it in their data centre."""

    direct: tuple[str, ...]
    relays: tuple[str, ...]


def report_recipients(
    own: EntryNode, entries: Iterable[EntryNode], rotation: int
) -> ReportRecipients:
    """Return the recipients of an entry's reports; `rotation` grows with every complete report."""
    nodes_by_data_centre: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        if entry.node != own.node:
            nodes_by_data_centre[entry.data_centre].append(entry.node)
    direct: list[str] = []
    relays: list[str] = []
    for data_centre, nodes in sorted(nodes_by_data_centre.items()):
        if data_centre == own.data_centre or len(nodes) <= MAX_DIRECT_ENTRIES:
            direct.extend(sorted(nodes))
        else:
            relays.append(sorted(nodes)[(name_hash(own.node) + rotation) % len(nodes)])
    return ReportRecipients(tuple(direct), tuple(relays))


def relay_recipients(own: EntryNode, entries: Iterable[EntryNode]) -> tuple[str, ...]:
    """Return the recipients of a forwarded report: the other entries of the relay's data centre."""
    return tuple(
        sorted(
            entry.node
            for entry in entries
            if entry.data_centre == own.data_centre and entry.node != own.node
        )
    )
