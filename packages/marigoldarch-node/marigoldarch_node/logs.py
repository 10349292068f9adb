"""Logging: one prefix for each part, as text or JSON lines."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

_TEXT_FORMAT = "{record.time:%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"


def get_logger(part: str) -> logbook.Logger:
    """Return the logger of a part; the part's name is its fixed prefix."""
    return logbook.Logger(part)


def install(log_format: str, level: str) -> None:
    """Send log records to the standard error stream."""
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(level.upper()), format_string=_TEXT_FORMAT
    )
    if log_format == "json":
        handler.formatter = _format_json
    handler.push_application()


def _format_json(record: Any, handler: Any) -> str:
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    return msgspec.json.encode(fields).decode()
