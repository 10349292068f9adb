"""Decides whether a response that ended with its connection is complete.

Load pattern: some targets send responses with neither a length nor chunks. The kernel of a target that
is killed ends its connections in the same way as a sound target ends such a response.

Load pattern: targets leave, and some are gone two seconds after they have said so (spot machines), in the
middle of their responses. A sound one stops listening after its last response, so that a refused
connection alone does not tell the two apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ListenerState(StrEnum):
    """What a new connection to a target has shown: whether it still listens."""

    LISTENS = "listens"
    REFUSES = "refuses"
    UNKNOWN = "unknown"


class EndVerdict(StrEnum):
    """What the end of a connection says of the response.

    `AWAITS_DEPARTURE` stands for a response that is complete if the target turns out to have departed, and
    is broken off otherwise.
    """

    COMPLETE = "complete"
    BROKEN_OFF = "broken off"
    AWAITS_DEPARTURE = "awaits departure"


@dataclass(frozen=True)
class ConnectionEnd:
    """What is known of a response that ended with its connection.

    A target `is_leaving` if it has said so in a response or an announcement. It `has_departed` if it has
    announced that it leaves, and later that it is gone: it has ended all its work between the two. A
    target that announces only that it is gone goes on working for some time.

    `may_repeat` is set if another target may be asked for the response, or for the rest of a stream. A
    stream that `has_all_tokens` has written as many as its request allows.
    """

    listener: ListenerState
    is_leaving: bool = False
    has_departed: bool = False
    is_stream: bool = False
    may_repeat: bool = False
    has_all_tokens: bool = False


def judge_end(end: ConnectionEnd) -> EndVerdict:
    """Return whether a response that ended with its connection is complete.

    A stream that can't be told goes on at another target, which sends nothing if there is no more of it.
    """
    if end.listener is ListenerState.LISTENS:
        return EndVerdict.COMPLETE
    has_ended = end.listener is ListenerState.REFUSES
    if not end.is_leaving:
        # A packet of the check is lost more often than a target crashes in such a response.
        return EndVerdict.BROKEN_OFF if has_ended else EndVerdict.COMPLETE
    if end.has_all_tokens:
        return EndVerdict.COMPLETE
    if end.is_stream and end.may_repeat:
        return EndVerdict.BROKEN_OFF
    if end.has_departed or not (has_ended or end.may_repeat):
        return EndVerdict.COMPLETE
    return EndVerdict.AWAITS_DEPARTURE
