"""A node with a fault built in, to show that a test of processes catches it.

Run as `python -m marigoldarch_fakes.tests.process.broken_node FAULT FLAGS...`.
"""

from __future__ import annotations

import sys

from marigoldarch.control.commands import CommandResult, LedgerStart, LedgerStarted
from marigoldarch.control.ledger import Ledger
from marigoldarch_node.__main__ import main
from marigoldarch_node.storage import folder, records


def forget_started_calls() -> None:
    """Let the ledger give everyone the right to send."""

    def start(ledger: Ledger, command: LedgerStart, now_ms: int) -> CommandResult:
        return LedgerStarted()

    Ledger.start = start


def cut_damage() -> None:
    """Take every damaged record for a torn tail."""
    records._has_intact_frame_after = lambda *args: False
    folder.scan_records = records.scan_records


FAULTS = {
    "forget-started-calls": forget_started_calls,
    "cut-damage": cut_damage,
}

if __name__ == "__main__":
    FAULTS[sys.argv.pop(1)]()
    main()
