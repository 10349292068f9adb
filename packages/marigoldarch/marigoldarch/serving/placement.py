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

import heapq
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.engine_formula import decode_pass_ms, prefill_ms
from marigoldarch.serving.pool_view import TargetLoad
from marigoldarch.serving.targets import Target

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""How many targets may read one prompt; PROTOCOL.md allows 16 helpers."""

MOST_CONSIDERED = 24
"""Long prompts are placed among so many targets, those with the least to read: more than may read one
prompt, so that the cost of a decision does not grow with the pool."""

LONG_READING_MS: Millis = 150.0
"""Reading beyond this counts as long work: with a pass of about 50 ms it nears the shortest pause
goal of the deployments' sheets, 250 ms."""

TOKENS_PER_STREAM = 30_000
"""A prompt may make one running stream pause too long for each of these tokens. The sheets value
182,000 tokens like 18 short streams; for each that pauses two more begin while it is read."""

IDLE_MS: Millis = 50.0
"""An engine that has read everything within a pass counts as one that nothing waits for."""

LATE_POOL_DIVISOR = 4
"""Late work reads on this part of the pool at most."""

LATE_LOAD = 0.4
"""Late work is placed while at most this part of all slots is taken."""

LATE_SHARE = 0.7
"""The part of the time until its caller gives up in which late work has to be read."""

MEMORY_SHARE = 0.92
"""The part of an engine's memory that is planned for; the rest covers longer answers."""


class PlacementWeights(NamedTuple):
    """What each part of a choice costs, against 1 for an answer that misses its goal."""

    per_goal: float = 0.6
    """For a first token at the goal; less in proportion before."""

    beyond_goal: float = 4.0
    """For each goal's length beyond it."""

    broken_pause: float = 0.8
    """For each running stream whose longest pause would be exceeded."""

    made_late: float = 2.5
    """For each prompt that a part overtakes, and so makes late."""

    overtaken: float = 0.3
    """For each prompt that is overtaken and stays in time, or was late before."""

    per_helper: float = 0.005
    order: float = 0.12
    """For the far end of the common order."""

    fullness: float = 0.3
    """For the last free slot: another entry may be taking it at this moment."""

    other_data_centre: float = 0.04
    suspended: float = 5.0
    goal_margin: float = 0.85
    """The part of the goal that is planned for; the rest covers passes already under way."""


class PlacementRequest(NamedTuple):
    """A request to place; times are left from now on.

    `begin_by_ms` is when its caller gives up if nothing has come.
    """

    prompt_tokens: int
    answer_tokens: int
    goal_ms: Millis
    deadline_ms: Millis
    pause_goal_ms: Millis
    begin_by_ms: Millis


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
    """The target that runs the job, those that help to read, and when its first token is due.

    `held_tokens` is the memory that each helper sets aside for the prompt, 0 if the first target
    holds it all.
    """

    targets: tuple[Target, ...]
    first_token_ms: Millis
    prefill_ms: Millis
    held_tokens: int = 0


class Saturated(NamedTuple):
    """No target can run the job in time; `retry_after_ms` is when one may."""

    retry_after_ms: Millis


class _Scored(NamedTuple):
    cost: float
    broken_streams: int
    first_token_ms: Millis
    candidate: Candidate


