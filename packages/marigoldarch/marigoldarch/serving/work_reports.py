"""What entries tell each other of their work, as short datagrams.

Targets and services travel as CRC-32 of their names, a tenth of the bytes of the whole names. Two
names with one number would only be taken for one in an estimate of load.
"""

from __future__ import annotations

import zlib

import msgspec


class WorkStarted(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that was sent; times are in whole milliseconds."""

    number: int
    service: int
    targets: list[int]
    reading_ms: int
    context_tokens: int
    held_tokens: int
    pause_goal_ms: int
    goal_in_ms: int
    is_repeat: bool


class WorkReport(msgspec.Struct, array_like=True, frozen=True, tag="work"):
    """Changes of one entry's work since its report before, or all of it if `is_whole`.

    `read` are works whose first token has come, `suspended` targets that the entry has just set
    aside, `slow` the measured slowness of targets in hundredths, `requests` how many requests it has
    taken by service since its last report.
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


class RelayedReport(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """An encoded `WorkReport` that the receiver passes on in its data centre."""

    report: bytes


def name_hash(name: str) -> int:
    """Return the number under which a name travels."""
    return zlib.crc32(name.encode())
