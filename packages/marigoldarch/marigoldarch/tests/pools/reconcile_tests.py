"""Tests of reconciliation and recovery: no memory is lost, and nothing live is cancelled."""

from __future__ import annotations

import unittest

from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.messages import HeldPermit
from marigoldarch.tests.pools.support import SchedulerDriver, make_item, released_permits

REPORT_MS = 500.0
ORPHAN_BOUND_MS = 10_000.0


def held(permit: PermitId, target: str, request_id: str = "old") -> HeldPermit:
    """Build an entry's listing of a permit of an earlier scheduler."""
    return HeldPermit(permit, make_item(request_id, 40_000), [TargetAddress(target, "i1", "x:1")])


class ReconcileTests(unittest.TestCase):
    """Holdings against live permits."""

    def watch(self, driver: SchedulerDriver, *holdings: str, for_ms: float) -> list[PermitId]:
        """Let e1 report its holdings for a while; return what was released."""
        released: list[PermitId] = []
        end_ms = driver.now_ms + for_ms
        while driver.now_ms < end_ms:
            driver.advance(REPORT_MS)
            released += released_permits(driver.announce("e1", holdings=holdings))
        return released

    def test_orphan_of_a_dead_entry_is_released_within_the_bound_and_until_it_is_gone(self) -> None:
        driver = SchedulerDriver()
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.update_held_permits("n2", [])
        driver.announce("e1")
        driver.ask(make_item("r1"), "n1")
        permit = driver.grants()["r1"].permit
        driver.update_held_permits("n1", [], renewed=[permit])
        driver.scheduler.set_live_nodes(frozenset({"n2"}), driver.now_ms)
        released = self.watch(driver, str(permit), for_ms=ORPHAN_BOUND_MS)
        self.assertIn(permit, released)
        self.assertGreater(len(released), 1)
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 0)
        self.assertEqual(self.watch(driver, for_ms=2_000.0), [])

    def test_orphan_of_a_dead_scheduler_and_entry_is_released_within_the_bound(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n2"}), 0.0)
        driver.update_held_permits("n2", [])
        released = self.watch(driver, "4-7", for_ms=ORPHAN_BOUND_MS)
        self.assertIn(PermitId(4, 7), released)

    def test_permit_of_an_earlier_scheduler_is_kept_while_its_entry_lists_it(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1"}), 0.0)
        driver.announce("e1")
        permit = PermitId(4, 7)
        driver.update_held_permits("n1", [held(permit, "e1")])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 40_100)
        for _ in range(30):
            driver.update_held_permits("n1", [], renewed=[permit])
            self.assertEqual(self.watch(driver, "4-7", for_ms=1_000.0), [])

    def test_old_permit_is_not_released_while_a_live_entry_has_not_listed_its_own(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.update_held_permits("n1", [])
        self.assertEqual(self.watch(driver, "4-7", for_ms=20_000.0), [])
        driver.update_held_permits("n2", [held(PermitId(4, 7), "e1")])
        driver.update_held_permits("n2", [], renewed=[PermitId(4, 7)])
        self.assertEqual(self.watch(driver, "4-7", for_ms=4_000.0), [])

    def test_report_made_before_a_grant_changes_nothing(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.ask(make_item("r1"))
        self.assertEqual(self.watch(driver, for_ms=3_000.0), [])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 1_100)

    def test_permit_that_its_entry_leaves_out_of_its_listing_ends(self) -> None:
        driver = SchedulerDriver()
        driver.scheduler.set_live_nodes(frozenset({"n1"}), 0.0)
        driver.announce("e1")
        driver.ask(make_item("r1"))
        for _ in range(8):
            driver.advance(1_000.0)
            driver.update_held_permits("n1", [])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 0)

    def test_unreadable_holdings_and_those_of_a_later_scheduler_are_left_alone(self) -> None:
        driver = SchedulerDriver(fence=5)
        released = self.watch(driver, "nonsense", "", "-", "9-1", "a-b", for_ms=10_000.0)
        self.assertEqual(released, [])

    def test_another_process_under_the_same_name_disturbs_nothing(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.ask(make_item("r1"))
        driver.announce("e1", incarnation="evil", address="evil:1", holdings=("5-1",))
        target = driver.scheduler.fleet["e1"]
        self.assertEqual(target.announcement.address, "e1:1")
        self.assertEqual((target.granted_tokens, driver.withdrawals()), (1_100, []))

    def test_late_announcement_of_an_earlier_run_is_ignored(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e1", incarnation="i2")
        driver.announce("e1", incarnation="i1")
        self.assertEqual(driver.scheduler.fleet["e1"].announcement.incarnation, "i2")


class RecoveryTests(unittest.TestCase):
    """A new scheduler."""

    def test_grants_wait_until_every_live_entry_has_listed_its_permits(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.announce("e1")
        driver.ask(make_item("r1", 90_000))
        driver.update_held_permits("n1", [])
        self.assertEqual(driver.grants(), {})
        driver.update_held_permits("n2", [held(PermitId(4, 7), "e1")])
        driver.advance(5_000.0)
        self.assertEqual(driver.grants(), {})
        driver.update_held_permits("n2", [], renewed=[])
        driver.advance(7_000.0)
        driver.update_held_permits("n2", [], renewed=[])
        self.assertIn("r1", driver.grants())

    def test_grants_start_when_the_leases_of_silent_entries_have_run_out(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.announce("e1")
        driver.ask(make_item("r1"))
        driver.advance(2_200.0)
        self.assertEqual(driver.grants(), {})
        driver.advance(100.0)
        self.assertIn("r1", driver.grants())

    def test_listed_permit_is_accounted_for_once_its_target_announces(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.update_held_permits("n1", [held(PermitId(4, 7), "e1")])
        driver.announce("e1", address="x:1")
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 40_100)
