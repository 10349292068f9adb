"""Compares optimistic concurrency control rules for changes of declarations.

Simulates, in virtual time, operators who read, edit and submit changes, half of them to the same
subtree. One leader decides on the changes in the order of their submission. After a conflict an
operator reads and edits again. The rules are:

- global: the whole configuration must be at the revision that the change was based on
- subtree: the changed subtree must be unchanged; other subtrees that were read are not checked
- read set: the changed subtree and all other subtrees that were read must be unchanged
- interval: a change may take any position in the serial order that its reads and writes allow, with
  the time intervals of Bayer et al., as measured in "Measured Performance of Time Interval
  Concurrency Control Techniques"

Run `python -m marigoldarch_fakes.measure_concurrency`; it prints a Markdown table.
"""

from __future__ import annotations

import heapq
import random
import sys
import time
from dataclasses import dataclass, field
from typing import NamedTuple

import fire

SUBTREE_COUNT = 40
HOT_SUBTREE_SHARE = 0.5
OTHER_READ_SHARE = 0.3
MEAN_THINK_MS = 2000.0
MEAN_EDIT_MS = 300.0
READ_LAG_MS = 15.0
DURATION_MS = 600_000.0
RULES = ("global", "subtree", "read set", "interval")


class Change(NamedTuple):
    """A change: the subtree that it replaces, and the versions of all subtrees that were read."""

    subtree: int
    reads: dict[int, int]
    base_revision: int


@dataclass
class Version:
    """A version of a subtree in the interval rule: timestamps of its writer and last reader."""

    timestamp: float
    last_read: float


@dataclass
class ConcurrencyControl:
    """Decides on changes by one rule, and keeps the state that the rule needs."""

    rule: str
    revision: int = 0
    versions: dict[int, list[int]] = field(default_factory=dict)
    timestamps: dict[tuple[int, int], Version] = field(default_factory=dict)

    def version(self, subtree: int) -> int:
        """Return the current version of a subtree."""
        return self.versions.get(subtree, [0])[-1]

    def decide(self, change: Change) -> bool:
        """Return whether a change is accepted, and apply it if so."""
        match self.rule:
            case "global":
                is_accepted = change.base_revision == self.revision
            case "subtree":
                is_accepted = self._is_current(change, [change.subtree])
            case "read set":
                is_accepted = self._is_current(change, list(change.reads))
            case _:
                return self._decide_by_interval(change)
        if is_accepted:
            self._commit(change)
        return is_accepted

    def _is_current(self, change: Change, subtrees: list[int]) -> bool:
        return all(change.reads[subtree] == self.version(subtree) for subtree in subtrees)

    def _commit(self, change: Change) -> None:
        self.revision += 1
        self.versions.setdefault(change.subtree, [0]).append(self.revision)

    def _decide_by_interval(self, change: Change) -> bool:
        earliest, latest = 0.0, float(self.revision + 1)
        for subtree, version in change.reads.items():
            read = self.timestamps.setdefault((subtree, version), Version(0.0, 0.0))
            earliest = max(earliest, read.timestamp)
            following = self._find_next_version(subtree, version)
            if following is not None:
                latest = min(latest, self.timestamps[subtree, following].timestamp)
        if change.reads[change.subtree] != self.version(change.subtree):
            return False
        replaced = self.timestamps[change.subtree, change.reads[change.subtree]]
        earliest = max(earliest, replaced.last_read)
        if earliest >= latest:
            return False
        timestamp = (earliest + latest) / 2 if latest <= self.revision else latest
        for subtree, version in change.reads.items():
            read = self.timestamps[subtree, version]
            read.last_read = max(read.last_read, timestamp)
        self._commit(change)
        self.timestamps[change.subtree, self.revision] = Version(timestamp, timestamp)
        return True

    def _find_next_version(self, subtree: int, version: int) -> int | None:
        versions = self.versions.get(subtree, [0])
        position = versions.index(version) + 1
        return versions[position] if position < len(versions) else None


class RuleResult(NamedTuple):
    """The result of one rule; `stale_accepted` counts accepted changes with an outdated read."""

    rule: str
    operators: int
    submitted: int
    conflicts: int
    stale_accepted: int
    decide_us: float
    retained_bytes: int


def simulate(rule: str, operators: int, seed: int = 0) -> RuleResult:
    """Run the simulation with one rule and this many operators."""
    rng = random.Random(f"{seed}/{operators}")
    control = ConcurrencyControl(rule)
    events = [(rng.expovariate(1 / MEAN_THINK_MS), number, None, -1) for number in range(operators)]
    heapq.heapify(events)
    submitted = conflicts = stale_accepted = 0
    decide_s = 0.0
    while events and events[0][0] < DURATION_MS:
        now_ms, number, change, subtree = heapq.heappop(events)
        if change is None:
            change = _make_change(control, rng, subtree)
            due_ms = now_ms + READ_LAG_MS + rng.expovariate(1 / MEAN_EDIT_MS)
            heapq.heappush(events, (due_ms, number, change, change.subtree))
            continue
        submitted += 1
        stale = [read for read, version in change.reads.items() if version != control.version(read)]
        start_s = time.perf_counter()
        is_accepted = control.decide(change)
        decide_s += time.perf_counter() - start_s
        if is_accepted:
            stale_accepted += bool(stale) and rule == "subtree"
            think_ms = rng.expovariate(1 / MEAN_THINK_MS)
            heapq.heappush(events, (now_ms + think_ms, number, None, -1))
        else:
            conflicts += 1
            heapq.heappush(events, (now_ms, number, None, change.subtree))
    retained_bytes = sys.getsizeof(control.timestamps) + 120 * len(control.timestamps)
    retained_bytes += sum(sys.getsizeof(versions) for versions in control.versions.values())
    decide_us = 1e6 * decide_s / max(1, submitted)
    return RuleResult(
        rule, operators, submitted, conflicts, stale_accepted, decide_us, retained_bytes
    )


def _make_change(control: ConcurrencyControl, rng: random.Random, subtree: int) -> Change:
    if subtree < 0:
        subtree = 0 if rng.random() < HOT_SUBTREE_SHARE else rng.randrange(1, SUBTREE_COUNT)
    reads = {subtree: control.version(subtree)}
    if rng.random() < OTHER_READ_SHARE:
        other = rng.randrange(SUBTREE_COUNT)
        reads[other] = control.version(other)
    return Change(subtree, reads, control.revision)


def main(seed: int = 0) -> None:
    """Run all rules and print the results as a Markdown table."""
    print("| rule | operators | submitted | conflicts | accepted on stale reads | decide, us |")
    print("|---|---|---|---|---|---|")
    for operators in (2, 5, 10, 20, 40):
        for rule in RULES:
            result = simulate(rule, operators, seed)
            conflict_percent = 100 * result.conflicts / max(1, result.submitted)
            print(
                f"| {result.rule} | {result.operators} | {result.submitted} | "
                f"{conflict_percent:.1f}% | {result.stale_accepted} | {result.decide_us:.1f} |"
            )


if __name__ == "__main__":
    fire.Fire(main)
