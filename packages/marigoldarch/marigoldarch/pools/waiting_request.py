"""A request that waits for a permit of a pool's scheduler."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.messages import WorkItem
from marigoldarch.pools.estimates import Lane


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a permit; times are in milliseconds of the scheduler's clock.

    From `urgent_from_ms` on it is served before all others; after `latest_start_ms` it can no
    longer finish by its deadline. `sort_key_ms` is its position among its customer's requests.
    """

    node: str
    item: WorkItem
    lane: Lane
    cost_tokens: int
    queued_ms: Millis
    last_asked_ms: Millis
    deadline_ms: Millis
    latest_start_ms: Millis
    urgent_from_ms: Millis
    sort_key_ms: Millis
    is_queued: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return the request id and attempt number, which identify the request."""
        return self.item.request_id, self.item.attempt

    @property
    def customer(self) -> str:
        """Return the customer's name."""
        return self.item.customer

    @property
    def cost(self) -> int:
        """Return the cost of the request, in tokens."""
        return self.cost_tokens

    @property
    def weight(self) -> float:
        """Return the customer's weight; 1.0 if none, or no positive one, is set."""
        return self.item.weight if self.item.weight > 0 else 1.0
