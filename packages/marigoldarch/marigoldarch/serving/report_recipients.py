"""To whom an entry sends its reports of work.

Load pattern: many entries in several data centres, each of which has to hear of every request. A
report crosses to a data centre of many entries once, and one entry there passes it on. The relay
changes with every whole report, so that one that is gone costs no more than the reports in between.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.work_reports import name_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

DIRECT_MOST = 4
"""Data centres of so few entries are sent to directly: a relay would save less than it may lose."""


class EntryNode(NamedTuple):
    """An entry, by its address for peers."""

    node: str
    data_centre: str


class ReportRecipients(NamedTuple):
    """The entries that take a report, and those that also pass it on in their data centre."""

    direct: tuple[str, ...]
    relays: tuple[str, ...]


def report_recipients(own: EntryNode, entries: Iterable[EntryNode], turn: int) -> ReportRecipients:
    """Return where the reports of an entry go; `turn` grows with every whole report."""
    by_centre: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        if entry.node != own.node:
            by_centre[entry.data_centre].append(entry.node)
    direct: list[str] = []
    relays: list[str] = []
    for data_centre, nodes in sorted(by_centre.items()):
        if data_centre == own.data_centre or len(nodes) <= DIRECT_MOST:
            direct.extend(sorted(nodes))
        else:
            relays.append(sorted(nodes)[(name_hash(own.node) + turn) % len(nodes)])
    return ReportRecipients(tuple(direct), tuple(relays))


def relay_recipients(own: EntryNode, entries: Iterable[EntryNode]) -> tuple[str, ...]:
    """Return to whom a relay passes a report on: the others of its data centre."""
    return tuple(
        sorted(
            entry.node
            for entry in entries
            if entry.data_centre == own.data_centre and entry.node != own.node
        )
    )
