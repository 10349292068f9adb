"""Tests that kill, suspend and restart nodes of each role under load."""

from __future__ import annotations

import signal
import time
import unittest

from marigoldarch.codec import encode_json
from marigoldarch_fakes.caller import CallOutcome
from marigoldarch_fakes.tests.process.support import DECLARATION, KEY, ProcessCase

LONGER_THAN_LEASE_S = 4.0


class KillTests(ProcessCase):
    """One node is killed with SIGKILL under load and restarted."""

    def kill_and_restart(self, name: str) -> None:
        """Kill a node under load, wait for answers without it, restart it and check all outcomes."""
        load = self.start_load()
        self.kill(name)
        self.wait_for_answers(load, 12)
        self.cluster.start_node(name)
        self.wait_until("the node is ready again", lambda: self.is_ready(name))
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)
        self.assertGreaterEqual(self.status(name)["revision"], self.revision)

    def test_cluster_serves_after_loss_of_the_leader(self) -> None:
        self.kill_and_restart(self.leader())

    def test_cluster_serves_after_loss_of_the_scheduler(self) -> None:
        self.kill_and_restart(self.scheduler())

    def test_cluster_serves_after_loss_of_an_entry(self) -> None:
        others = set(self.cluster.nodes) - {self.leader(), self.scheduler()}
        self.kill_and_restart(min(others))


class MajorityLossTests(ProcessCase):
    """Two of three voters are killed, so that no majority is left."""

    def test_survivor_refuses_as_not_run_and_no_change_is_lost(self) -> None:
        load = self.start_load()
        survivor = self.scheduler()
        others = [name for name in self.cluster.nodes if name != survivor]
        for name in others:
            self.kill(name)
        self.wait_until("the survivor loses its lease", lambda: not self.is_ready(survivor))
        address = self.address(survivor)
        status, body = self.request("POST", address, "/v1/services/gradebook/post", {})
        self.assertNotEqual(status, 200)
        self.assertEqual(body["error"]["run"], "not_run")
        for name in others:
            self.cluster.start_node(name)
        self.wait_until("all nodes are ready again", self.all_ready)
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)
        second_change = self.apply(DECLARATION, "c2", self.revision)
        self.assertEqual(second_change["status"], "in_force")
        self.assertEqual(self.apply(DECLARATION, "c1", 0)["revision"], self.revision)


class SuspendedLeaderTests(ProcessCase):
    """The leader's process is suspended for longer than its lease and then resumed."""

    def test_resumed_leader_does_not_act_on_a_replaced_revision(self) -> None:
        load = self.start_load()
        leader = self.leader()
        other = next(name for name in self.cluster.nodes if name != leader)
        self.signal(leader, signal.SIGSTOP)
        without_binder = {**DECLARATION, "kinds": {"quiz": DECLARATION["kinds"]["quiz"]}}
        answer = self.apply(without_binder, "c2", self.revision, other)
        self.assertEqual(answer["status"], "in_force")
        time.sleep(LONGER_THAN_LEASE_S)
        self.signal(leader, signal.SIGCONT)
        body = {"model": "coach", "prompt": "x", "max_tokens": 1}
        response = self.pool.request(
            "POST",
            f"http://{self.address(leader)}/v1/completions",
            headers={
                "authorization": f"Bearer {KEY}",
                "x-marigoldarch-kind": "binder",
                "content-type": "application/json",
            },
            content=encode_json(body),
        )
        self.assertNotEqual(response.status, 200)
        self.assertIn(b"not_run", response.content)
        self.wait_until("the old leader is ready again", lambda: self.is_ready(leader))
        self.assertGreaterEqual(self.status(leader)["revision"], answer["revision"])
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)


class UnreachableSchedulerTests(ProcessCase):
    """The scheduler's host becomes unreachable without closing its connections.

    Suspending the node's process has this effect.
    """

    def test_pool_moves_to_another_node_and_the_old_one_stops_granting(self) -> None:
        load = self.start_load()
        old_scheduler = self.scheduler()
        fence = self.pools()["dc1/coach"]["fence"]
        self.signal(old_scheduler, signal.SIGSTOP)
        other_nodes = [name for name in self.cluster.nodes if name != old_scheduler]

        def has_new_scheduler() -> bool:
            return self.status(other_nodes[0]).get("pools", {})["dc1/coach"]["fence"] > fence

        self.wait_until("the pool has a new scheduler", has_new_scheduler)
        self.wait_for_answers(load, 8)
        self.signal(old_scheduler, signal.SIGCONT)
        self.wait_until(
            "the old scheduler's node is ready again", lambda: self.is_ready(old_scheduler)
        )
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)


class RollingRestartTests(ProcessCase):
    """All nodes are stopped gracefully and restarted, one after the other, under load."""

    def test_every_request_is_answered(self) -> None:
        load = self.start_load()
        for name in list(self.cluster.nodes):
            process = self.cluster.nodes[name].process
            self.signal(name, signal.SIGTERM)
            self.wait_until(
                "the node exits with status 0", lambda process=process: process.poll() == 0
            )
            self.cluster.start_node(name)
            self.wait_until("the node is ready again", lambda name=name: self.is_ready(name))
        self.wait_for_answers(load, 4)
        self.check_outcomes(load)
        unanswered = [item for item in load.sent if item.result.outcome is not CallOutcome.ANSWERED]
        self.assertEqual(unanswered, [])


if __name__ == "__main__":
    unittest.main()
