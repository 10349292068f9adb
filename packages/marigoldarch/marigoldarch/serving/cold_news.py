"""What targets announce of their cold phases, and which of it a control host tells the other nodes.

Load pattern: hundreds of targets announce every 1.2 s how long they stay cold. The end of a phase is
the same in each of these announcements, so that only a phase that begins, or whose end moves, is told.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.targets import GONE_TARGET_RETENTION_MS, TargetStart

MIN_TOLD_CHANGE_MS: Millis = 300.0
"""A smaller move of the end of a phase is not told: announcements differ in their time on the way."""


MAX_PHASE_MS: Millis = 60_000.0
"""A longer phase counts as this long, so that one faulty value doesn't limit a target for good. Its end
moves with each announcement then, and is told again."""


class ColdNews(NamedTuple):
    """A target stays cold for another `left_ms`, 0 if it is not cold, by the announcement `serial`."""

    target_id: str
    born_ms: int
    serial: int
    left_ms: Millis

    @property
    def start(self) -> TargetStart:
        """Return the start of the target that the news is about."""
        return TargetStart(self.target_id, self.born_ms)


@dataclass(frozen=True)
class TargetsCold:
    """Some targets have become cold, or the ends of their cold phases have moved.

    Builds before this kind cannot decode it; it is sent to those nodes only that ask for it.
    """

    news: tuple[ColdNews, ...]


@dataclass
class _Announced:
    """The newest announcement of a start, and the end of its cold phase that was told last."""

    serial: int
    heard_ms: Millis
    told_end_ms: Millis


class ColdRegistry:
    """The cold phases that one control host knows, from announcements and from other hosts."""

    def __init__(self) -> None:
        self._announced: dict[TargetStart, _Announced] = {}

    def record(self, news: ColdNews, now_ms: Millis) -> bool:
        """Store the news of an announcement; return whether the other nodes must be told.

        The first announcement of a start is told also if the target is not cold: entries take one
        that starts during traffic for cold until then.
        """
        known = self._announced.get(news.start)
        end_ms = now_ms + min(news.left_ms, MAX_PHASE_MS)
        if known is None:
            self._announced[news.start] = _Announced(news.serial, now_ms, end_ms)
            return True
        if news.serial <= known.serial:
            return False
        known.serial, known.heard_ms = news.serial, now_ms
        # Of a phase that is over it doesn't matter when it ended.
        moved_ms = abs(max(end_ms, now_ms) - max(known.told_end_ms, now_ms))
        if moved_ms < MIN_TOLD_CHANGE_MS:
            return False
        known.told_end_ms = end_ms
        return True

    def cold_targets(self, now_ms: Millis) -> tuple[ColdNews, ...]:
        """Return the phases in progress, for nodes that know none."""
        return tuple(
            ColdNews(*start, item.serial, item.told_end_ms - now_ms)
            for start, item in self._announced.items()
            if item.told_end_ms > now_ms
        )

    def forget_old(self, now_ms: Millis) -> None:
        """Drop starts that have long announced nothing here."""
        for start, item in list(self._announced.items()):
            if now_ms >= max(item.heard_ms, item.told_end_ms) + GONE_TARGET_RETENTION_MS:
                del self._announced[start]
