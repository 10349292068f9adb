"""A scheduler's replies to the permit requests of entry nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Send
from marigoldarch.messages import PermitGranted, PermitQueued, PermitRefused, WorkItem
from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.estimates import engine_priority

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.identifiers import PoolId
    from marigoldarch.pools.admission import Refusal
    from marigoldarch.pools.permits import Permit
    from marigoldarch.pools.waiting_request import WaitingRequest

_REASONS_FOR_OLDER_NODES = {
    RefusalReason.PROMPT_CRASHES_TARGETS: RefusalReason.TARGET_UNREACHABLE,
}
"""What nodes of an older build are told in place of reasons that they do not know."""


def grant_reply(pool: PoolId, permit: Permit, item: WorkItem) -> Send:
    """Return the message that grants a permit, with the time of the latest request for `item`."""
    message = PermitGranted(
        pool,
        item.request_id,
        item.attempt,
        permit.permit_id,
        permit.targets,
        item.asked_ms,
        engine_priority(item, permit.lane, is_urgent=permit.is_urgent),
    )
    return Send(permit.node, message)


def queued_reply(pool: PoolId, waiting: WaitingRequest, wait_ms: Millis) -> Send:
    """Return the message that acknowledges a waiting request, with its expected wait."""
    item = waiting.item
    return Send(waiting.node, PermitQueued(pool, item.request_id, item.attempt, wait_ms))


def refusal_reply(pool: PoolId, node: str, item: WorkItem, refusal: Refusal) -> Send:
    """Return the message that refuses a request, with the time after which to retry."""
    older_reason = _REASONS_FOR_OLDER_NODES.get(refusal.reason)
    message = PermitRefused(
        pool,
        item.request_id,
        item.attempt,
        older_reason or refusal.reason,
        refusal.retry_after_ms,
        refusal.reason if older_reason else "",
    )
    return Send(node, message)
