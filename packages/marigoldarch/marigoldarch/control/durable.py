"""The durable state of a replica, read from disk at its start."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Snapshot
from marigoldarch.control.log import Log
from marigoldarch.effects import LogRecord, TruncateRecord, VoteRecord


@dataclass
class DurableState:
    """The identity, vote, snapshot and log of a replica.

    `replica_id` is random for each data folder, so a node with an emptied disk is a new replica.
    """

    replica_id: str = "r0"
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    log: Log = field(default_factory=Log)


def replay(records: list[LogRecord], replica_id: str) -> DurableState:
    """Return the durable state that results from the records, in the order they were written."""
    state = DurableState(replica_id)
    for record in records:
        match record:
            case VoteRecord():
                state.term, state.voted_for = record.term, record.voted_for
            case TruncateRecord(index=index):
                state.log.truncate_from(index)
            case Snapshot():
                state.snapshot = record
                state.log = Log(record.index, record.term)
            case Entry():
                state.log.append(record)
    return state
