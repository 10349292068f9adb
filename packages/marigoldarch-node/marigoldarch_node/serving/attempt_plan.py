"""What an attempt of a request needs: the objects of its entry, and a plan."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.placement import Placement
    from marigoldarch_node.serving.call import Call
    from marigoldarch_node.serving.dialect import Dialect, ForwardingInfo
    from marigoldarch_node.serving.entry_state import EntryState
    from marigoldarch_node.serving.memory_reservations import MemoryReservation, ReservationManager
    from marigoldarch_node.serving.target_paths import TargetPaths


class EntryContext(NamedTuple):
    """The objects of an entry that all its attempts share."""

    state: EntryState
    dialect: Dialect
    paths: TargetPaths
    reservations: ReservationManager


@dataclass
class AttemptPlan:
    """The targets and headers of an attempt, and the memory to reserve at its helpers first.

    With `is_repeat` the request was sent to another target before. The request may be sent until
    `permitted_until_ms` by the limit that the target names; None if the owner of the limit has not
    been asked.
    """

    call: Call
    placement: Placement
    forwarding: ForwardingInfo
    reservations: list[MemoryReservation]
    is_repeat: bool
    permitted_until_ms: Millis | None = None
