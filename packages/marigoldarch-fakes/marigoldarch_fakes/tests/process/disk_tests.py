"""Tests of a voter whose disk is full, or whose log is damaged, cut off or far behind."""

from __future__ import annotations

import resource
import threading

from marigoldarch_fakes.tests.process.support import DECLARATION, ProcessCase

CHANGE_COUNT = 300
THREAD_COUNT = 10


class DiskTests(ProcessCase):
    """One follower's data folder fails while the other nodes continue to serve."""

    def setUp(self) -> None:
        super().setUp()
        leader = self.leader()
        self.follower = next(name for name in self.cluster.nodes if name != leader)
        self.other_follower = next(
            name for name in self.cluster.nodes if name not in (leader, self.follower)
        )
        self.log = self.folder / self.follower / "log"

    def wait_for_exit_with(self, text: str) -> None:
        """Wait until the follower exits with status 1 and `text` in its log."""
        process = self.cluster.nodes[self.follower].process
        self.wait_until("the follower exits", lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 1)
        self.assertIn(text, (self.folder / f"{self.follower}.log").read_text())

    def test_full_disk_stops_the_replica_without_data_loss(self) -> None:
        load = self.start_load()
        process = self.cluster.nodes[self.follower].process
        size = self.log.stat().st_size + 100
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, size))
        self.wait_for_exit_with("disk is full")
        self.wait_for_answers(load, 8)
        answer = self.apply(DECLARATION, "c2", self.revision, self.other_follower)
        self.assertEqual(answer["status"], "in_force")
        self.cluster.start_node(self.follower)
        self.wait_until("the replica is ready again", lambda: self.is_ready(self.follower))
        self.assertGreaterEqual(self.status(self.follower)["revision"], answer["revision"])
        self.check_outcomes(load)

    def test_damaged_record_stops_the_replica_and_the_others_serve(self) -> None:
        load = self.start_load()
        self.kill(self.follower)
        data = bytearray(self.log.read_bytes())
        data[20] ^= 0xFF
        self.log.write_bytes(bytes(data))
        self.cluster.start_node(self.follower)
        self.wait_for_exit_with("damaged record")
        self.assertEqual(self.log.read_bytes(), bytes(data))
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)

    def test_incomplete_last_record_is_truncated_and_the_replica_rejoins(self) -> None:
        self.kill(self.follower)
        with self.log.open("ab") as file:
            file.write(b"\x40\x00\x00\x00torn")
        self.cluster.start_node(self.follower)
        self.wait_until("the replica is ready again", lambda: self.is_ready(self.follower))
        self.assertGreaterEqual(self.status(self.follower)["revision"], self.revision)

    def test_restarted_replica_catches_up_on_hundreds_of_changes(self) -> None:
        self.kill(self.follower)
        revisions: list[int] = []

        def apply_changes(first_change: int) -> None:
            for number in range(first_change, CHANGE_COUNT, THREAD_COUNT):
                declaration = {"team": f"team-{number}"}
                answer = self.apply(declaration, f"many-{number}", 0, self.other_follower)
                revisions.append(answer["revision"])

        threads = [
            threading.Thread(target=apply_changes, args=(first_change,))
            for first_change in range(THREAD_COUNT)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(set(revisions)), CHANGE_COUNT)
        self.cluster.start_node(self.follower)
        self.wait_until(
            "the replica catches up",
            lambda: self.status(self.follower).get("revision", 0) >= max(revisions),
        )
        view = self.request("GET", self.address(self.follower), "/v1/operator/view")[1]
        self.assertEqual(len(view["teams"]), CHANGE_COUNT + 1)


class FaultyDiskTests(DiskTests):
    """The nodes truncate a damaged record as if it were an incomplete write.

    Shows that the test of the damaged record detects this fault: the log gets shorter.
    """

    fault = "cut-damage"

    test_full_disk_stops_the_replica_without_data_loss = None
    test_incomplete_last_record_is_truncated_and_the_replica_rejoins = None
    test_restarted_replica_catches_up_on_hundreds_of_changes = None

    def test_damaged_record_stops_the_replica_and_the_others_serve(self) -> None:
        self.kill(self.follower)
        data = bytearray(self.log.read_bytes())
        data[20] ^= 0xFF
        self.log.write_bytes(bytes(data))
        self.cluster.start_node(self.follower)
        self.wait_until("the faulty node answers", lambda: bool(self.status(self.follower)))
        self.assertLess(self.log.stat().st_size, len(data))
