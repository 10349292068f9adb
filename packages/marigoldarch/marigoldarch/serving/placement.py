"""Chooses the target that runs a request, and the targets that share the prefill of its prompt.

The first target of a placement runs the request. If there are more, each of them, the first
included, prefills one part of the prompt; those after the first are helpers.

Load patterns, each with its answer:

- A short prompt queued behind a long one waits for the long prefill, and streams on the same engine
  pause during it. The cost of a placement therefore counts the streams whose pause goal it would
  exceed, and all entries fill the engines in one order: short prompts from its start, long prompts
  from its end.
- A prompt too long to meet its goal on one engine is split over several. More engines do not reduce
  the total work, so their number is the one with the lowest cost, not the largest.
- A burst of long prompts fills every engine. A request that cannot start before its caller gives up
  is not placed at all.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.engine_formula import decode_pass_ms, prefill_ms
from marigoldarch.serving.pool_view import TargetLoad
from marigoldarch.serving.targets import Target

PREFILL_PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""The numbers of targets that a prefill may be split over. The protocol allows up to 16 helpers."""

MAX_LONG_PROMPT_CANDIDATES = 24
"""For a long prompt, only this many targets are considered, those with the shortest backlogs. The
limit keeps the cost of a decision independent of the pool's size, and exceeds the largest number of
parts of a prefill."""

LONG_PREFILL_MS: Millis = 150.0
"""A prompt with a longer prefill counts as long. Together with a decode pass of about 50 ms, such a
prefill approaches 250 ms, the shortest pause goal of the known deployments."""

PROMPT_TOKENS_PER_EXCEEDED_PAUSE = 30_000
"""A prompt may make one running stream exceed its pause goal per this many tokens. In the goals of
the known deployments a prompt of 182,000 tokens counts as much as 18 short streams. For each
running stream that it makes pause too long, two more start during its prefill and pause as well, so
it may make a third of 18 pause, which is 6."""

MAX_IDLE_BACKLOG_MS: Millis = 50.0
"""An engine whose prefill backlog ends within this time, about one decode pass, counts as idle."""

LATE_PROMPT_POOL_DIVISOR = 4
"""A late prompt is split over at most the pool's size divided by this."""

MAX_LOAD_FOR_LATE_PROMPTS = 0.4
"""Late prompts are placed only while at most this share of all slots is in use."""

LATE_PROMPT_TIME_SHARE = 0.7
"""The prefill of a late prompt must end within this share of the time until its caller gives up."""

OTHER_DATA_CENTRE_SHARE = 0.34
"""A call leaves its data centre when this share more of the near target's slots are in use: two of
six slots. Targets run calls side by side, so a few others do not delay it."""

MAX_NEAR_LOAD = 0.7
"""Targets elsewhere are considered too when more of the near slots than this share are in use."""

MAX_NEAR_HARM = 0.5
"""Targets elsewhere are considered too when a placement near costs other requests more than this, in
units of one answer that misses its goal."""

PLANNED_MEMORY_SHARE = 0.92
"""The share of an engine's memory that placement uses; the rest is reserved for longer answers."""


class PlacementWeights(NamedTuple):
    """The weights of the placement cost, in units of one answer that misses its goal."""

    first_token_at_goal: float = 0.6
    """For a first token exactly at the goal; proportionally less for an earlier one."""

    per_goal_overrun: float = 4.0
    """For each multiple of the goal by which the first token is late."""

    exceeded_pause: float = 0.8
    """For each running stream whose pause goal would be exceeded."""

    newly_late_prompt: float = 2.5
    """For each pending prompt that a prefill part delays past its goal."""

    delayed_prompt: float = 0.3
    """For each pending prompt that is delayed and stays in time, or was late already."""

    per_helper: float = 0.005
    """For each target beyond the first."""

    fill_order: float = 0.12
    """For a target at the far end of the fill order."""

    last_free_slot: float = 0.3
    """For the last free slot, which another entry may be taking at the same moment."""

    other_data_centre: float = 0.04
    """For a first target in another data centre."""

    suspended: float = 5.0
    """For each suspended target."""

    planned_goal_share: float = 0.85
    """The share of the goal that placement uses; the rest covers passes already in progress."""


