"""The at-most-once ledger of non-idempotent calls.

Times in the ledger are log times: milliseconds that the leaders measured on their monotonic clocks
and stamped on entries. Log time never runs faster than real time, so no record expires early.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from marigoldarch.control.commands import (
    CommandResult,
    Done,
    LedgerAbandon,
    LedgerAnswered,
    LedgerExpire,
    LedgerFinish,
    LedgerMismatch,
    LedgerRunning,
    LedgerStart,
    LedgerStarted,
    LedgerUnknown,
)

RECORD_OVERHEAD_BYTES = 650
"""The memory of a record besides its answer, in bytes."""


class LedgerRecord(NamedTuple):
    """One call: the start that owns it, the log time of that start, and its answer if known."""

    start: LedgerStart
    started_ms: int
    answer: str | None = None

    @property
    def size_bytes(self) -> int:
        """Return the memory of the record in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.answer or "")

    def is_past_deadline(self, now_ms: int) -> bool:
        """Return whether the deadline of the call has certainly passed."""
        return now_ms > self.started_ms + self.start.time_left_ms


class Ledger:
    """Records of calls by customer and idempotency key, in the order of their start."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], LedgerRecord] = {}
        self._abandoned: dict[str, int] = {}
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def size_bytes(self) -> int:
        """Return the memory of all records in bytes."""
        return self._size_bytes + RECORD_OVERHEAD_BYTES * len(self._abandoned)

    @property
    def oldest_ms(self) -> int | None:
        """Return the log time of the oldest record, or None if there is none."""
        oldest = [record.started_ms for record in self._first_value(self._records)]
        oldest += self._first_value(self._abandoned)
        return min(oldest, default=None)

    def has_record(self, customer: str, key: str) -> bool:
        """Return whether a key has a record."""
        return (customer, key) in self._records

    def start(self, command: LedgerStart, now_ms: int) -> CommandResult:
        """Give the first request with a key the exclusive right to send the call."""
        key = (command.customer, command.key)
        record = self._records.get(key)
        if command.request_id in self._abandoned:
            # A delayed copy of a start that its sender has abandoned; the sender sends no call.
            return LedgerRunning(command.request_id)
        if record is None:
            self._store_record(key, LedgerRecord(command, now_ms))
            return LedgerStarted()
        if record.start.digest != command.digest:
            return LedgerMismatch()
        if record.answer is not None:
            return LedgerAnswered(record.answer)
        if record.start.request_id == command.request_id:
            self._store_record(key, record._replace(start=command))
            return LedgerStarted()
        if record.is_past_deadline(now_ms):
            return LedgerUnknown(record.start.request_id)
        return LedgerRunning(record.start.request_id)

    def finish(self, command: LedgerFinish) -> CommandResult:
        """Store the answer of a call, for replay to later requests with its key."""
        key = (command.customer, command.key)
        record = self._records.get(key)
        if record is not None and record.start.request_id == command.request_id:
            self._store_record(key, record._replace(answer=command.answer))
        return Done()

    def abandon(self, command: LedgerAbandon, now_ms: int) -> CommandResult:
        """Remove a call that was certainly not sent, and ignore delayed copies of its start."""
        key = (command.customer, command.key)
        record = self._records.get(key)
        is_own = record is not None and record.start.request_id == command.request_id
        if is_own and record.answer is not None:
            return Done()
        self._abandoned.setdefault(command.request_id, now_ms)
        if is_own:
            self._remove(key)
        return Done()

    def expire(self, command: LedgerExpire) -> CommandResult:
        """Remove the records that were started before a log time."""
        old = [
            key
            for key, record in self._records.items()
            if record.started_ms < command.started_before_ms
        ]
        for key in old:
            self._remove(key)
        self._abandoned = {
            request_id: at_ms
            for request_id, at_ms in self._abandoned.items()
            if at_ms >= command.started_before_ms
        }
        return Done()

    def to_plain(self) -> dict[str, Any]:
        """Return the ledger as values that JSON can encode; the records are not copied."""
        return {
            "records": list(self._records.values()),
            "abandoned": list(self._abandoned.items()),
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> Ledger:
        """Build a ledger from the decoded result of `to_plain`."""
        ledger = cls()
        for record in msgspec.convert(plain["records"], list[LedgerRecord]):
            ledger._store_record((record.start.customer, record.start.key), record)
        ledger._abandoned = {request_id: at_ms for request_id, at_ms in plain["abandoned"]}
        return ledger

    def _store_record(self, key: tuple[str, str], record: LedgerRecord) -> None:
        previous = self._records.get(key)
        self._size_bytes += record.size_bytes - (previous.size_bytes if previous else 0)
        self._records[key] = record

    def _remove(self, key: tuple[str, str]) -> None:
        self._size_bytes -= self._records.pop(key).size_bytes

    @staticmethod
    def _first_value(items: dict[Any, Any]) -> list[Any]:
        return [next(iter(items.values()))] if items else []
