"""Tests that a cluster survives a second loss right after a lost replica was replaced."""

from __future__ import annotations

from marigoldarch_fakes.tests.process.support import DECLARATION, ProcessCase

REPAIR_WAIT_MS = 5000.0


class SecondLossTests(ProcessCase):
    """Three voters, and a fourth node with an empty data folder as the replacement."""

    node_count = 4

    def test_second_loss_right_after_a_repair_loses_no_change(self) -> None:
        self.kill("n4")
        self.cluster.start_node("n4", f"--data-folder={self.folder / 'n4'}")
        self.wait_until("n4 is ready", lambda: self.is_ready("n4"))
        load = self.start_load()
        leader = self.leader()
        lost, second_lost = [name for name in ("n1", "n2", "n3") if name != leader]
        self.kill(lost)
        body = {"lost": lost, "replacement": "n4", "wait_ms": REPAIR_WAIT_MS}

        def is_repair_done() -> bool:
            address = self.address(leader)
            status, answer = self.request("POST", address, "/v1/operator/repair", body)
            return status == 200 and answer["status"] == "done"

        self.wait_until("the repair is done", is_repair_done)
        answer = self.apply(DECLARATION, "c2", self.revision, leader)
        self.assertEqual(answer["status"], "in_force")
        self.kill(second_lost)
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)
        third_change = self.apply(DECLARATION, "c3", answer["revision"], "n4")
        self.assertEqual(third_change["status"], "in_force")
        repeated = self.apply(DECLARATION, "c2", self.revision, "n4")
        self.assertEqual(repeated["revision"], answer["revision"])
