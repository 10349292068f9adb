"""Seeded rounds of faults against the replicated document, with a simple oracle.

Run `python -m marigoldarch.tests.store.rounds ROUNDS FIRST_SEED` for many rounds.

The oracle knows what was sent under each version, and the highest version acknowledged so far. A
read that begins after an acknowledgement shows that version or a higher one, as it was sent.
"""

from __future__ import annotations

import random
from collections import Counter

from marigoldarch.clock import Millis
from marigoldarch.tests.rounds_command import run_rounds
from marigoldarch.tests.store.cluster import StoreCluster

ROUND_MS: Millis = 25_000.0
CATCH_UP_MS: Millis = 4000.0
LOSS_MS: Millis = 300.0 + CATCH_UP_MS + 6000.0
"""From the loss of a disk until another may be lost: down, `recovery` of the others, catch-up."""

SETTLE_MS: Millis = 25_000.0


class StoreRound:
    """One round: puts, reads, faults within what is tolerated, and the oracle."""

    def __init__(self, seed: int, duration_ms: Millis = ROUND_MS) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(f"round/{seed}")
        self.losses = 1 if seed % 2 else 2
        self.cluster = StoreCluster(2 * self.losses + 1, self.losses, seed)
        self.cluster.network.faults.drop = 0.02 if seed % 3 == 0 else 0.0
        self.cluster.network.faults.duplicate = 0.02 if seed % 5 == 0 else 0.0
        self.faults: Counter[str] = Counter()
        self.version = 0
        self.sent: dict[int, str] = {}
        self.asked: dict[str, int] = {}
        self.acknowledged = 0
        self.reads: dict[str, int] = {}
        self.down: dict[str, Millis] = {}
        self.lost_until: dict[str, Millis] = {}
        self.hosts_made = 2 * self.losses + 1
        self.shown: dict[str, int] = {}

    def run(self) -> None:
        """Run the round; raise `AssertionError` when the oracle is contradicted."""
        self._advance(6000.0)
        end_ms = self.cluster.now_ms + self.duration_ms
        next_fault_ms = self.cluster.now_ms
        while self.cluster.now_ms < end_ms:
            self._work(50.0)
            if self.cluster.now_ms >= next_fault_ms:
                next_fault_ms = self.cluster.now_ms + self.random.uniform(200.0, 2500.0)
                self._fault()
        self._settle()

    def _work(self, duration_ms: Millis) -> None:
        """Let time pass under load."""
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            self._advance(50.0)
            self._load()

    def _advance(self, duration_ms: Millis) -> None:
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            for name, due_ms in list(self.down.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.down[name]
                    self.cluster.start(name)
            self.cluster.advance(10.0)
            self._check()

    def _running(self) -> list[str]:
        return [name for name in self.cluster.hosts if self.cluster.is_running(name)]

    def _load(self) -> None:
        running = self._running()
        if not running:
            return
        if self.random.random() < 0.5:
            self.version += self.random.randint(1, 3)
            text = f"document {self.version} of {self.random.random()}"
            self.sent[self.version] = text
            request = self.cluster.put(self.random.choice(running), self.version, text)
            self.asked[request] = self.version
        elif self.sent and self.random.random() < 0.3:
            version = self.random.choice(list(self.sent))
            request = self.cluster.put(self.random.choice(running), version, self.sent[version])
            self.asked[request] = version
        request = self.cluster.ask(self.random.choice(running))
        self.reads[request] = self.acknowledged

    def _fault(self) -> None:
        kinds = (
            "kill",
            "kill_all",
            "pause",
            "cut",
            "halves",
            "one_way",
            "heal",
            "empty",
            "replace",
        )
        kind = self.random.choice(kinds)
        names = list(self.cluster.hosts)
        name = self.random.choice(names)
        match kind:
            case "kill":
                self._kill(name, self.random.uniform(50.0, 3000.0))
            case "kill_all":
                for each in names:
                    self._kill(each, self.random.uniform(50.0, 900.0))
            case "pause" if self.cluster.is_running(name):
                self.cluster.pause(name, self.random.uniform(100.0, 5000.0))
            case "cut":
                self.cluster.cut(name, self.random.choice(names))
            case "halves":
                side = self.random.sample(names, len(names) // 2)
                for first in side:
                    for second in [other for other in names if other not in side]:
                        self.cluster.cut(first, second)
            case "one_way":
                self.cluster.network.cuts.add((name, self.random.choice(names)))
            case "heal":
                self.cluster.network.cuts.clear()
            case "empty" if self._may_lose_a_disk():
                self._lose_disk(name, is_replaced=False)
            case "replace" if self._may_lose_a_disk():
                self._lose_disk(name, is_replaced=True)
            case _:
                return
        self.faults[kind] += 1

    def _kill(self, name: str, down_ms: Millis) -> None:
        if self.cluster.hosts[name].store is not None:
            self.cluster.kill(name)
        self.down[name] = max(self.down.get(name, 0.0), self.cluster.now_ms + down_ms)

    def _may_lose_a_disk(self) -> bool:
        """Return whether one disk more may be lost: all earlier ones are made good.

        A disk is made good when its host has caught up; the round heals cuts for that and lets all
        hosts run, as the time to catch up only counts then.
        """
        now_ms = self.cluster.now_ms
        self.lost_until = {name: end for name, end in self.lost_until.items() if now_ms < end}
        return not self.lost_until

    def _lose_disk(self, name: str, *, is_replaced: bool) -> None:
        self.cluster.network.cuts.clear()
        for other in list(self.cluster.hosts):
            self.cluster.hosts[other].paused_until_ms = 0.0
            if other in self.down:
                self.down[other] = self.cluster.now_ms
        if is_replaced:
            self.cluster.remove(name)
            self.down.pop(name, None)
            self.hosts_made += 1
            name = f"n{self.hosts_made}"
            self.cluster.add(name)
        else:
            self.cluster.empty(name)
            self.down[name] = self.cluster.now_ms + 300.0
        self.lost_until[name] = self.cluster.now_ms + LOSS_MS
        self._work(LOSS_MS)

    def _check(self) -> None:
        for request in self.cluster.stored:
            self.acknowledged = max(self.acknowledged, self.asked[request])
        self.cluster.stored.clear()
        for request, document in self.cluster.read.items():
            least = self.reads.pop(request)
            assert document.version >= least, f"read shows {document.version} after {least}"
            assert document.version == 0 or document.text == self.sent[document.version]
        self.cluster.read.clear()
        for name, host in self.cluster.hosts.items():
            if host.store is None:
                self.shown.pop(name, None)
                continue
            version = host.store.document.version
            assert version >= self.shown.get(name, 0), f"{name} went back to {version}"
            self.shown[name] = version

    def _settle(self) -> None:
        self.cluster.network.cuts.clear()
        for host in self.cluster.hosts.values():
            host.paused_until_ms = 0.0
        self._advance(SETTLE_MS)
        assert self.cluster.leader() is not None, "no leader after all faults have ended"
        for name, host in self.cluster.hosts.items():
            version = host.store.document.version
            assert version >= self.acknowledged, f"{name} lacks {self.acknowledged}"
        voters = self.cluster.hosts[self.cluster.leader()].store.replica.configuration.voters
        names = {(name, host.disk.replica_id) for name, host in self.cluster.hosts.items()}
        assert set(voters) == names, f"voters are {voters}"
        assert self.acknowledged > 0, "nothing was acknowledged"


if __name__ == "__main__":
    run_rounds(StoreRound, lambda item: len(item.sent), "versions sent")
