"""Tests of the pool scheduler: accounting, fairness, deadlines, gangs and failures."""

from __future__ import annotations

import unittest

from marigoldarch.effects import Send
from marigoldarch.messages import PermitGranted, PermitQueued, PermitReleased
from marigoldarch.outcomes import RefusalReason
from marigoldarch.tests.pools.support import (
    MEMORY_TOKENS,
    POOL,
    SchedulerDriver,
    make_item,
)


class AccountingTests(unittest.TestCase):
    """Accounting of memory, permits and waiting requests."""

    def test_memory_is_not_granted_twice(self) -> None:
        driver = SchedulerDriver(long_backlog_ms=float("inf"), short_headroom_share=0.0)
        for name in ("e1", "e2"):
            driver.announce(name)
        for number in range(20):
            driver.request_permit(make_item(f"r{number}", 30_000, output_tokens=1_000))
        used: dict[str, int] = {}
        for granted in driver.grants().values():
            for target in granted.targets:
                used[target.target] = used.get(target.target, 0) + 31_000
        self.assertEqual(used, {"e1": 93_000, "e2": 93_000})
        for target in driver.scheduler.fleet:
            self.assertEqual(target.granted_tokens, used[target.name])

    def test_released_memory_is_granted_to_the_next_request(self) -> None:
        driver = SchedulerDriver(long_backlog_ms=float("inf"))
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000))
        driver.request_permit(make_item("r2", 90_000))
        self.assertEqual(set(driver.grants()), {"r1"})
        driver.release(driver.grants()["r1"])
        self.assertEqual(set(driver.grants()), {"r1", "r2"})
        driver.release(driver.grants()["r2"])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 0)

    def test_repeated_request_gets_the_permit_already_granted(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        first = driver.request_permit(make_item("r1"))
        again = driver.request_permit(make_item("r1", asked_ms=7.0))
        grants = [e.message for e in first + again if isinstance(e, Send)]
        self.assertEqual(grants[0].permit, grants[1].permit)
        self.assertEqual(grants[1].asked_ms, 7.0)
        self.assertEqual(len(driver.scheduler.permits), 1)

    def test_waiting_request_is_acknowledged_with_its_expected_wait(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000))
        for effects in (
            driver.request_permit(make_item("r2", 90_000)),
            driver.request_permit(make_item("r2", 90_000)),
        ):
            queued = [e.message for e in effects if isinstance(e, Send)]
            self.assertIsInstance(queued[0], PermitQueued)
            self.assertGreater(queued[0].wait_estimate_ms, 0.0)
        self.assertEqual(len(driver.scheduler.waiting), 1)

    def test_cancelled_waiting_request_is_not_granted(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000))
        driver.request_permit(make_item("r2", 90_000))
        driver.scheduler.release(PermitReleased(POOL, "r2", 1, None), 0.0)
        driver.release(driver.grants()["r1"])
        self.assertEqual(set(driver.grants()), {"r1"})

    def test_waiting_request_is_dropped_when_its_entry_node_stops_repeating_it(self) -> None:
        driver = SchedulerDriver(queued_request_timeout_ms=8_000.0)
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000))
        driver.request_permit(make_item("r2", 90_000))
        driver.advance(9_000.0)
        self.assertEqual(len(driver.scheduler.waiting), 0)


