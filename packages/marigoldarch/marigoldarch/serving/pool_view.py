"""The work on each target, from this entry's own attempts and the reports of its peers.

Attempts that stay within another data centre are known as sums only.

Load pattern: entries that place requests by the targets' reports alone all choose the same idle
target for as long as these reports lag. Each entry therefore reports the attempts that it starts
and ends to the others.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis

AttemptKey = tuple[str, int]
"""An entry and the number that it gave to the attempt."""

TargetHash = int
"""The hash that stands for a target in work reports, see `work_reports.name_hash`."""

MIN_REPORTED_PREFILL_MS: Millis = 100.0
"""The end of a shorter prefill is not reported: it counts as complete at its expected end."""


class RunningAttempt(NamedTuple):
    """One attempt in progress: its first target runs the request, the others are helpers.

    `number` identifies the attempt at its entry, `service` is the hash of the service's name.
    `prefill_ms` is the expected prefill time of each target's part, `context_tokens` the memory of
    the first target. `held_tokens` is the memory that each helper holds for its part of the prompt,
    0 if the first target holds the whole prompt. `pause_goal_ms` is 0 for an attempt that is no
    stream. `goal_in_ms` is the time from the start until the first token is late. An attempt that
    `is_widely_reported` is also told to the entries of other data centres that get partial reports.
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
    is_widely_reported: bool = False

    @property
    def has_split_prefill(self) -> bool:
        """Return whether the prefill is split over several targets."""
        return len(self.targets) > 1

    @property
    def is_short(self) -> bool:
        """Return whether the prefill keeps no target busy for long."""
        return self.prefill_ms < MIN_REPORTED_PREFILL_MS and not self.has_split_prefill


class SummarizedLoad(NamedTuple):
    """The attempts on one target that the entries of its data centre have told each other only.

    `active` is the number of requests that the target runs, `context_tokens` the sum of their memory,
    and `pause_goal_ms` the shortest of their pause goals, 0 without streams. The target is expected
    to complete all prefills after `backlog_ms`.
    """

    active: int
    context_tokens: int
    pause_goal_ms: Millis
    backlog_ms: Millis = 0.0


NO_SUMMARY = SummarizedLoad(0, 0, 0.0)

SUMMARY_LIFETIME_MS: Millis = 4000.0
"""A summary that is not replaced is dropped: three of the next ones may be lost."""


@dataclass
class _TrackedAttempt:
    """An attempt, and the expected instant at which each target completes its part of the prefill.

    `due_ms` is the instant from which the first token is late.
    """

    attempt: RunningAttempt
    due_ms: Millis
    part_ends_ms: dict[TargetHash, Millis] = field(default_factory=dict)

    @property
    def last_part_end_ms(self) -> Millis:
        """Return the instant at which the last part is expected to be complete."""
        return max(self.part_ends_ms.values())

    def is_pending(self, now_ms: Millis) -> bool:
        """Return whether the prefill is probably still in progress.

        The end of a short prefill is not reported, so it counts as complete when it is expected to
        be. A longer one counts as in progress until its end is reported.
        """
        return self.last_part_end_ms > now_ms or self.attempt.prefill_ms >= MIN_REPORTED_PREFILL_MS


class PendingPrefill(NamedTuple):
    """A prefill that is not complete on a target.

    The target is expected to complete its part at `part_end_ms`; the last part on any target is
    expected at `last_part_end_ms`. The first token is late from `due_ms` on.
    """

    part_end_ms: Millis
    last_part_end_ms: Millis
    due_ms: Millis


