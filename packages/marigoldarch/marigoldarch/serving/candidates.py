"""The candidates for a placement: a service's targets in the fill order that all entries share."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from marigoldarch.serving.data_centre_outages import PlaceOfService
from marigoldarch.serving.evacuations import EvacuationView
from marigoldarch.serving.placement import Candidate
from marigoldarch.serving.work_reports import name_hash

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.data_centre_outages import DataCentreOutages
    from marigoldarch.serving.limit_lending import LimitLending
    from marigoldarch.serving.pool_view import PoolView
    from marigoldarch.serving.target_health import TargetHealth
    from marigoldarch.serving.target_waits import TargetWaits
    from marigoldarch.serving.targets import MergedTargetView, Target

cached_name_hash = lru_cache(maxsize=65_536)(name_hash)
"""The same as `name_hash`, cached: it is called for every candidate of every placement."""

MIN_NEAR_TARGETS = 12
"""With fewer targets in its own data centre, an entry always chooses among those of all."""


class CandidateSource:
    """Builds the candidates of a service from an entry's targets, their load and their state.

    Targets in evacuated data centres are none.

    `find_unreachable` returns whether a target is out of reach for now, None if none is; such a target
    counts as suspended, and so do all targets of a data centre that have failed together.
    """

    def __init__(
        self,
        data_centre: str,
        targets: MergedTargetView,
        view: PoolView,
        health: TargetHealth,
        waits: TargetWaits,
        lending: LimitLending | None = None,
        outages: DataCentreOutages | None = None,
        evacuations: EvacuationView | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._view = view
        self._health = health
        self._waits = waits
        self._lending = lending
        self._outages = outages
        self.find_unreachable: Callable[[], Callable[[Target], bool] | None] = lambda: None
        self._evacuations = evacuations or EvacuationView()
        self._generation = (-1, -1)
        self._evacuated_services: set[str] = set()
        self._targets_by_service: dict[str, list[tuple[Target, float]]] = {}
        self._near_by_service: dict[str, list[tuple[Target, float]]] = {}
        self._counts: dict[PlaceOfService, int] = {}

    def find(self, service: str, excluded: set[str], now_ms: Millis) -> list[Candidate]:
        """Return the candidates of a service without the targets whose ids are excluded."""
        self._refresh()
        return self._candidates(self._targets_by_service.get(service, []), excluded, now_ms)

    def has_any(self, service: str, excluded: set[str]) -> bool:
        """Return whether a service has a target whose id is not excluded."""
        self._refresh()
        targets = self._targets_by_service.get(service, [])
        return any(target.target_id not in excluded for target, _ in targets)

    def is_evacuated(self, service: str) -> bool:
        """Return whether all targets of a service are in evacuated data centres."""
        self._refresh()
        return service in self._evacuated_services and service not in self._targets_by_service

    def has_near(self, service: str) -> bool:
        """Return whether requests are placed among near targets first."""
        self._refresh()
        return len(self._near_by_service.get(service, [])) >= MIN_NEAR_TARGETS

    def find_near(self, service: str, excluded: set[str], now_ms: Millis) -> list[Candidate]:
        """Return the candidates in the entry's own data centre, none if these are few.

        Load pattern: hundreds of targets in several data centres. The near ones usually have room,
        so the cost of a placement does not grow with the targets elsewhere.
        """
        if not self.has_near(service):
            return []
        return self._candidates(self._near_by_service[service], excluded, now_ms)

    def _candidates(
        self, targets: list[tuple[Target, float]], excluded: set[str], now_ms: Millis
    ) -> list[Candidate]:
        candidates = [
            self._candidate(target, fill_order, now_ms)
            for target, fill_order in targets
            if target.target_id not in excluded
        ]
        is_unreachable = self.find_unreachable()
        out = self._find_places_to_avoid(now_ms)
        if is_unreachable is None and not out:
            return candidates
        return [
            item._replace(
                is_suspended=item.is_suspended
                or (is_unreachable is not None and is_unreachable(item.target))
                or place_of(item.target) in out
            )
            for item in candidates
        ]

    def _find_places_to_avoid(self, now_ms: Millis) -> set[PlaceOfService]:
        """Return the places whose targets have failed together, where the service has others.

        A service that has no other place is left with what is known of each target.
        """
        out = self._outages.find_out(now_ms) if self._outages is not None else set()
        if not out:
            return out
        elsewhere = {place.service for place in self._counts if place not in out}
        return {place for place in out if place.service in elsewhere}

    def count_beside(self, target: Target) -> int:
        """Return how many targets a target's service has in its data centre."""
        self._refresh()
        return self._counts.get(place_of(target), 0)

    def _candidate(self, target: Target, fill_order: float, now_ms: Millis) -> Candidate:
        target_id, start = target.target_id, target.start
        wait_ms = self._waits.left_ms(start, now_ms)
        slowdown = self._health.slowdown_of(target_id, now_ms)
        limit_per_s, is_cold = None, False
        if self._lending is not None:
            limit_per_s = self._lending.rate_per_s(start, now_ms)
        if limit_per_s:
            wait_ms = max(wait_ms, self._lending.wait_ms(start, now_ms))
            cold = self._lending.cold
            is_cold = cold.left_ms(start, now_ms) > 0.0
            if is_cold:
                slowdown = cold.slowdown(start, slowdown, self._health.measured_ms(target_id))
        return Candidate(
            target,
            self._view.load_of(cached_name_hash(target_id)),
            slowdown,
            target.data_centre == self._data_centre,
            self._health.is_suspended(target_id, now_ms),
            fill_order,
            wait_ms,
            limit_per_s or 0.0,
            is_cold,
        )

    def _refresh(self) -> None:
        """Sort the targets of each service and data centre by the hashes of their ids.

        Each data centre's targets get positions from 0 to 1, the same at every entry.
        """
        generation = (self._targets.generation, self._evacuations.revision)
        if self._generation == generation:
            return
        self._generation = generation
        self._evacuated_services = set()
        groups: dict[tuple[str, str], list[Target]] = {}
        for target in self._targets.usable.values():
            if self._evacuations.include(target):
                self._evacuated_services.add(target.service)
                continue
            groups.setdefault((target.service, target.data_centre), []).append(target)
        self._counts = {PlaceOfService(*key): len(targets) for key, targets in groups.items()}
        self._targets_by_service = {}
        for (service, _), targets in sorted(groups.items()):
            targets.sort(key=lambda target: cached_name_hash(target.target_id))
            last_position = max(1, len(targets) - 1)
            service_targets = self._targets_by_service.setdefault(service, [])
            service_targets.extend(
                (target, position / last_position) for position, target in enumerate(targets)
            )
        self._near_by_service = {
            service: [item for item in items if item[0].data_centre == self._data_centre]
            for service, items in self._targets_by_service.items()
        }
        self._health.keep_only(set(self._targets.usable))


def place_of(target: Target) -> PlaceOfService:
    """Return the service and the data centre of a target."""
    return PlaceOfService(target.service, target.data_centre)