class PolicyTests(unittest.TestCase):
    """Short before long work, fair shares, avoided targets and cached prefixes."""

    def test_short_request_does_not_wait_behind_long_ones(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}")
        for number in range(40):
            driver.request_permit(make_item(f"long{number}", 60_000, customer="binder"))
        driver.request_permit(make_item("short", 1_000, customer="harbor"))
        granted = driver.grants()["short"]
        long_targets = {
            grant.targets[0].target for name, grant in driver.grants().items() if name != "short"
        }
        self.assertNotIn(granted.targets[0].target, long_targets)

    def test_customers_get_equal_service_by_cost_whatever_they_queue(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e2")
        for number in range(60):
            driver.request_permit(make_item(f"a{number}", 10_000, customer="a"))
        for number in range(10):
            driver.request_permit(make_item(f"b{number}", 10_000, customer="b"))
        served: list[str] = []
        for _ in range(20):
            driver.advance(600.0)
            for name, granted in driver.grants().items():
                if name not in served:
                    served.append(name)
                    driver.release(granted)
        first_served = served[:16]
        self.assertGreaterEqual(sum(name.startswith("b") for name in first_served), 6)

    def test_retry_never_runs_on_the_target_that_failed(self) -> None:
        driver = SchedulerDriver()
        for name in ("e1", "e2", "e3"):
            driver.announce(name)
        for number in range(12):
            item = make_item(f"r{number}", attempt=2, avoid=("e1", "e2"))
            driver.request_permit(item)
            driver.advance(100.0)
        targets = {grant.targets[0].target for grant in driver.grants().values()}
        self.assertEqual(targets, {"e3"})

    def test_leaving_target_gets_no_new_work(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e2")
        driver.request_permit(make_item("r0"))
        driver.announce("e1", is_leaving=True)
        for number in range(1, 10):
            driver.request_permit(make_item(f"r{number}"))
            driver.advance(100.0)
        later_grants = [grant for name, grant in driver.grants().items() if name != "r0"]
        self.assertEqual({grant.targets[0].target for grant in later_grants}, {"e2"})
        self.assertEqual(driver.withdrawals(), [])

    def test_requests_go_to_the_target_with_their_cached_prefix_unless_it_is_busy(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}")
        prefix = tuple(f"p{position}" for position in range(3))
        driver.request_permit(make_item("first", 4_000, prefix=prefix))
        cached_target = driver.grants()["first"].targets[0].target
        driver.advance(1_000.0)
        driver.request_permit(make_item("second", 4_000, prefix=prefix))
        self.assertEqual(driver.grants()["second"].targets[0].target, cached_target)
        for number in range(8):
            driver.request_permit(make_item(f"more{number}", 4_000, prefix=prefix))
        targets = {grant.targets[0].target for grant in driver.grants().values()}
        self.assertGreater(len(targets), 1)


class AdmissionTests(unittest.TestCase):
    """Deadlines and queue limits."""

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000, time_left_ms=1_000.0))
        refused = driver.refusals()["r1"]
        self.assertEqual(refused.reason, RefusalReason.DEADLINE)
        self.assertGreater(refused.retry_after_ms, 0.0)

    def test_waiting_request_is_refused_once_it_can_no_longer_meet_its_deadline(self) -> None:
        driver = SchedulerDriver(estimate_margin=0.0)
        driver.announce("e1")
        driver.request_permit(make_item("r1", 99_000, customer="a"))
        driver.request_permit(make_item("r2", 99_000, time_left_ms=20_000.0, customer="b"))
        self.assertNotIn("r2", driver.refusals())
        driver.advance(15_000.0)
        self.assertIn("r2", driver.refusals())

    def test_queue_length_is_limited_per_customer(self) -> None:
        driver = SchedulerDriver(customer_queue_limit=3)
        driver.announce("e1")
        for number in range(9):
            driver.request_permit(make_item(f"a{number}", 90_000, customer="a"))
        driver.request_permit(make_item("b", 90_000, customer="b"))
        reasons = {refused.reason for refused in driver.refusals().values()}
        self.assertEqual(reasons, {RefusalReason.QUEUE_FULL})
        self.assertNotIn("b", driver.refusals())

    def test_overload_is_refused_by_deadline_never_after_a_grant_and_served_fairly(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}")
        running: list[tuple[float, PermitGranted]] = []
        asked: dict[str, float] = {}
        seen: set[str] = set()
        for number in range(1500):
            name = f"r{number}"
            asked[name] = driver.now_ms
            item = make_item(name, 8_000, customer=f"c{number % 5}", time_left_ms=30_000.0)
            driver.request_permit(item)
            driver.advance(30.0, 30.0)
            for request_id, granted in driver.grants().items():
                if request_id not in seen:
                    seen.add(request_id)
                    running.append((driver.now_ms + 3_000.0, granted))
            for item_end, granted in [entry for entry in running if entry[0] <= driver.now_ms]:
                running.remove((item_end, granted))
                driver.release(granted)
        self.assertGreater(len(driver.refusals()), 300)
        refused_after_grant = [name for name in driver.refusals() if name in seen]
        self.assertEqual(refused_after_grant, [])
        refused_otherwise = [
            name
            for name in driver.refusals()
            if name in asked and driver.refusals()[name].reason != RefusalReason.DEADLINE
        ]
        self.assertEqual(refused_otherwise, [])
        shares = [sum(name in seen for name in asked if int(name[1:]) % 5 == c) for c in range(5)]
        self.assertLessEqual(max(shares) - min(shares), 0.2 * max(shares))


