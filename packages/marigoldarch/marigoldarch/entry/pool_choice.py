"""The choice among the pools of one model or service, from what their schedulers said last."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.view import ClusterView
    from marigoldarch.identifiers import PoolId

REMOTE_PENALTY_MS: Millis = 50.0
"""How much longer the wait in the own data centre may be before another one is preferred."""

GUESS_AGE_LIMIT_MS: Millis = 5000.0
"""How long a wait that a scheduler told is believed."""


class WaitGuess(NamedTuple):
    """What a scheduler last said of its queue."""

    wait_ms: Millis
    at_ms: Millis


class PoolChoice:
    """Remember the waits that schedulers report on their answers, and choose by them.

    The reports ride on answers that are sent anyway, so that they cost no message of their own.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._guesses: dict[PoolId, WaitGuess] = {}

    def learn(self, pool: PoolId, wait_ms: Millis, now_ms: Millis) -> None:
        """Note how long work waits in a pool."""
        self._guesses[pool] = WaitGuess(wait_ms, now_ms)

    def choose(
        self, view: ClusterView, name: str, avoid: set[PoolId], now_ms: Millis
    ) -> PoolId | None:
        """Return the pool with the least expected wait, or None if none is left."""
        pools = [pool for pool in view.pools_of(name) if pool not in avoid]
        return min(pools, key=lambda pool: (self._wait_ms(pool, now_ms), pool), default=None)

    def _wait_ms(self, pool: PoolId, now_ms: Millis) -> Millis:
        penalty = 0.0 if pool.data_centre == self._data_centre else REMOTE_PENALTY_MS
        guess = self._guesses.get(pool)
        if guess is None or now_ms - guess.at_ms > GUESS_AGE_LIMIT_MS:
            return penalty
        return penalty + guess.wait_ms
