"""Decides when a target that sends nothing counts as stalled, so that another one may try as well.

Load patterns, each with its answer:

- An engine that prefills large prompts sends nothing for seconds and is still healthy. Another
  attempt prefills the prompt again in a pool that is just as busy. The timeout of a prompt that is
  expensive to prefill is therefore extended while the target sends something to other requests or
  has a prefill backlog.
- An engine that has stopped, or a broken connection, never answers. Streams are resumed on another
  target before their callers give up. Short prompts are cheap to prefill again, so their timeout is
  never extended.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis

FIRST_EVENT_FACTOR = 3.0
FIRST_EVENT_EXTRA_MS: Millis = 600.0
"""The first event of a stream is due within three times its expected time plus this, which covers a
lost packet and the decode pass in progress."""

PAUSE_FACTOR = 4.0
MIN_PAUSE_TIMEOUT_MS: Millis = 900.0
MAX_PAUSE_TIMEOUT_MS: Millis = 4000.0
"""The next event of a stream is due within four pause goals, between these bounds. Callers give up
after eight pause goals, and no earlier than after 2 s."""

CALL_GOALS = 4.0
MIN_CALL_TIMEOUT_MS: Millis = 1500.0
"""The answer to a call that is no stream is due within four goals, and no sooner than this: a sound target
may be silent for a second."""

MAX_EXTENSION_MS: Millis = 3000.0
"""The longest extension of a timeout. Within this time the kernel's keep-alive probes close a
connection whose other end is gone."""

CHEAP_PREFILL_MS: Millis = 150.0
"""The timeout of a prompt with a shorter prefill is not extended: three passes of an engine."""


class StallState(NamedTuple):
    """What is known of an attempt while its target sends nothing.

    `waiting_since_ms` is the start of the wait, `timeout_ms` its limit without any extension. The
    target is expected to complete all its prefills at `prefill_until_ms`. It last sent something to
    this entry, on any connection, at `last_heard_ms`. `repeat_prefill_ms` is the prefill time that
    a retry would cost.
    """

    waiting_since_ms: Millis
    timeout_ms: Millis
    prefill_until_ms: Millis
    last_heard_ms: Millis
    repeat_prefill_ms: Millis
    is_suspended: bool


def first_event_timeout_ms(expected_ms: Millis, goal_ms: Millis) -> Millis:
    """Return the timeout of the first event of a stream."""
    return max(FIRST_EVENT_FACTOR * expected_ms + FIRST_EVENT_EXTRA_MS, goal_ms)


def pause_timeout_ms(pause_goal_ms: Millis) -> Millis:
    """Return the timeout of each further event of a stream."""
    return min(max(PAUSE_FACTOR * pause_goal_ms, MIN_PAUSE_TIMEOUT_MS), MAX_PAUSE_TIMEOUT_MS)


def call_timeout_ms(goal_ms: Millis) -> Millis:
    """Return the timeout of the answer to a call that is no stream."""
    return max(CALL_GOALS * goal_ms, MIN_CALL_TIMEOUT_MS)


def stall_deadline_ms(stall: StallState) -> Millis:
    """Return the instant at which the target counts as stalled if it sends nothing until then.

    The timeout is extended only for prompts that are expensive to prefill again, and never on a
    suspended target.
    """
    may_extend = not stall.is_suspended and stall.repeat_prefill_ms >= CHEAP_PREFILL_MS
    if not may_extend:
        return stall.waiting_since_ms + stall.timeout_ms
    last_activity_ms = max(stall.prefill_until_ms, stall.last_heard_ms, stall.waiting_since_ms)
    extended_from_ms = min(last_activity_ms, stall.waiting_since_ms + MAX_EXTENSION_MS)
    return extended_from_ms + stall.timeout_ms
