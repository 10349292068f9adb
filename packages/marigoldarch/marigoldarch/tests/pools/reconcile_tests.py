"""Tests of reconciliation and recovery: orphaned memory is released, and live permits are kept."""

from __future__ import annotations

import unittest

from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.messages import HeldPermit
from marigoldarch.tests.pools.support import SchedulerDriver, make_item, released_permits

REPORT_INTERVAL_MS = 500.0
ORPHAN_RELEASE_LIMIT_MS = 10_000.0


def held_permit(permit: PermitId, target: str, request_id: str = "old") -> HeldPermit:
    """Build the entry of a listing for a permit that an earlier scheduler granted."""
    return HeldPermit(permit, make_item(request_id, 40_000), [TargetAddress(target, "i1", "x:1")])


class ReconcileTests(unittest.TestCase):
    """Reconciliation of reported holdings with live permits."""

    def report_holdings(
        self, driver: SchedulerDriver, *holdings: str, duration_ms: float
    ) -> list[PermitId]:
        """Let e1 report `holdings` for a while; return the permits whose memory is released."""
        released: list[PermitId] = []
        end_ms = driver.now_ms + duration_ms
        while driver.now_ms < end_ms:
            driver.advance(REPORT_INTERVAL_MS)
            released += released_permits(driver.announce("e1", holdings=holdings))
        return released

    def test_orphan_of_a_dead_entry_node_is_released_in_time_and_repeatedly_until_gone(
        self,
    ) -> None:
        driver = SchedulerDriver()
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.update_held_permits("n2", [])
        driver.announce("e1")
        driver.request_permit(make_item("r1"), "n1")
        permit = driver.grants()["r1"].permit
        driver.update_held_permits("n1", [], renewed=[permit])
        driver.scheduler.set_live_nodes(frozenset({"n2"}), driver.now_ms)
        released = self.report_holdings(driver, str(permit), duration_ms=ORPHAN_RELEASE_LIMIT_MS)
        self.assertIn(permit, released)
        self.assertGreater(len(released), 1)
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 0)
        self.assertEqual(self.report_holdings(driver, duration_ms=2_000.0), [])

    def test_orphan_of_an_earlier_scheduler_and_a_dead_entry_node_is_released_in_time(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n2"}), 0.0)
        driver.update_held_permits("n2", [])
        released = self.report_holdings(driver, "4-7", duration_ms=ORPHAN_RELEASE_LIMIT_MS)
        self.assertIn(PermitId(4, 7), released)

    def test_permit_of_an_earlier_scheduler_is_kept_while_its_entry_node_lists_it(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1"}), 0.0)
        driver.announce("e1")
        permit = PermitId(4, 7)
        driver.update_held_permits("n1", [held_permit(permit, "e1")])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 40_100)
        for _ in range(30):
            driver.update_held_permits("n1", [], renewed=[permit])
            self.assertEqual(self.report_holdings(driver, "4-7", duration_ms=1_000.0), [])

    def test_earlier_permit_is_not_released_before_all_live_entry_nodes_have_listed_theirs(
        self,
    ) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.update_held_permits("n1", [])
        self.assertEqual(self.report_holdings(driver, "4-7", duration_ms=20_000.0), [])
        driver.update_held_permits("n2", [held_permit(PermitId(4, 7), "e1")])
        driver.update_held_permits("n2", [], renewed=[PermitId(4, 7)])
        self.assertEqual(self.report_holdings(driver, "4-7", duration_ms=4_000.0), [])

    def test_report_without_a_granted_permit_does_not_end_the_permit(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.request_permit(make_item("r1"))
        self.assertEqual(self.report_holdings(driver, duration_ms=3_000.0), [])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 1_100)

    def test_permit_left_out_of_its_entry_nodes_listing_ends(self) -> None:
        driver = SchedulerDriver()
        driver.scheduler.set_live_nodes(frozenset({"n1"}), 0.0)
        driver.announce("e1")
        driver.request_permit(make_item("r1"))
        for _ in range(8):
            driver.advance(1_000.0)
            driver.update_held_permits("n1", [])
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 0)

    def test_unreadable_holdings_and_those_of_a_later_scheduler_are_not_released(self) -> None:
        driver = SchedulerDriver(fence=5)
        released = self.report_holdings(
            driver, "nonsense", "", "-", "9-1", "a-b", duration_ms=10_000.0
        )
        self.assertEqual(released, [])

    def test_announcement_by_another_process_under_the_same_name_is_ignored(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.request_permit(make_item("r1"))
        driver.announce("e1", incarnation="evil", address="evil:1", holdings=("5-1",))
        target = driver.scheduler.fleet["e1"]
        self.assertEqual(target.announcement.address, "e1:1")
        self.assertEqual((target.granted_tokens, driver.withdrawals()), (1_100, []))

    def test_late_announcement_of_a_replaced_incarnation_is_ignored(self) -> None:
        driver = SchedulerDriver()
        driver.announce("e1")
        driver.announce("e1", incarnation="i2")
        driver.announce("e1", incarnation="i1")
        self.assertEqual(driver.scheduler.fleet["e1"].announcement.incarnation, "i2")


class RecoveryTests(unittest.TestCase):
    """Recovery of permits by a new scheduler."""

    def test_grants_start_only_once_every_live_entry_node_has_listed_its_permits(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.announce("e1")
        driver.request_permit(make_item("r1", 90_000))
        driver.update_held_permits("n1", [])
        self.assertEqual(driver.grants(), {})
        driver.update_held_permits("n2", [held_permit(PermitId(4, 7), "e1")])
        driver.advance(5_000.0)
        self.assertEqual(driver.grants(), {})
        driver.update_held_permits("n2", [], renewed=[])
        driver.advance(7_000.0)
        driver.update_held_permits("n2", [], renewed=[])
        self.assertIn("r1", driver.grants())

    def test_grants_start_once_the_leases_of_silent_entry_nodes_have_expired(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.scheduler.set_live_nodes(frozenset({"n1", "n2"}), 0.0)
        driver.announce("e1")
        driver.request_permit(make_item("r1"))
        driver.advance(2_200.0)
        self.assertEqual(driver.grants(), {})
        driver.advance(100.0)
        self.assertIn("r1", driver.grants())

    def test_memory_of_a_listed_permit_is_claimed_once_its_target_announces(self) -> None:
        driver = SchedulerDriver(fence=5, recovery_ms=2_250.0)
        driver.update_held_permits("n1", [held_permit(PermitId(4, 7), "e1")])
        driver.announce("e1", address="x:1")
        self.assertEqual(driver.scheduler.fleet["e1"].granted_tokens, 40_100)
