"""The retry budget of each service, shared by the entries that report their work to each other.

With many entries, those of each data centre share a budget of their own: the retries that their own
requests allow, and a part of the slack that is their share of all entries. These parts add up to the
budget of the whole installation, without any message between data centres.

Load pattern: targets fail for many requests at once, and every retry adds load to the remaining
targets. Retries beyond a share of the requests are not made.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from marigoldarch.clock import Millis


class RetryBudgetSettings(NamedTuple):
    """The limit of retries: `ratio` times the requests of a window of `window_ms`, plus `slack`.

    Only `usable_share` of the limit is used, since the newest retries of other entries are not yet
    known.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_ms: Millis = 10_000.0
    usable_share: float = 0.7


class _SlidingCounter:
    """Counts the events of a sliding time window."""

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
    """The requests and retries of each service that this entry knows of, its own and its peers'.

    Services are identified by the hashes of their names, see `work_reports.name_hash`.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: dict[int, _SlidingCounter] = {}
        self._retries: dict[int, _SlidingCounter] = {}
        self._own_retries: dict[int, _SlidingCounter] = {}

    def note_request(self, service: int, now_ms: Millis) -> None:
        """Count a request of any entry."""
        self._counter(self._requests, service).add(now_ms)

    def note_retry(self, service: int, now_ms: Millis, *, is_own: bool) -> None:
        """Count a retry of any entry; `is_own` if it is this entry's."""
        self._counter(self._retries, service).add(now_ms)
        if is_own:
            self._counter(self._own_retries, service).add(now_ms)

    def allows_retry(
        self, service: int, peers: int, now_ms: Millis, slack_share: float = 1.0
    ) -> bool:
        """Return whether the budget allows one more retry by this entry.

        `peers` is the number of entries that share the budget with this one, and `slack_share` their
        part of the slack.

        An entry that receives no reports of its peers' retries must not use the whole budget. It
        therefore makes at most three times its even share of the allowed retries, but always one.
        """
        settings = self._settings
        requests = self._counter(self._requests, service).count(now_ms)
        retries = self._counter(self._retries, service).count(now_ms)
        own_retries = self._counter(self._own_retries, service).count(now_ms)
        allowed_retries = settings.usable_share * (
            settings.ratio * requests + settings.slack * slack_share
        )
        own_share = 3.0 * allowed_retries / (peers + 1)
        return retries + 1 <= allowed_retries and own_retries + 1 <= max(own_share, 1.0)

    def _counter(self, counters: dict[int, _SlidingCounter], service: int) -> _SlidingCounter:
        if service not in counters:
            counters[service] = _SlidingCounter(self._settings.window_ms)
        return counters[service]
