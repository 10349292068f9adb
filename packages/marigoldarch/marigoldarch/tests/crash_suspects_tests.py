"""Tests of the decision which parts of prompts crash targets."""

from __future__ import annotations

import unittest

from marigoldarch.crash_suspects import (
    MAX_PARTS_PER_CRASH,
    CrashSuspects,
    SuspectSettings,
    TargetCrash,
)

SETTINGS = SuspectSettings()
FAULTY = "faulty"
OTHER_FAULTY = "other-faulty"
SHARED = "shared"
REPEATED = "request:1"


def crash(number: int, at_ms: float, *parts: str, sent_ms: float | None = None) -> TargetCrash:
    """Return the crash of target `number`."""
    return TargetCrash((number, 1_000), at_ms, parts, sent_ms)


class CrashSuspectsCase(unittest.TestCase):
    """A node with the default settings; crashes are recorded at full seconds."""

    def setUp(self) -> None:
        self.suspects = CrashSuspects(SETTINGS)

    def record_crashes(self, first: int, last: int, *parts: str) -> None:
        """Let targets `first` to `last` crash, one a second."""
        for number in range(first, last + 1):
            self.suspects.record_crash(crash(number, number * 1000.0, *parts))

    def is_refused(self, now_ms: float, *parts: str) -> bool:
        """Return whether a request with these parts is refused."""
        return self.suspects.find_quarantine(parts, now_ms) is not None


class FaultyPartTests(CrashSuspectsCase):
    """Load pattern: each target that begins to answer a request with one part crashes."""

    def test_part_is_quarantined_after_crashes_at_three_moments(self) -> None:
        self.record_crashes(1, 2, SHARED, FAULTY)
        self.assertFalse(self.is_refused(2500.0, SHARED, FAULTY))
        quarantined = self.suspects.record_crash(crash(3, 3000.0, SHARED, FAULTY))
        self.assertEqual(set(quarantined), {SHARED, FAULTY})
        found = self.suspects.find_quarantine((SHARED, FAULTY), 3000.0)
        self.assertEqual((found.crashes, found.left_ms), (3, SETTINGS.quarantine_ms))

    def test_sound_requests_that_share_other_parts_are_sent(self) -> None:
        self.record_crashes(1, 5, SHARED, FAULTY)
        self.assertFalse(self.is_refused(5000.0, SHARED))
        self.assertFalse(self.is_refused(5000.0, SHARED, "sound"))
        self.assertTrue(self.is_refused(5000.0, SHARED, FAULTY))

    def test_answer_with_a_shared_part_acquits_it_and_not_the_faulty_one(self) -> None:
        self.record_crashes(1, 5, SHARED, FAULTY)
        self.assertEqual(self.suspects.record_answer((SHARED, "sound"), 5500.0), (SHARED,))
        self.assertEqual(self.suspects.count, 1)
        self.assertTrue(self.is_refused(6000.0, SHARED, FAULTY))

    def test_parts_that_always_come_together_do_not_excuse_each_other(self) -> None:
        self.record_crashes(1, 3, SHARED, FAULTY, "companion")
        self.assertTrue(self.is_refused(3500.0, SHARED, FAULTY, "companion"))
        self.suspects.record_answer((SHARED, "companion"), 3600.0)
        self.assertTrue(self.is_refused(4000.0, FAULTY))

    def test_requests_that_ran_beside_are_sent(self) -> None:
        for number in range(1, 6):
            parts = (FAULTY, f"beside-{number}", "beside")
            self.suspects.record_crash(crash(number, number * 1000.0, *parts))
        self.assertFalse(self.is_refused(6000.0, "beside", "beside-3"))

    def test_request_that_crashed_targets_at_two_moments_is_not_sent_to_a_third(self) -> None:
        self.record_crashes(1, 1, SHARED, FAULTY)
        self.assertTrue(self.suspects.may_retry((SHARED, FAULTY), 1000.0))
        self.record_crashes(2, 2, SHARED, FAULTY)
        self.assertFalse(self.suspects.may_retry((SHARED, FAULTY), 2000.0))
        self.assertTrue(self.suspects.may_retry((SHARED, "beside"), 2000.0))

    def test_popular_part_never_answered_yet_lets_few_requests_through(self) -> None:
        """Guards against requests that are sent on and on as a shared part explains each crash."""
        self.record_crashes(1, 4, SHARED, FAULTY)
        sent = 0
        for number in range(5, 30):
            if not self.is_refused(number * 1000.0, FAULTY):
                sent += 1
                self.record_crashes(number, number, FAULTY)
        self.assertLessEqual(sent, SETTINGS.retry_crash_limit)

    def test_repeated_report_of_a_crash_counts_once(self) -> None:
        for _ in range(5):
            self.record_crashes(1, 2, FAULTY)
        self.assertFalse(self.is_refused(3000.0, FAULTY))

    def test_crash_reported_by_two_nodes_accuses_the_parts_of_both(self) -> None:
        self.record_crashes(1, 3, "beside")
        self.record_crashes(1, 3, FAULTY)
        self.assertFalse(self.is_refused(3500.0, "beside"))
        self.assertTrue(self.is_refused(3500.0, FAULTY, "beside"))


