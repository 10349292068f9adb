"""Decides when the departure of a target may be acknowledged: how many control hosts must have recorded it."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_COPIES = 2
"""While one control host is down, another one must know the departure, even if no lost disk is tolerated."""


def copies_needed(tolerated_losses: int, control_hosts: int) -> int:
    """Return how many control hosts must have recorded a departure on their disks.

    One is left if as many disks are lost as the installation tolerates. `control_hosts` are all that are
    known, also those that are down.
    """
    return max(1, min(max(MIN_COPIES, tolerated_losses + 1), control_hosts))


@dataclass
class DepartureRound:
    """A request to the control hosts to record a departure; `recorded_by` are those that have.

    Each host counts once, however often it confirms, the one that asks included.
    """

    copies: int
    recorded_by: set[str] = field(default_factory=set)

    @property
    def is_recorded(self) -> bool:
        """Return whether enough hosts have recorded the departure."""
        return len(self.recorded_by) >= self.copies
