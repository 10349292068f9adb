"""Seeded rounds of faults against the control state of in-memory nodes, with a simple oracle.

Run `python -m marigoldarch.tests.control.rounds ROUNDS FIRST_SEED` for many rounds.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.commands import RESULTS, LedgerStart, LedgerStarted
from marigoldarch.effects import Checkpoint, Effect, OperatorReply, Persist
from marigoldarch.events import DeclareRequested, Event, MessageArrived, RepairRequested, Tick
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import ProposeReply
from marigoldarch.settings import ControlSettings
from marigoldarch.tests.cluster import MemoryCluster, MemoryNode

ROUND_MS: Millis = 20_000.0
STEP_MS: Millis = 10.0
POOLS = (PoolId("dc1", "coach"), PoolId("dc2", "gradebook"))
SETTINGS = ControlSettings(snapshot_entries=40, log_tail_entries=10, snapshot_piece_chars=4000)


class PendingWrite(NamedTuple):
    """A write that is not synced yet."""

    due_ms: Millis
    node: MemoryNode
    effect: Persist | Checkpoint


class FaultyCluster(MemoryCluster):
    """A cluster whose writes take time, and whose nodes can be paused."""

    def __init__(self, nodes: int, voters: int, seed: int) -> None:
        self.writes: dict[str, list[PendingWrite]] = {}
        self.paused: dict[str, Millis] = {}
        self.late: dict[str, list[Event]] = {}
        self.one_way: set[tuple[str, str]] = set()
        self.started: dict[str, set[str]] = {}
        super().__init__(nodes, voters, seed, SETTINGS)

    def kill(self, name: str) -> None:
        """Stop a node; of its unsynced writes some prefix, perhaps torn, is on the disk."""
        super().kill(name)
        self.paused.pop(name, None)
        self.late.pop(name, None)
        for write in self.writes.pop(name, []):
            is_torn = self.random.random() < 0.5
            records = write.effect.records
            match write.effect:
                case Persist() if is_torn:
                    write.node.disk.append(records[: self.random.randrange(len(records))])
                    return
                case Persist():
                    write.node.disk.append(records)
                case Checkpoint() if is_torn:
                    return
                case Checkpoint():
                    write.node.disk.replace(records)

    def pause(self, name: str, duration_ms: Millis) -> None:
        """Let a node neither tick nor receive for a while."""
        self.paused[name] = self.now_ms + duration_ms

    def step(self) -> None:
        """Advance time by one step."""
        self.clock.advance(STEP_MS)
        for name in [name for name, until in self.paused.items() if until <= self.now_ms]:
            del self.paused[name]
            for event in self.late.pop(name, []):
                self.submit(name, event)
        self.deliver_due()
        for name in list(self.writes):
            self._finish_writes(name)
        for name in list(self.nodes):
            if name not in self.paused:
                self.submit(name, Tick(self.now_ms))

    def submit(self, name: str, event: Event) -> list[Effect]:
        """Reduce an event, or keep it until the node's pause has ended."""
        if name in self.paused:
            if isinstance(event, MessageArrived):
                self.late.setdefault(name, []).append(event)
            return []
        if isinstance(event, MessageArrived) and isinstance(event.message, ProposeReply):
            self._note_started(event.message)
        return super().submit(name, event)

    def _note_started(self, reply: ProposeReply) -> None:
        if isinstance(RESULTS.from_plain(reply.result), LedgerStarted):
            key, request_id = reply.proposal_id.split("/")[1:3]
            self.started.setdefault(key, set()).add(request_id)

    def _write(self, name: str, effect: Persist | Checkpoint) -> list[Effect]:
        due_ms = self.now_ms + self.random.uniform(0, 30.0)
        self.writes.setdefault(name, []).append(PendingWrite(due_ms, self.nodes[name], effect))
        return []

    def _finish_writes(self, name: str) -> None:
        if name in self.paused:
            return
        while name in self.nodes and self.writes.get(name):
            write = self.writes[name][0]
            if write.due_ms > self.now_ms:
                return
            self.writes[name].pop(0)
            super()._write(name, write.effect)

    def _deliver(self, item) -> None:
        if (item.sender, item.receiver) not in self.one_way:
            super()._deliver(item)


