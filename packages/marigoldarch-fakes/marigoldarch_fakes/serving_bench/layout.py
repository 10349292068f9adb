"""The layout of a simulated installation: data centres, entries, and who hears of whose requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.pool_view import MIN_REPORTED_PREFILL_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from marigoldarch.clock import Millis


class Sharing(StrEnum):
    """Who hears of an entry's requests."""

    EVERYTHING = "everything to all"
    LONG_EVERYWHERE = "long to all"
    DATA_CENTRE = "own data centre"
    ISOLATED = "isolated cells"


class Shift(NamedTuple):
    """From `start_ms` to `end_ms`, `share` of all requests arrive in the first data centre."""

    start_ms: Millis
    end_ms: Millis
    share: float


class Layout(NamedTuple):
    """The data centres and entries, which are spread evenly, and what the entries share.

    - `Sharing.EVERYTHING`: each entry tells all others of each request.
    - `Sharing.LONG_EVERYWHERE`: each entry tells those of its data centre of each request, and the
      others of long ones and of those on their engines; they get sums of the rest.
    - `Sharing.DATA_CENTRE`: the same, but the others are told of requests on their engines only.
    - `Sharing.ISOLATED`: each data centre is a pool of its own.
    """

    data_centres: int
    entries: int
    sharing: Sharing
    shift: Shift | None = None

    def data_centre_of(self, entry: int) -> int:
        """Return the data centre of an entry."""
        return entry % self.data_centres

    def entries_of(self, data_centre: int) -> Sequence[int]:
        """Return the entries of a data centre."""
        return range(data_centre, self.entries, self.data_centres)

    def entry_of(self, request: int, at_ms: Millis) -> int:
        """Return the entry at which a request arrives."""
        shift = self.shift
        entry = request % self.entries
        if shift is None or not shift.start_ms <= at_ms < shift.end_ms:
            return entry
        is_shifted = request % 100 < 100 * shift.share
        return entry - self.data_centre_of(entry) if is_shifted else entry

    def is_told_everywhere(
        self, data_centre: int, prefill_ms: Millis, engines: Sequence[int]
    ) -> bool:
        """Return whether the entries of all data centres hear of a request."""
        if self.sharing is Sharing.ISOLATED:
            return False
        if self.sharing is Sharing.EVERYTHING:
            return True
        is_long = prefill_ms >= MIN_REPORTED_PREFILL_MS or len(engines) > 1
        if self.sharing is Sharing.LONG_EVERYWHERE and is_long:
            return True
        return any(engine % self.data_centres != data_centre for engine in engines)


PLAIN_LAYOUT = Layout(3, 9, Sharing.EVERYTHING)


@dataclass
class MessageCounts:
    """The datagrams that all entries send, and those of them that leave a data centre."""

    sent: int = 0
    sent_elsewhere: int = 0

    def count_report(self, layout: Layout, data_centre: int, *, is_wide: bool) -> None:
        """Count a report of one change: each other data centre gets it once, and relays it."""
        self.sent += len(layout.entries_of(data_centre)) - 1
        if is_wide:
            self._count_relayed(layout, data_centre)

    def count_summary(self, layout: Layout, data_centre: int) -> None:
        """Count a summary of a data centre's short work, which the others relay."""
        self._count_relayed(layout, data_centre)

    def _count_relayed(self, layout: Layout, data_centre: int) -> None:
        for other in range(layout.data_centres):
            if other != data_centre:
                self.sent += len(layout.entries_of(other))
                self.sent_elsewhere += 1
