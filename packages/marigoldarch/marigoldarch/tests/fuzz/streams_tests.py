"""Fuzzing of the stream check with late, mixed-up, repeated and missing frames."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from marigoldarch.entry.stream import Frame, StreamCheck
from marigoldarch.exceptions import StreamError
from marigoldarch.tests.fuzz.machine import CI_SETTINGS

PERMIT = "7-1"


class StreamMachine(RuleBasedStateMachine):
    """Frames reach a node in any order; it must pass on the tokens of one answer, each once.

    The answer is a sequence of token numbers. The oracle is the list of numbers passed on: they are
    consecutive from the attempt's offset on, and the stream ends only with the last of the answer.
    """

    @initialize(length=st.integers(1, 8), offset=st.integers(0, 8), attempt=st.integers(1, 3))
    def begin(self, length: int, offset: int, attempt: int) -> None:
        """Begin an attempt that continues the answer at an offset."""
        self.length = length
        self.offset = min(offset, length - 1)
        self.attempt = attempt
        self.stream_check = StreamCheck(PERMIT, attempt, self.offset)
        self.passed_on = list(range(self.offset))
        self.is_failed = False

    @rule()
    def send_next(self) -> None:
        """Send the next frame of the answer."""
        self._send(PERMIT, self.attempt, len(self.passed_on), 1)

    @rule(offset=st.integers(0, 8), tokens=st.integers(1, 3))
    def send_any(self, offset: int, tokens: int) -> None:
        """Send a frame of this attempt that may be early or late, and hold up to three tokens."""
        self._send(PERMIT, self.attempt, offset, tokens)

    @rule(attempt=st.integers(1, 4), offset=st.integers(0, 8))
    def send_of_other_attempt(self, attempt: int, offset: int) -> None:
        """Send a frame that may belong to another attempt."""
        self._send(PERMIT, attempt, offset, 1)

    @rule(offset=st.integers(0, 8))
    def send_of_other_permit(self, offset: int) -> None:
        """Send a frame of the answer to another request."""
        self._send("7-2", self.attempt, offset, 1)

    def _send(self, permit: str, attempt: int, offset: int, tokens: int) -> None:
        if self.is_failed or offset >= self.length:
            return
        tokens = min(tokens, self.length - offset)
        is_end = offset + tokens == self.length
        frame = Frame(permit, attempt, offset, "", tokens, is_end)
        try:
            is_accepted = self.stream_check.accept(frame)
        except StreamError:
            self.is_failed = True
            return
        if is_accepted:
            is_own = (permit, attempt) == (PERMIT, self.attempt)
            assert is_own, f"a frame of another answer was passed on: {frame}"
            self.passed_on.extend(range(offset, offset + tokens))
        expected = list(range(len(self.passed_on)))
        assert self.passed_on == expected, f"the caller received {self.passed_on}"
        if self.stream_check.is_ended:
            is_complete = len(self.passed_on) == self.length
            assert is_complete, f"{self.passed_on} was accepted as the complete answer"


class StreamFuzzTests(unittest.TestCase):
    """The stream check, without and with injected faults."""

    def test_only_frames_of_the_answer_are_passed_on_and_all_of_them(self) -> None:
        run_state_machine_as_test(StreamMachine, settings=CI_SETTINGS)

    def find_violation(self, accept: object) -> str:
        """Fuzz with a faulty `StreamCheck.accept`; return the text of the failed check, or ""."""
        with patch.object(StreamCheck, "accept", accept):
            try:
                run_state_machine_as_test(StreamMachine, settings=CI_SETTINGS)
            except AssertionError as violation:
                return str(violation)
        return ""

    def test_accepting_frames_of_other_answers_is_caught(self) -> None:
        original = StreamCheck.accept

        def accept_any_answer(check: StreamCheck, frame: Frame) -> bool:
            return original(check, frame._replace(permit=check._permit, attempt=check._attempt))

        self.assertIn("another answer", self.find_violation(accept_any_answer))

    def test_accepting_repeated_frames_is_caught(self) -> None:
        def accept_repeated(check: StreamCheck, frame: Frame) -> bool:
            if (frame.permit, frame.attempt) != (check._permit, check._attempt):
                return False
            if check._is_ended or frame.offset > check._offset:
                return False
            check._offset = frame.offset + frame.tokens
            check._is_ended = frame.is_end
            return True

        self.assertIn("the caller received", self.find_violation(accept_repeated))

    def test_skipping_missing_frames_is_caught(self) -> None:
        def accept_later(check: StreamCheck, frame: Frame) -> bool:
            if (frame.permit, frame.attempt) != (check._permit, check._attempt):
                return False
            if check._is_ended or frame.offset < check._offset:
                return False
            check._offset = frame.offset + frame.tokens
            check._is_ended = frame.is_end
            return True

        self.assertIn("the caller received", self.find_violation(accept_later))

    def test_ending_without_the_last_token_is_caught(self) -> None:
        original = StreamCheck.accept

        def end_early(check: StreamCheck, frame: Frame) -> bool:
            is_accepted = original(check, frame)
            check._is_ended = check._is_ended or is_accepted
            return is_accepted

        self.assertIn("accepted as the complete answer", self.find_violation(end_early))
