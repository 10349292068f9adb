"""Compares what entries remember of crashes when one part of prompts crashes engine after engine.

Load pattern: all requests of a customer share a part, and some of them hold one more part, under
which each engine crashes that begins to answer them. They come at any entry. An engine is back after
`RESTART_MS`. A request that was cut before its answer began is sent once more.

Run it with `python -m marigoldarch_fakes.serving_bench.crashing_part [--seeds N] [--engines N]`.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import fire

from marigoldarch.crash_suspects import CrashId, CrashSuspects, SuspectSettings, TargetCrash
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.placement import (
    Candidate,
    EnginePlacer,
    Placement,
    PlacementRequest,
    PlacementWeights,
    Saturated,
)
from marigoldarch_fakes.serving_bench.engine import FormulaEngine, Generation
from marigoldarch_fakes.serving_bench.layout import PLAIN_LAYOUT
from marigoldarch_fakes.serving_bench.load import GUILD_PROMPT_KINDS, PATTERNS, generate_arrivals
from marigoldarch_fakes.serving_bench.simulation import RESPONSE_DELAY_MS, Request, Simulation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldarch.clock import Millis

ENGINE_SPEC = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
RESTART_MS: Millis = 3000.0
TELL_LAG_MS: Millis = 50.0
"""From a crash or an answer at one entry until the others hear of it."""

FAULTY_PART = "faulty"
CUSTOMERS = 6
MAX_ATTEMPTS = 2


class Memory(StrEnum):
    """What entries remember of crashes."""

    NONE = "none"
    OWN = "own"
    SHARED = "shared"


class CrashResult(NamedTuple):
    """How many engines crashed, and the sound requests in all, served in time and refused.

    `related` and `related_in_time` count those of the customer whose requests crash engines.
    """

    crashes: int
    sound: int
    in_time: int
    related: int
    related_in_time: int
    refused: int


class CrashingSimulation(Simulation):
    """Entries that place requests on engines, some of which crash them."""

    def __init__(
        self, spec: EngineSpec, engines: int, memory: Memory, faulty_share: float, seed: int
    ) -> None:
        """Create a run in which `faulty_share` of the first customer's requests crash engines."""
        self._place_request = EnginePlacer(spec, PlacementWeights()).place
        super().__init__(spec, engines, self._choose_running)
        self._memory = memory
        self._faulty_share = faulty_share
        self._rng = random.Random(f"crashing part/{seed}")
        self._parts: dict[int, tuple[str, ...]] = {}
        self._attempts: dict[int, int] = {}
        self._requests: dict[int, Request] = {}
        self._suspects = [
            CrashSuspects(SuspectSettings(spread=entry / PLAIN_LAYOUT.entries))
            for entry in range(PLAIN_LAYOUT.entries)
        ]
        self._down: set[int] = set()
        self._crashes = 0
        self._refused = 0

    def score_sound(self) -> CrashResult:
        """Return the crashes, and what became of the requests without the faulty part."""
        sound = [
            request
            for number, request in self._requests.items()
            if FAULTY_PART not in self._parts[number]
        ]
        related = [item for item in sound if "customer-0" in self._parts[item.number]]
        return CrashResult(
            self._crashes,
            len(sound),
            sum(map(_is_in_time, sound)),
            len(related),
            sum(map(_is_in_time, related)),
            self._refused,
        )

    def _choose_running(
        self, request: PlacementRequest, candidates: list[Candidate], now_ms: Millis
    ) -> Placement | Saturated:
        running = [item for item in candidates if int(item.target.target_id) not in self._down]
        return self._place_request(request, running, now_ms) if running else Saturated(100.0)

    def _place(self, request: Request) -> None:
        if request.number not in self._parts:
            self._parts[request.number] = self._draw_parts(request)
            self._requests[request.number] = request
            # The faulty part comes at any entry.
            request.entry = self._rng.randrange(PLAIN_LAYOUT.entries)
        parts = self._parts[request.number]
        if self._suspects[request.entry].find_quarantine(parts, self._now_ms) is not None:
            request.is_refused = True
            self._refused += FAULTY_PART not in parts
            return
        super()._place(request)

    def _draw_parts(self, request: Request) -> tuple[str, ...]:
        customer = self._rng.randrange(CUSTOMERS)
        parts = (f"customer-{customer}", f"{customer}-{self._rng.randrange(20)}")
        is_faulty = customer == 0 and self._rng.random() < self._faulty_share
        return (*parts, FAULTY_PART) if is_faulty else parts

    def _deliver(self, request: Request, engine_numbers: tuple[int, ...]) -> None:
        if self._down.intersection(engine_numbers):
            self._end_attempt(request)
            self._place(request)
            return
        super()._deliver(request, engine_numbers)

    def _begin_answer(self, request: Request) -> None:
        if FAULTY_PART in self._parts[request.number]:
            self._crash(request)
        else:
            super()._begin_answer(request)

    def _end_answer(self, request: Request) -> None:
        acquitted = self._suspects[request.entry].record_answer(
            self._parts[request.number], self._now_ms
        )
        for part in acquitted:
            self._tell(
                request.entry, lambda item, part=part, at_ms=self._now_ms: item.acquit(part, at_ms)
            )

    def _crash(self, request: Request) -> None:
        """Stop a request's engine, tell the entries whose requests it cuts, and send these again."""
        self._crashes += 1
        number = request.first_engine
        cut = {item.request_id: item for item in self._engines[number].generations}
        cut[request.number] = request.generation
        self._engines[number] = FormulaEngine(self._spec)
        self._down.add(number)
        self._schedule(self._now_ms + RESTART_MS, lambda: self._down.discard(number))
        self._report_crash((number, self._crashes), [self._requests[item] for item in cut])
        for item, generation in cut.items():
            self._cut(self._requests[item], generation)

    def _report_crash(self, crash_id: CrashId, requests: Iterable[Request]) -> None:
        if self._memory is Memory.NONE:
            return
        parts_by_entry: dict[int, list[str]] = {}
        for request in requests:
            parts_by_entry.setdefault(request.entry, []).extend(self._parts[request.number])
        for entry, parts in parts_by_entry.items():
            crash = TargetCrash(crash_id, self._now_ms, tuple(dict.fromkeys(parts)))
            self._suspects[entry].record_crash(crash)
            self._tell(entry, lambda item, crash=crash: item.record_crash(crash))

    def _tell(self, sender: int, report: Callable[[CrashSuspects], object]) -> None:
        if self._memory is not Memory.SHARED:
            return
        for entry, suspects in enumerate(self._suspects):
            if entry != sender:
                self._schedule(self._now_ms + TELL_LAG_MS, lambda item=suspects: report(item))

    def _cut(self, request: Request, generation: Generation) -> None:
        """End an attempt; send the request once more unless its answer has begun."""
        for target in request.placement.targets:
            self._engines[int(target.target_id)].cancel(generation)
        generation.is_cancelled = True
        self._end_attempt(request)
        attempts = self._attempts[request.number] = self._attempts.get(request.number, 1) + 1
        suspects = self._suspects[request.entry]
        may_retry = attempts <= MAX_ATTEMPTS and not generation.event_times_ms
        if may_retry and suspects.may_retry(self._parts[request.number], self._now_ms):
            request.generation = None
            self._place(request)

    def _end_attempt(self, request: Request) -> None:
        self._publish_change(
            request, lambda view, entry: view.end(entry, request.number, self._now_ms)
        )


