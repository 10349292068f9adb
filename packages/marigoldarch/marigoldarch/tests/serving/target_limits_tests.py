"""Tests of the limits that targets name in their responses."""

from __future__ import annotations

import unittest

from marigoldarch.serving.target_limits import (
    DEPARTED_RETENTION_MS,
    LimitNews,
    TargetLimits,
    TargetLimitSettings,
)
from marigoldarch.serving.targets import TargetStart
from marigoldarch.tests.serving.support import target

START = TargetStart("t", 1000)


class TargetLimitsTests(unittest.TestCase):
    """When a limit begins and ends, by responses and by news of other nodes."""

    def setUp(self) -> None:
        self.limits = TargetLimits(TargetLimitSettings(0.5, 100.0))

    def test_limit_holds_until_a_later_request_is_answered_without_it(self) -> None:
        self.limits.record_response(START, 2.0, sent_ms=0.0, now_ms=10.0)
        self.assertEqual(self.limits.find(START), 2.0)
        self.limits.record_response(START, None, sent_ms=9.0, now_ms=20.0)
        self.assertEqual(self.limits.find(START), 2.0)
        self.limits.record_response(START, None, sent_ms=11.0, now_ms=21.0)
        self.assertIsNone(self.limits.find(START))

    def test_another_start_of_the_target_has_no_limit(self) -> None:
        self.limits.record_response(START, 2.0, sent_ms=0.0, now_ms=10.0)
        self.assertIsNone(self.limits.find(START._replace(born_ms=2000)))

    def test_limit_beyond_the_bounds_is_moved_to_them(self) -> None:
        for named, expected in ((1e-9, 0.5), (1e300, 100.0)):
            limits = TargetLimits(TargetLimitSettings(0.5, 100.0))
            limits.record_response(START, named, sent_ms=0.0, now_ms=10.0)
            self.assertEqual(limits.find(START), expected)

    def test_old_news_neither_ends_nor_renews_a_limit(self) -> None:
        self.limits.record_response(START, 2.0, sent_ms=0.0, now_ms=10.0)
        self.limits.record_news(LimitNews(START, None, 5.0))
        self.assertEqual(self.limits.find(START), 2.0)
        self.limits.record_news(LimitNews(START, None, 15.0))
        self.limits.record_news(LimitNews(START, 3.0, 12.0))
        self.assertIsNone(self.limits.find(START))

    def test_only_changes_are_told_to_other_nodes(self) -> None:
        self.assertIsNotNone(self.limits.record_response(START, 2.0, sent_ms=0.0, now_ms=10.0))
        self.assertIsNone(self.limits.record_response(START, 2.0, sent_ms=11.0, now_ms=12.0))
        self.assertIsNotNone(self.limits.record_response(START, 3.0, sent_ms=13.0, now_ms=14.0))
        self.assertIsNotNone(self.limits.record_response(START, None, sent_ms=15.0, now_ms=16.0))
        self.assertIsNone(self.limits.record_response(START, None, sent_ms=17.0, now_ms=18.0))

    def test_limit_of_a_departed_target_is_forgotten_after_a_while(self) -> None:
        self.limits.record_response(START, 2.0, sent_ms=0.0, now_ms=10.0)
        self.limits.forget_departed({}, 20.0)
        self.assertEqual(self.limits.find(START), 2.0)
        late_ms = 10.0 + DEPARTED_RETENTION_MS
        self.limits.forget_departed({"t": target("t", born_ms=1000)}, late_ms)
        self.assertEqual(self.limits.find(START), 2.0)
        self.limits.forget_departed({}, late_ms)
        self.assertIsNone(self.limits.find(START))
        self.assertEqual(self.limits.news_to_tell(5), [])
