"""Simulates entries that place requests on engines.

Each entry knows its own requests at once, and those of other entries after `REPORT_LAG_MS`, as far
as these are reported to it.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.candidates import MIN_NEAR_TARGETS
from marigoldarch.serving.engine_formula import prefill_ms
from marigoldarch.serving.placement import (
    LONG_PREFILL_MS,
    Candidate,
    EnginePlacer,
    Placement,
    PlacementRequest,
    Saturated,
)
from marigoldarch.serving.pool_view import PoolView, RunningAttempt
from marigoldarch.serving.targets import Target
from marigoldarch_fakes.serving_bench.engine import FormulaEngine, Generation
from marigoldarch_fakes.serving_bench.layout import PLAIN_LAYOUT, Layout, MessageCounts, Sharing
from marigoldarch_fakes.serving_bench.load import Arrival, credit_for

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec

REPORT_LAG_MS: Millis = 11.0
"""From a change at one entry until the other entries see it: coalescing and the network."""

REQUEST_DELAY_MS: Millis = 4.0
"""From the caller to the engine: two network hops and a new connection."""

RESPONSE_DELAY_MS: Millis = 2.0
"""From the engine to the caller."""

SUMMARY_INTERVAL_MS: Millis = 300.0
"""How often the short work of a data centre is summarized for the others."""

RETRY_INTERVAL_MS: Millis = 50.0
"""How soon placement is tried again for a request that no engine can run yet."""


class Fault(NamedTuple):
    """From `start_s` to `end_s` the first `engine_count` engines are slower by `slowdown`.

    `is_down` has no effect.
    """

    start_s: float
    end_s: float
    engine_count: int
    slowdown: float
    is_down: bool


@dataclass
class Request:
    """A request of the load pattern, with its placement and its progress on the engines."""

    arrival: Arrival
    entry: int
    generation: Generation | None = None
    placement: Placement | None = None
    number: int = 0
    is_refused: bool = False
    first_engine: int = -1


@dataclass
class Result:
    """The credit that the answers of one run could earn and have earned, by kind of prompt.

    `first_token_ms` are the times to first token. `late` counts the answers that missed a goal,
    `unanswered` the requests without a whole answer or with a first token after the deadline.
    """

    possible_credit: dict[str, float] = field(default_factory=dict)
    earned_credit: dict[str, float] = field(default_factory=dict)
    first_token_ms: dict[str, list[float]] = field(default_factory=dict)
    unanswered: int = 0
    late: int = 0

    @property
    def credit_share(self) -> float:
        """Return the share of the possible credit that was earned."""
        return sum(self.earned_credit.values()) / max(sum(self.possible_credit.values()), 1e-9)

    def credit_share_of(self, kind: str) -> float:
        """Return the share of the possible credit of one kind that was earned."""
        return self.earned_credit.get(kind, 0.0) / max(self.possible_credit.get(kind, 0.0), 1e-9)


class Simulation:
    """The entries, the engines and the clock of one run."""

    def __init__(
        self,
        spec: EngineSpec,
        engines: int,
        policy: Callable[[PlacementRequest, list[Candidate], Millis], Placement | Saturated],
        faults: tuple[Fault, ...] = (),
        layout: Layout = PLAIN_LAYOUT,
        placer: EnginePlacer | None = None,
    ) -> None:
        """Create a run; with a `placer` short prompts are placed in their own data centre first."""
        self._spec = spec
        self._layout = layout
        self._placer = placer
        self.messages = MessageCounts()
        self._policy = policy
        self._engines = [FormulaEngine(spec) for _ in range(engines)]
        self._targets = [
            Target(
                str(number),
                0,
                0,
                "engines",
                str(number),
                f"dc{number % layout.data_centres}",
                spec.slots,
                False,
            )
            for number in range(engines)
        ]
        self._views = [PoolView() for _ in range(layout.entries)]
        self._heap: list[tuple[Millis, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now_ms: Millis = 0.0
        self._faults = faults
        self._requests_by_number: dict[int, Request] = {}
        self.requests: list[Request] = []

    def run(self, arrivals: list[Arrival]) -> Result:
        """Run until every request has ended, and return the credit."""
        layout = self._layout
        requests = [
            Request(item, layout.entry_of(number, item.at_ms))
            for number, item in enumerate(arrivals)
        ]
        if layout.sharing in (Sharing.DATA_CENTRE, Sharing.LONG_EVERYWHERE):
            end_ms = arrivals[-1].at_ms if arrivals else 0.0
            for step in range(1, 1 + int(end_ms // SUMMARY_INTERVAL_MS)):
                self._schedule(step * SUMMARY_INTERVAL_MS, self._exchange_summaries)
        for number, request in enumerate(requests):
            request.number = number + 1
            self._schedule(request.arrival.at_ms, lambda item=request: self._place(item))
        for fault in self._faults:
            self._schedule(fault.start_s * 1000.0, lambda item=fault: self._begin_fault(item))
            self._schedule(fault.end_s * 1000.0, lambda item=fault: self._end_fault(item))
        while self._heap:
            self._now_ms, _, action = heapq.heappop(self._heap)
            action()
        self.requests = requests
        return score(requests)

    def _schedule(self, at_ms: Millis, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._event_numbers), action))

    def _begin_fault(self, fault: Fault) -> None:
        for engine in self._engines[: fault.engine_count]:
            engine.slowdown = fault.slowdown

    def _end_fault(self, fault: Fault) -> None:
        for engine in self._engines[: fault.engine_count]:
            engine.slowdown = 1.0

    def _place(self, request: Request) -> None:
        time_left_ms = request.arrival.kind.deadline_ms - (self._now_ms - request.arrival.at_ms)
        placement = self._choose(
            request, self._views[request.entry], self._placement_request(request.arrival)
        )
        if isinstance(placement, Saturated):
            if placement.retry_after_ms > time_left_ms / 2 or time_left_ms < RETRY_INTERVAL_MS:
                request.is_refused = True
                return
            self._schedule(self._now_ms + RETRY_INTERVAL_MS, lambda: self._place(request))
            return
        self._send(request, placement)

    def _placement_request(self, arrival: Arrival) -> PlacementRequest:
        elapsed_ms = self._now_ms - arrival.at_ms
        return PlacementRequest(
            arrival.prompt_tokens,
            arrival.answer_tokens,
            max(arrival.kind.goal_ms - elapsed_ms, 1.0),
            arrival.kind.deadline_ms - elapsed_ms,
            arrival.kind.pause_goal_ms,
            max(2000.0, 4 * arrival.kind.goal_ms, 8 * arrival.kind.pause_goal_ms) - elapsed_ms,
        )

    def _choose(
        self, request: Request, view: PoolView, placement_request: PlacementRequest
    ) -> Placement | Saturated:
        """Choose engines among all, or among those of the entry's data centre first or alone."""
        layout = self._layout
        candidates = self._candidates(request.entry, view)
        if layout.sharing is not Sharing.EVERYTHING:
            near = [item for item in candidates if item.is_local]
            if layout.sharing is Sharing.ISOLATED:
                return self._policy(placement_request, near, self._now_ms)
            is_short = prefill_ms(self._spec, placement_request.prompt_tokens) < LONG_PREFILL_MS / 2
            is_near_first = is_short or layout.sharing is Sharing.DATA_CENTRE
            if self._placer is not None and is_near_first and len(near) >= MIN_NEAR_TARGETS:
                found = self._placer.place_near(placement_request, near, self._now_ms)
                if found is not None:
                    return found
        return self._policy(placement_request, candidates, self._now_ms)

    def _candidates(self, entry: int, view: PoolView) -> list[Candidate]:
        layout = self._layout
        own = layout.data_centre_of(entry)
        # The engines are spread evenly over the data centres.
        last_position = max(1, len(self._targets) // layout.data_centres - 1)
        return [
            Candidate(
                target,
                view.load_of(number),
                1.0,
                number % layout.data_centres == own,
                False,
                min(1.0, number // layout.data_centres / last_position),
            )
            for number, target in enumerate(self._targets)
        ]

    def _exchange_summaries(self) -> None:
        """Tell the entries of each data centre the sums of the short work of the others."""
        layout = self._layout
        for data_centre in range(layout.data_centres):
            entries = layout.entries_of(data_centre)
            loads = self._views[entries[0]].summarize(
                range(data_centre, len(self._targets), layout.data_centres),
                {str(entry) for entry in entries},
                self._now_ms,
            )
            self.messages.count_summary(layout, data_centre)
            for entry, view in enumerate(self._views):
                if layout.data_centre_of(entry) != data_centre:
                    view.apply_summary(str(data_centre), loads, self._now_ms)

    def _send(self, request: Request, placement: Placement) -> None:
        arrival = request.arrival
        engine_numbers = tuple(int(target.target_id) for target in placement.targets)
        request.placement, request.first_engine = placement, engine_numbers[0]
        lane = 0 if arrival.prompt_tokens <= 16_384 else 1 if arrival.prompt_tokens < 102_400 else 2
        request.generation = Generation(
            request.number,
            arrival.prompt_tokens,
            arrival.answer_tokens,
            lane,
            len(engine_numbers),
            len(engine_numbers),
        )
        self._requests_by_number[request.number] = request
        attempt = RunningAttempt(
            request.number,
            0,
            engine_numbers,
            placement.prefill_ms,
            arrival.prompt_tokens
            - placement.held_tokens * (len(engine_numbers) - 1)
            + arrival.answer_tokens,
            placement.held_tokens,
            arrival.kind.pause_goal_ms,
            max(0.0, arrival.kind.goal_ms - (self._now_ms - arrival.at_ms)),
            False,
            self._layout.is_told_everywhere(
                self._layout.data_centre_of(request.entry), placement.prefill_ms, engine_numbers
            ),
        )
        self._publish_change(request, lambda view, entry: view.start(entry, attempt, self._now_ms))
        self._schedule(
            self._now_ms + REQUEST_DELAY_MS, lambda: self._deliver(request, engine_numbers)
        )

    def _publish_change(self, request: Request, change: Callable[[PoolView, str], object]) -> None:
        """Change the view of the request's entry at once, and those of the others after the lag."""
        entry = str(request.entry)
        change(self._views[request.entry], entry)
        layout = self._layout
        own = layout.data_centre_of(request.entry)
        placement = request.placement
        is_wide = layout.is_told_everywhere(
            own, placement.prefill_ms, [int(target.target_id) for target in placement.targets]
        )
        self.messages.count_report(layout, own, is_wide=is_wide)

        def change_other_views() -> None:
            for number, view in enumerate(self._views):
                is_told = is_wide or layout.data_centre_of(number) == own
                if number != request.entry and is_told:
                    change(view, entry)

        self._schedule(self._now_ms + REPORT_LAG_MS, change_other_views)

    def _publish_end(self, request: Request) -> None:
        """Call `_on_work_end` at the request's entry now, and at the others after the lag."""
        self._on_work_end(request.entry)
        for entry in range(self._layout.entries):
            if entry != request.entry:
                self._schedule(
                    self._now_ms + REPORT_LAG_MS, lambda item=entry: self._on_work_end(item)
                )

    def _on_work_end(self, entry: int) -> None:
        """Do nothing; subclasses place waiting requests of an entry that learns of free places."""

    def _deliver(self, request: Request, engine_numbers: tuple[int, ...]) -> None:
        self._engines[engine_numbers[0]].submit(request.generation)
        for number in engine_numbers[1:]:
            self._engines[number].submit_helper_part(request.generation)
        for number in engine_numbers:
            self._begin_pass(number)

    def _begin_pass(self, number: int) -> None:
        """Begin a pass of an engine, unless one is in progress or there is nothing to do."""
        engine = self._engines[number]
        if engine.pass_ends_ms is None:
            end_ms = engine.begin_pass(self._now_ms)
            if end_ms is not None:
                self._schedule(end_ms, lambda: self._end_pass(number, engine))

    def _end_pass(self, number: int, engine: FormulaEngine) -> None:
        if engine is not self._engines[number]:
            return
        for generation in engine.end_pass(self._now_ms):
            request = self._requests_by_number[generation.request_id]
            if generation.is_cancelled:
                continue
            if generation.pending_prefill_parts == 0 and not generation.event_times_ms:
                # Keeps this branch from running again before the first event.
                generation.pending_prefill_parts = -1
                self._begin_answer(request)
            elif len(generation.event_times_ms) == 1:
                self._publish_change(
                    request,
                    lambda view, entry, item=request: view.finish_prefill(
                        entry, item.number, self._now_ms
                    ),
                )
            if generation.is_done:
                self._publish_change(
                    request,
                    lambda view, entry, item=request: view.end(entry, item.number, self._now_ms),
                )
                self._publish_end(request)
                self._end_answer(request)
        engine.pass_ends_ms = None
        self._begin_pass(number)

    def _begin_answer(self, request: Request) -> None:
        self._engines[request.first_engine].start_decode(request.generation)
        self._begin_pass(request.first_engine)

    def _end_answer(self, request: Request) -> None:
        """Do nothing; subclasses learn here of complete answers."""


def score(requests: list[Request]) -> Result:
    """Return the credit of some requests."""
    result = Result()
    for request in requests:
        arrival, kind = request.arrival, request.arrival.kind
        full_credit = credit_for(kind, arrival, is_late=False)
        result.possible_credit[kind.name] = result.possible_credit.get(kind.name, 0.0) + full_credit
        generation = request.generation
        if generation is None or not generation.event_times_ms or not generation.is_done:
            result.unanswered += 1
            continue
        event_times_ms = generation.event_times_ms
        first_ms = event_times_ms[0] + RESPONSE_DELAY_MS - arrival.at_ms
        pauses_ms = [later - earlier for earlier, later in itertools.pairwise(event_times_ms)]
        result.first_token_ms.setdefault(kind.name, []).append(first_ms)
        if first_ms > kind.deadline_ms:
            result.unanswered += 1
            continue
        is_late = first_ms > kind.goal_ms or max(pauses_ms, default=0.0) > kind.pause_goal_ms
        result.late += is_late
        credit = credit_for(kind, arrival, is_late=is_late)
        result.earned_credit[kind.name] = result.earned_credit.get(kind.name, 0.0) + credit
    return result
