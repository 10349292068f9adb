"""Finds data centres whose targets have failed together.

Load pattern: all targets of a data centre stop within a moment and return seconds later. Requests of
its callers would use up their attempts on targets there, one after the other, while targets elsewhere
have room. The targets that any entry suspends are told to all, so that an entry learns of the outage
from a few failures, most of them not its own.

A single target, or a rack of them, is no outage: the others go on answering.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis


class OutageSettings(NamedTuple):
    """When the targets of a data centre count as failed together.

    That is once a share of a service's targets there, from `min_targets` to `max_targets` of them, was
    suspended within `window_ms` and no target there has answered since. Requests then go elsewhere
    until `hold_ms` after the newest suspension.
    """

    min_targets: int = 3
    max_targets: int = 8
    target_share: float = 1 / 3
    window_ms: Millis = 500.0
    hold_ms: Millis = 500.0


class PlaceOfService(NamedTuple):
    """A service's targets in one data centre."""

    service: str
    data_centre: str


@dataclass
class _Record:
    """The suspensions of the last moment by target, and until when requests go elsewhere."""

    suspended_ms: dict[str, Millis] = field(default_factory=dict)
    since_ms: Millis = 0.0
    until_ms: Millis = 0.0


class DataCentreOutages:
    """The outages that one entry knows of; a place that nothing is known of counts as sound."""

    def __init__(self, settings: OutageSettings) -> None:
        self._settings = settings
        self._records: dict[PlaceOfService, _Record] = {}

    def is_out(self, place: PlaceOfService, now_ms: Millis) -> bool:
        """Return whether requests should go to another data centre if they can."""
        record = self._records.get(place)
        return record is not None and now_ms < record.until_ms

    def find_out(self, now_ms: Millis) -> set[PlaceOfService]:
        """Return the places from which requests should stay away."""
        return {place for place, record in self._records.items() if now_ms < record.until_ms}

    def record_suspension(
        self, place: PlaceOfService, target_id: str, target_count: int, now_ms: Millis
    ) -> bool:
        """Record that a target was suspended; return whether an outage begins with it.

        `target_count` is the number of the service's targets in the data centre.
        """
        settings = self._settings
        record = self._records.setdefault(place, _Record())
        record.suspended_ms = {
            name: at_ms
            for name, at_ms in record.suspended_ms.items()
            if now_ms < at_ms + settings.window_ms
        }
        record.suspended_ms[target_id] = now_ms
        needed = round(target_count * settings.target_share)
        needed = max(settings.min_targets, min(settings.max_targets, needed))
        was_out = now_ms < record.until_ms
        if not was_out and len(record.suspended_ms) < needed:
            return False
        if not was_out:
            record.since_ms = now_ms
        record.until_ms = now_ms + settings.hold_ms
        return not was_out

    def record_answer(self, place: PlaceOfService, sent_ms: Millis) -> bool:
        """Record an answer to a request sent at `sent_ms`; return whether it ends an outage.

        Answers to requests from before the outage may still be on their way when it begins.
        """
        record = self._records.get(place)
        if record is None or sent_ms < max(record.since_ms, *record.suspended_ms.values(), 0.0):
            return False
        del self._records[place]
        return record.until_ms > sent_ms

    def forget_old(self, now_ms: Millis) -> None:
        """Drop what no longer matters."""
        for place, record in list(self._records.items()):
            newest_ms = max(record.suspended_ms.values(), default=0.0)
            if now_ms >= max(record.until_ms, newest_ms + self._settings.window_ms):
                del self._records[place]
