"""The at-most-once ledger of non-idempotent calls."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.control.commands import (
    CommandResult,
    Done,
    LedgerAbandon,
    LedgerAnswered,
    LedgerFinish,
    LedgerMismatch,
    LedgerRunning,
    LedgerStart,
    LedgerStarted,
)


@dataclass
class LedgerRecord:
    """One call: who may send it, and its answer once that is known."""

    start: LedgerStart
    answer: str | None = None


class Ledger:
    """Calls by (customer, idempotency key)."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], LedgerRecord] = {}

    def start(self, command: LedgerStart) -> CommandResult:
        """Give the first request with a key the only right to send the call."""
        record = self._records.get((command.customer, command.key))
        if record is None:
            self._records[command.customer, command.key] = LedgerRecord(command)
            return LedgerStarted()
        if record.start.digest != command.digest:
            return LedgerMismatch()
        if record.answer is not None:
            return LedgerAnswered(record.answer)
        if record.start.request_id == command.request_id:
            return LedgerStarted()
        return LedgerRunning(record.start.request_id)

    def finish(self, command: LedgerFinish) -> CommandResult:
        """Record the answer for replay."""
        record = self._records.get((command.customer, command.key))
        if record is not None and record.start.request_id == command.request_id:
            record.answer = command.answer
        return Done()

    def abandon(self, command: LedgerAbandon) -> CommandResult:
        """Forget a call that was proved unsent."""
        key = (command.customer, command.key)
        record = self._records.get(key)
        if record is None or record.start.request_id != command.request_id:
            return Done()
        if record.answer is None:
            del self._records[key]
        return Done()
