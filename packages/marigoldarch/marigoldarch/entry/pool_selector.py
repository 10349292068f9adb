"""Selection among the pools of one model or service by the waits their schedulers reported."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.view import ClusterView
    from marigoldarch.identifiers import PoolId

REMOTE_PENALTY_MS: Millis = 50.0
"""Added to the wait of a pool in another data centre, so that the local pool is preferred."""

MAX_ESTIMATE_AGE_MS: Millis = 5000.0
"""Age above which a reported wait is ignored."""


class WaitEstimate(NamedTuple):
    """The wait that a pool's scheduler last reported, and when the report arrived."""

    wait_ms: Millis
    at_ms: Millis


class PoolSelector:
    """Store the waits that schedulers report, and select the pool with the shortest.

    The waits are part of the replies to permit requests, so reporting them costs no extra message.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._estimates: dict[PoolId, WaitEstimate] = {}

    def record_wait(self, pool: PoolId, wait_ms: Millis, now_ms: Millis) -> None:
        """Store the wait that a pool's scheduler reported."""
        self._estimates[pool] = WaitEstimate(wait_ms, now_ms)

    def choose(
        self, view: ClusterView, name: str, avoid: set[PoolId], now_ms: Millis
    ) -> PoolId | None:
        """Return the pool with the least expected wait, or None if all are in `avoid`."""
        pools = [pool for pool in view.pools_of(name) if pool not in avoid]
        return min(pools, key=lambda pool: (self._wait_ms(pool, now_ms), pool), default=None)

    def _wait_ms(self, pool: PoolId, now_ms: Millis) -> Millis:
        penalty = 0.0 if pool.data_centre == self._data_centre else REMOTE_PENALTY_MS
        estimate = self._estimates.get(pool)
        if estimate is None or now_ms - estimate.at_ms > MAX_ESTIMATE_AGE_MS:
            return penalty
        return penalty + estimate.wait_ms