def _is_in_time(request: Request) -> bool:
    generation = request.generation
    if generation is None or not generation.is_done:
        return False
    first_ms = generation.event_times_ms[0] + RESPONSE_DELAY_MS - request.arrival.at_ms
    return first_ms <= request.arrival.kind.goal_ms


def compare(
    seeds: int = 3, engines: int = 16, duration_s: float = 30.0, faulty_share: float = 0.3
) -> None:
    """Print the crashes and the share of sound requests served in time, by memory."""
    print(f"{'memory':8} {'crashes':>7} {'in time':>7} {'related':>7} {'refused':>7}")
    for memory in Memory:
        results = []
        for seed in range(seeds):
            simulation = CrashingSimulation(ENGINE_SPEC, engines, memory, faulty_share, seed)
            simulation.run(
                generate_arrivals(PATTERNS["steady"], GUILD_PROMPT_KINDS, duration_s, seed)
            )
            results.append(simulation.score_sound())
        in_time = sum(item.in_time for item in results) / sum(item.sound for item in results)
        related = sum(item.related_in_time for item in results) / sum(
            item.related for item in results
        )
        crashes = sum(item.crashes for item in results) / seeds
        refused = sum(item.refused for item in results)
        print(f"{memory:8} {crashes:7.1f} {in_time:7.3f} {related:7.3f} {refused:7}")


if __name__ == "__main__":
    fire.Fire(compare, name="crashing_part")
