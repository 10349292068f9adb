"""What orders a waiting request: its size, its times, its customer and its rank."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.engine_formula import decode_pass_ms, prefill_ms
from marigoldarch.serving.placement import LONG_PREFILL_MS, PREFILL_PART_COUNTS

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import EngineSpec
    from marigoldarch.serving.routing import PromptSize

LATE_OFFSET_MS: Millis = 3_600_000.0
"""No request waits for this long."""

POSITION_LIFETIME_MS: Millis = 5.0
"""A position is found anew after this time even if the line has not changed."""

AGEING_SHARE = 0.75
"""A late long prompt is served before the others when this share of its caller's time has passed."""


class Lane(IntEnum):
    """Short prompts need one free place; long ones need engines that read nothing else."""

    SHORT = 0
    LONG = 1


class Place(NamedTuple):
    """The place of a waiting request in the order of its lane: lower ones are first.

    `tag` is the virtual finish time in the fair queue; `entry` and `number` only break ties.
    """

    is_not_urgent: bool
    tag: float
    entry: str
    number: int


class KnownPosition(NamedTuple):
    """A position in the order of a line, after so many changes of the line, found at `found_ms`."""

    position: int
    changes: int
    found_ms: Millis

    def is_current(self, changes: int, now_ms: Millis) -> bool:
        """Return whether the position still holds; requests become late without a change of the line."""
        return changes == self.changes and now_ms < self.found_ms + POSITION_LIFETIME_MS


@dataclass(eq=False)
class Ticket:
    """A request that waits; `number` identifies it at its entry.

    `engine_ms` is the engine time that it takes. `arrived_ms` is when it came, `in_time_until_ms`
    the latest start by its goal and `usable_until_ms` that before its caller gives up.
    Its first token is in time until `goal_until_ms`, and the caller first came at `came_ms`, maybe with
    an earlier request. `expected_start_ms` is when it is expected to find room. `place` is its newest
    place in the order, `told_place` the one that the other entries know, and `position` how many were
    before it when that was looked at last.
    """

    number: int
    lane: Lane
    customer: str
    engine_ms: Millis
    rank: int
    goal_ms: Millis
    arrived_ms: Millis
    came_ms: Millis
    goal_until_ms: Millis
    in_time_until_ms: Millis
    usable_until_ms: Millis
    expected_start_ms: Millis = 0.0
    place: Place | None = None
    told_place: Place | None = None
    position: KnownPosition | None = None
    is_late: bool = False
    is_queued: bool = False

    @property
    def weight(self) -> float:
        """Return the customer's weight: all have the same."""
        return 1.0

    @property
    def cost(self) -> float:
        """Return the engine time, in milliseconds, that the customer is charged."""
        return self.engine_ms * (1 + self.rank)

    @property
    def urgent_from_ms(self) -> Millis:
        """Return from when on it is before all others: while a few engines can still complete it."""
        if not self.is_late or self.lane is Lane.SHORT:
            return math.inf
        time_ms = self.usable_until_ms - self.arrived_ms
        return self.arrived_ms + AGEING_SHARE * max(time_ms - self.engine_ms, time_ms / 2)

    @property
    def latest_start_ms(self) -> Millis:
        """Return until when it may start in time; nothing changes any more for a late one."""
        return math.inf if self.is_late else self.in_time_until_ms

    @property
    def sort_key_ms(self) -> Millis:
        """Return its position among the requests of its customer: late ones come last."""
        key_ms = self.came_ms + self.rank * self.goal_ms
        return key_ms + LATE_OFFSET_MS if self.is_late else key_ms


class RequestTimes(NamedTuple):
    """When a request came, its goal from then on, and the instant at which its caller gives up."""

    received_ms: Millis
    goal_ms: Millis
    usable_until_ms: Millis


def new_ticket(
    engine: EngineSpec,
    prompt: PromptSize,
    times: RequestTimes,
    number: int,
    customer: str,
    rank: int,
) -> Ticket:
    """Return the ticket of a request.

    Its engine time is that of its prefill, and its share of the passes of a full engine. A long prompt
    may begin as late as the largest number of engines still completes it.
    """
    reading_ms = prefill_ms(engine, prompt.tokens)
    passes = prompt.answer_tokens / max(1, engine.steps_per_pass)
    decoding_ms = passes * decode_pass_ms(engine, engine.slots, 0) / max(1, engine.slots)
    goal_until_ms = times.received_ms + times.goal_ms
    lane = Lane.LONG if reading_ms > LONG_PREFILL_MS else Lane.SHORT
    fastest_ms = reading_ms / PREFILL_PART_COUNTS[-1] if lane is Lane.LONG else reading_ms
    return Ticket(
        number,
        lane,
        customer,
        reading_ms + decoding_ms,
        rank,
        times.goal_ms,
        times.received_ms,
        times.received_ms,
        goal_until_ms,
        goal_until_ms - fastest_ms,
        times.usable_until_ms - fastest_ms,
    )