@dataclass
class TargetLoad:
    """The attempts on one target.

    `running` holds the attempts whose request the target runs, `helping` those for which it is a
    helper, and `unfinished_prefills` those whose prefill is not known to be complete. The target is
    expected to complete all known prefills at `prefill_until_ms`. An engine runs the parts of split
    prefills first, the newest part before older ones, and then whole prompts. `summary` holds the
    attempts that are not reported one by one, as received at `summarized_ms`.
    """

    target: TargetHash = 0
    running: dict[AttemptKey, RunningAttempt] = field(default_factory=dict)
    helping: dict[AttemptKey, RunningAttempt] = field(default_factory=dict)
    unfinished_prefills: dict[AttemptKey, _TrackedAttempt] = field(default_factory=dict)
    prefill_until_ms: Millis = 0.0
    summary: SummarizedLoad = NO_SUMMARY
    summarized_ms: Millis = 0.0

    @property
    def busy_until_ms(self) -> Millis:
        """Return when the target is expected to complete all prefills, summarized ones included."""
        return max(self.prefill_until_ms, self.summarized_ms + self.summary.backlog_ms)

    @property
    def active(self) -> int:
        """Return how many requests the target runs."""
        return len(self.running) + self.summary.active

    def pending_prefills(self, now_ms: Millis) -> list[PendingPrefill]:
        """Return the prefills of which the target has probably not completed its part."""
        return [
            PendingPrefill(
                tracked.part_ends_ms[self.target],
                max(tracked.last_part_end_ms, now_ms),
                tracked.due_ms,
            )
            for tracked in self.unfinished_prefills.values()
            if tracked.is_pending(now_ms)
        ]

    def decoding_requests(self, now_ms: Millis) -> int:
        """Return how many of the target's requests are probably past their prefill."""
        prefilling = sum(
            1
            for key, tracked in self.unfinished_prefills.items()
            if key in self.running and tracked.is_pending(now_ms)
        )
        return self.active - prefilling

    @property
    def shortest_pause_goal_ms(self) -> Millis:
        """Return the shortest pause goal of the target's streams, infinity without streams."""
        pauses = [
            attempt.pause_goal_ms for attempt in self.running.values() if attempt.pause_goal_ms > 0
        ]
        if self.summary.pause_goal_ms > 0:
            pauses.append(self.summary.pause_goal_ms)
        return min(pauses, default=float("inf"))

    @property
    def context_tokens(self) -> int:
        """Return the tokens in the target's memory, for its requests and as a helper."""
        held = sum(attempt.held_tokens for attempt in self.helping.values())
        running = sum(attempt.context_tokens for attempt in self.running.values())
        return held + running + self.summary.context_tokens

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known to be in progress on the target."""
        return not self.running and not self.helping and self.summary == NO_SUMMARY


EMPTY_LOAD = TargetLoad()


class PoolView:
    """All attempts in progress on a pool of targets, by target."""

    def __init__(self) -> None:
        self._loads: dict[TargetHash, TargetLoad] = {}
        self._attempts: dict[AttemptKey, _TrackedAttempt] = {}
        self._summaries: dict[str, tuple[Millis, set[TargetHash]]] = {}

    def load_of(self, target: TargetHash) -> TargetLoad:
        """Return the load of a target; the caller must not change it."""
        return self._loads.get(target, EMPTY_LOAD)

    @property
    def entries(self) -> set[str]:
        """Return the entries that have attempts in progress."""
        return {entry for entry, _ in self._attempts}

    def work_of_entry(self, entry: str) -> list[RunningAttempt]:
        """Return the attempts of one entry."""
        return [tracked.attempt for key, tracked in self._attempts.items() if key[0] == entry]

    def active_requests(self, service: int) -> int:
        """Return how many requests of a service are in progress on all targets."""
        return sum(1 for tracked in self._attempts.values() if tracked.attempt.service == service)

    def start(self, entry: str, attempt: RunningAttempt, now_ms: Millis) -> bool:
        """Add an attempt that an entry has just sent to its targets; return whether it is new."""
        key = (entry, attempt.number)
        if key in self._attempts:
            return False
        tracked = _TrackedAttempt(attempt, now_ms + attempt.goal_in_ms)
        for position, target in enumerate(attempt.targets):
            load = self._loads.setdefault(target, TargetLoad(target))
            backlog_end_ms = max(load.prefill_until_ms, now_ms) + attempt.prefill_ms
            if attempt.has_split_prefill:
                _delay_prefills(load, attempt.prefill_ms, now_ms)
                tracked.part_ends_ms[target] = now_ms + attempt.prefill_ms
            else:
                tracked.part_ends_ms[target] = backlog_end_ms
            load.prefill_until_ms = backlog_end_ms
            load.unfinished_prefills[key] = tracked
            (load.helping if position else load.running)[key] = attempt
        self._attempts[key] = tracked
        return True

    def finish_prefill(self, entry: str, number: int, now_ms: Millis) -> Millis:
        """Mark a prefill as complete since its first token has arrived.

        Return the expected prefill time of one part, 0 for an unknown attempt.
        """
        tracked = self._attempts.get((entry, number))
        if tracked is None:
            return 0.0
        self._remove_pending_prefill((entry, number), tracked, now_ms)
        return tracked.attempt.prefill_ms

    def end(self, entry: str, number: int, now_ms: Millis) -> None:
        """Remove an attempt that has ended."""
        key = (entry, number)
        tracked = self._attempts.pop(key, None)
        if tracked is None:
            return
        self._remove_pending_prefill(key, tracked, now_ms)
        for target in set(tracked.attempt.targets):
            load = self._loads[target]
            load.running.pop(key, None)
            load.helping.pop(key, None)
            if load.is_empty:
                del self._loads[target]

    def _remove_pending_prefill(
        self, key: AttemptKey, tracked: _TrackedAttempt, now_ms: Millis
    ) -> None:
        """Remove the rest of a prefill from the targets' backlogs."""
        for target, end_ms in tracked.part_ends_ms.items():
            load = self._loads[target]
            if load.unfinished_prefills.pop(key, None) is None:
                continue
            left_ms = min(end_ms - now_ms, tracked.attempt.prefill_ms)
            if left_ms <= 0:
                continue
            load.prefill_until_ms -= left_ms
            for other in load.unfinished_prefills.values():
                if other.part_ends_ms[target] > end_ms:
                    other.part_ends_ms[target] -= left_ms

    def summarize(
        self, targets: Collection[TargetHash], entries: Collection[str], now_ms: Millis
    ) -> dict[TargetHash, SummarizedLoad]:
        """Return the attempts of some entries on some targets, by target, as sums.

        Attempts that are widely reported are left out: entries elsewhere know them one by one.

        Load pattern: most attempts stay in their data centre. Entries elsewhere rarely choose its
        targets, and need to know how busy these are, but not each attempt.
        """
        summaries: dict[TargetHash, SummarizedLoad] = {}
        for target in targets:
            load = self.load_of(target)
            kept = [
                attempt
                for key, attempt in (*load.running.items(), *load.helping.items())
                if key[0] in entries and not attempt.is_widely_reported
            ]
            if kept:
                running = [attempt for attempt in kept if attempt.targets[0] == target]
                pauses = [item.pause_goal_ms for item in running if item.pause_goal_ms > 0]
                summaries[target] = SummarizedLoad(
                    len(running),
                    sum(
                        item.context_tokens if item.targets[0] == target else item.held_tokens
                        for item in kept
                    ),
                    min(pauses, default=0.0),
                    max(0.0, load.prefill_until_ms - now_ms),
                )
        return summaries

    def apply_summary(
        self, source: str, loads: dict[TargetHash, SummarizedLoad], now_ms: Millis
    ) -> None:
        """Replace the summaries of a source, which is a data centre."""
        _, targets_before = self._summaries.get(source, (0.0, set()))
        for target in targets_before - loads.keys():
            self._set_summary(target, NO_SUMMARY, now_ms)
        for target, load in loads.items():
            self._set_summary(target, load, now_ms)
        self._summaries[source] = (now_ms, set(loads))

    def drop_old_summaries(self, now_ms: Millis) -> None:
        """Drop the summaries of sources that have sent none for a while."""
        for source, (received_ms, _) in list(self._summaries.items()):
            if now_ms >= received_ms + SUMMARY_LIFETIME_MS:
                self.apply_summary(source, {}, now_ms)
                del self._summaries[source]

    @property
    def summary_sources(self) -> set[str]:
        """Return the data centres whose summaries are known."""
        return set(self._summaries)

    def _set_summary(self, target: TargetHash, summary: SummarizedLoad, now_ms: Millis) -> None:
        load = self._loads.setdefault(target, TargetLoad(target))
        load.summary, load.summarized_ms = summary, now_ms
        if load.is_empty:
            del self._loads[target]

    def keep_only(self, entry: str, numbers: set[int], now_ms: Millis) -> None:
        """Remove those attempts of an entry that are missing from its complete list."""
        for key in [key for key in self._attempts if key[0] == entry and key[1] not in numbers]:
            self.end(entry, key[1], now_ms)


def _delay_prefills(load: TargetLoad, part_prefill_ms: Millis, now_ms: Millis) -> None:
    """Delay the pending prefills of a target by a new part, which the engine runs first."""
    for tracked in load.unfinished_prefills.values():
        if tracked.is_pending(now_ms):
            end_ms = max(tracked.part_ends_ms[load.target], now_ms)
            tracked.part_ends_ms[load.target] = end_ms + part_prefill_ms
