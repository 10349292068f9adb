"""Reconciliation: finds memory that a target holds for no live permit."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId

ORPHAN_GRACE_MS: Millis = 2500.0
"""How long a holding must be without a live permit before it is released.

An entry node lists its permits every second. So by then a permit that an earlier scheduler granted
is known even if one listing was lost.
"""


class HoldingsCheck(NamedTuple):
    """The result of checking a report: orphans to release, and the number of unreadable entries."""

    orphans: list[PermitId]
    unreadable: int


class Reconciler:
    """Tracks since when each target holds memory that no live permit accounts for."""

    def __init__(self, fence: int) -> None:
        self._fence = fence
        self._unaccounted_since_ms: dict[str, dict[PermitId, Millis]] = {}

    def check(
        self,
        target: str,
        holdings: tuple[str, ...],
        is_live: Callable[[PermitId], bool],
        now_ms: Millis,
    ) -> HoldingsCheck:
        """Compare a target's holdings with the live permits.

        An orphan is returned for every report that still lists it. Holdings of permits that a later
        scheduler granted are ignored.
        """
        known = self._unaccounted_since_ms.get(target, {})
        unaccounted: dict[PermitId, Millis] = {}
        unreadable = 0
        for text in holdings:
            try:
                permit = PermitId.parse(text)
            except ValueError:
                unreadable += 1
                continue
            if permit.epoch <= self._fence and not is_live(permit):
                unaccounted[permit] = known.get(permit, now_ms)
        if unaccounted:
            self._unaccounted_since_ms[target] = unaccounted
        else:
            self._unaccounted_since_ms.pop(target, None)
        orphans = [
            permit
            for permit, since_ms in unaccounted.items()
            if now_ms >= since_ms + ORPHAN_GRACE_MS
        ]
        return HoldingsCheck(orphans, unreadable)

    def forget(self, target: str) -> None:
        """Drop the state of a target that is gone."""
        self._unaccounted_since_ms.pop(target, None)
