"""The leader's knowledge of the other replicas."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.snapshots import OutgoingSnapshot
from marigoldarch.identifiers import ReplicaName

NEVER_MS: Millis = float("-inf")


@dataclass
class Progress:
    """What a leader knows of one replica; `acked_ms` is when the last answered append was sent."""

    next_index: int
    match_index: int = 0
    acked_ms: Millis = NEVER_MS
    sent_ms: Millis = NEVER_MS
    outgoing: OutgoingSnapshot | None = None
    offset: int = 0


class Replication:
    """The progress of every other replica in one leader's term."""

    def __init__(self, own: ReplicaName) -> None:
        self._own = own
        self._progress: dict[ReplicaName, Progress] = {}

    @property
    def replicas(self) -> list[ReplicaName]:
        """Return the other replicas."""
        return list(self._progress)

    def find(self, replica: ReplicaName) -> Progress | None:
        """Return the progress of a replica of the configuration."""
        return self._progress.get(replica)

    def sync(self, configuration: Configuration, next_index: int, acked_ms: Millis) -> None:
        """Follow a change of the configuration; new replicas begin at `next_index`."""
        self._progress = {
            replica: self._progress.get(replica) or Progress(next_index, acked_ms=acked_ms)
            for replica in configuration.members
            if replica != self._own
        }

    def majority_acked_ms(self, configuration: Configuration, now_ms: Millis) -> Millis:
        """Return since when a majority has certainly followed this leader."""
        acked = [
            now_ms if voter == self._own else self._progress[voter].acked_ms
            for voter in configuration.voters
        ]
        return sorted(acked, reverse=True)[configuration.majority - 1]

    def majority_match(self, configuration: Configuration, durable_index: int) -> int:
        """Return the highest index that a majority holds durably."""
        matches = [
            durable_index if voter == self._own else self._progress[voter].match_index
            for voter in configuration.voters
        ]
        return sorted(matches, reverse=True)[configuration.majority - 1]

    def find_successor(
        self, configuration: Configuration, last_index: int, oldest_ms: Millis
    ) -> ReplicaName | None:
        """Return a voter that holds the whole log and has followed since `oldest_ms`."""
        for voter in configuration.voters:
            progress = self._progress.get(voter)
            if progress is None or progress.acked_ms < oldest_ms:
                continue
            if progress.match_index == last_index:
                return voter
        return None
