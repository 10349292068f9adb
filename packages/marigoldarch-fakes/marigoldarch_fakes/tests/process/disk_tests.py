"""A voter's disk is full, damaged, torn, or far behind; a replica is replaced."""

from __future__ import annotations

import resource
import threading

from marigoldarch_fakes.tests.process.support import DECLARATION, ProcessCase

CHANGES = 300
THREADS = 10


class DiskTests(ProcessCase):
    """One follower's data folder goes wrong; the others serve on."""

    def setUp(self) -> None:
        super().setUp()
        leader = self.leader()
        self.follower = next(name for name in self.cluster.nodes if name != leader)
        self.other = next(
            name for name in self.cluster.nodes if name not in (leader, self.follower)
        )
        self.log = self.folder / self.follower / "log"

    def wait_until_failed(self, text: str) -> None:
        """Wait until the follower has ended with a typed error that says so."""
        process = self.cluster.nodes[self.follower].process
        self.wait_until("the follower stops", lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 1)
        self.assertIn(text, (self.folder / f"{self.follower}.log").read_text())

    def test_full_disk_stops_the_replica_and_loses_nothing(self) -> None:
        load = self.start_load()
        process = self.cluster.nodes[self.follower].process
        size = self.log.stat().st_size + 100
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, size))
        self.wait_until_failed("disk is full")
        self.wait_for_answers(load, 8)
        answer = self.apply(DECLARATION, "c2", self.revision, self.other)
        self.assertEqual(answer["status"], "in_force")
        self.cluster.start_node(self.follower)
        self.wait_until("the replica is back", lambda: self.is_ready(self.follower))
        self.assertGreaterEqual(self.status(self.follower)["revision"], answer["revision"])
        self.check_outcomes(load)

    def test_damaged_record_stops_the_replica_and_the_others_serve(self) -> None:
        load = self.start_load()
        self.kill(self.follower)
        data = bytearray(self.log.read_bytes())
        data[20] ^= 0xFF
        self.log.write_bytes(bytes(data))
        self.cluster.start_node(self.follower)
        self.wait_until_failed("damaged record")
        self.assertEqual(self.log.read_bytes(), bytes(data))
        self.wait_for_answers(load, 8)
        self.check_outcomes(load)

    def test_torn_tail_is_cut_and_the_replica_rejoins(self) -> None:
        self.kill(self.follower)
        with self.log.open("ab") as file:
            file.write(b"\x40\x00\x00\x00torn")
        self.cluster.start_node(self.follower)
        self.wait_until("the replica is back", lambda: self.is_ready(self.follower))
        self.assertGreaterEqual(self.status(self.follower)["revision"], self.revision)

    def test_restart_behind_hundreds_of_changes(self) -> None:
        self.kill(self.follower)
        revisions: list[int] = []

        def change(first: int) -> None:
            for number in range(first, CHANGES, THREADS):
                declaration = {"team": f"team-{number}"}
                answer = self.apply(declaration, f"many-{number}", 0, self.other)
                revisions.append(answer["revision"])

        threads = [threading.Thread(target=change, args=(first,)) for first in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(set(revisions)), CHANGES)
        self.cluster.start_node(self.follower)
        self.wait_until(
            "the replica has caught up",
            lambda: self.status(self.follower).get("revision", 0) >= max(revisions),
        )
        view = self.request("GET", self.address(self.follower), "/v1/operator/view")[1]
        self.assertEqual(len(view["teams"]), CHANGES + 1)


class BrokenDiskTests(DiskTests):
    """Nodes that cut damage away as if it were a torn tail: the test must fail."""

    fault = "cut-damage"

    test_full_disk_stops_the_replica_and_loses_nothing = None
    test_torn_tail_is_cut_and_the_replica_rejoins = None
    test_restart_behind_hundreds_of_changes = None

    def test_damaged_record_stops_the_replica_and_the_others_serve(self) -> None:
        self.kill(self.follower)
        data = bytearray(self.log.read_bytes())
        data[20] ^= 0xFF
        self.log.write_bytes(bytes(data))
        self.cluster.start_node(self.follower)
        self.wait_until("the broken node starts", lambda: bool(self.status(self.follower)))
        self.assertLess(self.log.stat().st_size, len(data))
