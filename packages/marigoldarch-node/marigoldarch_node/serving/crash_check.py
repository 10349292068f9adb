"""Tells a crash of a target from a broken connection.

Load pattern: some targets reset the connections of a share of their requests, or break answers off,
and run on. Taken for crashes, these would accuse the parts of many sound prompts. A target whose
connection has just ended has crashed if its host refuses a new one, at once or after it has ended one
that it still accepted.

Load pattern: targets crash while they write answers that have no length and end with their connection.
The kernel of a crashed target ends its connections as a sound target ends a whole answer, and refuses new
ones. Such an answer is complete only if its target has not crashed (`response_end`). The events of a
stream are passed on as they arrive; only the end waits for the check.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch.serving.attempts import FailureReason, OutcomeUnknown, StreamBroken
from marigoldarch.serving.response_end import ListenerState
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.target_connections import UnreachableError

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.attempt_plan import AttemptPlan, EntryContext
    from marigoldarch_node.serving.sockets import Connection

MIN_SOUND_WRITING_MS: Millis = 1000.0
"""A prompt that crashes targets does so when they begin to answer it: a request whose answer has been
written for so long has not caused the crash."""


LISTENER_LAG_MS: Millis = 25.0
"""How much longer than its connections the listener of a target that crashes may last: its connections
end one after the other, and one that it still accepts ends with the process."""

MAX_CHECKS = 3
"""A target that ends each new connection and listens on has not crashed."""

MAX_CHECK_MS: Millis = 500.0
"""A check takes no longer: a connection that times out, and the tries of a target that ends each of them.
A target that can't be told by then counts as sound: a crashed one refuses within a round trip, unless a
packet is lost, and the host of a silent one has ended no connection."""

log = EventLog("attempts")


def may_come_from_crash(outcome: object) -> bool:
    """Return whether an attempt may have ended as its target, or one that helped it, has crashed."""
    match outcome:
        case OutcomeUnknown(reason=reason) | StreamBroken(reason=reason):
            return reason in (FailureReason.RESET, FailureReason.CUT)
        case _:
            return False


class CrashCheck(NamedTuple):
    """What new connections to the targets of an attempt have shown.

    `crashed` are those that refuse them, although the own links are sound. `listener` is the state of all:
    one that refuses, through other entries too, counts before one that does not answer.
    """

    crashed: list[Target]
    listener: ListenerState


async def check_targets(context: EntryContext, plan: AttemptPlan) -> CrashCheck:
    """Connect to the targets of an attempt anew; the connection to the first has just ended."""
    crashed: list[Target] = []
    states: dict[str, ListenerState] = {}
    first = plan.placement.targets[0]

    async def check(target: Target) -> None:
        states[target.target_id] = ListenerState.UNKNOWN
        found = await _check_target(context, target)
        states[target.target_id] = found.listener
        crashed.extend(found.crashed)

    # A caller that leaves meanwhile must not take the evidence along.
    with trio.move_on_after(MAX_CHECK_MS / 1000.0, shield=True):
        async with trio.open_nursery() as nursery:
            for target in plan.placement.targets:
                # A helper that leaves may have ended after its part was read.
                if target is first or not context.state.target_view.is_leaving(target):
                    nursery.start_soon(check, target)
    for state in (ListenerState.REFUSES, ListenerState.UNKNOWN):
        if state in states.values():
            return CrashCheck(crashed, state)
    return CrashCheck(crashed, ListenerState.LISTENS)


async def record_crashes(
    context: EntryContext, plan: AttemptPlan, sent_ms: Millis, *, is_suspected: bool = True
) -> ListenerState:
    """Record which targets of an attempt have crashed; the connection to the first has just ended.

    Returns what the check has shown. Targets that hold a part of the prompt may crash as well as the one
    that answers. Unless the request is suspected, they have failed, but not under this request.
    """
    check = await check_targets(context, plan)
    for target in check.crashed:
        if is_suspected:
            context.state.crashes.record_crash(target.start, plan.call, sent_ms)
        context.state.record_failure(target.target_id, is_unreachable=True)
    return check.listener


async def _check_target(context: EntryContext, target: Target) -> CrashCheck:
    for _ in range(MAX_CHECKS):
        try:
            connection = await context.paths.acquire(target, must_be_new=True)
        except UnreachableError as error:
            if not error.is_refused:
                log.info("crash not checked", target=target.target_id, reason=str(error))
                return CrashCheck([], ListenerState.UNKNOWN)
            crashed = [target] if error.is_target_at_fault else []
            return CrashCheck(crashed, ListenerState.REFUSES)
        try:
            if not await _ends_soon(connection.connection):
                return CrashCheck([], ListenerState.LISTENS)
        finally:
            context.paths.release(connection, None)
    return CrashCheck([], ListenerState.LISTENS)


async def _ends_soon(connection: Connection) -> bool:
    """Return whether the target of a new connection ends it within a moment."""
    try:
        with trio.move_on_after(LISTENER_LAG_MS / 1000.0):
            return not await connection.stream.receive_some(1)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return True
    return False
