"""The oracle of the replicated log: what was committed, what was acknowledged, who led."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Declared
from marigoldarch.tests.cluster import MemoryCluster


class Committed(NamedTuple):
    """An entry that some replica has handed out as committed."""

    term: int
    command: list[Any]


@dataclass
class LogOracle:
    """Facts of the log; every check is against these lists alone."""

    committed: dict[int, Committed] = field(default_factory=dict)
    acknowledged: dict[str, Declared] = field(default_factory=dict)
    leader_of_term: dict[int, str] = field(default_factory=dict)
    seen: dict[tuple[str, str], int] = field(default_factory=dict)

    def acknowledge(self, change_id: str, result: Declared) -> None:
        """Add an acknowledged change; its answer must not differ from an earlier one."""
        first = self.acknowledged.setdefault(change_id, result)
        assert first == result, f"{change_id} was answered {first} and then {result}"

    def check(self, cluster: MemoryCluster) -> None:
        """Check agreement, durability, and that leaders exclude each other."""
        self._check_leaders(cluster)
        for name in cluster.running:
            self._check_replica(cluster, name)
        for change_id, result in self.acknowledged.items():
            entry = self.committed.get(result.revision)
            assert entry is not None, f"acknowledged {change_id} is not committed anywhere"
            held_id = entry.command[1].get("change_id")
            assert held_id == change_id, f"{change_id} was acknowledged, but {held_id} stands there"

    def _check_leaders(self, cluster: MemoryCluster) -> None:
        leaders = cluster.leaders()
        assert len(leaders) <= 1, f"several leaders hold a lease: {leaders}"
        for name in cluster.running:
            replica = cluster.nodes[name].state.control.replica
            if replica is not None and replica.is_leader:
                known = self.leader_of_term.setdefault(replica.term, name)
                assert known == name, f"{known} and {name} lead term {replica.term}"

    def _check_replica(self, cluster: MemoryCluster, name: str) -> None:
        node = cluster.nodes[name]
        replica = node.state.control.replica
        if replica is None:
            return
        run = (name, node.settings.incarnation)
        first = max(self.seen.get(run, 0), replica.log.base_index) + 1
        for index in range(first, replica.applied_index + 1):
            entry = replica.log.entry_at(index)
            found = Committed(entry.term, decode_json(encode_json(entry.command)))
            known = self.committed.setdefault(index, found)
            assert known == found, f"{name} applied another entry at {index}"
        self.seen[run] = replica.applied_index
