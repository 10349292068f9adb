"""Tests that a posting with one idempotency key runs once, however often it is sent."""

from __future__ import annotations

import trio

from marigoldarch_fakes.caller import Caller, CallResult
from marigoldarch_fakes.tests.process.support import KEY, ProcessCase


class ResendTests(ProcessCase):
    """The same posting is sent through every node, also after the loss of the leader."""

    def post(self, name: str) -> CallResult:
        """Send the posting through one node."""

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
        other_nodes = [name for name in self.cluster.nodes if name != leader]
        self.wait_until("the other nodes are ready", lambda: all(map(self.is_ready, other_nodes)))
        repeated = [self.post(name) for name in other_nodes]
        self.assertEqual({result.status for result in repeated}, {200})
        self.assertEqual(len({str(result.body) for result in [*first, *repeated]}), 1)
        self.assertEqual(self.executions(), ["lena"])


class FaultyResendTests(ResendTests):
    """The nodes' ledger forgets started calls.

    Shows that the test detects this fault: it fails, and the posting runs more than once.
    """

    fault = "forget-started-calls"

    def test_posting_runs_once_through_all_nodes_and_after_the_loss_of_the_leader(self) -> None:
        with self.assertRaises(AssertionError):
            super().test_posting_runs_once_through_all_nodes_and_after_the_loss_of_the_leader()
        self.assertGreater(len(self.executions()), 1)
