"""Tests of the shares that entry nodes hold."""

from __future__ import annotations

import unittest

from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limit_shares import Claim, LimitShares
from marigoldarch.entry.limits import Limit
from marigoldarch.settings import EntrySettings
from marigoldarch.tests.entry.support import SUBJECT, need

SETTINGS = EntrySettings()


class LimitSharesTests(unittest.TestCase):
    """Shares of one subject at an entry node."""

    def setUp(self) -> None:
        self.shares = LimitShares(SETTINGS)
        self.limits = {SUBJECT: Limit(10.0, 0.0, 2)}
        self.claim = Claim("r1", (SUBJECT,), 10, 0.0)

    def borrow(self, owner: LimitOwner, now_ms: float) -> None:
        """Ask the owner for shares and apply its answer."""
        needs = self.shares.needs(now_ms)
        number = self.shares.ask("k", list(needs.values()), now_ms)
        lent = [owner.lend("n1", item, self.limits[SUBJECT], now_ms) for item in needs.values()]
        self.shares.take_answer("k", number, lent, now_ms)

    def test_lent_share_is_used_only_once(self) -> None:
        self.assertFalse(self.shares.try_acquire(self.claim, self.limits, 0.0))
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        self.assertTrue(self.shares.try_acquire(self.claim, self.limits, 0.0))
        self.assertFalse(self.shares.try_acquire(self.claim, self.limits, 0.0))

    def test_expired_share_is_not_used(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        late_ms = SETTINGS.limit_lease_ms + 1.0
        self.assertFalse(self.shares.try_acquire(self.claim, self.limits, late_ms))

    def test_repeated_answer_adds_nothing(self) -> None:
        owner = LimitOwner("k", SETTINGS)
        self.shares.wait(self.claim)
        number = self.shares.ask("k", [need(1.0, slots=1)], 0.0)
        lent = [owner.lend("n1", need(1.0, slots=1), self.limits[SUBJECT], 0.0)]
        self.shares.take_answer("k", number, lent, 0.0)
        self.shares.take_answer("k", number, lent, 0.0)
        self.assertTrue(self.shares.try_acquire(self.claim, self.limits, 0.0))
        other = Claim("r2", (SUBJECT,), 10, 0.0)
        self.assertFalse(self.shares.try_acquire(other, self.limits, 0.0))

    def test_slots_in_use_are_renewed_before_they_expire(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        self.shares.try_acquire(self.claim, self.limits, 0.0)
        self.assertEqual(self.shares.needs(100.0), {})
        renewal = self.shares.needs(SETTINGS.slot_lease_ms / 2.0)
        self.assertEqual(renewal[SUBJECT].slots, 1)

    def test_withdraw_returns_whether_the_claim_still_waited(self) -> None:
        self.shares.wait(self.claim)
        self.assertTrue(self.shares.withdraw("r1"))
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        self.shares.try_acquire(self.claim, self.limits, 0.0)
        self.assertFalse(self.shares.withdraw("r1"))

    def test_unused_slots_are_dropped_when_the_owner_changes(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        self.shares.try_acquire(self.claim, self.limits, 0.0)
        self.shares.release((SUBJECT,))
        self.assertEqual(self.shares.reassign(lambda _: "other"), [])
        unlimited_rate = {SUBJECT: Limit(0.0, 0.0, 2)}
        self.assertFalse(self.shares.try_acquire(self.claim, unlimited_rate, 0.0))

    def test_slots_in_use_are_reported_to_a_new_owner(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitOwner("k", SETTINGS), 0.0)
        self.shares.try_acquire(self.claim, self.limits, 0.0)
        (moved,) = self.shares.reassign(lambda _: "other")
        self.assertEqual((moved.slots, moved.used_slots), (1, 1))
