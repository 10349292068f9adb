"""Replacement of a lost replica, one configuration change at a time.

The replacement is added as a learner. Once it has caught up, the lost voter is removed, then the
learner is promoted to voter. A step depends only on the configuration and on the replicas'
acknowledgements, so that a new leader continues where the previous one stopped. The lost voter is
removed before the replacement is promoted, so that the number of voters never exceeds the intended
number and the lost voter never raises the size of the majority.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.repair_state import RepairState
from marigoldarch.control.replica import Replica
from marigoldarch.identifiers import ReplicaName


class RepairStep(NamedTuple):
    """The state of a repair, and the configuration to propose next, if one is due."""

    state: RepairState
    configuration: Configuration | None = None


def next_step(
    replica: Replica, lost_node: str, replacement: ReplicaName, acked_since_ms: Millis
) -> RepairStep:
    """Return the next step of replacing the lost replica of a node; called at the leader.

    Only what the replacement has acknowledged since `acked_since_ms` counts as synced.
    """
    configuration = replica.configuration
    lost = [item for item in configuration.voters if item.node == lost_node and item != replacement]
    if replica.name in lost:
        return RepairStep(RepairState.IS_LEADER)
    is_synced = replacement == replica.name or _is_synced(replica, replacement, acked_since_ms)
    if replacement in configuration.voters and not lost:
        # Not done before it is synced: until then a second loss could lose acknowledged entries.
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


def _is_synced(replica: Replica, replacement: ReplicaName, acked_since_ms: Millis) -> bool:
    """Return whether the replacement has acknowledged all committed entries since that time."""
    progress = replica.progress_of(replacement)
    if progress is None or progress.acked_ms < acked_since_ms:
        return False
    return progress.match_index >= replica.commit_index
