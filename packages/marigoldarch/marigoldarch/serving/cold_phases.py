"""The cold phases of targets, as one entry knows them, and the requests that a cold target gets.

Load pattern: a target that has just started is slow, accepts only so many requests a second from all
nodes together, and crashes beyond that. A whole data centre may come back like this, and a target may
become cold again at any moment. A phase belongs to one start of a target. What the target itself says
decides; a start during traffic of which nothing has been heard yet counts as cold.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.cold_news import MAX_PHASE_MS, MIN_TOLD_CHANGE_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldarch.clock import Millis
    from marigoldarch.serving.cold_news import ColdNews
    from marigoldarch.serving.declaration import ColdStart
    from marigoldarch.serving.targets import Target, TargetStart

LENT_RATE_SHARE = 0.4
"""The share of the declared rate that is lent.

With `COLD_BURST_S`, a lease of 250 ms and a permission of 400 ms, one owner lets at most 0.74 times the
declared rate arrive within a second, and two that lend at the same time 1.48 times."""

COLD_BURST_S = 0.2
"""The burst of a cold target, in seconds of the rate that is lent; at least one request."""

SPREAD_SHARE = 0.1
"""An entry extends each phase by up to this share, so that entries don't all end it at one moment."""

ASSUMED_SLOWDOWN = 2.0
"""How many times longer than by the engine formula a cold target takes until its pace is measured."""

MIN_REMEMBERED_STARTS = 1000
"""Starts that are not listed any more are forgotten once they outnumber the listed ones and this."""


class ColdChange(NamedTuple):
    """A phase that has begun or moved: how long it lasts, 0 if it is over, and who told it."""

    start: TargetStart
    left_ms: Millis
    told_by: str


@dataclass
class _Phase:
    """A cold phase.

    One that `is_from_response` is not shortened by announcements: they may have been sent before.
    """

    began_ms: Millis
    end_ms: Millis
    is_from_response: bool = False


class ColdPhases:
    """The starts of targets that are cold; `spread`, from 0 to 1, differs between entries."""

    def __init__(self, spread: float = 0.0) -> None:
        self._extension = 1.0 + SPREAD_SHARE * spread
        self._services: dict[str, ColdStart] = {}
        self._service_by_start: dict[TargetStart, str] = {}
        self._serial_by_start: dict[TargetStart, int] = {}
        self._phases: dict[TargetStart, _Phase] = {}

    def concerns(self, service: str) -> bool:
        """Return whether a service has a cold rate."""
        return service in self._services

    def count(self, now_ms: Millis) -> int:
        """Return how many targets are cold."""
        return sum(self.left_ms(start, now_ms) > 0.0 for start in self._phases)

    def set_services(self, services: Mapping[str, ColdStart], targets: Iterable[Target]) -> None:
        """Replace the services with a cold rate; `targets` are known and have not just started."""
        self._services = dict(services)
        for target in targets if services else ():
            self._service_by_start.setdefault(target.start, target.service)

    def note_target(self, target: Target, now_ms: Millis, *, is_new: bool) -> ColdChange | None:
        """Record that a target is listed; return its phase if it counts as cold from now on.

        With `is_new` it was not listed when this entry learned all targets, so that it has started
        during traffic unless it was seen before.
        """
        cold, start = self._services.get(target.service), target.start
        if cold is None or start in self._service_by_start:
            return None
        self._service_by_start[start] = target.service
        has_spoken = start in self._serial_by_start or start in self._phases
        if not is_new or has_spoken or target.is_leaving or cold.duration_ms <= 0.0:
            return None
        return self._set_end(start, self._end_ms(cold.duration_ms, now_ms), now_ms, "start")

    def record_news(self, news: ColdNews, now_ms: Millis) -> ColdChange | None:
        """Record what a target has announced; return it if its phase begins, ends or moves much."""
        if news.serial <= self._serial_by_start.get(news.start, -1):
            return None
        self._serial_by_start[news.start] = news.serial
        end_ms = self._end_ms(news.left_ms, now_ms)
        known = self._phases.get(news.start)
        if known is not None and known.is_from_response:
            end_ms = max(end_ms, known.end_ms)
        return self._set_end(news.start, end_ms, now_ms, "control host")

    def record_response(
        self, start: TargetStart, left_ms: Millis, now_ms: Millis, told_by: str = "response"
    ) -> ColdChange | None:
        """Record how long a target stays cold by a response to this entry or to another one.

        Return it if its phase begins or lengthens.
        """
        end_ms = self._end_ms(left_ms, now_ms)
        known = self._phases.get(start)
        known_end_ms = max(now_ms, known.end_ms) if known is not None else now_ms
        if end_ms < known_end_ms + MIN_TOLD_CHANGE_MS:
            return None
        change = self._set_end(start, end_ms, now_ms, told_by)
        self._phases[start].is_from_response = True
        return change

    def left_ms(self, start: TargetStart, now_ms: Millis) -> Millis:
        """Return how long a target stays cold, 0 if it is not cold or its service has no cold rate."""
        phase = self._phases.get(start)
        if phase is None or self._declared(start) is None:
            return 0.0
        return max(0.0, phase.end_ms - now_ms)

    def rate_per_s(self, start: TargetStart, now_ms: Millis) -> float | None:
        """Return how many requests a second are lent for a cold target, None if it is not cold."""
        if self.left_ms(start, now_ms) <= 0.0:
            return None
        return LENT_RATE_SHARE * self._declared(start).rate_per_s

    def slowdown(self, start: TargetStart, measured: float, measured_ms: Millis) -> float:
        """Return the slowdown of a cold target, as measured at `measured_ms` if that is in its phase."""
        phase = self._phases.get(start)
        if phase is None or measured_ms >= phase.began_ms:
            return measured
        return max(measured, ASSUMED_SLOWDOWN)

    def end_phases(self, listed: Mapping[str, Target], now_ms: Millis) -> list[TargetStart]:
        """Return the starts whose phases are over; forget starts that are not `listed` any more."""
        ended = [start for start, phase in self._phases.items() if now_ms >= phase.end_ms]
        for start in ended:
            del self._phases[start]
        limit = 2 * len(listed) + MIN_REMEMBERED_STARTS
        if max(len(self._service_by_start), len(self._serial_by_start)) > limit:
            kept = {target.start for target in listed.values()}
            for known in (self._service_by_start, self._serial_by_start):
                for start in known.keys() - kept:
                    del known[start]
        return ended

    def _declared(self, start: TargetStart) -> ColdStart | None:
        return self._services.get(self._service_by_start.get(start, ""))

    def _end_ms(self, left_ms: Millis, now_ms: Millis) -> Millis:
        return now_ms + min(left_ms * self._extension, MAX_PHASE_MS)

    def _set_end(
        self, start: TargetStart, end_ms: Millis, now_ms: Millis, told_by: str
    ) -> ColdChange | None:
        """Set the end of a phase; return it if it begins, ends or moves much."""
        phase = self._phases.get(start)
        was_cold, is_cold = phase is not None and phase.end_ms > now_ms, end_ms > now_ms
        known_end_ms = phase.end_ms if was_cold else now_ms
        if was_cold and is_cold:
            phase.end_ms = end_ms
        elif was_cold:
            del self._phases[start]
        elif is_cold:
            self._phases[start] = _Phase(now_ms, end_ms)
        is_change = was_cold != is_cold or abs(end_ms - known_end_ms) >= MIN_TOLD_CHANGE_MS
        return ColdChange(start, max(0.0, end_ms - now_ms), told_by) if is_change else None
