"""Compare rules for racing changes of declarations under a hot-spot workload of operators.

A model in virtual time: operators read, edit for a while, and submit; one leader decides in order.
An operator whose change conflicts reads and edits again. The rules are:

- global: the whole configuration must be at the revision the change was made from
- subtree: the changed subtree must be; other subtrees that were read are not checked
- read set: the changed subtree and every other one that was read must be
- interval: a change may take any place in the order that its reads and writes allow, after the
  time intervals of Bayer et al., as measured in "Measured Performance of Time Interval Concurrency
  Control Techniques"

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

TEAMS = 40
HOT_SHARE = 0.5
OTHER_READ_SHARE = 0.3
THINK_MS = 2000.0
EDIT_MS = 300.0
READ_LAG_MS = 15.0
DURATION_MS = 600_000.0
RULES = ("global", "subtree", "read set", "interval")


class Change(NamedTuple):
    """A change: the subtree it replaces, and the versions of all subtrees it has read."""

    subtree: int
    reads: dict[int, int]
    base: int


@dataclass
class Version:
    """One version of a subtree in the interval rule: its writer's place and its latest reader's."""

    place: float
    last_read: float


@dataclass
class Decider:
    """The state of one rule, and its decisions."""

    rule: str
    revision: int = 0
    versions: dict[int, list[int]] = field(default_factory=dict)
    places: dict[tuple[int, int], Version] = field(default_factory=dict)

    def version(self, subtree: int) -> int:
        """Return the current version of a subtree."""
        return self.versions.get(subtree, [0])[-1]

    def decide(self, change: Change) -> bool:
        """Return whether a change is accepted, and apply it if so."""
        match self.rule:
            case "global":
                is_accepted = change.base == self.revision
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
        return all(change.reads[item] == self.version(item) for item in subtrees)

    def _commit(self, change: Change) -> None:
        self.revision += 1
        self.versions.setdefault(change.subtree, [0]).append(self.revision)

    def _decide_by_interval(self, change: Change) -> bool:
        low, high = 0.0, float(self.revision + 1)
        for subtree, version in change.reads.items():
            read = self.places.setdefault((subtree, version), Version(0.0, 0.0))
            low = max(low, read.place)
            following = self._next_version(subtree, version)
            if following is not None:
                high = min(high, self.places[subtree, following].place)
        if change.reads[change.subtree] != self.version(change.subtree):
            return False
        replaced = self.places[change.subtree, change.reads[change.subtree]]
        low = max(low, replaced.last_read)
        if low >= high:
            return False
        place = (low + high) / 2 if high <= self.revision else high
        for subtree, version in change.reads.items():
            read = self.places[subtree, version]
            read.last_read = max(read.last_read, place)
        self._commit(change)
        self.places[change.subtree, self.revision] = Version(place, place)
        return True

    def _next_version(self, subtree: int, version: int) -> int | None:
        versions = self.versions.get(subtree, [0])
        position = versions.index(version) + 1
        return versions[position] if position < len(versions) else None


class Row(NamedTuple):
    """What one rule gave."""

    rule: str
    operators: int
    submitted: int
    conflicts: int
    unchecked: int
    decide_us: float
    kept_bytes: int


def simulate(rule: str, operators: int, seed: int = 0) -> Row:
    """Run one rule under the workload."""
    chooser = random.Random(f"{seed}/{operators}")
    decider = Decider(rule)
    queue = [(chooser.expovariate(1 / THINK_MS), number, None, -1) for number in range(operators)]
    heapq.heapify(queue)
    submitted = conflicts = unchecked = 0
    spent_s = 0.0
    while queue and queue[0][0] < DURATION_MS:
        now_ms, number, change, subtree = heapq.heappop(queue)
        if change is None:
            change = _read(decider, chooser, subtree)
            due_ms = now_ms + READ_LAG_MS + chooser.expovariate(1 / EDIT_MS)
            heapq.heappush(queue, (due_ms, number, change, change.subtree))
            continue
        submitted += 1
        stale = [item for item, version in change.reads.items() if version != decider.version(item)]
        began = time.perf_counter()
        is_accepted = decider.decide(change)
        spent_s += time.perf_counter() - began
        if is_accepted:
            unchecked += bool(stale) and rule == "subtree"
            think_ms = chooser.expovariate(1 / THINK_MS)
            heapq.heappush(queue, (now_ms + think_ms, number, None, -1))
        else:
            conflicts += 1
            heapq.heappush(queue, (now_ms, number, None, change.subtree))
    kept = sys.getsizeof(decider.places) + 120 * len(decider.places)
    kept += sum(sys.getsizeof(item) for item in decider.versions.values())
    decide_us = 1e6 * spent_s / max(1, submitted)
    return Row(rule, operators, submitted, conflicts, unchecked, decide_us, kept)


def _read(decider: Decider, chooser: random.Random, subtree: int) -> Change:
    if subtree < 0:
        subtree = 0 if chooser.random() < HOT_SHARE else chooser.randrange(1, TEAMS)
    reads = {subtree: decider.version(subtree)}
    if chooser.random() < OTHER_READ_SHARE:
        other = chooser.randrange(TEAMS)
        reads[other] = decider.version(other)
    return Change(subtree, reads, decider.revision)


def main(seed: int = 0) -> None:
    """Print the table."""
    print("| rule | operators | submitted | conflicts | accepted on stale reads | decide, us |")
    print("|---|---|---|---|---|---|")
    for operators in (2, 5, 10, 20, 40):
        for rule in RULES:
            row = simulate(rule, operators, seed)
            share = 100 * row.conflicts / max(1, row.submitted)
            print(
                f"| {row.rule} | {row.operators} | {row.submitted} | {share:.1f}% | "
                f"{row.unchecked} | {row.decide_us:.1f} |"
            )


if __name__ == "__main__":
    fire.Fire(main)
