"""Nodes of each role are killed, stopped and restarted under load."""

from __future__ import annotations

import signal
import time
import unittest

from marigoldarch.codec import encode_json
from marigoldarch_fakes.caller import CallOutcome
from marigoldarch_fakes.tests.process.support import DECLARATION, KEY, ProcessCase

LONGER_THAN_A_LEASE_S = 4.0


class KillTests(ProcessCase):
    """A `kill -9` of one node under load, and its restart."""

    def lose(self, name: str) -> None:
        """Kill a node under load, go on without it, and start it again."""
        load = self.start_load()
        self.kill(name)
        self.wait_for_answers(load, 12)
        self.cluster.start_node(name)
        self.wait_until("the node is back", lambda: self.is_ready(name))
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)
        self.assertGreaterEqual(self.status(name)["revision"], self.revision)

    def test_loss_of_the_leader(self) -> None:
        self.lose(self.leader())

    def test_loss_of_the_scheduler(self) -> None:
        self.lose(self.scheduler())

    def test_loss_of_an_entry(self) -> None:
        others = set(self.cluster.nodes) - {self.leader(), self.scheduler()}
        self.lose(min(others))


class TwoNodesLostTests(ProcessCase):
    """Two of three voters are lost together."""

    def test_rest_refuses_as_not_run_and_all_is_there_after_the_restart(self) -> None:
        load = self.start_load()
        last = self.scheduler()
        others = [name for name in self.cluster.nodes if name != last]
        for name in others:
            self.kill(name)
        self.wait_until("the rest gives up its lease", lambda: not self.is_ready(last))
        address = self.address(last)
        status, body = self.request("POST", address, "/v1/services/gradebook/post", {})
        self.assertNotEqual(status, 200)
        self.assertEqual(body["error"]["run"], "not_run")
        for name in others:
            self.cluster.start_node(name)
        self.wait_until("all are back", self.all_ready)
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)
        second = self.apply(DECLARATION, "c2", self.revision)
        self.assertEqual(second["status"], "in_force")
        self.assertEqual(self.apply(DECLARATION, "c1", 0)["revision"], self.revision)


class StoppedLeaderTests(ProcessCase):
    """The leader's process is stopped for longer than its lease, and then goes on."""

    def test_stopped_leader_never_acts_on_a_revision_that_was_replaced(self) -> None:
        load = self.start_load()
        leader = self.leader()
        other = next(name for name in self.cluster.nodes if name != leader)
        self.signal(leader, signal.SIGSTOP)
        without_binder = {**DECLARATION, "kinds": {"quiz": DECLARATION["kinds"]["quiz"]}}
        answer = self.apply(without_binder, "c2", self.revision, other)
        self.assertEqual(answer["status"], "in_force")
        time.sleep(LONGER_THAN_A_LEASE_S)
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
        self.wait_until("the old leader is back", lambda: self.is_ready(leader))
        self.assertGreaterEqual(self.status(leader)["revision"], answer["revision"])
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)


class CutHostTests(ProcessCase):
    """The scheduler's host is cut off without a sign, here by stopping its process."""

    def test_pool_goes_to_another_node_and_the_old_one_grants_no_more(self) -> None:
        load = self.start_load()
        old = self.scheduler()
        fence = self.pools()["dc1/coach"]["fence"]
        self.signal(old, signal.SIGSTOP)
        rest = [name for name in self.cluster.nodes if name != old]

        def is_replaced() -> bool:
            return self.status(rest[0]).get("pools", {})["dc1/coach"]["fence"] > fence

        self.wait_until("the pool has another scheduler", is_replaced)
        self.wait_for_answers(load, 8)
        self.signal(old, signal.SIGCONT)
        self.wait_until("the old one is back", lambda: self.is_ready(old))
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)


class RollingRestartTests(ProcessCase):
    """All nodes are stopped gracefully and started again, one after the other, under load."""

    def test_no_request_is_cut_and_none_is_refused_in_the_end(self) -> None:
        load = self.start_load()
        for name in list(self.cluster.nodes):
            process = self.cluster.nodes[name].process
            self.signal(name, signal.SIGTERM)
            self.wait_until("the node has stopped", lambda process=process: process.poll() == 0)
            self.cluster.start_node(name)
            self.wait_until("the node is back", lambda name=name: self.is_ready(name))
        self.wait_for_answers(load, 4)
        self.check_outcomes(load)
        bad = [item for item in load.sent if item.result.outcome is not CallOutcome.ANSWERED]
        self.assertEqual(bad, [])


if __name__ == "__main__":
    unittest.main()
