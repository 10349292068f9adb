"""Seeded rounds of random faults against the control state of a cluster of in-memory nodes.

An oracle checks that nothing acknowledged is lost, that no lease is held on a revision older than
one in force, that a pool has one scheduler at most, and that one request at most starts a call.

Run `python -m marigoldarch.tests.control.rounds ROUNDS FIRST_SEED` for many rounds.
"""

from __future__ import annotations

import random
from collections import Counter

from marigoldarch.clock import Millis
from marigoldarch.control.commands import COMMANDS, RESULTS, LedgerStart, LedgerStarted
from marigoldarch.effects import Effect, OperatorReply
from marigoldarch.events import DeclareRequested, RepairRequested
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import Propose, ProposeReply
from marigoldarch.settings import ControlSettings
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.rounds_command import run_rounds

ROUND_MS: Millis = 20_000.0
STEP_MS: Millis = 10.0
SYNC_MS: Millis = 30.0
POOLS = (PoolId("dc1", "coach"), PoolId("dc2", "gradebook"))
SETTINGS = ControlSettings(snapshot_entries=40, log_tail_entries=10, snapshot_piece_chars=4000)


class Round:
    """One round: load, random faults, and an oracle of what was acknowledged."""

    def __init__(self, seed: int, duration_ms: Millis = ROUND_MS) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(f"round/{seed}")
        voters = 3 if seed % 2 else 5
        self.cluster = MemoryCluster(6, voters, seed, SETTINGS)
        self.cluster.sync_delay_ms = SYNC_MS
        self.cluster.observers.append(self._record_reply)
        self.resume_due_ms: dict[str, Millis] = {}
        self.started_requests: dict[str, set[str]] = {}
        self.voters = [f"n{number}" for number in range(1, voters + 1)]
        self.names = list(self.cluster.nodes)
        self.restart_due_ms: dict[str, Millis] = {}
        self.acknowledged_revisions: dict[str, int] = {}
        self.highest_in_force = 0
        self.last_revisions: dict[tuple[str, str], int] = {}
        self.faults: Counter[str] = Counter()
        self.repairing_node = ""
        self.repair_request_ids: set[str] = set()
        self.load_serial = 0

    def run(self) -> None:
        """Run the round; raise `AssertionError` if an invariant of the oracle is violated."""
        self._advance(4000.0)
        for pool in POOLS:
            self.cluster.nodes["n6"].state.control.member.want_pool(pool)
        end_ms = self.cluster.now_ms + self.duration_ms
        next_fault_ms = self.cluster.now_ms + 500.0
        while self.cluster.now_ms < end_ms:
            self._advance(50.0)
            self._submit_load()
            if self.cluster.now_ms >= next_fault_ms:
                next_fault_ms = self.cluster.now_ms + self.random.uniform(200.0, 2500.0)
                self._inject_fault()
        self._heal_and_verify()

    def _advance(self, duration_ms: Millis) -> None:
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            for name, due_ms in list(self.restart_due_ms.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.restart_due_ms[name]
                    self.cluster.start(name)
            for name, due_ms in list(self.resume_due_ms.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.resume_due_ms[name]
                    self.cluster.resume(name)
            self.cluster.step(STEP_MS)
            self._check_invariants()

    def _submit_load(self) -> None:
        nodes = self.cluster.running
        if not nodes:
            return
        self.load_serial += 1
        team = f"t{self.load_serial}"
        declaration = {"team": team}
        name = self.random.choice(nodes)
        now_ms = self.cluster.local_ms(name)
        event = DeclareRequested(
            now_ms, f"op-{team}", f"c{team}", "ada", team, 0, declaration, 6000.0
        )
        self.cluster.submit(name, event)
        key, request_id = f"k{self.load_serial // 3}", f"q{self.load_serial}"
        command = LedgerStart("harbor", key, "d", "n1", request_id, "s1", 0, 500)
        proposal = Propose(f"test/{key}/{request_id}", COMMANDS.to_plain(command))
        self.cluster.send_from_client(self.cluster.leader() or name, proposal)

    def _inject_fault(self) -> None:
        nodes = list(self.cluster.nodes)
        kind = self.random.choice(("kill", "cut", "one_way", "pause", "heal", "empty", "empty"))
        if not nodes or (kind == "empty" and self.repairing_node):
            kind = "heal"
        self.faults[kind] += 1
        match kind:
            case "kill":
                self._kill(self.random.choice(nodes), self.random.uniform(0.0, 3000.0))
            case "cut":
                self.cluster.cut(*self.random.sample(self.names, 2))
            case "one_way":
                self.cluster.cut_one_way(*self.random.sample(self.names, 2))
            case "pause":
                self._pause(self.random.choice(nodes), self.random.uniform(100.0, 4000.0))
            case "heal":
                self.cluster.heal()
            case "empty":
                self._empty_disk(self.random.choice(self.voters))

    def _pause(self, name: str, duration_ms: Millis) -> None:
        self.cluster.pause(name)
        self.resume_due_ms[name] = self.cluster.now_ms + duration_ms

    def _kill(self, name: str, duration_ms: Millis) -> None:
        if name in self.cluster.nodes:
            self.cluster.kill(name, self.random.randrange(4))
        self.resume_due_ms.pop(name, None)
        self.restart_due_ms[name] = self.cluster.now_ms + duration_ms

    def _empty_disk(self, name: str) -> None:
        """Empty the disk of a node; no other is emptied before its repair is done."""
        self.repairing_node = name
        self.repair_request_ids.clear()
        self._kill(name, 300.0)
        self.cluster.replace_disk(name)

    def _request_repair(self) -> None:
        running_nodes = self.cluster.running
        if not self.repairing_node or not running_nodes:
            return
        now_ms = self.cluster.now_ms
        request_id = f"rep{now_ms}"
        self.repair_request_ids.add(request_id)
        event = RepairRequested(
            now_ms, request_id, self.repairing_node, self.repairing_node, 4000.0
        )
        self.cluster.submit(self.random.choice(running_nodes), event)

    def _check_invariants(self) -> None:
        now_ms = self.cluster.now_ms
        if now_ms % 1000.0 < STEP_MS:
            self._request_repair()
        scheduler_counts: Counter[PoolId] = Counter()
        for name, node in self.cluster.nodes.items():
            member = node.state.control.member
            key = (name, node.settings.incarnation)
            previous_revision = self.last_revisions.get(key, 0)
            assert (
                member.view.revision >= previous_revision
            ), f"{name} went back from revision {previous_revision}"
            self.last_revisions[key] = member.view.revision
            if member.has_lease(now_ms):
                revision = member.view.revision
                assert (
                    revision >= self.highest_in_force
                ), f"{name} has a lease on revision {revision} < {self.highest_in_force} in force"
            scheduler_counts.update(pool for pool in POOLS if member.holds_pool(pool, now_ms))
        assert all(
            count == 1 for count in scheduler_counts.values()
        ), f"a pool has several schedulers: {scheduler_counts}"
        self._record_client_messages()
        for key, request_ids in self.started_requests.items():
            assert (
                len(request_ids) == 1
            ), f"call {key} was started by several requests: {request_ids}"

    def _record_client_messages(self) -> None:
        for _, message in self.cluster.client_messages:
            if not isinstance(message, ProposeReply):
                continue
            if isinstance(RESULTS.from_plain(message.result), LedgerStarted):
                key, request_id = message.proposal_id.split("/")[1:3]
                self.started_requests.setdefault(key, set()).add(request_id)
        self.cluster.client_messages.clear()

    def _record_reply(self, _: str, effect: Effect) -> None:
        if not isinstance(effect, OperatorReply):
            return
        status = effect.body["status"]
        if status in ("in_force", "committed") and effect.body.get("revision"):
            team = effect.request_id.removeprefix("op-")
            self.acknowledged_revisions[team] = effect.body["revision"]
        if status == "in_force":
            self.highest_in_force = max(self.highest_in_force, effect.body["revision"])
        if status == "done" and effect.request_id in self.repair_request_ids:
            self.faults["repaired"] += 1
            self.repair_request_ids.clear()
            self.repairing_node = ""

    def _heal_and_verify(self) -> None:
        self.cluster.heal()
        self.resume_due_ms = dict.fromkeys(self.resume_due_ms, self.cluster.now_ms)
        self._advance(20_000.0)
        assert self.cluster.leader() is not None, "no leader after all faults ended"
        assert not self.repairing_node, f"the repair of {self.repairing_node} did not finish"
        for name in self.voters:
            view = self.cluster.nodes[name].state.control.state_machine.view
            for team, revision in self.acknowledged_revisions.items():
                assert team in view.teams, f"acknowledged team {team} is missing on {name}"
                assert (
                    view.teams[team].revision == revision
                ), f"team {team} has another revision on {name} than acknowledged"


if __name__ == "__main__":
    run_rounds(
        Round, lambda fault_round: len(fault_round.acknowledged_revisions), "acknowledged changes"
    )
