"""Chooses the entries that receive an entry's work reports.

Load pattern: many entries in several data centres. The entries of one data centre place most
requests on its own targets, so they need a report of every request. Those of other data centres
need the long ones and sums of the short ones. Such a partial report is sent only once to each other
data centre; one entry there, the relay, forwards it to the others. The relay changes with every
complete report, so that a relay that has stopped loses only the reports until the next complete one.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.work_reports import name_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DIRECT_ENTRIES = 4
"""If no data centre has more entries than this, every entry gets every report directly."""


class EntryNode(NamedTuple):
    """An entry: `node` is its address for peers."""

    node: str
    data_centre: str


class ReportRecipients(NamedTuple):
    """The entries that receive a whole report, and the relays, which get and forward a partial one."""

    direct: tuple[str, ...]
    relays: tuple[str, ...]


def report_recipients(
    own: EntryNode, entries: Iterable[EntryNode], rotation: int, entry_count: int = 0
) -> ReportRecipients:
    """Return the recipients of an entry's reports; `rotation` grows with every complete report.

    `entry_count` is the number of all entries, of which `entries` may be only a part.
    """
    nodes_by_data_centre: dict[str, list[str]] = defaultdict(list)
    nodes_by_data_centre[own.data_centre].append(own.node)
    for entry in entries:
        if entry.node != own.node:
            nodes_by_data_centre[entry.data_centre].append(entry.node)
    known_count = sum(len(nodes) for nodes in nodes_by_data_centre.values())
    largest = max(len(nodes) for nodes in nodes_by_data_centre.values())
    needs_relays = largest > MAX_DIRECT_ENTRIES or entry_count > known_count
    direct: list[str] = []
    relays: list[str] = []
    for data_centre, nodes in sorted(nodes_by_data_centre.items()):
        if data_centre == own.data_centre:
            direct.extend(sorted(set(nodes) - {own.node}))
        elif needs_relays:
            relays.append(sorted(nodes)[(name_hash(own.node) + rotation) % len(nodes)])
        else:
            direct.extend(sorted(nodes))
    return ReportRecipients(tuple(direct), tuple(relays))


def is_summarizer(own: EntryNode, entries: Iterable[EntryNode]) -> bool:
    """Return whether an entry sends the summaries of its data centre to the others.

    It is the one with the smallest hash. While entries disagree on who is alive, there may be two or
    none: a second summary only replaces the first, and receivers keep the last one for a while.
    """
    local = [entry.node for entry in entries if entry.data_centre == own.data_centre]
    return min([*local, own.node], key=lambda node: (name_hash(node), node)) == own.node


def relay_recipients(own: EntryNode, entries: Iterable[EntryNode]) -> tuple[str, ...]:
    """Return the recipients of a forwarded report: the other entries of the relay's data centre."""
    return tuple(
        sorted(
            entry.node
            for entry in entries
            if entry.data_centre == own.data_centre and entry.node != own.node
        )
    )
