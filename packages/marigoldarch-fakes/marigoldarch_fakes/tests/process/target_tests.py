"""Tests of engines that hang, leave or die while they run requests."""

from __future__ import annotations

import time

import trio

from marigoldarch_fakes.caller import Caller, CallOutcome, CallResult
from marigoldarch_fakes.tests.process.support import ANSWER_TOKENS, KEY, ProcessCase

DRAIN_S = 3.0


class TargetTests(ProcessCase):
    """A cluster with two engines, which hang, or of which one leaves or dies."""

    def prompt(self, deadline_ms: int = 10_000) -> CallResult:
        """Send one prompt."""
        headers = {"x-marigoldarch-deadline-ms": str(deadline_ms)}

        async def send() -> CallResult:
            caller = Caller(self.cluster.caller_addresses, KEY, "dc1")
            return await caller.prompt("coach", "quiz", "Is it?", ANSWER_TOKENS, headers)

        return trio.run(send)

    def holdings(self) -> list[str]:
        """Return the permits that the engines hold."""
        answers = [self.request("GET", address, "/v1/holdings")[1] for address in self.engines]
        return [permit for answer in answers for permit in answer["holdings"]]

    def test_hanging_stream_ends_at_its_deadline_and_frees_engine_memory(self) -> None:
        for address in self.engines:
            self.request("POST", address, "/fault/show/hang?count=1")
        result = self.prompt(deadline_ms=2000)
        self.assertIs(result.outcome, CallOutcome.FAILED)
        self.assertLess(result.tokens, ANSWER_TOKENS)
        self.wait_until("the engines hold nothing", lambda: not self.holdings())
        for address in self.engines:
            self.request("POST", address, "/fault/clear")
        self.assertIs(self.prompt().outcome, CallOutcome.ANSWERED)

    def test_leaving_engine_gets_no_new_work_and_no_request_fails(self) -> None:
        load = self.start_load()
        leaving = self.engines[0]
        self.request("POST", leaving, "/fault/leave")
        time.sleep(DRAIN_S)
        for _ in range(20):
            held = self.request("GET", leaving, "/v1/holdings")[1]["holdings"]
            self.assertEqual(held, [])
            time.sleep(0.05)
        self.check_outcomes(load)
        prompts = [item.result for item in load.sent if not item.key]
        outcomes = {result.outcome for result in prompts}
        self.assertEqual(outcomes, {CallOutcome.ANSWERED})

    def test_no_outcome_is_unknown_after_the_death_of_an_engine(self) -> None:
        load = self.start_load()
        self.request("POST", self.engines[0], "/fault/die")
        self.wait_for_answers(load, 20)
        self.check_outcomes(load)
        for item in load.sent:
            self.assertIsNot(item.result.outcome, CallOutcome.UNKNOWN)
