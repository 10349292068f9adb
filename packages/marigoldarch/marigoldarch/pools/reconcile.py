"""Reconciliation: memory that a target holds for no live permit."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId

ORPHAN_GRACE_MS: Millis = 2500.0
"""How long a holding must go without a live permit before it is released.

An entry presents its permits every second, so a permit that an earlier scheduler granted is known
by then even if one message was lost.
"""


class Holdings(NamedTuple):
    """What became of a report: the orphans to release, and how many entries were unreadable."""

    orphans: list[PermitId]
    unreadable: int


class Reconciler:
    """Remember since when each target holds something that no live permit accounts for."""

    def __init__(self, fence: int) -> None:
        self._fence = fence
        self._since: dict[str, dict[PermitId, Millis]] = {}

    def read(
        self,
        target: str,
        holdings: tuple[str, ...],
        is_live: Callable[[PermitId], bool],
        now_ms: Millis,
    ) -> Holdings:
        """Compare a target's holdings with the live permits.

        An orphan is returned with every report that still shows it. Permits of a later scheduler
        are not touched.
        """
        earlier = self._since.get(target, {})
        suspects: dict[PermitId, Millis] = {}
        unreadable = 0
        for text in holdings:
            try:
                permit = PermitId.parse(text)
            except ValueError:
                unreadable += 1
                continue
            if permit.epoch <= self._fence and not is_live(permit):
                suspects[permit] = earlier.get(permit, now_ms)
        if suspects:
            self._since[target] = suspects
        else:
            self._since.pop(target, None)
        orphans = [
            permit for permit, since_ms in suspects.items() if now_ms >= since_ms + ORPHAN_GRACE_MS
        ]
        return Holdings(orphans, unreadable)

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._since.pop(target, None)
