"""Seeded rounds of faults against the control state of in-memory nodes, with a simple oracle.

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
    """One round: load, faults, and an oracle of what was acknowledged."""

    def __init__(self, seed: int, duration_ms: Millis = ROUND_MS) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(f"round/{seed}")
        voters = 3 if seed % 2 else 5
        self.cluster = MemoryCluster(6, voters, seed, SETTINGS)
        self.cluster.sync_delay_ms = SYNC_MS
        self.cluster.observers.append(self._take_reply)
        self.paused: dict[str, Millis] = {}
        self.started: dict[str, set[str]] = {}
        self.voters = [f"n{number}" for number in range(1, voters + 1)]
        self.names = list(self.cluster.nodes)
        self.down: dict[str, Millis] = {}
        self.acknowledged: dict[str, int] = {}
        self.in_force = 0
        self.revisions: dict[tuple[str, str], int] = {}
        self.faults: Counter[str] = Counter()
        self.repairing = ""
        self.repair_ids: set[str] = set()
        self.serial = 0

    def run(self) -> None:
        """Run the round; raise `AssertionError` when the oracle is contradicted."""
        self._advance(4000.0)
        for pool in POOLS:
            self.cluster.nodes["n6"].state.control.member.want_pool(pool)
        end_ms = self.cluster.now_ms + self.duration_ms
        next_fault_ms = self.cluster.now_ms + 500.0
        while self.cluster.now_ms < end_ms:
            self._advance(50.0)
            self._load()
            if self.cluster.now_ms >= next_fault_ms:
                next_fault_ms = self.cluster.now_ms + self.random.uniform(200.0, 2500.0)
                self._fault()
        self._settle()

    def _advance(self, duration_ms: Millis) -> None:
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            for name, due_ms in list(self.down.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.down[name]
                    self.cluster.start(name)
            for name, due_ms in list(self.paused.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.paused[name]
                    self.cluster.resume(name)
            self.cluster.step(STEP_MS)
            self._check()

    def _load(self) -> None:
        live = self.cluster.running
        if not live:
            return
        self.serial += 1
        team = f"t{self.serial}"
        declaration = {"team": team}
        name = self.random.choice(live)
        now_ms = self.cluster.local_ms(name)
        event = DeclareRequested(
            now_ms, f"op-{team}", f"c{team}", "ada", team, 0, declaration, 6000.0
        )
        self.cluster.submit(name, event)
        key, request_id = f"k{self.serial // 3}", f"q{self.serial}"
        command = LedgerStart("harbor", key, "d", "n1", request_id, "s1", 0, 500)
        proposal = Propose(f"test/{key}/{request_id}", COMMANDS.to_plain(command))
        self.cluster.send_from_client(self.cluster.leader() or name, proposal)

    def _fault(self) -> None:
        live = list(self.cluster.nodes)
        kind = self.random.choice(("kill", "cut", "one_way", "pause", "heal", "empty", "empty"))
        if not live or (kind == "empty" and self.repairing):
            kind = "heal"
        self.faults[kind] += 1
        match kind:
            case "kill":
                self._kill(self.random.choice(live), self.random.uniform(0.0, 3000.0))
            case "cut":
                self.cluster.cut(*self.random.sample(self.names, 2))
            case "one_way":
                self.cluster.cut_one_way(*self.random.sample(self.names, 2))
            case "pause":
                self._pause(self.random.choice(live), self.random.uniform(100.0, 4000.0))
            case "heal":
                self.cluster.heal()
            case "empty":
                self._empty(self.random.choice(self.voters))

    def _pause(self, name: str, duration_ms: Millis) -> None:
        self.cluster.pause(name)
        self.paused[name] = self.cluster.now_ms + duration_ms

    def _kill(self, name: str, down_ms: Millis) -> None:
        if name in self.cluster.nodes:
            self.cluster.kill(name, self.random.randrange(4))
        self.paused.pop(name, None)
        self.down[name] = self.cluster.now_ms + down_ms

    def _empty(self, name: str) -> None:
        """Empty one disk, and no other before its repair is done."""
        self.repairing = name
        self.repair_ids.clear()
        self._kill(name, 300.0)
        self.cluster.replace_disk(name)

    def _ask_repair(self) -> None:
        helpers = self.cluster.running
        if not self.repairing or not helpers:
            return
        now_ms = self.cluster.now_ms
        request_id = f"rep{now_ms}"
        self.repair_ids.add(request_id)
        event = RepairRequested(now_ms, request_id, self.repairing, self.repairing, 4000.0)
        self.cluster.submit(self.random.choice(helpers), event)

    def _check(self) -> None:
        now_ms = self.cluster.now_ms
        if now_ms % 1000.0 < STEP_MS:
            self._ask_repair()
        holders: Counter[PoolId] = Counter()
        for name, node in self.cluster.nodes.items():
            member = node.state.control.member
            key = (name, node.settings.incarnation)
            before = self.revisions.get(key, 0)
            assert member.view.revision >= before, f"{name} went back from {before}"
            self.revisions[key] = member.view.revision
            if member.has_lease(now_ms):
                revision = member.view.revision
                assert revision >= self.in_force, f"{name} acts on {revision} < {self.in_force}"
            holders.update(pool for pool in POOLS if member.holds_pool(pool, now_ms))
        assert all(count == 1 for count in holders.values()), f"two holders: {holders}"
        self._take_client_messages()
        for key, requests in self.started.items():
            assert len(requests) == 1, f"{key} was started by {requests}"

    def _take_client_messages(self) -> None:
        for _, message in self.cluster.client_messages:
            if not isinstance(message, ProposeReply):
                continue
            if isinstance(RESULTS.from_plain(message.result), LedgerStarted):
                key, request_id = message.proposal_id.split("/")[1:3]
                self.started.setdefault(key, set()).add(request_id)
        self.cluster.client_messages.clear()

    def _take_reply(self, _: str, effect: Effect) -> None:
        if not isinstance(effect, OperatorReply):
            return
        status = effect.body["status"]
        if status in ("in_force", "committed") and effect.body.get("revision"):
            team = effect.request_id.removeprefix("op-")
            self.acknowledged[team] = effect.body["revision"]
        if status == "in_force":
            self.in_force = max(self.in_force, effect.body["revision"])
        if status == "done" and effect.request_id in self.repair_ids:
            self.faults["repaired"] += 1
            self.repair_ids.clear()
            self.repairing = ""

    def _settle(self) -> None:
        self.cluster.heal()
        self.paused = dict.fromkeys(self.paused, self.cluster.now_ms)
        self._advance(20_000.0)
        assert self.cluster.leader() is not None, "no leader after all faults ended"
        assert not self.repairing, f"the repair of {self.repairing} did not end"
        for name in self.voters:
            view = self.cluster.nodes[name].state.control.machine.view
            for team, revision in self.acknowledged.items():
                assert team in view.teams, f"{team} is lost on {name}"
                assert view.teams[team].revision == revision, f"{team} changed on {name}"


if __name__ == "__main__":
    run_rounds(Round, lambda item: len(item.acknowledged), "acknowledged changes")
