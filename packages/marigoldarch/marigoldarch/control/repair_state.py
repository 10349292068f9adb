"""The state of the repair of a lost replica."""

from __future__ import annotations

from enum import StrEnum


class RepairState(StrEnum):
    """The steps of a repair, and the reasons for which it cannot proceed."""

    WAITING = "waiting"
    LEARNING = "learning"
    REMOVING = "removing"
    ADDING = "adding"
    DONE = "done"
    UNKNOWN_REPLICA = "unknown_replica"
    IS_LEADER = "is_leader"
    NO_REPLACEMENT = "no_replacement"

    @property
    def is_refusal(self) -> bool:
        """Return whether the leader refused the repair."""
        return self in (RepairState.UNKNOWN_REPLICA, RepairState.IS_LEADER)

    @property
    def is_final(self) -> bool:
        """Return whether the repair is done or refused."""
        return self is RepairState.DONE or self.is_refusal
