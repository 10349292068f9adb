"""Processor time and resident memory of a process, read from `/proc`."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

_MS_PER_S = 1000.0
_KIB = 1024
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


class Usage(NamedTuple):
    """Processor time since the process started, and its current resident memory."""

    cpu_ms: float
    resident_bytes: float


def read_usage(pid: int) -> Usage:
    """Read the usage of a running process."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident = next(line for line in status if line.startswith("VmRSS:"))
    cpu_ms = ticks * _MS_PER_S / os.sysconf("SC_CLK_TCK")
    return Usage(cpu_ms, int(resident.split()[1]) * _KIB)
