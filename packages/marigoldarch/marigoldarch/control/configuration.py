"""Configurations of the log (its voters and learners), and snapshots."""

from __future__ import annotations

from typing import Any, NamedTuple

from marigoldarch.identifiers import ReplicaName


class Configuration(NamedTuple):
    """The members of the log; learners receive entries but count toward no majority."""

    voters: tuple[ReplicaName, ...] = ()
    learners: tuple[ReplicaName, ...] = ()

    @property
    def members(self) -> tuple[ReplicaName, ...]:
        """Return the voters and the learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Return how many voters form a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, replica: ReplicaName) -> Configuration:
        """Return this configuration with `replica` added as a learner."""
        return Configuration(self.voters, (*self.learners, replica))

    def with_voter(self, replica: ReplicaName) -> Configuration:
        """Return this configuration with `replica` promoted from learner to voter."""
        learners = tuple(item for item in self.learners if item != replica)
        return Configuration((*self.voters, replica), learners)

    def without(self, replica: ReplicaName) -> Configuration:
        """Return this configuration with `replica` removed."""
        voters = tuple(item for item in self.voters if item != replica)
        return Configuration(voters, tuple(item for item in self.learners if item != replica))


class Snapshot(NamedTuple):
    """The state of the state machine after the entry at `index`, which has `term`.

    The first snapshot of an installation has index 0 and an empty state; it holds the first
    configuration.
    """

    index: int
    term: int
    configuration: Configuration
    state: dict[str, Any]


class ConfigurationHistory:
    """The configurations in the log with their indexes; a replica uses the latest in its log."""

    def __init__(self, base_index: int, base: Configuration) -> None:
        self._by_index: list[tuple[int, Configuration]] = [(base_index, base)]

    @property
    def latest(self) -> Configuration:
        """Return the latest configuration, committed or not."""
        return self._by_index[-1][1]

    @property
    def latest_index(self) -> int:
        """Return the log index of the latest configuration."""
        return self._by_index[-1][0]

    def append(self, index: int, configuration: Configuration) -> None:
        """Add the configuration of the log entry at `index`."""
        self._by_index.append((index, configuration))

    def truncate_from(self, index: int) -> None:
        """Remove the configurations at `index` and later, except the base."""
        base, *later = self._by_index
        self._by_index = [base, *(item for item in later if item[0] < index)]

    def at(self, index: int) -> Configuration:
        """Return the configuration after the entry at `index`."""
        return [item for position, item in self._by_index if position <= index][-1]

    def compact(self, index: int) -> None:
        """Make the configuration at `index` the base, and drop earlier ones."""
        base = self.at(index)
        self._by_index = [(index, base), *(item for item in self._by_index if item[0] > index)]
