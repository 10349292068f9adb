"""When a target that sends nothing is given up.

Load patterns, each with its answer:

- An engine that reads large prompts is silent for seconds and still sound. Giving it up throws the
  reading away, and the prompt is read again in a pool that is just as busy. Prompts that are dear to
  read again wait as long as the target shows signs of life or has reading to do.
- An engine that is gone, or a connection that has gone silent, never answers. Streams go on
  elsewhere before their callers give up; short prompts, which cost little to read again, do so
  without asking why.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis

FIRST_EVENT_FACTOR = 3.0
FIRST_EVENT_EXTRA_MS: Millis = 600.0
"""A stream should have begun after three times its expected wait and this much more, which covers a
lost packet and the pass under way."""

PAUSE_FACTOR = 4.0
LEAST_PAUSE_LIMIT_MS: Millis = 900.0
MOST_PAUSE_LIMIT_MS: Millis = 4000.0
"""A stream should go on after four pause goals, within these bounds: callers give it up after
eight, and after 2 s at the earliest."""

LONGEST_EXCUSE_MS: Millis = 3000.0
"""For how long signs of life excuse silence: the kernel's keep-alive probes take so long to end a
connection whose other end is gone."""

CHEAP_RESTART_MS: Millis = 150.0
"""Prompts that are read in less time are sent elsewhere at once: three passes of an engine."""


class StallState(NamedTuple):
    """What is known while a target sends nothing.

    `since_ms` is when the waiting began, `patience_ms` how long it may take by itself.
    `prefill_until_ms` is when the target should have read everything, `heard_ms` when it last sent
    anything to this entry, on any connection. `repeat_prefill_ms` is the reading that giving up would cost.
    """

    since_ms: Millis
    patience_ms: Millis
    prefill_until_ms: Millis
    heard_ms: Millis
    repeat_prefill_ms: Millis
    is_suspended: bool


def first_event_timeout_ms(expected_ms: Millis, goal_ms: Millis) -> Millis:
    """Return how long a stream may take to begin."""
    return max(FIRST_EVENT_FACTOR * expected_ms + FIRST_EVENT_EXTRA_MS, goal_ms)


def pause_timeout_ms(pause_goal_ms: Millis) -> Millis:
    """Return how long a stream may pause."""
    return min(max(PAUSE_FACTOR * pause_goal_ms, LEAST_PAUSE_LIMIT_MS), MOST_PAUSE_LIMIT_MS)


def stall_deadline_ms(silence: StallState) -> Millis:
    """Return the instant at which the target is given up if nothing comes until then."""
    is_excused = not silence.is_suspended and silence.repeat_prefill_ms >= CHEAP_RESTART_MS
    if not is_excused:
        return silence.since_ms + silence.patience_ms
    last_sign_ms = max(silence.prefill_until_ms, silence.heard_ms, silence.since_ms)
    excused_ms = min(last_sign_ms, silence.since_ms + LONGEST_EXCUSE_MS)
    return excused_ms + silence.patience_ms