class Round:
    """One round: load, faults, and an oracle of what was acknowledged."""

    def __init__(self, seed: int, duration_ms: Millis = ROUND_MS) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(f"round/{seed}")
        voters = 3 if seed % 2 else 5
        self.cluster = FaultyCluster(6, voters, seed)
        self.voters = [f"n{number}" for number in range(1, voters + 1)]
        self.names = list(self.cluster.nodes)
        self.down: dict[str, Millis] = {}
        self.acknowledged: dict[str, int] = {}
        self.in_force = 0
        self.revisions: dict[tuple[str, str], int] = {}
        self.faults: Counter[str] = Counter()
        self.repairing = ""
        self.serial = 0
        self.seen: dict[int, int] = {}

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
            self.cluster.step()
            self._check()

    def _load(self) -> None:
        live = [name for name in self.cluster.nodes if name not in self.cluster.paused]
        if not live:
            return
        self.serial += 1
        now_ms = self.cluster.now_ms
        team = f"t{self.serial}"
        declaration = {"team": team}
        event = DeclareRequested(
            now_ms, f"op-{team}", f"c{team}", "ada", team, 0, declaration, 6000.0
        )
        self.cluster.submit(self.random.choice(live), event)
        key = f"k{self.serial // 3}"
        request_id = f"q{self.serial}"
        node = self.random.choice(live)
        control = self.cluster.nodes[node].state.control
        command = LedgerStart("harbor", key, "d", node, request_id, "s1", 0, 500)
        leader = control.member.leader
        proposal = f"test/{key}/{request_id}"
        effects = control.proposals.propose(proposal, command, leader, now_ms, now_ms + 3000.0)
        for effect in effects:
            self.cluster._send(node, effect)

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
                self.cluster.one_way.add(tuple(self.random.sample(self.names, 2)))
            case "pause":
                self.cluster.pause(self.random.choice(live), self.random.uniform(100.0, 4000.0))
            case "heal":
                self._heal()
            case "empty":
                self._empty(self.random.choice(self.voters))

    def _heal(self) -> None:
        self.cluster.heal()
        self.cluster.one_way.clear()

    def _kill(self, name: str, down_ms: Millis) -> None:
        if name in self.cluster.nodes:
            self.cluster.kill(name)
        self.down[name] = self.cluster.now_ms + down_ms

    def _empty(self, name: str) -> None:
        """Empty one disk, and no other before its repair is done."""
        self.repairing = name
        self._kill(name, 300.0)
        self.cluster.empty_disk(name)

    def _ask_repair(self) -> None:
        helpers = [name for name in self.cluster.nodes if name not in self.cluster.paused]
        if not self.repairing or not helpers:
            return
        now_ms = self.cluster.now_ms
        event = RepairRequested(now_ms, f"rep{now_ms}", self.repairing, self.repairing, 4000.0)
        self.cluster.submit(self.random.choice(helpers), event)

    def _check(self) -> None:
        now_ms = self.cluster.now_ms
        if now_ms % 1000.0 < STEP_MS:
            self._ask_repair()
        for node in list(self.cluster.nodes.values()):
            self._take_replies(node)
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
        for key, requests in self.cluster.started.items():
            assert len(requests) == 1, f"{key} was started by {requests}"

    def _take_replies(self, node: MemoryNode) -> None:
        first = self.seen.get(id(node), 0)
        self.seen[id(node)] = len(node.effects)
        for effect in node.effects[first:]:
            if not isinstance(effect, OperatorReply):
                continue
            status = effect.body["status"]
            if status in ("in_force", "committed") and effect.body.get("revision"):
                team = effect.request_id.removeprefix("op-")
                self.acknowledged[team] = effect.body["revision"]
            if status == "in_force":
                self.in_force = max(self.in_force, effect.body["revision"])
            if status == "done" and effect.body["lost"] == self.repairing:
                self.faults["repaired"] += 1
                self.repairing = ""

    def _settle(self) -> None:
        self._heal()
        self.cluster.paused = dict.fromkeys(self.cluster.paused, self.cluster.now_ms)
        self._advance(20_000.0)
        assert self.cluster.leader() is not None, "no leader after all faults ended"
        assert not self.repairing, f"the repair of {self.repairing} did not end"
        for name in self.voters:
            view = self.cluster.nodes[name].state.control.machine.view
            for team, revision in self.acknowledged.items():
                assert team in view.teams, f"{team} is lost on {name}"
                assert view.teams[team].revision == revision, f"{team} changed on {name}"


def main() -> None:
    """Run rounds and print what they did."""
    count, first_seed = int(sys.argv[1]), int(sys.argv[2])
    faults: Counter[str] = Counter()
    acknowledged = 0
    failed: list[int] = []
    for seed in range(first_seed, first_seed + count):
        item = Round(seed)
        try:
            item.run()
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
        faults.update(item.faults)
        acknowledged += len(item.acknowledged)
    print(f"{count} rounds, {len(failed)} failed {failed}, {acknowledged} acknowledged changes")
    print(f"faults: {dict(faults)}")


if __name__ == "__main__":
    main()
