"""Helpers of the tests of the control package."""

from __future__ import annotations

from typing import Any

from marigoldarch.control.replica import Replica
from marigoldarch.effects import OperatorReply
from marigoldarch.events import DeclareRequested, RepairRequested
from marigoldarch.settings import ControlSettings
from marigoldarch.tests.cluster import MemoryCluster

FREQUENT_SNAPSHOTS = ControlSettings(
    snapshot_entries=20, log_tail_entries=5, snapshot_piece_chars=4000
)
"""Settings with frequent snapshots that are transferred in several pieces."""


def declare(
    cluster: MemoryCluster, node: str, team: str, base_revision: int, change_id: str, **fields: Any
) -> None:
    """Submit an operator's declaration of a team at a node."""
    operator = fields.pop("operator", "ada")
    has_all_rights = fields.pop("has_all_rights", True)
    declaration = {"team": team, "models": {"coach": {}}, **fields}
    event = DeclareRequested(
        cluster.now_ms,
        f"op-{change_id}",
        change_id,
        operator,
        team,
        base_revision,
        declaration,
        8000.0,
        has_all_rights,
    )
    cluster.submit(node, event)


def declare_many(cluster: MemoryCluster, node: str, count: int, prefix: str = "t") -> None:
    """Declare many teams at a node and wait until they are committed."""
    for number in range(count):
        declare(cluster, node, f"{prefix}{number}", 0, f"{prefix}{number}")
        if number % 10 == 9:
            cluster.run(20)
    cluster.run(1000)


def replies(cluster: MemoryCluster, node: str) -> list[dict[str, Any]]:
    """Return the replies of a node to its operators, in order."""
    return [e.body for e in cluster.nodes[node].effects if isinstance(e, OperatorReply)]


def repair(cluster: MemoryCluster, node: str, lost: str, replacement: str) -> None:
    """Submit an operator's repair request at a node."""
    event = RepairRequested(cluster.now_ms, f"rep-{lost}", lost, replacement, 20_000.0)
    cluster.submit(node, event)


def replica_of(cluster: MemoryCluster, node: str) -> Replica:
    """Return a node's replica of the log."""
    return cluster.nodes[node].state.control.replica


def replicated_teams(cluster: MemoryCluster, node: str) -> set[str]:
    """Return the names of the teams in a node's state machine."""
    return set(cluster.nodes[node].state.control.state_machine.view.teams)


def other_nodes(cluster: MemoryCluster, *names: str) -> list[str]:
    """Return the running nodes other than `names`."""
    return [name for name in cluster.nodes if name not in names]
