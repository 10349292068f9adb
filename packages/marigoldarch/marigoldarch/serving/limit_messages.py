"""The datagrams in which entries lend each other requests of the limits that targets name."""

from __future__ import annotations

import msgspec


class TargetNeed(msgspec.Struct, array_like=True, frozen=True):
    """How many requests an entry wants to send to a target that names a limit per second."""

    target_id: str
    born_ms: int
    data_centre: str
    requests: int
    rate_per_s: float


class TargetShare(msgspec.Struct, array_like=True, frozen=True):
    """How many requests are lent of a target's limit.

    `retry_after_ms` is the wait for the next one, 0 if all that were wanted are lent.
    """

    target_id: str
    born_ms: int
    requests: int
    retry_after_ms: float


class LimitAsk(msgspec.Struct, array_like=True, frozen=True, tag="limit ask"):
    """Ask for requests of the limits of some targets; the answer goes to `node`.

    `process` identifies the asking entry's process. `round` and `asked`, the entry that was asked
    first, are echoed. With `is_final` the receiver lends, whoever it takes for the owner; otherwise it
    may forward the ask to the owner.
    """

    node: str
    process: int
    round: int
    asked: str
    needs: list[TargetNeed]
    is_final: bool


class LimitAnswer(msgspec.Struct, array_like=True, frozen=True, tag="limit answer"):
    """The shares that answer an ask, valid for a lease time from the moment of the ask."""

    round: int
    asked: str
    shares: list[TargetShare]
