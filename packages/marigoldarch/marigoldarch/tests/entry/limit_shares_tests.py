"""Tests of what entries do with their shares."""

from __future__ import annotations

import unittest

from marigoldarch.entry.limit_keeper import LimitKeeper
from marigoldarch.entry.limit_shares import Claim, LimitShares
from marigoldarch.entry.limits import Limit
from marigoldarch.settings import EntrySettings
from marigoldarch.tests.entry.support import SUBJECT, need

SETTINGS = EntrySettings()


class LimitSharesTests(unittest.TestCase):
    """What an entry does with what it was lent."""

    def setUp(self) -> None:
        self.shares = LimitShares(SETTINGS)
        self.limits = {SUBJECT: Limit(10.0, 0.0, 2)}
        self.claim = Claim("r1", (SUBJECT,), 10, 0.0)

    def borrow(self, keeper: LimitKeeper, now_ms: float) -> None:
        """Ask the keeper and take its answer."""
        needs = self.shares.needs(now_ms)
        number = self.shares.ask("k", list(needs.values()), now_ms)
        lent = [keeper.lend("n1", item, self.limits[SUBJECT], now_ms) for item in needs.values()]
        self.shares.take_answer("k", number, lent, now_ms)

    def test_share_that_was_lent_is_used_once(self) -> None:
        self.assertFalse(self.shares.try_take(self.claim, self.limits, 0.0))
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        self.assertTrue(self.shares.try_take(self.claim, self.limits, 0.0))
        self.assertFalse(self.shares.try_take(self.claim, self.limits, 0.0))

    def test_stale_share_is_not_used(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        late_ms = SETTINGS.limit_lease_ms + 1.0
        self.assertFalse(self.shares.try_take(self.claim, self.limits, late_ms))

    def test_repeated_answer_adds_nothing(self) -> None:
        keeper = LimitKeeper("k", SETTINGS)
        self.shares.wait(self.claim)
        number = self.shares.ask("k", [need(1.0, slots=1)], 0.0)
        lent = [keeper.lend("n1", need(1.0, slots=1), self.limits[SUBJECT], 0.0)]
        self.shares.take_answer("k", number, lent, 0.0)
        self.shares.take_answer("k", number, lent, 0.0)
        self.assertTrue(self.shares.try_take(self.claim, self.limits, 0.0))
        other = Claim("r2", (SUBJECT,), 10, 0.0)
        self.assertFalse(self.shares.try_take(other, self.limits, 0.0))

    def test_slots_in_use_are_asked_for_again_before_they_expire(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        self.shares.try_take(self.claim, self.limits, 0.0)
        self.assertEqual(self.shares.needs(100.0), {})
        renewal = self.shares.needs(SETTINGS.slot_lease_ms / 2.0)
        self.assertEqual(renewal[SUBJECT].slots, 1)

    def test_withdrawn_claim_tells_whether_it_took_anything(self) -> None:
        self.shares.wait(self.claim)
        self.assertTrue(self.shares.withdraw("r1"))
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        self.shares.try_take(self.claim, self.limits, 0.0)
        self.assertFalse(self.shares.withdraw("r1"))

    def test_unused_slots_are_given_up_when_the_keeper_changes(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        self.shares.try_take(self.claim, self.limits, 0.0)
        self.shares.give_back((SUBJECT,))
        self.assertEqual(self.shares.move(lambda _: "other"), [])
        unlimited_rate = {SUBJECT: Limit(0.0, 0.0, 2)}
        self.assertFalse(self.shares.try_take(self.claim, unlimited_rate, 0.0))

    def test_slots_in_use_are_shown_to_a_new_keeper(self) -> None:
        self.shares.wait(self.claim)
        self.borrow(LimitKeeper("k", SETTINGS), 0.0)
        self.shares.try_take(self.claim, self.limits, 0.0)
        (moved,) = self.shares.move(lambda _: "other")
        self.assertEqual((moved.slots, moved.used_slots), (1, 1))
