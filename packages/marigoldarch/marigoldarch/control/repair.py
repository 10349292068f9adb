"""Replacement of a lost replica: learner, caught up and synced, then one voter at a time.

A step depends only on the configuration and on what the replicas have acknowledged, so that a new
leader goes on where an earlier one stopped. The lost voter is removed before the new one is added:
the number of voters then never exceeds the intended one, and a majority never counts the lost one
in addition.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.repair_state import RepairState
from marigoldarch.control.replica import Replica
from marigoldarch.identifiers import ReplicaName


class RepairStep(NamedTuple):
    """Where a repair is, and the configuration that takes it further, if one is due."""

    state: RepairState
    configuration: Configuration | None = None


def next_step(
    replica: Replica, lost_node: str, replacement: ReplicaName, since_ms: Millis
) -> RepairStep:
    """Return the next step of replacing the lost replica of a node, as its leader sees it.

    The replacement counts as synced by what it has acknowledged since `since_ms`.
    """
    configuration = replica.configuration
    lost = [item for item in configuration.voters if item.node == lost_node and item != replacement]
    if replica.name in lost:
        return RepairStep(RepairState.IS_LEADER)
    is_synced = replacement == replica.name or _is_synced(replica, replacement, since_ms)
    if replacement in configuration.voters and not lost:
        # Only now a second loss right after would lose nothing that was acknowledged.
        is_done = replica.is_configuration_committed and is_synced
        return RepairStep(RepairState.DONE if is_done else RepairState.ADDING)
    if replacement not in configuration.members and not lost:
        return RepairStep(RepairState.UNKNOWN_REPLICA)
    if not replica.is_configuration_committed:
        return RepairStep(RepairState.WAITING)
    if replacement not in configuration.members:
        return RepairStep(RepairState.LEARNING, configuration.with_learner(replacement))
    if not is_synced:
        return RepairStep(RepairState.LEARNING)
    if lost:
        return RepairStep(RepairState.REMOVING, configuration.without(lost[0]))
    return RepairStep(RepairState.ADDING, configuration.with_voter(replacement))


def _is_synced(replica: Replica, replacement: ReplicaName, since_ms: Millis) -> bool:
    """Return whether the new replica has synced everything committed, and still answers."""
    progress = replica.progress_of(replacement)
    if progress is None or progress.acked_ms < since_ms:
        return False
    return progress.match_index >= replica.commit_index
