"""Waits that targets ask for, and the return of requests to a target after its wait.

Load pattern: a target at its limit refuses requests, and every entry sends it the next one at once.
Such a target may ask an entry to send it nothing for some time. When this time is over, the entry
sends one request, and others only after the target has responded to it. The waits of entries differ
a little in length. Requests that had to wait therefore do not all arrive at the same moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import TargetStart

SPREAD_SHARE = 0.1
"""An entry extends the waits of targets by up to this share."""


class WaitSettings(NamedTuple):
    """Limits of the waits.

    A longer wait is reduced to `max_wait_ms`, so that one faulty value cannot disable a target for
    good. `spread`, from 0 to 1, says by how much of `SPREAD_SHARE` this entry extends its waits.
    Other requests wait for the first one after a wait for at most `trial_timeout_ms`.
    """

    max_wait_ms: Millis = 60_000.0
    spread: float = 0.0
    trial_timeout_ms: Millis = 1000.0


@dataclass
class _Wait:
    """A wait until `until_ms`; `trial` is the number of the first attempt after it."""

    until_ms: Millis
    trial: int | None = None
    trial_until_ms: Millis = 0.0


class TargetWaits:
    """The waits for which targets have asked one entry.

    A wait belongs to one start of a target: a target that has restarted knows nothing of it.
    """

    def __init__(self, settings: WaitSettings) -> None:
        self._settings = settings
        self._waits: dict[TargetStart, _Wait] = {}

    @property
    def count(self) -> int:
        """Return how many targets have a wait, or a first attempt after one."""
        return len(self._waits)

    def ask(self, start: TargetStart, wait_ms: Millis, now_ms: Millis) -> Millis:
        """Record that a target asks for a wait from now on; return its length, 0 for none.

        A wait never ends before an earlier one of the same target.
        """
        if not wait_ms > 0.0:
            return 0.0
        settings = self._settings
        wait_ms = min(wait_ms * (1.0 + SPREAD_SHARE * settings.spread), settings.max_wait_ms)
        current = self._waits.get(start)
        until_ms = now_ms + wait_ms
        if current is not None:
            until_ms = max(until_ms, current.until_ms)
        self._waits[start] = _Wait(until_ms)
        return wait_ms

    def left_ms(self, start: TargetStart, now_ms: Millis) -> Millis:
        """Return after how long a target accepts the next request, 0 if it does so now."""
        wait = self._waits.get(start)
        if wait is None:
            return 0.0
        until_ms = wait.until_ms if wait.trial is None else wait.trial_until_ms
        return max(0.0, until_ms - now_ms)

    def admit(self, start: TargetStart, attempt: int, now_ms: Millis) -> bool:
        """Return whether an attempt may be sent now; the first one after a wait is its trial."""
        if self.left_ms(start, now_ms) > 0.0:
            return False
        wait = self._waits.get(start)
        if wait is not None:
            wait.trial = attempt
            wait.trial_until_ms = now_ms + self._settings.trial_timeout_ms
        return True

    def note_end(self, start: TargetStart, attempt: int) -> None:
        """Record that a target has responded to an attempt, or that the attempt has ended."""
        wait = self._waits.get(start)
        if wait is not None and wait.trial == attempt:
            del self._waits[start]

    def forget_old(self, now_ms: Millis) -> None:
        """Drop waits that ended a while ago without a further request."""
        timeout_ms = self._settings.trial_timeout_ms
        for start, wait in list(self._waits.items()):
            if now_ms >= max(wait.until_ms, wait.trial_until_ms) + timeout_ms:
                del self._waits[start]
