"""The replicas that count for a majority, and snapshots that carry them."""

from __future__ import annotations

from typing import Any, NamedTuple

from marigoldarch.identifiers import ReplicaName


class Configuration(NamedTuple):
    """The replicas of the log; learners receive entries but count for nothing."""

    voters: tuple[ReplicaName, ...] = ()
    learners: tuple[ReplicaName, ...] = ()

    @property
    def members(self) -> tuple[ReplicaName, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, replica: ReplicaName) -> Configuration:
        """Return this configuration with one learner more."""
        return Configuration(self.voters, (*self.learners, replica))

    def with_voter(self, replica: ReplicaName) -> Configuration:
        """Return this configuration with a learner made a voter."""
        learners = tuple(item for item in self.learners if item != replica)
        return Configuration((*self.voters, replica), learners)

    def without(self, replica: ReplicaName) -> Configuration:
        """Return this configuration without a replica."""
        voters = tuple(item for item in self.voters if item != replica)
        return Configuration(voters, tuple(item for item in self.learners if item != replica))


class Snapshot(NamedTuple):
    """The state machine after the entry at `index`, which has `term`.

    The first snapshot of an installation has index 0 and an empty state: it names the voters.
    """

    index: int
    term: int
    configuration: Configuration
    state: dict[str, Any]


class ConfigurationTrack:
    """The configurations in the log by index; a replica acts on the newest it holds."""

    def __init__(self, base_index: int, base: Configuration) -> None:
        self._items: list[tuple[int, Configuration]] = [(base_index, base)]

    @property
    def newest(self) -> Configuration:
        """Return the configuration in effect, committed or not."""
        return self._items[-1][1]

    @property
    def newest_index(self) -> int:
        """Return the index of the configuration in effect."""
        return self._items[-1][0]

    def append(self, index: int, configuration: Configuration) -> None:
        """Take a configuration that the log holds at `index`."""
        self._items.append((index, configuration))

    def truncate_from(self, index: int) -> None:
        """Forget the configurations from `index` on, except the base."""
        base, *later = self._items
        self._items = [base, *(item for item in later if item[0] < index)]

    def at(self, index: int) -> Configuration:
        """Return the configuration that held after the entry at `index`."""
        return [item for position, item in self._items if position <= index][-1]

    def compact(self, index: int) -> None:
        """Make the configuration at `index` the base."""
        base = self.at(index)
        self._items = [(index, base), *(item for item in self._items if item[0] > index)]
