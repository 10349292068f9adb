"""Tests of orders: fencing, with targets that check the token or not, and the limit of loads."""

from __future__ import annotations

import itertools
import random
import unittest

from marigoldarch.effects import OrderTarget
from marigoldarch.settings import PoolSettings
from marigoldarch.tests.pools.support import SchedulerDriver, make_item, orders

ORDER_DELAY_LIMIT_MS = PoolSettings().order_delivery_timeout_ms


class FakeTarget:
    """A target that executes the orders that arrive; it may check their fencing tokens."""

    def __init__(self, *, checks_fence: bool) -> None:
        self.checks_fence = checks_fence
        self.highest_fence = 0
        self.executed: list[OrderTarget] = []

    def receive(self, order: OrderTarget) -> None:
        """Execute an order, unless its fencing token is checked and outdated."""
        if self.checks_fence and order.fence < self.highest_fence:
            return
        self.highest_fence = max(self.highest_fence, order.fence)
        self.executed.append(order)


class FencingTests(unittest.TestCase):
    """An order of an earlier scheduler never takes effect after one of a later scheduler."""

    def run_takeovers(self, seed: int, *, checks_fence: bool) -> list[int]:
        """Replace the scheduler twice while orders are delayed up to almost the limit.

        Return the fencing tokens of the executed orders, in the order of their execution.
        """
        rng = random.Random(seed)
        target = FakeTarget(checks_fence=checks_fence)
        in_transit: list[tuple[float, int, OrderTarget]] = []
        serial = itertools.count()
        now_ms = 0.0
        for fence, version in ((5, "v1"), (6, "v2"), (7, "v3")):
            driver = SchedulerDriver(fence=fence, start_ms=now_ms)
            driver.announce("e1", checks_fence=checks_fence)
            driver.scheduler.registry.orders.set_wanted_loads((), (version,))
            end_ms = now_ms + rng.uniform(500.0, 3 * ORDER_DELAY_LIMIT_MS)
            while driver.now_ms < end_ms:
                for order in orders(driver.advance(50.0)):
                    arrival_ms = driver.now_ms + rng.uniform(0.0, ORDER_DELAY_LIMIT_MS - 60.0)
                    in_transit.append((arrival_ms, next(serial), order))
                for entry in sorted(entry for entry in in_transit if entry[0] <= driver.now_ms):
                    target.receive(entry[2])
                    in_transit.remove(entry)
            now_ms = driver.now_ms
        for entry in sorted(in_transit):
            target.receive(entry[2])
        return [order.fence for order in target.executed]

    def test_targets_that_check_fencing_tokens_execute_no_outdated_order(self) -> None:
        for seed in range(40):
            fences = self.run_takeovers(seed, checks_fence=True)
            self.assertEqual(fences, sorted(fences), seed)
            self.assertIn(7, fences)

    def test_targets_that_ignore_fencing_tokens_execute_no_outdated_order(self) -> None:
        taken = 0
        for seed in range(40):
            fences = self.run_takeovers(seed, checks_fence=False)
            self.assertEqual(fences, sorted(fences), seed)
            taken += 7 in fences
        self.assertGreater(taken, 0)

    def test_new_scheduler_delays_only_orders_to_targets_that_ignore_fencing_tokens(self) -> None:
        for checks_fence, first_ms in ((True, 50.0), (False, ORDER_DELAY_LIMIT_MS)):
            driver = SchedulerDriver()
            driver.announce("e1", checks_fence=checks_fence)
            driver.scheduler.registry.orders.set_wanted_loads((), ("v1",))
            while not orders(driver.advance(50.0)):
                self.assertLess(driver.now_ms, ORDER_DELAY_LIMIT_MS + 1_000.0)
            self.assertGreaterEqual(driver.now_ms, first_ms)
            self.assertLess(driver.now_ms, first_ms + 1_000.0)


class LoadTests(unittest.TestCase):
    """Loads of a new version on all targets, and changes of role."""

    def test_change_of_version_loads_on_a_few_targets_at_a_time(self) -> None:
        driver = SchedulerDriver()
        names = [f"e{number}" for number in range(8)]
        loaded: dict[str, tuple[str, ...]] = dict.fromkeys(names, ("v1",))
        loading: dict[str, float] = {}
        driver.scheduler.registry.orders.set_wanted_loads((), ("v1", "v2"))
        most = 0
        for step in range(600):
            for name in names:
                driver.announce(name, versions=loaded[name], checks_fence=True)
            for order in orders(driver.advance(100.0)):
                name = order.target.target
                loading[name] = driver.now_ms + 3_000.0
                driver.scheduler.record_command_result(
                    name, order.order_id, is_confirmed=True, now_ms=driver.now_ms
                )
            most = max(most, sum(not target.accepts_work for target in driver.scheduler.fleet))
            for name in [name for name, at_ms in loading.items() if at_ms <= driver.now_ms]:
                del loading[name]
                loaded[name] = ("v1", "v2")
            driver.request_permit(make_item(f"r{step}", version="v1", time_left_ms=5_000.0))
            if f"r{step}" in driver.grants():
                driver.release(driver.grants()[f"r{step}"])
        self.assertEqual(set(loaded.values()), {("v1", "v2")})
        self.assertLessEqual(most, 2)
        self.assertEqual(len(driver.grants()), 600)

    def test_order_with_unknown_outcome_blocks_further_orders_while_it_may_arrive(
        self,
    ) -> None:
        driver = SchedulerDriver()
        driver.announce("e1", checks_fence=True)
        driver.scheduler.registry.orders.set_wanted_loads((), ("v1",))
        first = orders(driver.advance(1_000.0))
        self.assertEqual(len(first), 1)
        driver.scheduler.record_command_result(
            "e1", first[0].order_id, is_confirmed=False, now_ms=driver.now_ms
        )
        self.assertEqual(orders(driver.advance(ORDER_DELAY_LIMIT_MS - 1_000.0)), [])
        self.assertEqual(len(orders(driver.advance(3_000.0))), 1)

    def test_target_with_a_role_is_ordered_to_change_to_its_assigned_lane(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}", role="long", checks_fence=True)
        sent = orders(driver.advance(1_000.0))
        self.assertEqual([order.order["name"] for order in sent], ["short"])