class SeveralCausesTests(CrashSuspectsCase):
    """Load pattern: sound requests run beside crashes of more than one cause, and none is answered."""

    def test_sound_part_beside_two_faulty_ones_is_sent(self) -> None:
        """Guards against sound requests that are refused as no one part explains all crashes."""
        self.record_crashes(1, 4, SHARED, FAULTY)
        self.record_crashes(5, 8, SHARED, OTHER_FAULTY)
        self.assertFalse(self.is_refused(8500.0, SHARED))
        self.assertTrue(self.is_refused(8500.0, SHARED, FAULTY))
        self.assertTrue(self.is_refused(8500.0, SHARED, OTHER_FAULTY))

    def test_sound_part_beside_a_crash_whose_faulty_part_nobody_reports_is_sent(self) -> None:
        """Guards against sound requests that are refused since the entry of one crash is lost."""
        self.record_crashes(1, 5, SHARED, FAULTY)
        self.record_crashes(6, 6, SHARED)
        self.assertFalse(self.is_refused(6500.0, SHARED))
        self.record_crashes(7, 7, SHARED)
        self.assertTrue(self.is_refused(7500.0, SHARED))

    def test_sound_part_beside_two_crashes_and_one_of_another_cause_is_sent(self) -> None:
        """Guards against a customer who is refused whole, as no more crash can show the faulty part."""
        self.record_crashes(1, 2, SHARED, FAULTY)
        self.record_crashes(3, 3, SHARED, OTHER_FAULTY)
        self.assertFalse(self.is_refused(3500.0, SHARED))
        self.assertTrue(self.is_refused(3500.0, SHARED, FAULTY))

    def test_request_cut_by_crashes_of_two_faulty_parts_is_sent_again(self) -> None:
        self.record_crashes(1, 2, SHARED, FAULTY)
        self.record_crashes(3, 4, SHARED, OTHER_FAULTY)
        self.assertTrue(self.suspects.may_retry((SHARED,), 4500.0))
        self.assertFalse(self.suspects.may_retry((SHARED, FAULTY), 4500.0))

    def test_sound_part_beside_the_first_of_many_crashes_is_sent(self) -> None:
        """Guards against sound requests that are refused as the faulty part's first crashes are lost."""
        self.record_crashes(1, 4, SHARED, FAULTY)
        self.record_crashes(5, SETTINGS.max_crashes_per_part + 20, FAULTY)
        self.assertFalse(self.is_refused(100_000.0, SHARED))

    def test_parts_beside_a_faulty_one_by_turns_let_few_requests_through(self) -> None:
        """Guards against a faulty part that others explain together again and again."""
        for number in range(1, 13):
            self.record_crashes(number, number, FAULTY, f"beside-{number // 4}")
        sent = 0
        for number in range(13, 30):
            if not self.is_refused(number * 1000.0, FAULTY):
                sent += 1
                self.record_crashes(number, number, FAULTY)
        self.assertLessEqual(sent, SETTINGS.retry_crash_limit)


