"""The limits that targets name in their responses: the requests a second that they accept from all
nodes together.

Load pattern: a target in need can take fewer requests than its slots suggest, and every node sends it
its share of all requests. The limit belongs to one start of a target. It holds for as long as the
target's responses name it: a response without it, to a request that was sent after the last one that
named it, ends it. Nodes tell each other of limits and of their ends, each with the instant of its
evidence, so that old news neither ends nor renews a limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target, TargetStart

DEPARTED_RETENTION_MS: Millis = 60_000.0
"""How long the limit of a target that is not usable any more is remembered."""


class TargetLimitSettings(NamedTuple):
    """The smallest and the largest limit, in requests a second; others are moved to these bounds.

    The smallest one keeps a faulty value from disabling a target for good.
    """

    min_rate_per_s: float = 0.05
    max_rate_per_s: float = 100_000.0


class LimitNews(NamedTuple):
    """What a target has said of its limit: `rate_per_s` is None if it names none any more.

    `at_ms` is when the response that named the limit was received. For the end of a limit it is when
    the request of the response without it was sent.
    """

    start: TargetStart
    rate_per_s: float | None
    at_ms: Millis


class TargetLimits:
    """The limits of targets that one node knows, from responses and from other nodes."""

    def __init__(self, settings: TargetLimitSettings) -> None:
        self._settings = settings
        self._news: dict[TargetStart, LimitNews] = {}
        self._rates: dict[TargetStart, float] = {}

    @property
    def rates(self) -> dict[TargetStart, float]:
        """Return the limits in force, in requests a second; the caller must not change it."""
        return self._rates

    def find(self, start: TargetStart) -> float | None:
        """Return the limit of a target in requests a second, None if it names none."""
        return self._rates.get(start)

    def record_response(
        self, start: TargetStart, rate_per_s: float | None, sent_ms: Millis, now_ms: Millis
    ) -> LimitNews | None:
        """Record a response to a request sent at `sent_ms`; return what the other nodes must know.

        `rate_per_s` is the limit that it names, None if it names none.
        """
        if rate_per_s is None:
            return self.record_news(LimitNews(start, None, sent_ms))
        settings = self._settings
        rate_per_s = min(max(rate_per_s, settings.min_rate_per_s), settings.max_rate_per_s)
        return self.record_news(LimitNews(start, rate_per_s, now_ms))

    def record_news(self, news: LimitNews) -> LimitNews | None:
        """Record what a target has said, here or to another node; return it if it is a change.

        News that are older than what is known have no effect.
        """
        known = self._news.get(news.start)
        if known is None and news.rate_per_s is None:
            return None
        if known is not None and (news.at_ms, news.rate_per_s is not None) <= (
            known.at_ms,
            known.rate_per_s is not None,
        ):
            return None
        self._news[news.start] = news
        if news.rate_per_s is None:
            self._rates.pop(news.start, None)
        else:
            self._rates[news.start] = news.rate_per_s
        return news if known is None or news.rate_per_s != known.rate_per_s else None

    def news_to_tell(self, limit: int) -> list[LimitNews]:
        """Return the newest news, the limits in force first, for nodes that lack them."""
        news = sorted(self._news.values(), key=lambda item: (item.rate_per_s is None, -item.at_ms))
        return news[:limit]

    def forget_departed(self, usable: Mapping[str, Target], now_ms: Millis) -> None:
        """Forget the limits of starts that are not usable and have long said nothing of a limit.

        A target that no control host lists for a moment may return with its limit.
        """
        for start, news in list(self._news.items()):
            target = usable.get(start.target_id)
            is_usable = target is not None and target.start == start
            if not is_usable and now_ms >= news.at_ms + DEPARTED_RETENTION_MS:
                del self._news[start]
                self._rates.pop(start, None)
