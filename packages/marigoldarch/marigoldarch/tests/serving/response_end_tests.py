"""Tests of the decision whether a response that ended with its connection is complete."""

from __future__ import annotations

import itertools
import unittest

from marigoldarch.serving.response_end import ConnectionEnd, EndVerdict, ListenerState, judge_end

REFUSES, UNKNOWN = ListenerState.REFUSES, ListenerState.UNKNOWN
BOTH = (False, True)


class EndOfRunningTargetTests(unittest.TestCase):
    """Targets that have not said that they leave, or that still listen."""

    def test_response_of_a_target_that_listens_is_complete(self) -> None:
        for flags in itertools.product(BOTH, repeat=5):
            end = ConnectionEnd(ListenerState.LISTENS, *flags)
            self.assertEqual(judge_end(end), EndVerdict.COMPLETE)

    def test_response_of_a_target_that_refuses_is_broken_off(self) -> None:
        for is_stream, may_repeat in itertools.product(BOTH, BOTH):
            end = ConnectionEnd(REFUSES, is_stream=is_stream, may_repeat=may_repeat)
            self.assertEqual(judge_end(end), EndVerdict.BROKEN_OFF)

    def test_lost_packet_of_the_check_does_not_cut_a_response(self) -> None:
        self.assertEqual(judge_end(ConnectionEnd(UNKNOWN)), EndVerdict.COMPLETE)


class EndOfLeavingTargetTests(unittest.TestCase):
    """Load pattern: targets are gone two seconds after they have said that they leave."""

    def judge(self, listener: ListenerState = REFUSES, **known: bool) -> EndVerdict:
        """Return the verdict on a response of a target that leaves."""
        return judge_end(ConnectionEnd(listener, is_leaving=True, **known))

    def test_stream_goes_on_at_another_target_even_if_its_own_one_has_departed(self) -> None:
        """A target may give its streams up when it departs."""
        for listener, has_departed in itertools.product((REFUSES, UNKNOWN), BOTH):
            verdict = self.judge(
                listener, is_stream=True, may_repeat=True, has_departed=has_departed
            )
            self.assertEqual(verdict, EndVerdict.BROKEN_OFF)

    def test_stream_with_all_tokens_is_complete(self) -> None:
        for may_repeat in BOTH:
            verdict = self.judge(is_stream=True, may_repeat=may_repeat, has_all_tokens=True)
            self.assertEqual(verdict, EndVerdict.COMPLETE)

    def test_calls_and_streams_that_may_not_be_resumed_depend_on_the_departure(self) -> None:
        for known in ({"may_repeat": True}, {}, {"is_stream": True}):
            self.assertEqual(self.judge(**known), EndVerdict.AWAITS_DEPARTURE)
            self.assertEqual(self.judge(**known, has_departed=True), EndVerdict.COMPLETE)

    def test_lost_packet_of_the_check_does_not_fail_a_request_that_may_not_be_repeated(
        self,
    ) -> None:
        self.assertEqual(self.judge(UNKNOWN), EndVerdict.COMPLETE)
        self.assertEqual(self.judge(UNKNOWN, may_repeat=True), EndVerdict.AWAITS_DEPARTURE)
