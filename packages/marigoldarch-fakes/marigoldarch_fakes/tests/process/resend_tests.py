"""A posting is sent again through other nodes, also after the loss of the leader."""

from __future__ import annotations

import trio

from marigoldarch_fakes.caller import Caller, CallResult
from marigoldarch_fakes.tests.process.support import KEY, ProcessCase


class ResendTests(ProcessCase):
    """One posting under one key through every node."""

    def post(self, name: str) -> CallResult:
        """Post through one node."""

        async def send() -> CallResult:
            caller = Caller([self.address(name)], KEY)
            caller._addresses, caller._expires_at = [self.address(name)], float("inf")
            return await caller.call("gradebook", "post", {"learner": "lena"}, "cert-1")

        return trio.run(send)

    def test_posting_runs_once_through_all_nodes_and_after_the_loss_of_the_leader(self) -> None:
        first = [self.post(name) for name in self.cluster.nodes]
        self.assertEqual({result.status for result in first}, {200})
        leader = self.leader()
        self.kill(leader)
        rest = [name for name in self.cluster.nodes if name != leader]
        self.wait_until("the rest is ready", lambda: all(map(self.is_ready, rest)))
        again = [self.post(name) for name in rest]
        self.assertEqual({result.status for result in again}, {200})
        self.assertEqual(len({str(result.body) for result in [*first, *again]}), 1)
        self.assertEqual(self.executions(), ["lena"])


class BrokenResendTests(ResendTests):
    """The same with a ledger that forgets: the test must fail."""

    fault = "forget-started-calls"

    def test_posting_runs_once_through_all_nodes_and_after_the_loss_of_the_leader(self) -> None:
        with self.assertRaises(AssertionError):
            super().test_posting_runs_once_through_all_nodes_and_after_the_loss_of_the_leader()
        self.assertGreater(len(self.executions()), 1)
