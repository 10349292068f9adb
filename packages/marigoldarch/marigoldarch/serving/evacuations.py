"""The evacuated data centres: an operator has asked that nothing new be sent to their targets.

Load pattern: a data centre is to be emptied while requests go on, and its targets may come back cold.
The orders are state of the control hosts' log; entries hear of them from several control hosts, some
of which may lag.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.serving.targets import Target


class EvacuationOrder(NamedTuple):
    """Set which data centres are evacuated, based on the evacuations of `base_revision`."""

    data_centres: tuple[str, ...]
    base_revision: int


class Evacuations(NamedTuple):
    """The evacuated data centres; `revision` is the log index of the newest order, 0 for none."""

    revision: int = 0
    data_centres: tuple[str, ...] = ()

    def order_for(self, data_centre: str, *, is_withdrawn: bool) -> EvacuationOrder:
        """Return the order that evacuates a data centre or ends that.

        It is needed also if the data centre already is so: late copies of earlier orders, which may
        be based on this state, have no effect after it.
        """
        listed = {*self.data_centres} - {data_centre}
        if not is_withdrawn:
            listed.add(data_centre)
        return EvacuationOrder(tuple(sorted(listed)), self.revision)

    def is_as_ordered(self, data_centre: str, *, is_withdrawn: bool) -> bool:
        """Return whether a data centre is evacuated, or is not if that is withdrawn."""
        return (data_centre in self.data_centres) is not is_withdrawn

    def after(self, order: EvacuationOrder, index: int) -> Evacuations:
        """Return the evacuations after the log entry at `index`, which holds an order.

        An order that was given on the basis of an older state changes nothing: it is a late copy,
        or another order came first.
        """
        if order.base_revision < self.revision:
            return self
        return Evacuations(index, order.data_centres)


class EvacuationView:
    """The newest evacuations of which an entry has heard; it never goes back to older ones."""

    def __init__(self) -> None:
        self._newest = Evacuations()

    @property
    def revision(self) -> int:
        """Return the revision of the evacuations."""
        return self._newest.revision

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Return the evacuated data centres."""
        return self._newest.data_centres

    def adopt(self, told: Evacuations) -> bool:
        """Adopt what a control host tells if it is newer; return whether it is."""
        if told.revision <= self._newest.revision:
            return False
        self._newest = told
        return True

    def include(self, target: Target) -> bool:
        """Return whether a target is in an evacuated data centre."""
        return target.data_centre in self._newest.data_centres