class RepeatedRequestTests(CrashSuspectsCase):
    """Load pattern: the first crashes all come under one request and its repeats."""

    def test_new_part_of_a_repeated_request_is_refused_in_other_requests(self) -> None:
        """Guards against a faulty part that is excused by the first request with it."""
        self.record_crashes(1, 3, REPEATED, FAULTY)
        self.assertTrue(self.is_refused(3500.0, "request:2", FAULTY))

    def test_part_that_was_answered_before_is_excused_by_a_repeated_request(self) -> None:
        """Guards against refusals of all requests that share a part with a faulty one."""
        self.suspects.record_answer(("request:3", SHARED), 500.0)
        self.record_crashes(1, 5, REPEATED, SHARED)
        self.assertTrue(self.is_refused(5500.0, REPEATED, SHARED))
        self.assertFalse(self.is_refused(5500.0, "request:2", SHARED))

    def test_sound_request_that_met_three_crashes_is_tried_again_soon(self) -> None:
        """Guards against a caller whose equal requests are refused for minutes after others' crashes."""
        self.record_crashes(1, 3, REPEATED)
        self.assertTrue(self.is_refused(4000.0, REPEATED))
        self.assertFalse(self.is_refused(3000.0 + 11_000.0, REPEATED))
        self.suspects.record_answer((REPEATED,), 14_100.0)
        self.assertFalse(self.is_refused(14_200.0, REPEATED))

    def test_refusal_tells_the_wait_for_the_part_whose_quarantine_ends_last(self) -> None:
        """Guards against a wait that depends on the order of a set, and a caller refused again after it."""
        for number in range(16):
            self.setUp()
            self.record_crashes(1, 4, f"request:{number}", SHARED, FAULTY)
            found = self.suspects.find_quarantine((f"request:{number}", SHARED, FAULTY), 4000.0)
            self.assertEqual(found.left_ms, SETTINGS.quarantine_ms - 1000.0)

    def test_faulty_request_is_tried_again_twice_within_an_hour(self) -> None:
        """Guards against trials that crash more targets than a repeated request may."""
        self.record_crashes(1, 3, REPEATED)
        trials = []
        for now_ms in range(3000, 3_600_000, 1000):
            if not self.is_refused(float(now_ms), REPEATED):
                trials.append(now_ms)
                self.suspects.record_crash(crash(now_ms, now_ms + 50.0, REPEATED))
        self.assertEqual(len(trials), 2)

    def test_answers_of_many_requests_displace_no_part(self) -> None:
        """Guards against a shared part that counts as new as only requests are remembered."""
        self.suspects.record_answer(("request:3", SHARED), 500.0)
        for number in range(SETTINGS.max_parts):
            self.suspects.record_answer((f"request:a{number}",), 600.0)
        self.record_crashes(1, 5, REPEATED, SHARED)
        self.assertFalse(self.is_refused(5500.0, "request:2", SHARED))

    def test_request_that_ran_beside_a_repeated_one_is_excused_by_it(self) -> None:
        self.record_crashes(1, 3, REPEATED, "request:2")
        self.record_crashes(4, 5, REPEATED)
        self.assertTrue(self.is_refused(5500.0, REPEATED))
        self.assertFalse(self.is_refused(5500.0, "request:2"))


