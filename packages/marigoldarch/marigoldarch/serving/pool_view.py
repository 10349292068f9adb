"""What runs on each target, from this entry's own work and what its peers tell of theirs.

Load pattern: entries that place by reports of the targets alone all choose the same idle target
for as long as the reports lag. Each entry therefore tells the others what it starts and ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis

WorkKey = tuple[str, int]
"""An entry, and the number it gave the work."""

TargetHash = int
"""The number under which a target travels, see `work_reports.name_hash`."""

MIN_REPORTED_PREFILL_MS: Millis = 100.0
"""That shorter reading has ended is not told: it is over by the time that the formula gives."""


class RunningWork(NamedTuple):
    """One attempt: the first target runs it, the others read a part of its prompt.

    `prefill_ms` and `context_tokens` are those of one part. `pause_goal_ms` is 0 for work that
    writes no stream. `held_tokens` is the memory that each helper holds for the prompt, 0 where the
    first target holds it all. `goal_in_ms` is the time from the start until its first token is late.
    """

    number: int
    service: int
    targets: tuple[TargetHash, ...]
    prefill_ms: Millis
    context_tokens: int
    held_tokens: int
    pause_goal_ms: Millis
    goal_in_ms: Millis
    is_repeat: bool

    @property
    def is_read_in_parts(self) -> bool:
        """Return whether several targets read the prompt."""
        return len(self.targets) > 1


@dataclass
class _Placed:
    """Work, and when each of its targets is expected to have read its part.

    `late_ms` is the instant from which its first token is late.
    """

    work: RunningWork
    late_ms: Millis
    ends_ms: dict[TargetHash, Millis] = field(default_factory=dict)

    @property
    def expected_ms(self) -> Millis:
        """Return when the last part is read."""
        return max(self.ends_ms.values())

    def is_pending(self, now_ms: Millis) -> bool:
        """Return whether it is probably still read.

        The end of short reading is not told; it counts as over when it is expected to be.
        """
        return self.expected_ms > now_ms or self.work.prefill_ms >= MIN_REPORTED_PREFILL_MS


class Unread(NamedTuple):
    """A prompt that a target has not read: when the target's part of it is expected to be read, when
    the last part anywhere is, and when its first token is late."""

    here_ms: Millis
    expected_ms: Millis
    late_ms: Millis


@dataclass
class TargetLoad:
    """The work on one target.

    `prefill_until_ms` is when everything is read that is known now. An engine reads the newest part of
    a prompt that is read in parts first, then the older ones, then whole prompts.
    """

    number: TargetHash = 0
    running: dict[WorkKey, RunningWork] = field(default_factory=dict)
    helping: dict[WorkKey, RunningWork] = field(default_factory=dict)
    unread: dict[WorkKey, _Placed] = field(default_factory=dict)
    prefill_until_ms: Millis = 0.0

    @property
    def active(self) -> int:
        """Return how many requests run here."""
        return len(self.running)

    def pending(self, now_ms: Millis) -> list[Unread]:
        """Return the prompts of which a part is probably still to be read here."""
        return [
            Unread(placed.ends_ms[self.number], max(placed.expected_ms, now_ms), placed.late_ms)
            for placed in self.unread.values()
            if placed.is_pending(now_ms)
        ]

    def writers(self, now_ms: Millis) -> int:
        """Return how many requests that run here have probably begun to write."""
        reading = sum(
            1
            for key, placed in self.unread.items()
            if key in self.running and placed.is_pending(now_ms)
        )
        return len(self.running) - reading

    @property
    def tightest_pause_ms(self) -> Millis:
        """Return the shortest pause that a stream here may have, infinite without streams."""
        pauses = [work.pause_goal_ms for work in self.running.values() if work.pause_goal_ms > 0]
        return min(pauses, default=float("inf"))

    @property
    def context_tokens(self) -> int:
        """Return how many tokens are held in memory, for own requests and for those helped."""
        held = sum(work.held_tokens for work in self.helping.values())
        return held + sum(work.context_tokens for work in self.running.values())


EMPTY_LOAD = TargetLoad()


class PoolView:
    """All work in progress, by target."""

    def __init__(self) -> None:
        self._loads: dict[TargetHash, TargetLoad] = {}
        self._placed: dict[WorkKey, _Placed] = {}

    def load_of(self, target: TargetHash) -> TargetLoad:
        """Return the load of a target; it must not be changed."""
        return self._loads.get(target, EMPTY_LOAD)

    def work_of_entry(self, entry: str) -> list[RunningWork]:
        """Return the work of one entry."""
        return [placed.work for key, placed in self._placed.items() if key[0] == entry]

    def active(self, service: int) -> int:
        """Return how many requests of a service run on any target."""
        return sum(1 for placed in self._placed.values() if placed.work.service == service)

    def start(self, entry: str, work: RunningWork, now_ms: Millis) -> bool:
        """Add work that an entry has just sent to its targets; return whether it is new."""
        key = (entry, work.number)
        if key in self._placed:
            return False
        placed = _Placed(work, now_ms + work.goal_in_ms)
        for position, target in enumerate(work.targets):
            load = self._loads.setdefault(target, TargetLoad(target))
            until_ms = max(load.prefill_until_ms, now_ms) + work.prefill_ms
            if work.is_read_in_parts:
                _overtake(load, work.prefill_ms, now_ms)
                placed.ends_ms[target] = now_ms + work.prefill_ms
            else:
                placed.ends_ms[target] = until_ms
            load.prefill_until_ms = until_ms
            load.unread[key] = placed
            (load.helping if position else load.running)[key] = work
        self._placed[key] = placed
        return True

    def finish_prefill(self, entry: str, number: int, now_ms: Millis) -> Millis:
        """Note that the first token has come; return how long the reading should have taken."""
        placed = self._placed.get((entry, number))
        if placed is None:
            return 0.0
        self._stop_reading((entry, number), placed, now_ms)
        return placed.work.prefill_ms

    def end(self, entry: str, number: int, now_ms: Millis) -> None:
        """Remove work that has ended."""
        key = (entry, number)
        placed = self._placed.pop(key, None)
        if placed is None:
            return
        self._stop_reading(key, placed, now_ms)
        for target in placed.work.targets:
            load = self._loads[target]
            load.running.pop(key, None)
            load.helping.pop(key, None)
            if not load.running and not load.helping:
                del self._loads[target]

    def _stop_reading(self, key: WorkKey, placed: _Placed, now_ms: Millis) -> None:
        """Take the reading that is still to do out of the targets' backlogs."""
        for target, end_ms in placed.ends_ms.items():
            load = self._loads[target]
            if load.unread.pop(key, None) is None:
                continue
            left_ms = min(end_ms - now_ms, placed.work.prefill_ms)
            if left_ms <= 0:
                continue
            load.prefill_until_ms -= left_ms
            for other in load.unread.values():
                if other.ends_ms[target] > end_ms:
                    other.ends_ms[target] -= left_ms

    def keep_only(self, entry: str, numbers: set[int], now_ms: Millis) -> None:
        """Remove the work of an entry that its whole list no longer has."""
        for key in [key for key in self._placed if key[0] == entry and key[1] not in numbers]:
            self.end(entry, key[1], now_ms)


def _overtake(load: TargetLoad, prefill_ms: Millis, now_ms: Millis) -> None:
    """Put off what a target has to read, for a part that goes first."""
    for placed in load.unread.values():
        if placed.is_pending(now_ms):
            end_ms = max(placed.ends_ms[load.number], now_ms)
            placed.ends_ms[load.number] = end_ms + prefill_ms
