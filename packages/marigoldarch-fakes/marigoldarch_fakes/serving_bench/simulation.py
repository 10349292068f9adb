"""Play a load pattern against model engines, with entries whose views of each other lag."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.placement import Candidate, Placement, PlacementRequest, Saturated
from marigoldarch.serving.pool_view import PoolView, RunningAttempt
from marigoldarch.serving.targets import Target
from marigoldarch_fakes.serving_bench.engine import Generation, ModelEngine
from marigoldarch_fakes.serving_bench.load import Arrival, worth_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.declaration import EngineSpec

ENTRIES = 9
REPORT_LAG_MS: Millis = 11.0
"""From a change at one entry to its effect at another: coalescing and the way."""

SEND_MS: Millis = 4.0
"""From the caller to the engine: two ways and a new connection."""

RETURN_MS: Millis = 2.0
POLL_MS: Millis = 50.0

Policy = "Callable[[Job, list[Candidate], Millis], Placement | Saturated]"


class Fault(NamedTuple):
    """From `from_s` to `to_s` some engines are down or slow."""

    from_s: float
    to_s: float
    engines: int
    pace: float
    is_down: bool


@dataclass
class Request:
    """A request of the pattern and what has become of it."""

    arrival: Arrival
    entry: int
    generation: Generation | None = None
    placement: Placement | None = None
    number: int = 0
    is_refused: bool = False
    engine: int = -1


@dataclass
class Result:
    """Credit by kind."""

    asked: dict[str, float] = field(default_factory=dict)
    earned: dict[str, float] = field(default_factory=dict)
    firsts: dict[str, list[float]] = field(default_factory=dict)
    refused: int = 0
    late: int = 0

    @property
    def share(self) -> float:
        """Return the earned part of what was owed."""
        return sum(self.earned.values()) / max(sum(self.asked.values()), 1e-9)

    def share_of(self, kind: str) -> float:
        """Return the earned part of one kind."""
        return self.earned.get(kind, 0.0) / max(self.asked.get(kind, 0.0), 1e-9)


class Simulation:
    """One run."""

    def __init__(
        self,
        spec: EngineSpec,
        engines: int,
        policy: Callable[[PlacementRequest, list[Candidate], Millis], Placement | Saturated],
        faults: tuple[Fault, ...] = (),
    ) -> None:
        self._spec = spec
        self._policy = policy
        self._engines = [ModelEngine(spec) for _ in range(engines)]
        self._targets = [
            Target(str(number), 0, 0, "engines", str(number), f"dc{number % 3}", spec.slots, False)
            for number in range(engines)
        ]
        self._views = [PoolView() for _ in range(ENTRIES)]
        self._heap: list[tuple[Millis, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_ms: Millis = 0.0
        self._faults = faults
        self._by_generation: dict[int, Request] = {}

    def run(self, load: list[Arrival]) -> Result:
        """Play a load and return the credit."""
        requests = [Request(item, number % ENTRIES) for number, item in enumerate(load)]
        for number, request in enumerate(requests):
            request.number = number + 1
            self._at(request.arrival.at_ms, lambda item=request: self._place(item))
        for fault in self._faults:
            self._at(fault.from_s * 1000.0, lambda item=fault: self._begin_fault(item))
            self._at(fault.to_s * 1000.0, lambda item=fault: self._end_fault(item))
        while self._heap:
            self._now_ms, _, action = heapq.heappop(self._heap)
            action()
        return _judge(requests)

    def _at(self, at_ms: Millis, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._order), action))

    def _begin_fault(self, fault: Fault) -> None:
        for engine in self._engines[: fault.engines]:
            engine.pace = fault.pace

    def _end_fault(self, fault: Fault) -> None:
        for engine in self._engines[: fault.engines]:
            engine.pace = 1.0

    def _place(self, request: Request) -> None:
        arrival, view = request.arrival, self._views[request.entry]
        spent_ms = self._now_ms - arrival.at_ms
        left_ms = arrival.kind.deadline_ms - spent_ms
        job = PlacementRequest(
            arrival.prompt_tokens,
            arrival.answer_tokens,
            max(arrival.kind.goal_ms - spent_ms, 1.0),
            left_ms,
            arrival.kind.pause_ms,
            max(2000.0, 4 * arrival.kind.goal_ms, 8 * arrival.kind.pause_ms) - spent_ms,
        )
        per_centre = max(1, len(self._targets) // 3 - 1)
        candidates = [
            Candidate(
                target,
                view.load_of(number),
                1.0,
                number % 3 == request.entry % 3,
                False,
                min(1.0, number // 3 / per_centre),
            )
            for number, target in enumerate(self._targets)
        ]
        placement = self._policy(job, candidates, self._now_ms)
        if isinstance(placement, Saturated):
            if placement.retry_after_ms > left_ms / 2 or left_ms < POLL_MS:
                request.is_refused = True
                return
            self._at(self._now_ms + POLL_MS, lambda: self._place(request))
            return
        self._send(request, placement)

    def _send(self, request: Request, placement: Placement) -> None:
        arrival = request.arrival
        numbers = tuple(int(target.target_id) for target in placement.targets)
        request.placement, request.engine = placement, numbers[0]
        lane = 0 if arrival.prompt_tokens <= 16_384 else 1 if arrival.prompt_tokens < 102_400 else 2
        request.generation = Generation(
            request.number,
            arrival.prompt_tokens,
            arrival.answer_tokens,
            lane,
            len(numbers),
            len(numbers),
        )
        self._by_generation[request.number] = request
        work = RunningAttempt(
            request.number,
            0,
            numbers,
            placement.prefill_ms,
            arrival.prompt_tokens
            - placement.held_tokens * (len(numbers) - 1)
            + arrival.answer_tokens,
            placement.held_tokens,
            arrival.kind.pause_ms,
            max(0.0, arrival.kind.goal_ms - (self._now_ms - arrival.at_ms)),
            False,
        )
        self._tell(request, lambda view, entry: view.start(entry, work, self._now_ms))
        self._at(self._now_ms + SEND_MS, lambda: self._submit(request, numbers))

    def _tell(self, request: Request, change: Callable[[PoolView, str], object]) -> None:
        """Change the own view at once, and the others' when the report has come."""
        entry = str(request.entry)
        change(self._views[request.entry], entry)

        def change_others() -> None:
            for number, view in enumerate(self._views):
                if number != request.entry:
                    change(view, entry)

        self._at(self._now_ms + REPORT_LAG_MS, change_others)

    def _submit(self, request: Request, numbers: tuple[int, ...]) -> None:
        self._engines[numbers[0]].submit(request.generation)
        for number in numbers[1:]:
            self._engines[number].help(request.generation)
        for number in numbers:
            self._wake(number)

    def _wake(self, number: int) -> None:
        engine = self._engines[number]
        if engine.pass_ends_ms is None:
            end_ms = engine.begin_pass(self._now_ms)
            if end_ms is not None:
                self._at(end_ms, lambda: self._end_pass(number))

    def _end_pass(self, number: int) -> None:
        engine = self._engines[number]
        for generation in engine.end_pass(self._now_ms):
            request = self._by_generation[generation.request_id]
            if generation.unread_parts == 0 and not generation.event_times_ms:
                generation.unread_parts = -1
                self._engines[request.engine].write(generation)
                self._wake(request.engine)
            elif len(generation.event_times_ms) == 1:
                self._tell(
                    request,
                    lambda view, entry, item=request: view.finish_prefill(
                        entry, item.number, self._now_ms
                    ),
                )
            if generation.is_done:
                self._tell(
                    request,
                    lambda view, entry, item=request: view.end(entry, item.number, self._now_ms),
                )
        engine.pass_ends_ms = None
        self._wake(number)


def _judge(requests: list[Request]) -> Result:
    result = Result()
    for request in requests:
        arrival, kind = request.arrival, request.arrival.kind
        full = worth_of(kind, arrival, is_late=False)
        result.asked[kind.name] = result.asked.get(kind.name, 0.0) + full
        generation = request.generation
        if generation is None or not generation.event_times_ms or not generation.is_done:
            result.refused += 1
            continue
        times = generation.event_times_ms
        first_ms = times[0] + RETURN_MS - arrival.at_ms
        pauses = [later - earlier for earlier, later in itertools.pairwise(times)]
        result.firsts.setdefault(kind.name, []).append(first_ms)
        if first_ms > kind.deadline_ms:
            result.refused += 1
            continue
        is_late = first_ms > kind.goal_ms or max(pauses, default=0.0) > kind.pause_ms
        result.late += is_late
        earned = worth_of(kind, arrival, is_late=is_late)
        result.earned[kind.name] = result.earned.get(kind.name, 0.0) + earned
    return result
