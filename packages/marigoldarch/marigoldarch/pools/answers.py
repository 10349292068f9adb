"""A scheduler's answers to entries that ask for permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Send
from marigoldarch.messages import PermitGranted, PermitQueued, PermitRefused, WorkItem
from marigoldarch.pools.estimates import engine_priority

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.identifiers import PoolId
    from marigoldarch.pools.admission import Refusal
    from marigoldarch.pools.fair_queue import WaitingRequest
    from marigoldarch.pools.permits import Permit


def granted(pool: PoolId, permit: Permit, item: WorkItem) -> Send:
    """Return the grant of a permit, in answer to the latest asking for `item`."""
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


def queued(pool: PoolId, waiting: WaitingRequest, wait_ms: Millis) -> Send:
    """Return the acknowledgement of a request that waits."""
    item = waiting.item
    return Send(waiting.node, PermitQueued(pool, item.request_id, item.attempt, wait_ms))


def refused(pool: PoolId, waiting: WaitingRequest, refusal: Refusal) -> Send:
    """Return the refusal of a request, with the time to come back."""
    item = waiting.item
    message = PermitRefused(
        pool, item.request_id, item.attempt, refusal.reason, refusal.retry_after_ms
    )
    return Send(waiting.node, message)
