"""The datagrams in which entries report their work to each other.

Targets and services are sent as the CRC-32 of their names, a tenth of the bytes of the names. A
collision only merges two names in an estimate of load.
"""

from __future__ import annotations

import zlib

import msgspec


class WorkStarted(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that an entry has started; times are in whole milliseconds.

    The fields are those of `RunningAttempt`, in the same order; `reading_ms` is its `prefill_ms`.
    """

    number: int
    service: int
    targets: list[int]
    reading_ms: int
    context_tokens: int
    held_tokens: int
    pause_goal_ms: int
    goal_in_ms: int
    is_repeat: bool
    is_widely_reported: bool = False


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed `age_ms` ago, and shared parts of the prompts that ran on it.

    `target` is the hash of its id and `born_ms` the instant of its start. The newest of the requests
    was sent `sent_age_ms` ago, None if that is not known.
    """

    target: int
    born_ms: int
    age_ms: int
    parts: list[str]
    sent_age_ms: int | None = None


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """A target, as the hash of its id and the instant of its start, and the limit that it names.

    `rate_per_s` is in requests a second, None if it names none any more; that was `age_ms` ago.
    """

    target: int
    born_ms: int
    rate_per_s: float | None
    age_ms: int


class ColdReport(msgspec.Struct, array_like=True, frozen=True):
    """A target that has said in a response that it stays cold for another `left_ms`.

    It is given as the hash of its id and the instant of its start.
    """

    target: int
    born_ms: int
    left_ms: int


class HeadReport(msgspec.Struct, array_like=True, frozen=True):
    """The fields of `WaitingHead`, in the same order."""

    number: int
    lane: int
    is_urgent: bool
    customer: str
    tag: float
    start_tag: float
    virtual_time: float
    start_in_ms: float


class ServedReport(msgspec.Struct, array_like=True, frozen=True):
    """The fields of `Served`, in the same order."""

    lane: int
    customer: str
    engine_ms: float


class WaitingReport(msgspec.Struct, array_like=True, frozen=True):
    """The first waiting requests of an entry for a service, and what its customers were served."""

    service: int
    heads: list[HeadReport]
    served: list[ServedReport]


class WorkReport(msgspec.Struct, array_like=True, frozen=True, tag="work"):
    """The changes of one entry's work since its last report, or all its work if `is_whole`.

    `start_id` identifies the entry's process, and `serial` grows with each of its reports.
    `started` are its new attempts, `read` the numbers of those that have completed their prefill,
    and `ended` the numbers of those that have ended. `suspended` are targets that the entry has
    just suspended, `slow` the measured slowdowns of targets in hundredths, and `requests` the
    number of requests by service since the last report. `leaving` are targets that have said in a
    response to this entry that they are leaving, each with the instant of its start. A report for
    another data centre `is_partial`: it leaves out attempts that stay in the own one, and what
    counts for the retry budget. `crashes` are new crashes of targets, or the newest of all that the
    entry knows if the report is whole. `acquitted` are parts of prompts that were suspected of
    crashing targets and have been answered, each with the time since then in milliseconds. `limits`
    are changes of the limits that targets name, or those that the entry knows if the report is whole.
    `trials` are parts of prompts after a quarantine, of which this entry sends one request alone.
    `cold` are targets that have said in a response to this entry that they are cold.
    `waiting` are requests that wait for engines, by service; services that are left out have none.
    """

    node: str
    start_id: int
    serial: int
    is_whole: bool
    started: list[WorkStarted]
    read: list[int]
    ended: list[int]
    suspended: list[int]
    slow: dict[int, int]
    requests: dict[int, int]
    leaving: dict[int, int] = msgspec.field(default_factory=dict)
    is_partial: bool = False
    crashes: list[CrashReport] = msgspec.field(default_factory=list)
    acquitted: dict[str, int] = msgspec.field(default_factory=dict)
    limits: list[LimitReport] = msgspec.field(default_factory=list)
    trials: list[str] = msgspec.field(default_factory=list)
    cold: list[ColdReport] = msgspec.field(default_factory=list)
    waiting: list[WaitingReport] = msgspec.field(default_factory=list)


class TargetSummary(msgspec.Struct, array_like=True, frozen=True):
    """The fields of `SummarizedLoad`, in the same order; times are in whole milliseconds."""

    active: int
    context_tokens: int
    pause_goal_ms: int
    backlog_ms: int = 0


class PoolSummary(msgspec.Struct, array_like=True, frozen=True, tag="summary"):
    """The attempts that stay within a data centre, by target, for the entries of another.

    `start_id` identifies the process of the entry `node`, and `serial` grows with each summary.
    """

    node: str
    start_id: int
    serial: int
    data_centre: str
    loads: dict[int, TargetSummary]


class RelayedReport(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """An encoded `WorkReport` or `PoolSummary` that the receiver forwards in its data centre."""

    report: bytes


def name_hash(name: str) -> int:
    """Return the CRC-32 that stands for a name in reports."""
    return zlib.crc32(name.encode())