class HostilePromptsTests(CrashSuspectsCase):
    """Load pattern: each request holds thousands of parts that no other request holds."""

    def make_parts(self, number: int, count: int, position: int) -> tuple[str, ...]:
        """Return parts of crash `number`: `count` of its own, with the faulty one at `position`."""
        parts = [f"{number}-{index}" for index in range(count)]
        parts.insert(position, FAULTY)
        return tuple(parts)

    def test_number_of_suspected_parts_stays_bounded(self) -> None:
        for number in range(1, 20):
            parts = self.make_parts(number, 3000, 0)
            self.suspects.record_crash(crash(number, number * 1000.0, *parts))
            self.assertLessEqual(self.suspects.count, SETTINGS.max_parts)
        for number in range(3000):
            self.suspects.acquit(f"answered-{number}", 30_000.0)
        told = self.suspects.crashes_to_tell(100)
        self.assertLessEqual(max(len(item.parts) for item in told), MAX_PARTS_PER_CRASH)

    def test_accused_part_is_not_lost_among_the_parts_of_its_own_crash(self) -> None:
        """Guards against a faulty part that is dropped for the others of the crash that accuses it."""
        self.suspects.record_crash(crash(1, 1000.0, FAULTY))
        for number in (2, 3):
            parts = self.make_parts(number, 3000, 2999)
            self.suspects.record_crash(crash(number, number * 1000.0, *parts))
        self.assertTrue(self.is_refused(3500.0, FAULTY))

    def test_faulty_part_is_found_within_few_crashes(self) -> None:
        for position in (0, 10, 500, 990):
            self.suspects = CrashSuspects(SETTINGS)
            crashes = 0
            while not self.is_refused(crashes * 1000.0, FAULTY):
                crashes += 1
                parts = self.make_parts(crashes, 1000, position)
                self.suspects.record_crash(crash(crashes, crashes * 1000.0, *parts))
                self.assertLess(crashes, 12, position)

    def test_parts_of_other_crashes_do_not_displace_a_quarantined_part(self) -> None:
        self.record_crashes(1, 3, FAULTY)
        for number in range(10, 40):
            beside = tuple(f"{number // 2}-{index}" for index in range(400))
            self.suspects.record_crash(crash(number, number * 1000.0, *beside))
        self.assertTrue(self.is_refused(45_000.0, FAULTY))


