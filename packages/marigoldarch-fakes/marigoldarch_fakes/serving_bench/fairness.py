"""Compares how waiting requests get room when one customer sends far more than the others.

Load pattern: short prompts fill most places. Then one customer floods the entries for some seconds,
so that about one and a half times as many come as can run. Long prompts keep coming, and some
customers have a lower rank.

Run it with `python -m marigoldarch_fakes.serving_bench.fairness [--seeds N] [--engines N]`.
"""

from __future__ import annotations

import itertools
import random
from enum import StrEnum
from typing import TYPE_CHECKING

import fire

from marigoldarch.serving.abandonment import (
    ABANDON_FIRST_ANSWER_GOALS,
    ABANDON_PAUSE_GOALS,
    MIN_ABANDON_MS,
)
from marigoldarch.serving.declaration import EngineSpec
from marigoldarch.serving.free_places import find_place
from marigoldarch.serving.placement import (
    EnginePlacer,
    Placement,
    PlacementWeights,
    Saturated,
)
from marigoldarch.serving.routing import PromptSize
from marigoldarch.serving.waiting_line import Served, WaitingLine
from marigoldarch.serving.waiting_tickets import Lane, RequestTimes, Ticket, new_ticket
from marigoldarch_fakes.serving_bench.load import (
    GUILD_PROMPT_KINDS,
    PATTERNS,
    Arrival,
    Phase,
    PromptKind,
    generate_arrivals,
)
from marigoldarch_fakes.serving_bench.simulation import (
    REPORT_LAG_MS,
    RETRY_INTERVAL_MS,
    Request,
    Simulation,
    score,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis

ENGINE_SPEC = EngineSpec(8, 405_000, 1.31, 0.001834, 0.00213, 154.0, 0.162, 2048, 34, 0.1)
DURATION_S = 30.0
CUSTOMERS = 12
LOW_RANK_CUSTOMERS = 4
FLOODER = "flooder"

CALM_PHASES = (Phase(0, (2.0, 0.5, 0.3)),)
FLOOD_PHASES = (
    Phase(0, (1e-9, 1e-9, 1e-9)),
    Phase(8, (4.0, 0.0001, 0.0001)),
    Phase(22, (1e-9,) * 3),
)


class Waiting(StrEnum):
    """How waiting requests are tried again."""

    POLLED = "polled"
    WOKEN = "woken"
    ORDERED = "ordered"


class WaitingSimulation(Simulation):
    """Entries whose waiting requests are tried again in one of several ways."""

    def __init__(self, spec: EngineSpec, engines: int, waiting: Waiting) -> None:
        self._placer_of_all = EnginePlacer(spec, PlacementWeights())
        super().__init__(spec, engines, self._placer_of_all.place)
        self._waiting = waiting
        self._held: list[dict[int, Request]] = [{} for _ in range(self._layout.entries)]
        self._lines = [WaitingLine(str(entry)) for entry in range(self._layout.entries)]
        self._tickets: dict[int, Ticket] = {}
        self._polls: set[int] = set()

    def _place(self, request: Request) -> None:
        if request.generation is not None or request.is_refused:
            return
        if self._waiting is Waiting.POLLED:
            super()._place(request)
            return
        arrival = request.arrival
        ticket = self._ticket(request)
        time_left_ms = patience_ms(arrival.kind) - (self._now_ms - arrival.at_ms)
        placement = self._find_room(request, ticket)
        if isinstance(placement, Saturated):
            ticket.expected_start_ms = self._now_ms + placement.retry_after_ms
            if placement.retry_after_ms > time_left_ms / 2 or time_left_ms < RETRY_INTERVAL_MS:
                request.is_refused = True
                self._leave(request, is_served=False)
            else:
                self._wait(request)
        else:
            self._send(request, placement)
            self._leave(request, is_served=True)

    def _find_room(self, request: Request, ticket: Ticket) -> Placement | Saturated:
        """Return where a request may run now, by the order in which others wait."""
        entry, line, placing = request.entry, self._lines[request.entry], self._placer_of_all
        placement_request = self._placement_request(request.arrival)
        candidates = self._candidates(entry, self._views[entry])
        if self._waiting is not Waiting.ORDERED or not line.count(ticket.lane, self._now_ms):
            return placing.place(placement_request, candidates, self._now_ms)
        if ticket.lane is Lane.LONG:
            found = placing.place(placement_request, candidates, self._now_ms)
            if isinstance(found, Saturated):
                return found
            may_begin = line.may_begin(ticket, found.first_token_ms, self._now_ms)
            return found if may_begin else Saturated(RETRY_INTERVAL_MS)
        position = line.position(ticket, self._now_ms)
        place = find_place(self._spec, candidates, position, self._now_ms)
        found = Saturated(RETRY_INTERVAL_MS)
        if place is not None:
            found = placing.place(placement_request, [place], self._now_ms)
        if isinstance(found, Saturated) and position == 0:
            found = placing.place(placement_request, candidates, self._now_ms)
        return found

    def _ticket(self, request: Request) -> Ticket:
        found = self._tickets.get(request.number)
        if found is None:
            arrival, kind = request.arrival, request.arrival.kind
            found = self._tickets[request.number] = new_ticket(
                self._spec,
                PromptSize(arrival.prompt_tokens, arrival.answer_tokens),
                RequestTimes(arrival.at_ms, kind.goal_ms, arrival.at_ms + patience_ms(kind)),
                request.number,
                arrival.customer,
                kind.rank + int(arrival.customer.startswith("low")),
            )
        return found

    def _wait(self, request: Request) -> None:
        entry = request.entry
        if request.number not in self._held[entry]:
            self._held[entry][request.number] = request
            if self._waiting is Waiting.ORDERED:
                self._lines[entry].join(self._tickets[request.number], self._now_ms)
                self._tell(entry)
        if request.number not in self._polls:
            self._polls.add(request.number)
            self._schedule(self._now_ms + RETRY_INTERVAL_MS, lambda: self._poll(request))

    def _poll(self, request: Request) -> None:
        self._polls.discard(request.number)
        if request.number in self._held[request.entry]:
            self._place(request)
        if request.number in self._held[request.entry] and self._waiting is Waiting.ORDERED:
            self._tell(request.entry)

    def _leave(self, request: Request, *, is_served: bool) -> None:
        entry, ticket = request.entry, self._tickets[request.number]
        self._held[entry].pop(request.number, None)
        if self._waiting is not Waiting.ORDERED:
            return
        was_queued = ticket.is_queued
        served = self._lines[entry].leave(ticket, self._now_ms, is_served=is_served)
        if served is not None or was_queued:
            self._tell(entry, served)

    def _tell(self, entry: int, served: Served | None = None) -> None:
        heads = self._lines[entry].heads_to_tell(self._now_ms)
        told = [served] if served is not None else []

        def receive() -> None:
            for other, line in enumerate(self._lines):
                if other != entry:
                    line.receive(str(entry), heads, told, self._now_ms)

        self._schedule(self._now_ms + REPORT_LAG_MS, receive)

    def _on_work_end(self, entry: int) -> None:
        match self._waiting:
            case Waiting.WOKEN:
                for request in list(self._held[entry].values()):
                    self._place(request)
            case Waiting.ORDERED:
                for lane in Lane:
                    self._wake(entry, lane)

    def _wake(self, entry: int, lane: Lane) -> None:
        """Place the first waiting requests of an entry until one finds no room."""
        while True:
            heads = self._lines[entry].own_heads(lane, self._now_ms, 1)
            if not heads:
                return
            request = self._held[entry][heads[0].number]
            self._place(request)
            if request.number in self._held[entry]:
                return


def patience_ms(kind: PromptKind) -> Millis:
    """Return how long a caller waits for the first event."""
    abandon_ms = max(
        MIN_ABANDON_MS,
        ABANDON_FIRST_ANSWER_GOALS * kind.goal_ms,
        ABANDON_PAUSE_GOALS * kind.pause_goal_ms,
    )
    return min(kind.deadline_ms, abandon_ms)


def flood_arrivals(seed: int) -> list[Arrival]:
    """Return the requests of equal customers, some of a lower rank, and of one that floods."""
    rng = random.Random(f"customers/{seed}")
    names = [f"low-{n}" for n in range(LOW_RANK_CUSTOMERS)]
    names += [f"customer-{n}" for n in range(CUSTOMERS - LOW_RANK_CUSTOMERS)]
    calm = generate_arrivals(CALM_PHASES, GUILD_PROMPT_KINDS, DURATION_S, seed)
    flood = generate_arrivals(FLOOD_PHASES, GUILD_PROMPT_KINDS, DURATION_S, seed + 1000)
    arrivals = [item._replace(customer=rng.choice(names)) for item in calm]
    arrivals += [item._replace(customer=FLOODER) for item in flood]
    return sorted(arrivals, key=lambda item: item.at_ms)


def overload_arrivals(seed: int) -> list[Arrival]:
    """Return the requests of the pattern `overload` for equal customers."""
    rng = random.Random(f"customers/{seed}")
    arrivals = generate_arrivals(PATTERNS["overload"], GUILD_PROMPT_KINDS, DURATION_S, seed)
    return [item._replace(customer=f"customer-{rng.randrange(CUSTOMERS)}") for item in arrivals]


def compare(seeds: int = 2, engines: int = 16, pattern: str = "", way: str = "") -> None:
    """Print the share of the possible credit by customer and by kind of prompt."""
    for name, make_arrivals in (("flood", flood_arrivals), ("overload", overload_arrivals)):
        if pattern not in ("", name):
            continue
        print(f"\n{name:9} {'all':>6} {'mean':>6} {'worst':>6} {'low':>6} {'flooder':>8}   by kind")
        for waiting in [Waiting(way)] if way else Waiting:
            runs: list[list[Request]] = []
            for seed in range(seeds):
                simulation = WaitingSimulation(ENGINE_SPEC, engines, waiting)
                simulation.run(make_arrivals(seed))
                runs.append(simulation.requests)
            print(format_row(waiting, list(itertools.chain(*runs))))


def format_row(label: str, requests: list[Request]) -> str:
    """Return the shares of all customers, of the worst-served one, and of the one that floods."""
    by_customer: dict[str, list[Request]] = {}
    for request in requests:
        by_customer.setdefault(request.arrival.customer, []).append(request)
    shares = {name: score(items).credit_share for name, items in by_customer.items()}
    flooder = shares.pop(FLOODER, 0.0)
    normal = [share for name, share in shares.items() if not name.startswith("low")]
    low = [share for name, share in shares.items() if name.startswith("low")]
    result = score(requests)
    kinds = " ".join(
        f"{kind.name} {result.credit_share_of(kind.name):.3f}" for kind in GUILD_PROMPT_KINDS
    )
    low_share = sum(low) / len(low) if low else 0.0
    return (
        f"{label:9} {result.credit_share:6.3f} {sum(normal) / len(normal):6.3f} "
        f"{min(normal):6.3f} {low_share:6.3f} {flooder:8.3f}   {kinds}"
    )


if __name__ == "__main__":
    fire.Fire(compare, name="fairness")
