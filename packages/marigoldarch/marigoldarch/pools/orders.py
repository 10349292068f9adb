"""Orders to targets: loads of adapters and versions, and changes of role, with fencing.

An order carries the pool's fencing token. A target that checks the token rejects orders of an
earlier scheduler itself. For a target that does not, a new scheduler first waits until no order of
an earlier scheduler can still be in transit. It also waits that long after an own order whose
outcome is unknown. The number of concurrent loads is limited, so that a change of version neither
overloads the weight store nor leaves too few targets to serve.
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
MIN_RETRY_DELAY_MS: Millis = 5_000.0
LOAD_TIMEOUT_MS: Millis = 120_000.0
"""How long after the order a target may take to announce a load that it has confirmed."""


class OrderKind(StrEnum):
    """What an order asks a target to do."""

    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class OrderSpec(NamedTuple):
    """What to order: the kind of order, and the name of the adapter, version or role."""

    kind: OrderKind
    name: str


@dataclass(eq=False)
class PendingOrder:
    """A sent order that the target has not yet announced as carried out."""

    order_id: str
    spec: OrderSpec
    incarnation: str
    sent_ms: Millis
    is_confirmed: bool = False
    has_result: bool = False


class OrderTracker:
    """Plans, sends and tracks the orders of one scheduler, one per target at a time."""

    def __init__(
        self, pool: PoolId, fence: int, fleet: Fleet, settings: PoolSettings, now_ms: Millis
    ) -> None:
        self._pool = pool
        self._fence = fence
        self._fleet = fleet
        self._settings = settings
        self._started_ms = now_ms
        self._next_plan_ms = now_ms
        self._serial = 0
        self._wanted_loads: tuple[OrderSpec, ...] = ()
        self._pending: dict[str, PendingOrder] = {}

    @property
    def pending(self) -> dict[str, PendingOrder]:
        """Return the orders in progress, by the name of their target."""
        return self._pending

    def set_wanted_loads(self, adapters: tuple[str, ...], versions: tuple[str, ...]) -> None:
        """Set the adapters and versions that every engine of the pool should have loaded."""
        loads = [OrderSpec(OrderKind.LOAD_VERSION, name) for name in versions]
        loads += [OrderSpec(OrderKind.LOAD_ADAPTER, name) for name in adapters]
        self._wanted_loads = tuple(loads)

    def tick(self, now_ms: Millis) -> list[OrderTarget]:
        """Drop finished orders, and return the orders to send now."""
        if now_ms < self._next_plan_ms:
            return []
        self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
        self._drop_finished(now_ms)
        effects: list[OrderTarget] = []
        for target in self._fleet:
            spec = self._next_order(target)
            if spec is not None and self._may_send(target, spec, now_ms):
                effects.append(self._send(target, spec, now_ms))
        return effects

    def record_result(self, target: str, order_id: str, *, is_confirmed: bool) -> None:
        """Record the result of an order; unless the target confirmed it, the outcome is unknown."""
        pending = self._pending.get(target)
        if pending is not None and pending.order_id == order_id:
            pending.has_result = True
            pending.is_confirmed = is_confirmed

    def _drop_finished(self, now_ms: Millis) -> None:
        for name, pending in list(self._pending.items()):
            target = self._fleet.find(name)
            if target is None:
                del self._pending[name]
                continue
            if self._is_finished(target, pending, now_ms):
                del self._pending[name]
                if target.is_loading:
                    target.is_loading = False
                    self._fleet.reindex(target)

    def _is_finished(self, target: Target, pending: PendingOrder, now_ms: Millis) -> bool:
        if target.announcement.incarnation != pending.incarnation:
            return True
        if pending.is_confirmed:
            return (
                _is_carried_out(target, pending.spec) or now_ms >= pending.sent_ms + LOAD_TIMEOUT_MS
            )
        # The order may still arrive, so nothing else is ordered until it no longer can.
        wait_ms = max(MIN_RETRY_DELAY_MS, self._settings.order_delivery_timeout_ms)
        return now_ms >= pending.sent_ms + wait_ms

    def _next_order(self, target: Target) -> OrderSpec | None:
        if not target.announcement.is_engine or target.announcement.is_leaving:
            return None
        if target.name in self._pending:
            return None
        role = OrderSpec(OrderKind.CHANGE_ROLE, str(target.lane))
        if target.announcement.role in tuple(Lane) and not _is_carried_out(target, role):
            return role
        return next(
            (spec for spec in self._wanted_loads if not _is_carried_out(target, spec)), None
        )

    def _may_send(self, target: Target, spec: OrderSpec, now_ms: Millis) -> bool:
        is_fenced = target.announcement.checks_fence
        if not is_fenced and now_ms < self._started_ms + self._settings.order_delivery_timeout_ms:
            return False
        if spec.kind is OrderKind.CHANGE_ROLE:
            return True
        loads_in_progress = sum(
            pending.spec.kind is not OrderKind.CHANGE_ROLE for pending in self._pending.values()
        )
        limit = max(1, int(self._settings.loading_share * len(self._fleet)))
        return loads_in_progress < min(limit, self._settings.loading_limit)

    def _send(self, target: Target, spec: OrderSpec, now_ms: Millis) -> OrderTarget:
        self._serial += 1
        order_id = f"{self._fence}-{self._serial}"
        incarnation = target.announcement.incarnation
        self._pending[target.name] = PendingOrder(order_id, spec, incarnation, now_ms)
        if spec.kind is not OrderKind.CHANGE_ROLE and len(self._fleet) > 1:
            target.is_loading = True
            self._fleet.reindex(target)
        order: dict[str, Any] = {
            "kind": str(spec.kind),
            "name": spec.name,
            "deadline_ms": self._settings.order_delivery_timeout_ms,
        }
        return OrderTarget(self._pool, target.address, order_id, self._fence, order)


def _is_carried_out(target: Target, spec: OrderSpec) -> bool:
    announced = target.announcement
    match spec.kind:
        case OrderKind.LOAD_ADAPTER:
            return spec.name in announced.adapters
        case OrderKind.LOAD_VERSION:
            return spec.name in announced.versions
        case OrderKind.CHANGE_ROLE:
            return spec.name == announced.role