class GangTests(unittest.TestCase):
    """Prompts that need the memory of several engines, and preemption."""

    def test_gang_is_granted_all_its_engines_or_none(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e2")
        driver.request_permit(make_item("big", 250_000))
        self.assertNotIn("big", driver.grants())
        driver.announce("e3")
        driver.advance(100.0)
        self.assertEqual(len(driver.grants()["big"].targets), 3)

    def test_prompt_larger_than_the_pool_is_refused_at_once(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e2")
        driver.advance(4_000.0)
        driver.request_permit(make_item("big", 250_000))
        self.assertEqual(driver.refusals()["big"].reason, RefusalReason.NO_TARGET)

    def test_two_gangs_that_need_the_whole_pool_both_run(self) -> None:
        driver = SchedulerDriver()
        for number in range(3):
            driver.announce(f"e{number}")
        driver.request_permit(make_item("big1", 270_000))
        driver.request_permit(make_item("big2", 270_000))
        self.assertEqual(set(driver.grants()), {"big1"})
        driver.release(driver.grants()["big1"])
        driver.advance(100_000.0)
        self.assertEqual(set(driver.grants()), {"big1", "big2"})

    def test_gang_is_not_starved_by_a_stream_of_smaller_work(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}")
        running: list[tuple[float, PermitGranted]] = []
        seen: set[str] = set()
        for number in range(400):
            driver.request_permit(make_item(f"r{number}", 40_000, customer=f"c{number % 3}"))
            if number == 20:
                driver.request_permit(make_item("big", 250_000, customer="binder"))
            driver.advance(500.0, 100.0)
            for name, granted in driver.grants().items():
                if name not in seen:
                    seen.add(name)
                    running.append((driver.now_ms + 5_000.0, granted))
            for entry in [entry for entry in running if entry[0] <= driver.now_ms]:
                running.remove(entry)
                driver.release(entry[1])
            if "big" in seen:
                break
        self.assertIn("big", seen)
        self.assertLess(driver.now_ms, 60_000.0)

    def test_restart_of_a_member_withdraws_the_gangs_permit_and_frees_the_others(self) -> None:
        driver = SchedulerDriver()
        for number in range(3):
            driver.announce(f"e{number}")
        driver.request_permit(make_item("big", 270_000))
        granted = driver.grants()["big"]
        driver.announce("e1", incarnation="i2")
        self.assertEqual([item.permit for item in driver.withdrawals()], [granted.permit])
        driver.release(granted)
        self.assertEqual({t.granted_tokens for t in driver.scheduler.fleet}, {0})
        driver.request_permit(make_item("big", 270_000, attempt=2))
        driver.advance(50_000.0)
        self.assertEqual(driver.grants()["big"].attempt, 2)

    def test_expiry_of_a_member_withdraws_the_permit_until_its_entry_node_releases_it(self) -> None:
        driver = SchedulerDriver()
        for number in range(3):
            driver.announce(f"e{number}", ttl_ms=3_000.0)
        driver.request_permit(make_item("big", 270_000))
        for _ in range(5):
            driver.advance(1_000.0)
            driver.announce("e0", ttl_ms=3_000.0)
            driver.announce("e1", ttl_ms=3_000.0)
        self.assertGreater(len(driver.withdrawals()), 1)
        driver.release(driver.grants()["big"])
        count = len(driver.withdrawals())
        driver.advance(2_000.0)
        self.assertEqual(len(driver.withdrawals()), count)

    def test_urgent_request_preempts_a_long_prefill_that_has_time_to_restart(self) -> None:
        driver = SchedulerDriver(estimate_margin=0.0)
        driver.announce("e1")
        driver.request_permit(
            make_item("long", 90_000, output_tokens=10, time_left_ms=3_600_000.0, rank=2)
        )
        driver.request_permit(make_item("soon", 60_000, output_tokens=10, time_left_ms=7_000.0))
        driver.advance(1_000.0)
        self.assertEqual({item.request_id for item in driver.withdrawals()}, {"long"})
        driver.release(driver.grants()["long"])
        self.assertIn("soon", driver.grants())


class HealthTests(unittest.TestCase):
    """Targets that fail requests."""

    def fail_request(self, driver: SchedulerDriver, name: str) -> None:
        """Let one request fail on the target `name`."""
        others = tuple(t.name for t in driver.scheduler.fleet if t.name != name)
        item = make_item(f"f{driver.now_ms}-{name}", avoid=others)
        driver.request_permit(item)
        driver.release(driver.grants()[item.request_id], is_target_failure=True, failed_target=name)
        driver.advance(300.0)

    def test_failing_target_is_set_aside_then_probed_then_restored(self) -> None:
        driver = SchedulerDriver()
        for number in range(4):
            driver.announce(f"e{number}")
        for _ in range(3):
            self.fail_request(driver, "e1")
        self.assertEqual(driver.scheduler.registry.health.set_aside, ["e1"])
        others = ("e0", "e2", "e3")
        driver.request_permit(make_item("waits", avoid=others))
        self.assertNotIn("waits", driver.grants())
        driver.advance(2_500.0)
        self.assertIn("waits", driver.grants())
        driver.request_permit(make_item("second", avoid=others))
        self.assertNotIn("second", driver.grants())
        driver.release(driver.grants()["waits"])
        self.assertEqual(driver.scheduler.registry.health.set_aside, [])

    def test_only_a_share_of_the_targets_is_set_aside_at_once(self) -> None:
        driver = SchedulerDriver()
        for number in range(6):
            driver.announce(f"e{number}")
        for number in range(6):
            for _ in range(4):
                target = driver.scheduler.fleet[f"e{number}"]
                if target.accepts_work:
                    self.fail_request(driver, f"e{number}")
        self.assertEqual(len(driver.scheduler.registry.health.set_aside), 2)
        self.assertEqual(MEMORY_TOKENS, driver.scheduler.fleet["e5"].free_tokens)