class PlacementRequest(NamedTuple):
    """A request to place; all times are durations from now.

    `goal_ms` is the time left until the first token is late, `time_left_ms` the time until the
    deadline, and `abandon_ms` the time after which the caller gives up if no event has arrived.
    `answer_tokens` is the expected length of the answer.
    """

    prompt_tokens: int
    answer_tokens: int
    goal_ms: Millis
    time_left_ms: Millis
    pause_goal_ms: Millis
    abandon_ms: Millis


class Candidate(NamedTuple):
    """A target on which the request may be placed.

    `slowdown` is how many times longer than by the engine formula it works. `is_local` says that it
    is in the entry's data centre. `fill_order` is its position, from 0 to 1, in the order in which
    all entries fill the targets. The target accepts no request of this entry for another `wait_ms`.
    `limit_per_s` is how many requests a second it accepts from all entries together, 0 if it names no
    limit. One that `is_cold` has just started, or says that it is as slow as after a start.
    """

    target: Target
    load: TargetLoad
    slowdown: float
    is_local: bool
    is_suspended: bool
    fill_order: float
    wait_ms: Millis = 0.0
    limit_per_s: float = 0.0
    is_cold: bool = False


class Placement(NamedTuple):
    """The target that runs the request, followed by its helpers.

    `first_token_ms` is the expected time until the first token and `prefill_ms` the prefill time of
    one part. `held_tokens` is the memory, in tokens, that each helper reserves for its part of the
    prompt; 0 if the first target holds the whole prompt.
    """

    targets: tuple[Target, ...]
    first_token_ms: Millis
    prefill_ms: Millis
    held_tokens: int = 0


class Saturated(NamedTuple):
    """No target can run the request in time; one may after `retry_after_ms`.

    With `is_turn` this is when the request's turn comes by the limits of all targets.
    """

    retry_after_ms: Millis
    is_turn: bool = False


class _ScoredCandidate(NamedTuple):
    """A candidate with the cost of running one part of the prefill on it."""

    cost: float
    exceeded_pauses: int
    first_token_ms: Millis
    candidate: Candidate