class EnginePlacer:
    """Choose targets among the engines of one service."""

    def __init__(self, engine: EngineSpec, weights: PlacementWeights) -> None:
        self._engine = engine
        self._weights = weights

    def place(
        self, job: PlacementRequest, candidates: list[Candidate], now_ms: Millis
    ) -> Placement | Saturated:
        """Return the choice of the lowest cost, or when to come back."""
        alone_ms = prefill_ms(self._engine, job.prompt_tokens)
        considered = candidates
        if alone_ms >= LONG_READING_MS / 2:
            considered = _least_read(candidates, now_ms)
        best = self._place_in_time(job, considered, alone_ms, now_ms)
        is_late = best is None or best.first_token_ms > job.goal_ms
        if is_late and alone_ms > LONG_READING_MS:
            return self._place_late(job, candidates, alone_ms, now_ms)
        if best is None:
            return Saturated(self._free_in_ms(candidates, 1, now_ms))
        if best.first_token_ms > job.deadline_ms:
            return Saturated(best.first_token_ms - job.goal_ms)
        return best

    def _place_in_time(
        self, job: PlacementRequest, candidates: list[Candidate], alone_ms: Millis, now_ms: Millis
    ) -> Placement | None:
        """Return the choice of the lowest cost over all numbers of readers."""
        best: Placement | None = None
        best_cost = float("inf")
        for parts in PART_COUNTS:
            if parts > len(candidates) or (parts > 1 and alone_ms < LONG_READING_MS / 2):
                break
            chosen = self._choose(job, candidates, alone_ms / parts, parts, now_ms)
            if chosen is None or self._breaks_too_much(job, chosen):
                continue
            first_ms = max(scored.first_token_ms for scored in chosen)
            cost = sum(scored.cost for scored in chosen) + self._cost_of_time(job, first_ms)
            cost += self._weights.per_helper * (parts - 1)
            if cost < best_cost:
                best_cost = cost
                best = self._placement(job, chosen, first_ms)
        return best

    def _breaks_too_much(self, job: PlacementRequest, chosen: list[_Scored]) -> bool:
        """Return whether more streams would pause too long than the prompt is worth.

        Load pattern: short streams fill all engines, and long prompts keep coming.
        """
        if prefill_ms(self._engine, job.prompt_tokens) < LONG_READING_MS:
            return False
        broken = sum(scored.broken_streams for scored in chosen)
        return broken * TOKENS_PER_STREAM > job.prompt_tokens

    def _place_late(
        self, job: PlacementRequest, candidates: list[Candidate], alone_ms: Millis, now_ms: Millis
    ) -> Placement | Saturated:
        """Place long work that misses its goal on engines that nothing waits for.

        Load pattern: a burst of the largest prompts, or one of short prompts that follows it. Work
        that is late anyway would make those late that can still be in time, so it gets the fewest
        engines that end its reading early enough, at most a quarter of the pool, and only while
        most slots are free.
        """
        limit_ms = LATE_SHARE * min(job.deadline_ms, job.begin_by_ms)
        most = len(candidates) // LATE_POOL_DIVISOR
        parts = next((count for count in PART_COUNTS if alone_ms / count <= limit_ms), None)
        if parts is None or parts > most:
            return Saturated(job.deadline_ms)
        active = sum(item.load.active for item in candidates)
        slots = sum(min(self._engine.slots, item.target.slots) for item in candidates)
        idle = [
            item
            for item in candidates
            if item.load.prefill_until_ms <= now_ms + IDLE_MS and not item.is_suspended
        ]
        is_spare = active <= LATE_LOAD * slots and len(idle) >= len(candidates) // 2
        chosen: list[_Scored] | None = None
        if is_spare:
            considered = _least_read(idle, now_ms)
            chosen = self._choose(job, considered, alone_ms / parts, parts, now_ms)
        if chosen is None:
            return Saturated(self._free_in_ms(candidates, len(candidates) // 2, now_ms))
        return self._placement(job, chosen, max(scored.first_token_ms for scored in chosen))

    def _placement(
        self, job: PlacementRequest, chosen: list[_Scored], first_ms: Millis
    ) -> Placement:
        parts = len(chosen)
        alone_ms = prefill_ms(self._engine, job.prompt_tokens)
        targets = tuple(scored.candidate.target for scored in chosen)
        return Placement(targets, first_ms, alone_ms / parts, self._held_tokens(job, parts))

    def _held_tokens(self, job: PlacementRequest, parts: int) -> int:
        """Return the memory each helper sets aside: none if one engine can hold the whole."""
        if job.prompt_tokens + job.answer_tokens <= self._engine.memory_tokens * MEMORY_SHARE:
            return 0
        return -(-job.prompt_tokens // parts)

    def _choose(
        self,
        job: PlacementRequest,
        candidates: list[Candidate],
        part_ms: Millis,
        parts: int,
        now_ms: Millis,
    ) -> list[_Scored] | None:
        """Return `parts` targets of the lowest cost; the first has room to run the job."""
        runners = [
            self._score(item, part_ms, parts, now_ms, is_help=False)
            for item in candidates
            if self._can_run(job, item, parts)
        ]
        if not runners:
            return None
        runner = min(runners, key=lambda item: self._rating(job, item))
        if parts == 1:
            return [runner]
        helpers = [
            self._score(item, part_ms, parts, now_ms, is_help=True)
            for item in candidates
            if item is not runner.candidate and self._can_help(job, item, parts)
        ]
        if len(helpers) < parts - 1:
            return None
        helpers.sort(key=lambda item: self._rating(job, item))
        return [runner, *helpers[: parts - 1]]

    def _rating(self, job: PlacementRequest, scored: _Scored) -> float:
        return scored.cost + self._cost_of_time(job, scored.first_token_ms)

    def _score(
        self, candidate: Candidate, part_ms: Millis, parts: int, now_ms: Millis, *, is_help: bool
    ) -> _Scored:
        """Return what a part costs on a target.

        A part goes before what is there, but later ones go before it; it is planned to wait for what
        is there.
        """
        weights, load = self._weights, candidate.load
        wait_ms = max(0.0, load.prefill_until_ms - now_ms)
        write_ms = decode_pass_ms(self._engine, load.active + 1, load.context_tokens)
        under_way_ms = write_ms / 2 if load.active else 0.0
        first_ms = (wait_ms + under_way_ms + part_ms + write_ms) * candidate.pace
        broken = 0
        if (wait_ms + part_ms + write_ms) * candidate.pace > load.tightest_pause_ms:
            broken = load.writers(now_ms)
        cost = weights.broken_pause * broken
        is_long = part_ms > LONG_READING_MS / 2
        cost += weights.order * (1.0 - candidate.order if is_long else candidate.order)
        if parts > 1:
            cost += overtaking_cost(weights, load, part_ms, now_ms)
        if not is_help:
            slots = max(1, min(self._engine.slots, candidate.target.slots))
            cost += weights.fullness * ((load.active + 1) / slots) ** 12
            cost += 0.0 if candidate.is_near else weights.other_data_centre
        if candidate.is_suspended:
            cost += weights.suspended
        return _Scored(cost, broken, first_ms, candidate)

    def _cost_of_time(self, job: PlacementRequest, first_ms: Millis) -> float:
        goal_ms = max(job.goal_ms * self._weights.goal_margin, 1.0)
        beyond = max(0.0, first_ms / goal_ms - 1.0)
        return self._weights.per_goal * first_ms / goal_ms + self._weights.beyond_goal * beyond

    def _can_run(self, job: PlacementRequest, candidate: Candidate, parts: int) -> bool:
        load = candidate.load
        held = self._held_tokens(job, parts) * (parts - 1)
        own = job.prompt_tokens - held + job.answer_tokens
        slots = min(self._engine.slots, candidate.target.slots)
        return load.active < slots and self._has_memory(candidate, own)

    def _can_help(self, job: PlacementRequest, candidate: Candidate, parts: int) -> bool:
        has_slot = len(candidate.load.helping) < self._engine.slots
        return has_slot and self._has_memory(candidate, self._held_tokens(job, parts))

    def _has_memory(self, candidate: Candidate, tokens: int) -> bool:
        planned = self._engine.memory_tokens * MEMORY_SHARE
        return candidate.load.context_tokens + tokens <= planned

    def _free_in_ms(self, candidates: list[Candidate], count: int, now_ms: Millis) -> Millis:
        """Return when so many engines have read what they have now, a pass at the least."""
        waits = sorted(max(0.0, item.load.prefill_until_ms - now_ms) for item in candidates)
        wait_ms = waits[min(count, len(waits)) - 1] if waits else 0.0
        return max(wait_ms, decode_pass_ms(self._engine, 1, 0))


def overtaking_cost(
    weights: PlacementWeights, load: TargetLoad, part_ms: Millis, now_ms: Millis
) -> float:
    """Return the cost for the prompts whose first tokens a part of another prompt puts off.

    Load pattern: large prompts come faster than they are read. An engine reads the newest part
    first, so a part that older ones wait for may be put off again and again.
    """
    made_late = put_off = 0
    for item in load.pending(now_ms):
        end_ms = max(item.here_ms, now_ms) + part_ms
        if end_ms <= item.expected_ms:
            continue
        if item.expected_ms <= item.late_ms < end_ms:
            made_late += 1
        else:
            put_off += 1
    return weights.made_late * made_late + weights.overtaken * put_off


def _least_read(candidates: list[Candidate], now_ms: Millis) -> list[Candidate]:
    if len(candidates) <= MOST_CONSIDERED:
        return candidates

    def key(item: Candidate) -> tuple[bool, float, int, float]:
        wait_ms = max(0.0, item.load.prefill_until_ms - now_ms)
        return (item.is_suspended, wait_ms * item.pace, item.load.active, -item.order)

    return heapq.nsmallest(MOST_CONSIDERED, candidates, key=key)


def choose_least_loaded(candidates: list[Candidate]) -> Candidate | None:
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
