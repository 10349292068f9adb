"""The retry budget of each service, over all entries together.

Load pattern: targets fail for many requests at once, and every retry adds to the load of those
that are left. Retries beyond a share of the requests are given up.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from marigoldarch.clock import Millis


class RetryBudgetSettings(NamedTuple):
    """At most `ratio` times the requests of a window plus `slack` may be repeats.

    `usable_share` is the part that is used: other entries' newest repeats are not known yet.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_ms: Millis = 10_000.0
    usable_share: float = 0.7


class _Window:
    """Events of the last window, counted."""

    def __init__(self, length_ms: Millis) -> None:
        self._length_ms = length_ms
        self._times: deque[Millis] = deque()

    def add(self, now_ms: Millis) -> None:
        self._times.append(now_ms)

    def count(self, now_ms: Millis) -> int:
        while self._times and self._times[0] < now_ms - self._length_ms:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Requests and repeats of each service that this entry knows of, its own and its peers'.

    Services go by their numbers, see `work_reports.name_hash`.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: dict[int, _Window] = {}
        self._repeats: dict[int, _Window] = {}
        self._own_repeats: dict[int, _Window] = {}

    def note_request(self, service: int, now_ms: Millis) -> None:
        """Count a request of any entry."""
        self._window(self._requests, service).add(now_ms)

    def note_retry(self, service: int, now_ms: Millis, *, is_own: bool) -> None:
        """Count a repeat of any entry."""
        self._window(self._repeats, service).add(now_ms)
        if is_own:
            self._window(self._own_repeats, service).add(now_ms)

    def allows_retry(self, service: int, peers: int, now_ms: Millis) -> bool:
        """Return whether the budget has room for one more repeat of this entry.

        An entry that does not hear of its peers' repeats must not use the whole budget by itself,
        so it takes at most three even shares of the slack.
        """
        settings = self._settings
        requests = self._window(self._requests, service).count(now_ms)
        repeats = self._window(self._repeats, service).count(now_ms)
        own = self._window(self._own_repeats, service).count(now_ms)
        allowed = settings.usable_share * (settings.ratio * requests + settings.slack)
        share = 3.0 * allowed / (peers + 1)
        return repeats + 1 <= allowed and own + 1 <= max(share, 1.0)

    def _window(self, windows: dict[int, _Window], service: int) -> _Window:
        if service not in windows:
            windows[service] = _Window(self._settings.window_ms)
        return windows[service]