class OtherCrashesTests(CrashSuspectsCase):
    """Load pattern: targets crash for reasons of their own while popular parts run on them."""

    def test_rack_whose_targets_crash_together_quarantines_nothing(self) -> None:
        for number in range(1, 6):
            self.suspects.record_crash(crash(number, 1000.0 + number * 10, SHARED, "sound"))
        self.assertFalse(self.is_refused(1100.0, SHARED))
        self.assertTrue(self.suspects.may_retry((SHARED,), 1100.0))

    def test_crashes_with_answers_between_them_quarantine_nothing(self) -> None:
        for number in range(1, 20):
            self.record_crashes(number, number, SHARED)
            self.suspects.record_answer((SHARED,), number * 1000.0 + 500.0)
        self.assertEqual(self.suspects.count, 0)

    def test_answer_that_began_before_a_crash_acquits_of_it(self) -> None:
        self.record_crashes(1, 3, SHARED)
        self.suspects.record_answer((SHARED,), 3100.0)
        self.record_crashes(2, 2, SHARED)
        self.assertFalse(self.is_refused(3200.0, SHARED))
        self.assertEqual(self.suspects.count, 0)

    def test_late_reports_of_crashes_before_an_answer_accuse_nothing(self) -> None:
        """Guards against a node that serves a part and refuses it once it hears of old crashes."""
        self.assertEqual(self.suspects.record_answer((SHARED,), 3500.0), ())
        self.record_crashes(1, 3, SHARED)
        self.assertEqual(self.suspects.count, 0)
        self.assertEqual(self.suspects.acquittals_to_tell(5), [])
        self.record_crashes(4, 4, SHARED)
        self.assertEqual(self.suspects.count, 1)

    def test_number_of_remembered_answers_stays_bounded(self) -> None:
        for number in range(3000):
            self.suspects.record_answer((f"answered-{number}",), 1000.0)
        self.record_crashes(1, 1, *(f"answered-{number}" for number in range(3000)))
        self.assertEqual(self.suspects.count, SETTINGS.max_parts // 2)

    def test_late_report_of_an_old_answer_takes_no_newer_answer_back(self) -> None:
        self.record_crashes(1, 1, SHARED)
        self.suspects.acquit(SHARED, 5000.0)
        self.suspects.acquit(SHARED, 1500.0)
        self.record_crashes(2, 4, SHARED)
        self.assertEqual(self.suspects.count, 0)

    def test_late_report_of_an_old_answer_ends_no_quarantine(self) -> None:
        """Guards against more crashes whenever a node tells of an answer before the first one."""
        self.record_crashes(1, 4, FAULTY)
        self.suspects.acquit(FAULTY, 500.0)
        self.assertTrue(self.is_refused(4500.0, FAULTY))
        self.suspects.acquit(FAULTY, 1500.0)
        self.assertTrue(self.is_refused(4500.0, FAULTY))
        self.suspects.acquit(FAULTY, 2500.0)
        self.assertFalse(self.is_refused(4500.0, FAULTY))


class QuarantineTests(CrashSuspectsCase):
    """Load pattern: requests with a faulty part come for longer than a quarantine."""

    def test_quarantine_doubles_with_each_crash_after_it(self) -> None:
        self.record_crashes(1, 3, FAULTY)
        now_ms = 3000.0
        for number in range(4, 12):
            left_ms = self.suspects.find_quarantine((FAULTY,), now_ms).left_ms
            expected_ms = min(
                SETTINGS.quarantine_ms * 2 ** (number - 4), SETTINGS.max_quarantine_ms
            )
            self.assertEqual(left_ms, expected_ms)
            now_ms += left_ms
            self.assertFalse(self.is_refused(now_ms, FAULTY))
            now_ms += 1.0
            self.suspects.record_crash(crash(number, now_ms, FAULTY))

    def test_crashes_of_requests_under_way_do_not_extend_it(self) -> None:
        self.record_crashes(1, 3, FAULTY)
        self.record_crashes(4, 9, FAULTY)
        left_ms = self.suspects.find_quarantine((FAULTY,), 9000.0).left_ms
        self.assertEqual(left_ms, SETTINGS.quarantine_ms - 6000.0)

    def test_part_is_forgotten_after_its_quarantine(self) -> None:
        self.record_crashes(1, 3, FAULTY)
        end_ms = 3000.0 + SETTINGS.quarantine_ms + SETTINGS.memory_ms
        self.suspects.forget_old(end_ms - 1.0)
        self.assertEqual(self.suspects.count, 1)
        self.suspects.forget_old(end_ms)
        self.assertEqual(self.suspects.count, 0)

    def test_crashes_far_apart_are_forgotten_one_by_one(self) -> None:
        for number in range(1, 6):
            at_ms = number * (SETTINGS.memory_ms + 1.0)
            self.suspects.forget_old(at_ms)
            self.suspects.record_crash(crash(number, at_ms, SHARED))
            self.assertFalse(self.is_refused(at_ms, SHARED))

    def test_nodes_end_a_quarantine_at_different_times(self) -> None:
        lengths_ms = set()
        for spread in (0.0, 0.5, 1.0):
            self.suspects = CrashSuspects(SETTINGS._replace(spread=spread))
            self.record_crashes(1, 3, FAULTY)
            lengths_ms.add(round(self.suspects.find_quarantine((FAULTY,), 3000.0).left_ms))
        self.assertEqual(lengths_ms, {120_000, 126_000, 132_000})


class RestartedNodeTests(CrashSuspectsCase):
    """Load pattern: a node starts again while requests with a faulty part come."""

    def test_node_that_knows_nothing_learns_from_the_crashes_of_another(self) -> None:
        self.record_crashes(1, 5, SHARED, FAULTY)
        started = CrashSuspects(SETTINGS)
        for told in self.suspects.crashes_to_tell(5):
            started.record_crash(told)
        self.assertIsNotNone(started.find_quarantine((SHARED, FAULTY), 5000.0))
        self.assertIsNone(started.find_quarantine((SHARED,), 5000.0))

    def test_node_learns_of_quarantined_parts_first(self) -> None:
        """Guards against a node that hears only of the many targets that crashed with their rack."""
        self.record_crashes(1, 4, SHARED, FAULTY)
        for number in range(100, 120):
            self.suspects.record_crash(crash(number, 5000.0, f"beside-{number % 3}"))
        started = CrashSuspects(SETTINGS)
        for told in self.suspects.crashes_to_tell(5):
            started.record_crash(told)
        self.assertIsNotNone(started.find_quarantine((SHARED, FAULTY), 5500.0))

    def test_node_that_missed_an_answer_learns_of_it_later(self) -> None:
        """Guards against a node that alone refuses a sound part which all others serve."""
        self.record_crashes(1, 3, SHARED)
        other = CrashSuspects(SETTINGS)
        for told in self.suspects.crashes_to_tell(5):
            other.record_crash(told)
        self.suspects.record_answer((SHARED,), 3500.0)
        self.suspects.record_answer((SHARED,), 4000.0)
        self.assertIsNotNone(other.find_quarantine((SHARED,), 4500.0))
        for part, at_ms in self.suspects.acquittals_to_tell(5):
            other.acquit(part, at_ms)
        self.assertIsNone(other.find_quarantine((SHARED,), 4500.0))

    def test_newest_answers_are_told_first(self) -> None:
        for number in range(1, 10):
            self.suspects.acquit(f"answered-{number}", number * 1000.0)
        told = self.suspects.acquittals_to_tell(2)
        self.assertEqual(told, [("answered-9", 9000.0), ("answered-8", 8000.0)])

    def test_most_accused_parts_are_told_first(self) -> None:
        for number in range(1, 4):
            beside = tuple(f"beside-{number}-{index}" for index in range(50))
            self.suspects.record_crash(crash(number, number * 1000.0, *beside, FAULTY))
        told = self.suspects.crashes_to_tell(2)
        self.assertEqual([item.at_ms for item in told], [3000.0, 2000.0])
        for item in told:
            self.assertEqual(item.parts[0], FAULTY)
            self.assertEqual(len(item.parts), MAX_PARTS_PER_CRASH)


class MomentTests(CrashSuspectsCase):
    """Crashes under requests of which it is known when they were sent."""

    def test_crashes_in_quick_succession_count_each_if_their_requests_were_sent_in_turn(
        self,
    ) -> None:
        """Guards against a part whose requests and retries come faster than `moment_ms`."""
        for number in range(3):
            at_ms = 1000.0 + 10.0 * number
            self.suspects.record_crash(crash(number, at_ms, FAULTY, sent_ms=at_ms - 5.0))
        self.assertTrue(self.is_refused(1100.0, FAULTY))

    def test_rack_whose_crashes_are_noticed_over_a_second_counts_once(self) -> None:
        """Guards against sound parts whose targets lose power together."""
        for number in range(8):
            at_ms = 1000.0 + 150.0 * number
            self.suspects.record_crash(crash(number, at_ms, SHARED, sent_ms=900.0))
        self.assertFalse(self.is_refused(3000.0, SHARED))
        self.assertTrue(self.suspects.may_retry((SHARED,), 3000.0))

    def test_node_learns_when_requests_were_sent(self) -> None:
        for number in range(3):
            at_ms = 1000.0 + 150.0 * number
            self.suspects.record_crash(crash(number, at_ms, SHARED, sent_ms=900.0))
        other = CrashSuspects(SETTINGS)
        for told in sorted(self.suspects.crashes_to_tell(16), key=lambda item: item.at_ms):
            other.record_crash(told)
        self.assertIsNone(other.find_quarantine((SHARED,), 3000.0))
