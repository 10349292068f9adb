"""The targets of a service as candidates, in the order that all entries share."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from marigoldarch.serving.placement import Candidate
from marigoldarch.serving.work_reports import name_hash

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.pool_view import PoolView
    from marigoldarch.serving.target_health import TargetHealth
    from marigoldarch.serving.targets import MergedTargetView, Target

cached_name_hash = lru_cache(maxsize=65_536)(name_hash)


class CandidateSource:
    """Build the candidates of a service from what an entry knows."""

    def __init__(
        self, data_centre: str, roster: MergedTargetView, view: PoolView, health: TargetHealth
    ) -> None:
        self._data_centre = data_centre
        self._roster = roster
        self._view = view
        self._health = health
        self._generation = -1
        self._ordered: dict[str, list[tuple[Target, float]]] = {}

    def find(self, service: str, excluded: set[str], now_ms: Millis) -> list[Candidate]:
        """Return the candidates of a service but those excluded."""
        self._refresh()
        return [
            self._candidate(target, order, now_ms)
            for target, order in self._ordered.get(service, [])
            if target.target_id not in excluded
        ]

    def _candidate(self, target: Target, order: float, now_ms: Millis) -> Candidate:
        target_id = target.target_id
        return Candidate(
            target,
            self._view.load_of(cached_name_hash(target_id)),
            self._health.slowdown_of(target_id, now_ms),
            target.data_centre == self._data_centre,
            self._health.is_suspended(target_id, now_ms),
            order,
        )

    def _refresh(self) -> None:
        """Order the targets of each service and data centre by their numbers."""
        if self._generation == self._roster.generation:
            return
        self._generation = self._roster.generation
        groups: dict[tuple[str, str], list[Target]] = {}
        for target in self._roster.usable.values():
            groups.setdefault((target.service, target.data_centre), []).append(target)
        self._ordered = {}
        for (service, _), targets in sorted(groups.items()):
            targets.sort(key=lambda target: cached_name_hash(target.target_id))
            last = max(1, len(targets) - 1)
            ordered = self._ordered.setdefault(service, [])
            ordered.extend((target, rank / last) for rank, target in enumerate(targets))
        self._health.keep_only(set(self._roster.usable))
