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
    """A target's frames reach a node in any order; what is passed on must be the answer itself.

    The answer is the sequence of token numbers. The oracle is the list of those passed on: it grows
    one by one from the attempt's offset, and is taken for whole only with the answer's last token.
    """

    @initialize(length=st.integers(1, 8), offset=st.integers(0, 8), attempt=st.integers(1, 3))
    def begin(self, length: int, offset: int, attempt: int) -> None:
        """Begin an attempt that continues at an offset of the answer."""
        self.length = length
        self.offset = min(offset, length - 1)
        self.attempt = attempt
        self.check = StreamCheck(PERMIT, attempt, self.offset)
        self.passed = list(range(self.offset))
        self.is_failed = False

    @rule()
    def send_next(self) -> None:
        """Send the frame that is due."""
        self._send(PERMIT, self.attempt, len(self.passed), 1)

    @rule(offset=st.integers(0, 8), tokens=st.integers(1, 3))
    def send_any(self, offset: int, tokens: int) -> None:
        """Send a frame of this attempt that may be early, late, or longer than others."""
        self._send(PERMIT, self.attempt, offset, tokens)

    @rule(attempt=st.integers(1, 4), offset=st.integers(0, 8))
    def send_of_other_attempt(self, attempt: int, offset: int) -> None:
        """Send a frame that may belong to another attempt."""
        self._send(PERMIT, attempt, offset, 1)

    @rule(offset=st.integers(0, 8))
    def send_of_other_permit(self, offset: int) -> None:
        """Send a frame of somebody else's answer."""
        self._send("7-2", self.attempt, offset, 1)

    def _send(self, permit: str, attempt: int, offset: int, tokens: int) -> None:
        if self.is_failed or offset >= self.length:
            return
        tokens = min(tokens, self.length - offset)
        is_end = offset + tokens == self.length
        frame = Frame(permit, attempt, offset, "", tokens, is_end)
        try:
            is_passed = self.check.accept(frame)
        except StreamError:
            self.is_failed = True
            return
        if is_passed:
            is_own = (permit, attempt) == (PERMIT, self.attempt)
            assert is_own, f"a frame of another answer was passed on: {frame}"
            self.passed.extend(range(offset, offset + tokens))
        numbers = list(range(len(self.passed)))
        assert self.passed == numbers, f"the caller received {self.passed}"
        if self.check.is_ended:
            assert len(self.passed) == self.length, f"{self.passed} was taken for whole"


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
            is_passed = original(check, frame)
            check._is_ended = check._is_ended or is_passed
            return is_passed

        self.assertIn("taken for whole", self.find_violation(end_early))
