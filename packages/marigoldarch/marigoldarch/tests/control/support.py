"""Helpers of the tests of the control part."""

from __future__ import annotations

from typing import Any

from marigoldarch.control.replica import Replica
from marigoldarch.effects import OperatorReply
from marigoldarch.events import DeclareRequested, RepairRequested
from marigoldarch.settings import ControlSettings
from marigoldarch.tests.cluster import MemoryCluster

SMALL = ControlSettings(snapshot_entries=20, log_tail_entries=5, snapshot_piece_chars=4000)
"""Settings under which snapshots come often and take several pieces."""


def declare(
    cluster: MemoryCluster, node: str, team: str, base: int, change_id: str, **fields: Any
) -> None:
    """Ask a node for a change of a team's subtree."""
    operator = fields.pop("operator", "ada")
    has_all_rights = fields.pop("has_all_rights", True)
    declaration = {"team": team, "models": {"coach": {}}, **fields}
    event = DeclareRequested(
        cluster.now_ms,
        f"op-{change_id}",
        change_id,
        operator,
        team,
        base,
        declaration,
        8000.0,
        has_all_rights,
    )
    cluster.submit(node, event)


def declare_many(cluster: MemoryCluster, node: str, count: int, prefix: str = "t") -> None:
    """Commit changes of many teams."""
    for number in range(count):
        declare(cluster, node, f"{prefix}{number}", 0, f"{prefix}{number}")
        if number % 10 == 9:
            cluster.run(20)
    cluster.run(1000)


def replies(cluster: MemoryCluster, node: str) -> list[dict[str, Any]]:
    """Return what a node answered its operators."""
    return [e.body for e in cluster.nodes[node].effects if isinstance(e, OperatorReply)]


def repair(cluster: MemoryCluster, node: str, lost: str, replacement: str) -> None:
    """Ask a node for a repair."""
    event = RepairRequested(cluster.now_ms, f"rep-{lost}", lost, replacement, 20_000.0)
    cluster.submit(node, event)


def replica_of(cluster: MemoryCluster, node: str) -> Replica:
    """Return a node's replica."""
    return cluster.nodes[node].state.control.replica


def teams_on(cluster: MemoryCluster, node: str) -> set[str]:
    """Return the teams in a node's replicated state."""
    return set(cluster.nodes[node].state.control.machine.view.teams)


def other_nodes(cluster: MemoryCluster, *names: str) -> list[str]:
    """Return the running nodes except those named."""
    return [name for name in cluster.nodes if name not in names]
