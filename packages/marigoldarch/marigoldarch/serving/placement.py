"""On which targets a request runs, and how many of them read its prompt.

Load patterns, each with its answer:

- Short prompts behind a long one wait for the long one's reading, and streams on the same engine
  pause for it. The cost of a choice counts the streams whose pause goal it would break, and all
  entries fill the engines in one order: short work from its start, long work from its end.
- A prompt too long for its goal on one engine is read by several. More engines save no work, so
  their number is that of the lowest cost, not the largest.
- A burst of long prompts fills every engine. What cannot begin before its caller has gone is not
  placed at all.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.engine_formula import pass_ms, reading_ms
from marigoldarch.serving.pool_view import TargetLoad
from marigoldarch.serving.targets import Target

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""How many targets may read one prompt; PROTOCOL.md allows 16 helpers."""

LONG_READING_MS: Millis = 150.0
"""Reading beyond this counts as long work: with a pass of about 50 ms it nears the shortest pause
goal of the deployments' sheets, 250 ms."""

MEMORY_SHARE = 0.92
"""The part of an engine's memory that is planned for; the rest covers longer answers."""


class PlacementWeights(NamedTuple):
    """What each part of a choice costs, against 1 for an answer that misses its goal."""

    per_goal: float = 0.3
    """For a first token at the goal; less in proportion before."""

    beyond_goal: float = 2.0
    """For each goal's length beyond it."""

    broken_pause: float = 0.4
    """For each running stream whose longest pause would be exceeded."""

    helper: float = 0.015
    order: float = 0.12
    """For the far end of the common order."""

    other_data_centre: float = 0.04
    suspended: float = 5.0
    goal_margin: float = 0.85
    """The part of the goal that is planned for; the rest covers passes already under way."""


class Job(NamedTuple):
    """A request to place; times are left from now on."""

    prompt_tokens: int
    answer_tokens: int
    goal_ms: Millis
    deadline_ms: Millis
    pause_goal_ms: Millis


class Candidate(NamedTuple):
    """A target that may run the job.

    `order` is its place from 0 to 1 in the order that all entries share.
    """

    target: Target
    load: TargetLoad
    pace: float
    is_near: bool
    is_suspended: bool
    order: float


class Placement(NamedTuple):
    """The target that runs the job, those that help to read, and when its first token is due."""

    targets: tuple[Target, ...]
    first_token_ms: Millis
    reading_ms: Millis


class Saturated(NamedTuple):
    """No target can run the job in time; `retry_after_ms` is when one may."""

    retry_after_ms: Millis


class _Scored(NamedTuple):
    cost: float
    first_token_ms: Millis
    candidate: Candidate


class EnginePlacer:
    """Choose targets among the engines of one service."""

    def __init__(self, engine: EngineSpec, weights: PlacementWeights) -> None:
        self._engine = engine
        self._weights = weights

    def place(self, job: Job, candidates: list[Candidate], now_ms: Millis) -> Placement | Saturated:
        """Return the choice of the lowest cost."""
        alone_ms = reading_ms(self._engine, job.prompt_tokens)
        best: Placement | None = None
        best_cost = float("inf")
        for parts in PART_COUNTS:
            if parts > len(candidates) or (parts > 1 and alone_ms < LONG_READING_MS / 2):
                break
            chosen = self._choose(job, candidates, alone_ms / parts, parts, now_ms)
            if chosen is None:
                continue
            first_ms = max(scored.first_token_ms for scored in chosen)
            cost = sum(scored.cost for scored in chosen) + self._cost_of_time(job, first_ms)
            cost += self._weights.helper * (parts - 1)
            if cost < best_cost:
                best_cost = cost
                targets = tuple(scored.candidate.target for scored in chosen)
                best = Placement(targets, first_ms, alone_ms / parts)
        if best is None:
            return Saturated(self._free_in_ms(candidates, now_ms))
        if best.first_token_ms > job.deadline_ms:
            return Saturated(best.first_token_ms - job.goal_ms)
        return best

    def _choose(
        self, job: Job, candidates: list[Candidate], part_ms: Millis, parts: int, now_ms: Millis
    ) -> list[_Scored] | None:
        """Return `parts` targets of the lowest cost; the first has room to run the job."""
        scored = [self._score(job, item, part_ms, now_ms) for item in candidates]
        scored.sort(key=lambda item: item.cost + self._cost_of_time(job, item.first_token_ms))
        runner = next((item for item in scored if self._has_room(job, item.candidate)), None)
        if runner is None:
            return None
        helpers = [item for item in scored if item is not runner and self._can_help(item)]
        if len(helpers) < parts - 1:
            return None
        return [runner, *helpers[: parts - 1]]

    def _score(self, job: Job, candidate: Candidate, part_ms: Millis, now_ms: Millis) -> _Scored:
        weights, load = self._weights, candidate.load
        wait_ms = max(0.0, load.reads_until_ms - now_ms)
        write_ms = pass_ms(self._engine, load.active + 1, load.context_tokens)
        under_way_ms = write_ms / 2 if load.active else 0.0
        first_ms = (wait_ms + under_way_ms + part_ms + write_ms) * candidate.pace
        cost = 0.0
        if (wait_ms + part_ms + write_ms) * candidate.pace > load.tightest_pause_ms:
            cost += weights.broken_pause * load.active
        is_long = part_ms > LONG_READING_MS / 2
        cost += weights.order * (1.0 - candidate.order if is_long else candidate.order)
        if not candidate.is_near:
            cost += weights.other_data_centre
        if candidate.is_suspended:
            cost += weights.suspended
        return _Scored(cost, first_ms, candidate)

    def _cost_of_time(self, job: Job, first_ms: Millis) -> float:
        goal_ms = max(job.goal_ms * self._weights.goal_margin, 1.0)
        beyond = max(0.0, first_ms / goal_ms - 1.0)
        return self._weights.per_goal * first_ms / goal_ms + self._weights.beyond_goal * beyond

    def _has_room(self, job: Job, candidate: Candidate) -> bool:
        load = candidate.load
        slots = min(self._engine.slots, candidate.target.slots)
        needed = load.context_tokens + job.prompt_tokens + job.answer_tokens
        is_roomy = needed <= self._engine.memory_tokens * MEMORY_SHARE
        return load.active < slots and (is_roomy or load.active == 0)

    def _can_help(self, scored: _Scored) -> bool:
        return len(scored.candidate.load.helps) < self._engine.slots

    def _free_in_ms(self, candidates: list[Candidate], now_ms: Millis) -> Millis:
        waits = [max(0.0, item.load.reads_until_ms - now_ms) for item in candidates]
        return max(min(waits, default=0.0), self._engine.step_ms * self._engine.steps_per_pass)


def choose_plain(candidates: list[Candidate]) -> Candidate | None:
    """Return the target of a plain service with the most free places, near ones first.

    Load pattern: calls of unlike length on few targets; the one with the fewest in progress is
    free first.
    """

    def cost(item: Candidate) -> tuple[bool, bool, float, bool, float]:
        is_full = item.load.active >= item.target.slots
        used = item.load.active / max(1, item.target.slots)
        return (
            item.is_suspended,
            is_full,
            round(used * item.pace, 2),
            not item.is_near,
            item.order,
        )

    return min(candidates, key=cost, default=None)
