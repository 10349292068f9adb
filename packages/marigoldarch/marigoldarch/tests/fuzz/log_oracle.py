"""The oracle of the replicated log: committed entries, acknowledged changes, leaders by term."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Declared
from marigoldarch.tests.cluster import MemoryCluster


class Committed(NamedTuple):
    """A committed entry, as the first replica that applied it had it."""

    term: int
    command: list[Any]


@dataclass
class LogOracle:
    """What was observed of the log; checks compare replicas with these records only.

    `committed` holds entries by index, `acknowledged` the results of changes by change id,
    `leader_of_term` node names. `checked_index` is the last index checked on a node, by node name
    and incarnation.
    """

    committed: dict[int, Committed] = field(default_factory=dict)
    acknowledged: dict[str, Declared] = field(default_factory=dict)
    leader_of_term: dict[int, str] = field(default_factory=dict)
    checked_index: dict[tuple[str, str], int] = field(default_factory=dict)

    def acknowledge(self, change_id: str, result: Declared) -> None:
        """Add the result of a change; a resent change must get the same result again."""
        first = self.acknowledged.setdefault(change_id, result)
        assert first == result, f"{change_id} was answered {first} and then {result}"

    def check(self, cluster: MemoryCluster) -> None:
        """Check that replicas agree, acknowledged changes stay, and leaders are unique."""
        self._check_leaders(cluster)
        for name in cluster.running:
            self._check_replica(cluster, name)
        for change_id, result in self.acknowledged.items():
            entry = self.committed.get(result.revision)
            assert entry is not None, f"acknowledged {change_id} is not committed anywhere"
            found_id = entry.command[1].get("change_id")
            assert (
                found_id == change_id
            ), f"{change_id} was acknowledged at {result.revision}, but {found_id} is committed there"

    def _check_leaders(self, cluster: MemoryCluster) -> None:
        leaders = cluster.leaders()
        assert len(leaders) <= 1, f"several leaders hold a lease: {leaders}"
        for name in cluster.running:
            replica = cluster.nodes[name].state.control.replica
            if replica is not None and replica.is_leader:
                leader = self.leader_of_term.setdefault(replica.term, name)
                assert leader == name, f"{leader} and {name} lead term {replica.term}"

    def _check_replica(self, cluster: MemoryCluster, name: str) -> None:
        node = cluster.nodes[name]
        replica = node.state.control.replica
        if replica is None:
            return
        node_run = (name, node.settings.incarnation)
        first_index = max(self.checked_index.get(node_run, 0), replica.log.base_index) + 1
        for index in range(first_index, replica.applied_index + 1):
            entry = replica.log.entry_at(index)
            applied = Committed(entry.term, decode_json(encode_json(entry.command)))
            expected = self.committed.setdefault(index, applied)
            assert applied == expected, f"{name} applied another entry at {index}"
        self.checked_index[node_run] = replica.applied_index
