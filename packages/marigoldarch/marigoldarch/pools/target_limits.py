"""Limits of the requests that targets accept from all nodes together.

Load pattern: a target in need announces how many requests a second it accepts. The scheduler grants all
permits of its pool, so one account for each limited target keeps the limit for all nodes. A target
without room takes no new work until its account has filled again.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.pools.fleet import Fleet, Target

BURST_S = 0.5
"""Burst of a limit, in seconds of its rate; it is at least one request."""


@dataclass(eq=False)
class LimitAccount:
    """The requests that a target accepts now, as of `updated_ms`; negative after a grant beyond it."""

    rate_per_s: float
    requests: float
    updated_ms: Millis

    def refill(self, now_ms: Millis) -> None:
        """Add what the rate allows since the last refill."""
        added = self.rate_per_s * max(0.0, now_ms - self.updated_ms) / 1000.0
        self.requests = min(max(1.0, self.rate_per_s * BURST_S), self.requests + added)
        self.updated_ms = now_ms

    @property
    def due_ms(self) -> Millis:
        """Return when there is room for the next request."""
        return self.updated_ms + max(0.0, 1.0 - self.requests) / self.rate_per_s * 1000.0


class PoolLimits:
    """The accounts of a pool's limited targets.

    An account starts empty: an earlier scheduler may just have granted the burst.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._accounts: dict[str, LimitAccount] = {}
        self._due: list[tuple[Millis, str]] = []

    @property
    def at_limit(self) -> set[str]:
        """Return the names of the targets without room."""
        return {name for name in self._accounts if self._fleet[name].is_at_limit}

    def apply_announcement(self, target: Target, now_ms: Millis) -> None:
        """Begin, change or end the limit of a target that has announced itself."""
        rate_per_s = target.announcement.requests_per_s
        account = self._accounts.get(target.name)
        if not rate_per_s:
            if account is not None:
                self.forget(target.name)
                self._set_at_limit(target, is_at_limit=False)
            return
        if account is None:
            account = self._accounts[target.name] = LimitAccount(rate_per_s, 0.0, now_ms)
        elif account.rate_per_s != rate_per_s:
            account.refill(now_ms)
            account.rate_per_s = rate_per_s
        else:
            return
        self._check(target, account, now_ms)

    def record_grant(self, target: Target, now_ms: Millis) -> None:
        """Count a permit on a target."""
        account = self._accounts.get(target.name)
        if account is not None:
            account.refill(now_ms)
            account.requests -= 1.0
            self._check(target, account, now_ms)

    def tick(self, now_ms: Millis) -> None:
        """Let the targets with room take work again."""
        while self._due and self._due[0][0] <= now_ms:
            _, name = heapq.heappop(self._due)
            account, target = self._accounts.get(name), self._fleet.find(name)
            if account is not None and target is not None:
                self._check(target, account, now_ms)

    def forget(self, name: str) -> None:
        """Drop the account of a target that is gone, has restarted or names no limit any more."""
        self._accounts.pop(name, None)

    def _check(self, target: Target, account: LimitAccount, now_ms: Millis) -> None:
        account.refill(now_ms)
        is_at_limit = account.due_ms > now_ms
        if is_at_limit:
            heapq.heappush(self._due, (account.due_ms, target.name))
        self._set_at_limit(target, is_at_limit=is_at_limit)

    def _set_at_limit(self, target: Target, *, is_at_limit: bool) -> None:
        if target.is_at_limit is is_at_limit:
            return
        target.is_at_limit = is_at_limit
        if not is_at_limit:
            self._fleet.capacity_releases += 1
        self._fleet.reindex(target)