class EnginePlacer:
    """Places requests on the engines of one service."""

    def __init__(self, engine: EngineSpec, weights: PlacementWeights) -> None:
        self._engine = engine
        self._weights = weights

    def place(
        self, request: PlacementRequest, candidates: list[Candidate], now_ms: Millis
    ) -> Placement | Saturated:
        """Return the placement with the lowest cost, or after how long to try again."""
        whole_prefill_ms = prefill_ms(self._engine, request.prompt_tokens)
        considered = self._considered(candidates, whole_prefill_ms, now_ms)
        best, _ = self._place_at_lowest_cost(request, considered, whole_prefill_ms, now_ms)
        is_late = best is None or best.first_token_ms > request.goal_ms
        if is_late and whole_prefill_ms > LONG_PREFILL_MS:
            return self._place_late_prompt(request, candidates, whole_prefill_ms, now_ms)
        if best is None:
            return Saturated(self._wait_for_free_engines_ms(candidates, 1, now_ms))
        if best.first_token_ms > request.time_left_ms:
            return Saturated(best.first_token_ms - request.goal_ms)
        return best

    def place_near(
        self, request: PlacementRequest, near: list[Candidate], now_ms: Millis
    ) -> Placement | None:
        """Return a placement on near targets if none elsewhere is worth considering, else None.

        Load pattern: traffic moves to one data centre, whose targets fill up while those of the
        others are idle. A prompt that cannot be in time near goes elsewhere. Cold targets near are
        weighed against all others.
        """
        near = [item for item in near if not item.is_cold]
        if not near:
            return None
        active = sum(item.load.active for item in near)
        slots = sum(min(self._engine.slots, item.target.slots) for item in near)
        if active >= MAX_NEAR_LOAD * slots:
            return None
        whole_prefill_ms = prefill_ms(self._engine, request.prompt_tokens)
        considered = self._considered(near, whole_prefill_ms, now_ms)
        found, harm = self._place_at_lowest_cost(request, considered, whole_prefill_ms, now_ms)
        is_in_time = found is not None and found.first_token_ms <= request.goal_ms
        return found if is_in_time and harm <= MAX_NEAR_HARM else None

    def _considered(
        self, candidates: list[Candidate], whole_prefill_ms: Millis, now_ms: Millis
    ) -> list[Candidate]:
        """Return the candidates to score: all that accept requests, a bounded number if long.

        Load pattern: a data centre's targets come back cold. Short prompts bring them in; a long one
        is read by a cold target only if all that accept requests are cold.
        """
        accepting = open_candidates(candidates)
        if whole_prefill_ms < LONG_PREFILL_MS / 2:
            return accepting
        warm = [item for item in accepting if not item.is_cold]
        return _shortest_backlogs(warm or accepting, now_ms)

    def _place_at_lowest_cost(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        whole_prefill_ms: Millis,
        now_ms: Millis,
    ) -> tuple[Placement | None, float]:
        """Return the placement with the lowest cost over all numbers of parts, None without any.

        The second value is its cost without that of its own first token: what others bear.
        """
        best: Placement | None = None
        best_cost = best_harm = float("inf")
        for parts in PREFILL_PART_COUNTS:
            if parts > len(candidates) or (parts > 1 and whole_prefill_ms < LONG_PREFILL_MS / 2):
                break
            chosen = self._choose(request, candidates, whole_prefill_ms / parts, parts, now_ms)
            if chosen is None or self._exceeds_too_many_pauses(request, chosen):
                continue
            first_token_ms = max(scored.first_token_ms for scored in chosen)
            harm = sum(scored.cost for scored in chosen)
            cost = harm + self._first_token_cost(request, first_token_ms)
            cost += self._weights.per_helper * (parts - 1)
            if cost < best_cost:
                best_cost, best_harm = cost, harm
                best = self._placement(request, chosen, first_token_ms)
        return best, best_harm

    def _exceeds_too_many_pauses(
        self, request: PlacementRequest, chosen: list[_ScoredCandidate]
    ) -> bool:
        """Return whether more streams would exceed their pause goals than the prompt is worth.

        Load pattern: short streams fill all engines, and long prompts keep coming.
        """
        if prefill_ms(self._engine, request.prompt_tokens) < LONG_PREFILL_MS:
            return False
        exceeded_pauses = sum(scored.exceeded_pauses for scored in chosen)
        return exceeded_pauses * PROMPT_TOKENS_PER_EXCEEDED_PAUSE > request.prompt_tokens

    def _place_late_prompt(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        whole_prefill_ms: Millis,
        now_ms: Millis,
    ) -> Placement | Saturated:
        """Place a long prompt that misses its goal on idle engines.

        Load pattern: a burst of the largest prompts, or a burst of short prompts that follows one.
        A prompt that is late anyway must not delay those that can still be in time. It therefore
        gets the smallest number of engines that complete its prefill before its caller gives up, at
        most a quarter of the pool, and only while most slots are free and half of the engines are
        idle.
        """
        limit_ms = LATE_PROMPT_TIME_SHARE * min(request.time_left_ms, request.abandon_ms)
        max_parts = len(candidates) // LATE_PROMPT_POOL_DIVISOR
        parts = next(
            (count for count in PREFILL_PART_COUNTS if whole_prefill_ms / count <= limit_ms), None
        )
        if parts is None or parts > max_parts:
            return Saturated(request.time_left_ms)
        active = sum(item.load.active for item in candidates)
        slots = sum(min(self._engine.slots, item.target.slots) for item in candidates)
        idle = [
            item
            for item in open_candidates(candidates)
            if item.load.busy_until_ms <= now_ms + MAX_IDLE_BACKLOG_MS
            and not item.is_suspended
            and not item.is_cold
        ]
        has_spare_capacity = (
            active <= MAX_LOAD_FOR_LATE_PROMPTS * slots and len(idle) >= len(candidates) // 2
        )
        chosen: list[_ScoredCandidate] | None = None
        if has_spare_capacity:
            considered = _shortest_backlogs(idle, now_ms)
            chosen = self._choose(request, considered, whole_prefill_ms / parts, parts, now_ms)
        if chosen is None:
            return Saturated(
                self._wait_for_free_engines_ms(candidates, len(candidates) // 2, now_ms)
            )
        return self._placement(request, chosen, max(scored.first_token_ms for scored in chosen))

    def _placement(
        self, request: PlacementRequest, chosen: list[_ScoredCandidate], first_token_ms: Millis
    ) -> Placement:
        parts = len(chosen)
        whole_prefill_ms = prefill_ms(self._engine, request.prompt_tokens)
        targets = tuple(scored.candidate.target for scored in chosen)
        return Placement(
            targets,
            first_token_ms,
            whole_prefill_ms / parts,
            self._tokens_per_helper(request, parts),
        )

    def _tokens_per_helper(self, request: PlacementRequest, parts: int) -> int:
        """Return the tokens of memory that each helper reserves, 0 if one engine can hold all."""
        if (
            request.prompt_tokens + request.answer_tokens
            <= self._engine.memory_tokens * PLANNED_MEMORY_SHARE
        ):
            return 0
        return -(-request.prompt_tokens // parts)

    def _choose(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        part_prefill_ms: Millis,
        parts: int,
        now_ms: Millis,
    ) -> list[_ScoredCandidate] | None:
        """Return the `parts` targets with the lowest cost, None if too few have room.

        The first one has a free slot and the memory to run the request.
        """
        runners = [
            self._score(item, part_prefill_ms, parts, now_ms, is_helper=False)
            for item in candidates
            if self._can_run(request, item, parts)
        ]
        if not runners:
            return None
        runner = min(runners, key=lambda item: self._total_cost(request, item))
        if parts == 1:
            return [runner]
        helpers = [
            self._score(item, part_prefill_ms, parts, now_ms, is_helper=True)
            for item in candidates
            if item is not runner.candidate and self._can_help(request, item, parts)
        ]
        if len(helpers) < parts - 1:
            return None
        helpers.sort(key=lambda item: self._total_cost(request, item))
        return [runner, *helpers[: parts - 1]]

    def _total_cost(self, request: PlacementRequest, scored: _ScoredCandidate) -> float:
        return scored.cost + self._first_token_cost(request, scored.first_token_ms)

    def _score(
        self,
        candidate: Candidate,
        part_prefill_ms: Millis,
        parts: int,
        now_ms: Millis,
        *,
        is_helper: bool,
    ) -> _ScoredCandidate:
        """Return the cost of one part of the prefill on a target.

        An engine runs a new part before its backlog, but parts that arrive later run before this
        one. The estimate therefore assumes that the part waits for the backlog.
        """
        weights, load = self._weights, candidate.load
        wait_ms = max(0.0, load.busy_until_ms - now_ms)
        pass_ms = decode_pass_ms(self._engine, load.active + 1, load.context_tokens)
        current_pass_ms = pass_ms / 2 if load.active else 0.0
        first_token_ms = (
            wait_ms + current_pass_ms + part_prefill_ms + pass_ms
        ) * candidate.slowdown
        exceeded_pauses = 0
        if (wait_ms + part_prefill_ms + pass_ms) * candidate.slowdown > load.shortest_pause_goal_ms:
            exceeded_pauses = load.decoding_requests(now_ms)
        cost = weights.exceeded_pause * exceeded_pauses
        is_long = part_prefill_ms > LONG_PREFILL_MS / 2
        cost += weights.fill_order * (
            1.0 - candidate.fill_order if is_long else candidate.fill_order
        )
        if parts > 1:
            cost += delay_cost(weights, load, part_prefill_ms, now_ms)
        if not is_helper:
            slots = max(1, min(self._engine.slots, candidate.target.slots))
            cost += weights.last_free_slot * ((load.active + 1) / slots) ** 12
            cost += 0.0 if candidate.is_local else weights.other_data_centre
        if candidate.is_suspended:
            cost += weights.suspended
        return _ScoredCandidate(cost, exceeded_pauses, first_token_ms, candidate)

    def _first_token_cost(self, request: PlacementRequest, first_token_ms: Millis) -> float:
        goal_ms = max(request.goal_ms * self._weights.planned_goal_share, 1.0)
        overrun = max(0.0, first_token_ms / goal_ms - 1.0)
        return (
            self._weights.first_token_at_goal * first_token_ms / goal_ms
            + self._weights.per_goal_overrun * overrun
        )

    def _can_run(self, request: PlacementRequest, candidate: Candidate, parts: int) -> bool:
        load = candidate.load
        helper_tokens = self._tokens_per_helper(request, parts) * (parts - 1)
        own_tokens = request.prompt_tokens - helper_tokens + request.answer_tokens
        slots = min(self._engine.slots, candidate.target.slots)
        return load.active < slots and self._has_memory(candidate, own_tokens)

    def _can_help(self, request: PlacementRequest, candidate: Candidate, parts: int) -> bool:
        if candidate.limit_per_s:
            return False
        has_slot = len(candidate.load.helping) < self._engine.slots
        return has_slot and self._has_memory(candidate, self._tokens_per_helper(request, parts))

    def _has_memory(self, candidate: Candidate, tokens: int) -> bool:
        planned = self._engine.memory_tokens * PLANNED_MEMORY_SHARE
        return candidate.load.context_tokens + tokens <= planned

    def _wait_for_free_engines_ms(
        self, candidates: list[Candidate], count: int, now_ms: Millis
    ) -> Millis:
        """Return the time until `count` engines have no prefill backlog, at least one pass."""
        waits = sorted(max(item.wait_ms, item.load.busy_until_ms - now_ms) for item in candidates)
        wait_ms = waits[min(count, len(waits)) - 1] if waits else 0.0
        return max(wait_ms, decode_pass_ms(self._engine, 1, 0))


def delay_cost(
    weights: PlacementWeights, load: TargetLoad, part_prefill_ms: Millis, now_ms: Millis
) -> float:
    """Return the cost of the prompts whose first tokens are delayed by a part of another prompt.

    Load pattern: large prompts arrive faster than they are prefilled. An engine runs the newest
    part first, so a part that the rest of its prompt waits for may be delayed again and again.
    """
    newly_late = delayed = 0
    for item in load.pending_prefills(now_ms):
        end_ms = max(item.part_end_ms, now_ms) + part_prefill_ms
        if end_ms <= item.last_part_end_ms:
            continue
        if item.last_part_end_ms <= item.due_ms < end_ms:
            newly_late += 1
        else:
            delayed += 1
    return weights.newly_late_prompt * newly_late + weights.delayed_prompt * delayed


def _shortest_backlogs(candidates: list[Candidate], now_ms: Millis) -> list[Candidate]:
    if len(candidates) <= MAX_LONG_PROMPT_CANDIDATES:
        return candidates

    def key(item: Candidate) -> tuple[bool, float, int, float]:
        wait_ms = max(0.0, item.load.busy_until_ms - now_ms)
        return (item.is_suspended, wait_ms * item.slowdown, item.load.active, -item.fill_order)

    return heapq.nsmallest(MAX_LONG_PROMPT_CANDIDATES, candidates, key=key)


def open_candidates(candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that accept requests now."""
    return [item for item in candidates if not item.wait_ms]


def shortest_wait_ms(candidates: list[Candidate]) -> Millis:
    """Return the time until one of the candidates accepts requests, 0 without candidates."""
    return min((item.wait_ms for item in candidates), default=0.0)


def refusal_retry_after_ms(
    candidates: list[Candidate], told_ms: Millis | None, default_ms: Millis
) -> Millis:
    """Return when the caller of a request that no target ran should come back.

    `candidates` are all targets of the service, and `told_ms` is what the last one to refuse asked
    for. It counts only if there is no other target: the caller is served sooner by any of the others.

    Load pattern: all targets of a service are at their limits, and have asked for different waits.
    """
    wait_ms = shortest_wait_ms(candidates)
    if wait_ms > 0.0:
        return wait_ms
    if len(candidates) == 1 and told_ms:
        return told_ms
    return default_ms


def choose_least_loaded(candidates: list[Candidate]) -> Candidate | None:
    """Return the target with the smallest share of its slots in use, scaled by its slowdown.

    It is for services without an engine formula. Local targets are preferred. Full targets are
    chosen only if there is no other, suspended ones only after them, and targets that have asked
    for a wait not at all.

    Load pattern: calls of different lengths on few targets; the target with the fewest calls in
    progress is likely to be free first.
    """

    def cost(item: Candidate) -> tuple[bool, bool, float, bool, float]:
        is_full = item.load.active >= item.target.slots
        used = item.load.active / max(1, item.target.slots)
        return (
            item.is_suspended,
            is_full,
            round(used * item.slowdown + (0.0 if item.is_local else OTHER_DATA_CENTRE_SHARE), 2),
            not item.is_local,
            item.fill_order,
        )

    return min(open_candidates(candidates), key=cost, default=None)
