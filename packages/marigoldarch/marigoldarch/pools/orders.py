"""Orders to targets: loads of adapters and versions, and changes of role, with fencing.

An order carries the pool's fencing number. A target that checks it refuses an old holder's order by
itself. For a target that does not, a new holder first waits until no order of an earlier holder can
still be on its way; the same wait follows an own order whose outcome is unknown. Loads are limited
in number, so that a change of version neither overruns the weight store nor empties the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from marigoldarch.effects import OrderTarget
from marigoldarch.pools.estimates import Lane

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.identifiers import PoolId
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.settings import PoolSettings

PLAN_INTERVAL_MS: Millis = 500.0
RETRY_MS: Millis = 5_000.0
LOAD_TIMEOUT_MS: Millis = 120_000.0
"""How long a target may take from confirming a load to announcing it."""


class OrderKind(StrEnum):
    """What an order asks for."""

    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class Wish(NamedTuple):
    """An order before it is sent: its kind and the name of the adapter, version or role."""

    kind: OrderKind
    name: str


@dataclass(eq=False)
class PendingOrder:
    """An order that a target has not been seen to carry out."""

    order_id: str
    wish: Wish
    incarnation: str
    sent_ms: Millis
    is_confirmed: bool = False
    is_answered: bool = False


class OrderBook:
    """Plan, send and follow the orders of one scheduler; one order per target at a time."""

    def __init__(
        self, pool: PoolId, fence: int, fleet: Fleet, settings: PoolSettings, now_ms: Millis
    ) -> None:
        self._pool = pool
        self._fence = fence
        self._fleet = fleet
        self._settings = settings
        self._since_ms = now_ms
        self._due_ms = now_ms
        self._serial = 0
        self._wanted: tuple[Wish, ...] = ()
        self._pending: dict[str, PendingOrder] = {}

    @property
    def pending(self) -> dict[str, PendingOrder]:
        """Return the orders in progress by target."""
        return self._pending

    def want(self, adapters: tuple[str, ...], versions: tuple[str, ...]) -> None:
        """Set what every engine of the pool should have loaded."""
        loads = [Wish(OrderKind.LOAD_VERSION, name) for name in versions]
        loads += [Wish(OrderKind.LOAD_ADAPTER, name) for name in adapters]
        self._wanted = tuple(loads)

    def tick(self, now_ms: Millis) -> list[OrderTarget]:
        """Send the orders that are due."""
        if now_ms < self._due_ms:
            return []
        self._due_ms = now_ms + PLAN_INTERVAL_MS
        self._settle(now_ms)
        effects: list[OrderTarget] = []
        for target in self._fleet:
            wish = self._next_wish(target)
            if wish is not None and self._may_send(target, wish, now_ms):
                effects.append(self._send(target, wish, now_ms))
        return effects

    def ended(self, target: str, order_id: str, *, is_confirmed: bool) -> None:
        """Note what a target answered; without a confirmation the outcome is unknown."""
        pending = self._pending.get(target)
        if pending is not None and pending.order_id == order_id:
            pending.is_answered = True
            pending.is_confirmed = is_confirmed

    def _settle(self, now_ms: Millis) -> None:
        for name, pending in list(self._pending.items()):
            target = self._fleet.find(name)
            if target is None:
                del self._pending[name]
                continue
            if self._is_over(target, pending, now_ms):
                del self._pending[name]
                if target.is_loading:
                    target.is_loading = False
                    self._fleet.reindex(target)

    def _is_over(self, target: Target, pending: PendingOrder, now_ms: Millis) -> bool:
        if target.announcement.incarnation != pending.incarnation:
            return True
        if pending.is_confirmed:
            return _is_granted(target, pending.wish) or now_ms >= pending.sent_ms + LOAD_TIMEOUT_MS
        # The order may still arrive: nothing else is ordered until it cannot any more.
        wait_ms = max(RETRY_MS, self._settings.order_delay_limit_ms)
        return now_ms >= pending.sent_ms + wait_ms

    def _next_wish(self, target: Target) -> Wish | None:
        if not target.announcement.is_engine or target.announcement.is_leaving:
            return None
        if target.name in self._pending:
            return None
        role = Wish(OrderKind.CHANGE_ROLE, str(target.lane))
        if target.announcement.role in tuple(Lane) and not _is_granted(target, role):
            return role
        return next((wish for wish in self._wanted if not _is_granted(target, wish)), None)

    def _may_send(self, target: Target, wish: Wish, now_ms: Millis) -> bool:
        is_fenced = target.announcement.checks_fence
        if not is_fenced and now_ms < self._since_ms + self._settings.order_delay_limit_ms:
            return False
        if wish.kind is OrderKind.CHANGE_ROLE:
            return True
        loading = sum(
            pending.wish.kind is not OrderKind.CHANGE_ROLE for pending in self._pending.values()
        )
        limit = max(1, int(self._settings.loading_share * len(self._fleet)))
        return loading < min(limit, self._settings.loading_limit)

    def _send(self, target: Target, wish: Wish, now_ms: Millis) -> OrderTarget:
        self._serial += 1
        order_id = f"{self._fence}-{self._serial}"
        incarnation = target.announcement.incarnation
        self._pending[target.name] = PendingOrder(order_id, wish, incarnation, now_ms)
        if wish.kind is not OrderKind.CHANGE_ROLE and len(self._fleet) > 1:
            target.is_loading = True
            self._fleet.reindex(target)
        order: dict[str, Any] = {
            "kind": str(wish.kind),
            "name": wish.name,
            "deadline_ms": self._settings.order_delay_limit_ms,
        }
        return OrderTarget(self._pool, target.address, order_id, self._fence, order)


def _is_granted(target: Target, wish: Wish) -> bool:
    announced = target.announcement
    match wish.kind:
        case OrderKind.LOAD_ADAPTER:
            return wish.name in announced.adapters
        case OrderKind.LOAD_VERSION:
            return wish.name in announced.versions
        case OrderKind.CHANGE_ROLE:
            return wish.name == announced.role
