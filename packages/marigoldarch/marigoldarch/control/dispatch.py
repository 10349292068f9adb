"""Dispatch of the messages between replicas to the handlers of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.messages import (
    AppendReply,
    AppendRequest,
    BootstrapQuery,
    BootstrapReply,
    LeadershipTransfer,
    SnapshotPiece,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.replica import Replica
    from marigoldarch.effects import Effect

REPLICA_MESSAGES = (
    VoteRequest,
    LeadershipTransfer,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotPiece,
    SnapshotReply,
    BootstrapQuery,
    BootstrapReply,
)


def dispatch(replica: Replica, sender: str, message: object, now_ms: Millis) -> list[Effect]:
    """Call the replica's handler for a message; other messages have no effects."""
    match message:
        case VoteRequest():
            return replica.on_vote_request(sender, message, now_ms)
        case LeadershipTransfer():
            return replica.on_leadership_transfer(sender, message, now_ms)
        case VoteReply():
            return replica.on_vote_reply(sender, message, now_ms)
        case AppendRequest():
            return replica.on_append_request(sender, message, now_ms)
        case AppendReply():
            return replica.on_append_reply(sender, message, now_ms)
        case SnapshotPiece():
            return replica.on_snapshot_piece(sender, message, now_ms)
        case SnapshotReply():
            return replica.on_snapshot_reply(sender, message, now_ms)
        case BootstrapQuery():
            return replica.on_bootstrap_query(sender, message)
        case BootstrapReply():
            return replica.on_bootstrap_reply(sender, message, now_ms)
    return []
