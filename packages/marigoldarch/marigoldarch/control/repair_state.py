"""How far the repair of a lost replica is."""

from __future__ import annotations

from enum import StrEnum


class RepairState(StrEnum):
    """The steps of a repair, and the reasons why there is none."""

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
        """Return whether the repair cannot begin."""
        return self in (RepairState.UNKNOWN_REPLICA, RepairState.IS_LEADER)

    @property
    def is_final(self) -> bool:
        """Return whether nothing more will be done."""
        return self is RepairState.DONE or self.is_refusal
