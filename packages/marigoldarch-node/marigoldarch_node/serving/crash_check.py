"""Tells a crash of a target from a broken connection.

Load pattern: some targets reset the connections of a share of their requests, or break answers off,
and run on. Taken for crashes, these would accuse the parts of many sound prompts. A target whose
connection has just ended has crashed if its host refuses a new one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.attempts import FailureReason, OutcomeUnknown, StreamBroken
from marigoldarch_node.serving.target_connections import UnreachableError

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.attempt import AttemptPlan, EntryContext
    from marigoldarch_node.serving.call import Call

MIN_SOUND_WRITING_MS: Millis = 1000.0
"""A prompt that crashes targets does so when they begin to answer it: a request whose answer has been
written for so long has not caused the crash."""


def may_come_from_crash(outcome: object) -> bool:
    """Return whether an attempt may have ended as its target, or one that helped it, has crashed."""
    match outcome:
        case OutcomeUnknown(reason=reason) | StreamBroken(reason=reason):
            return reason in (FailureReason.RESET, FailureReason.CUT)
        case _:
            return False


async def record_crashes(context: EntryContext, plan: AttemptPlan, sent_ms: Millis) -> None:
    """Record which targets of an attempt have crashed; the connection to the first has just ended.

    Targets that hold a part of the prompt may crash as well as the one that answers.
    """
    # A caller that leaves meanwhile must not take the evidence along. Connecting has a time limit.
    with trio.CancelScope(shield=True):
        async with trio.open_nursery() as nursery:
            for target in plan.placement.targets:
                nursery.start_soon(_record_if_crashed, context, target, plan.call, sent_ms)


async def _record_if_crashed(
    context: EntryContext, target: Target, call: Call, sent_ms: Millis
) -> None:
    try:
        connection = await context.connections.acquire(target.address, must_be_new=True)
    except UnreachableError as error:
        if error.is_refused:
            context.state.crashes.record_crash(target.start, call, sent_ms)
            context.state.record_failure(target.target_id, is_unreachable=True)
        return
    connection.connection.close()
