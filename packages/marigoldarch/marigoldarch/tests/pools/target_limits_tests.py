"""Tests of schedulers whose targets announce limits of the requests that they accept."""

from __future__ import annotations

import unittest
from collections import Counter

from marigoldarch.tests.pools.support import SchedulerDriver, make_item

STEP_MS = 50.0
WINDOW_MS = 4_000.0


class TargetLimitTests(unittest.TestCase):
    """Short prompts that are answered at once, and targets of which some announce a limit."""

    def setUp(self) -> None:
        self.driver = SchedulerDriver()
        self.serial = 0
        self.granted_ms: list[tuple[float, str]] = []
        self.open: set[str] = set()

    def announce(self, **rates_per_s: float) -> None:
        """Announce targets with their limits."""
        for name, rate_per_s in rates_per_s.items():
            self.driver.announce(name, requests_per_s=rate_per_s)

    def press(self, rate_per_s: float, duration_ms: float) -> None:
        """Request permits at equal intervals; answer each request as soon as it is granted."""
        end_ms = self.driver.now_ms + duration_ms
        due_ms = self.driver.now_ms
        while self.driver.now_ms < end_ms:
            if self.driver.now_ms >= due_ms:
                due_ms += 1000.0 / rate_per_s
                self.serial += 1
                self.open.add(f"r{self.serial}")
                self.driver.request_permit(make_item(f"r{self.serial}"))
            self.answer_granted()
            self.driver.advance(STEP_MS)
        self.answer_granted()

    def answer_granted(self) -> None:
        """Answer all requests that have been granted."""
        for name, granted in self.driver.grants().items():
            if name in self.open:
                self.open.discard(name)
                self.granted_ms.append((self.driver.now_ms, granted.targets[0].target))
                self.driver.release(granted, output_tokens=10)

    def most_in_window(self, target: str) -> int:
        """Return the largest number of grants on a target within `WINDOW_MS`."""
        times_ms = [at_ms for at_ms, name in self.granted_ms if name == target]
        return max(
            sum(first <= at_ms < first + WINDOW_MS for at_ms in times_ms) for first in times_ms
        )

    def test_limited_target_beside_others_gets_no_more_than_its_limit(self) -> None:
        """Guards against a target in need that gets its share of all requests."""
        self.announce(e0=1.0, e1=0.0)
        self.press(10.0, 20_000.0)
        self.assertEqual(self.open, set())
        self.assertLessEqual(self.most_in_window("e0"), 5)
        counts = Counter(name for _, name in self.granted_ms)
        self.assertGreaterEqual(counts["e0"], 1)

    def test_limits_of_all_targets_are_used(self) -> None:
        self.announce(e0=2.0, e1=2.0, e2=2.0)
        self.press(5.0, 20_000.0)
        self.assertGreaterEqual(len(self.granted_ms), 0.9 * self.serial)
        self.press(20.0, 20_000.0)
        for name in ("e0", "e1", "e2"):
            self.assertLessEqual(self.most_in_window(name), 10)

    def test_limit_ends_with_an_announcement_without_it(self) -> None:
        self.announce(e0=1.0)
        self.press(10.0, 5_000.0)
        self.assertGreater(len(self.open), 30)
        self.announce(e0=0.0)
        self.press(10.0, 1_000.0)
        self.assertEqual(self.open, set())

    def test_restart_of_the_target_begins_its_limit_anew(self) -> None:
        self.announce(e0=1.0)
        self.press(10.0, 5_000.0)
        self.driver.announce("e0", incarnation="i2", requests_per_s=5.0)
        before = len(self.granted_ms)
        self.press(10.0, 4_000.0)
        self.assertGreaterEqual(len(self.granted_ms) - before, 0.9 * 5.0 * 4.0)
        self.assertEqual(len(self.driver.scheduler.registry.limits.at_limit), 1)
        self.driver.announce("e0", incarnation="i3")
        self.assertEqual(self.driver.scheduler.registry.limits.at_limit, set())
