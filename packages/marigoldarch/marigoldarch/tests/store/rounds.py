"""Seeded rounds of random faults against the replicated document, with an oracle.

Run `python -m marigoldarch.tests.store.rounds ROUNDS FIRST_SEED` for many rounds.

The oracle records the text sent under each version and the highest version acknowledged so far. A
read that begins after an acknowledgement must return that version or a higher one, with its text.
"""

from __future__ import annotations

import random
from collections import Counter

from marigoldarch.clock import Millis
from marigoldarch.tests.rounds_command import run_rounds
from marigoldarch.tests.store.cluster import StoreCluster

ROUND_MS: Millis = 25_000.0
CATCH_UP_MS: Millis = 4000.0
DISK_RECOVERY_MS: Millis = 300.0 + CATCH_UP_MS + 6000.0
"""The least time between two disk losses: downtime, catch-up, recovery of the other hosts."""

SETTLE_MS: Millis = 25_000.0


class StoreRound:
    """One round: puts, reads, random faults within the tolerated losses, and the oracle."""

    def __init__(self, seed: int, duration_ms: Millis = ROUND_MS) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(f"round/{seed}")
        self.tolerated_losses = 1 if seed % 2 else 2
        self.cluster = StoreCluster(2 * self.tolerated_losses + 1, self.tolerated_losses, seed)
        self.cluster.network.faults.drop = 0.02 if seed % 3 == 0 else 0.0
        self.cluster.network.faults.duplicate = 0.02 if seed % 5 == 0 else 0.0
        self.faults: Counter[str] = Counter()
        self.version = 0
        self.sent_texts: dict[int, str] = {}
        self.put_versions: dict[str, int] = {}
        self.acknowledged_version = 0
        self.min_read_versions: dict[str, int] = {}
        self.restart_due_ms: dict[str, Millis] = {}
        self.disk_recovery_ends_ms: dict[str, Millis] = {}
        self.hosts_created = 2 * self.tolerated_losses + 1
        self.last_versions: dict[str, int] = {}

    def run(self) -> None:
        """Run the round; raise `AssertionError` if an invariant of the oracle is violated."""
        self._advance(6000.0)
        end_ms = self.cluster.now_ms + self.duration_ms
        next_fault_ms = self.cluster.now_ms
        while self.cluster.now_ms < end_ms:
            self._advance_under_load(50.0)
            if self.cluster.now_ms >= next_fault_ms:
                next_fault_ms = self.cluster.now_ms + self.random.uniform(200.0, 2500.0)
                self._inject_fault()
        self._heal_and_verify()

    def _advance_under_load(self, duration_ms: Millis) -> None:
        """Advance the time and submit puts and reads every 50 ms."""
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            self._advance(50.0)
            self._submit_load()

    def _advance(self, duration_ms: Millis) -> None:
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            for name, due_ms in list(self.restart_due_ms.items()):
                if due_ms <= self.cluster.now_ms:
                    del self.restart_due_ms[name]
                    self.cluster.start(name)
            self.cluster.advance(10.0)
            self._check_invariants()

    def _running(self) -> list[str]:
        return [name for name in self.cluster.hosts if self.cluster.is_running(name)]

    def _submit_load(self) -> None:
        running = self._running()
        if not running:
            return
        if self.random.random() < 0.5:
            self.version += self.random.randint(1, 3)
            text = f"document {self.version} of {self.random.random()}"
            self.sent_texts[self.version] = text
            request_id = self.cluster.put(self.random.choice(running), self.version, text)
            self.put_versions[request_id] = self.version
        elif self.sent_texts and self.random.random() < 0.3:
            version = self.random.choice(list(self.sent_texts))
            request_id = self.cluster.put(
                self.random.choice(running), version, self.sent_texts[version]
            )
            self.put_versions[request_id] = version
        request_id = self.cluster.request_read(self.random.choice(running))
        self.min_read_versions[request_id] = self.acknowledged_version

    def _inject_fault(self) -> None:
        fault_kinds = (
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
        kind = self.random.choice(fault_kinds)
        names = list(self.cluster.hosts)
        name = self.random.choice(names)
        match kind:
            case "kill":
                self._kill(name, self.random.uniform(50.0, 3000.0))
            case "kill_all":
                for other in names:
                    self._kill(other, self.random.uniform(50.0, 900.0))
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
            case "empty" if self._may_lose_disk():
                self._lose_disk(name, is_replaced=False)
            case "replace" if self._may_lose_disk():
                self._lose_disk(name, is_replaced=True)
            case _:
                return
        self.faults[kind] += 1

    def _kill(self, name: str, duration_ms: Millis) -> None:
        if self.cluster.hosts[name].store is not None:
            self.cluster.kill(name)
        self.restart_due_ms[name] = max(
            self.restart_due_ms.get(name, 0.0), self.cluster.now_ms + duration_ms
        )

    def _may_lose_disk(self) -> bool:
        """Return whether another disk may be lost: the hosts of all earlier losses have caught up.

        For the catch-up the round heals all cuts and lets all hosts run, as a host is given its
        time to catch up only under these conditions.
        """
        now_ms = self.cluster.now_ms
        self.disk_recovery_ends_ms = {
            name: end_ms for name, end_ms in self.disk_recovery_ends_ms.items() if now_ms < end_ms
        }
        return not self.disk_recovery_ends_ms

    def _lose_disk(self, name: str, *, is_replaced: bool) -> None:
        self.cluster.network.cuts.clear()
        for other in list(self.cluster.hosts):
            self.cluster.hosts[other].paused_until_ms = 0.0
            if other in self.restart_due_ms:
                self.restart_due_ms[other] = self.cluster.now_ms
        if is_replaced:
            self.cluster.remove(name)
            self.restart_due_ms.pop(name, None)
            self.hosts_created += 1
            name = f"n{self.hosts_created}"
            self.cluster.add(name)
        else:
            self.cluster.replace_disk(name)
            self.restart_due_ms[name] = self.cluster.now_ms + 300.0
        self.disk_recovery_ends_ms[name] = self.cluster.now_ms + DISK_RECOVERY_MS
        self._advance_under_load(DISK_RECOVERY_MS)

    def _check_invariants(self) -> None:
        for request_id in self.cluster.acknowledged_puts:
            self.acknowledged_version = max(
                self.acknowledged_version, self.put_versions[request_id]
            )
        self.cluster.acknowledged_puts.clear()
        for request_id, document in self.cluster.read_documents.items():
            min_version = self.min_read_versions.pop(request_id)
            assert (
                document.version >= min_version
            ), f"read returned version {document.version} after {min_version}"
            assert document.version == 0 or document.text == self.sent_texts[document.version]
        self.cluster.read_documents.clear()
        for name, host in self.cluster.hosts.items():
            if host.store is None:
                self.last_versions.pop(name, None)
                continue
            version = host.store.document.version
            assert version >= self.last_versions.get(
                name, 0
            ), f"{name} went back to version {version}"
            self.last_versions[name] = version

    def _heal_and_verify(self) -> None:
        self.cluster.network.cuts.clear()
        for host in self.cluster.hosts.values():
            host.paused_until_ms = 0.0
        self._advance(SETTLE_MS)
        assert self.cluster.leader() is not None, "no leader after all faults have ended"
        for name, host in self.cluster.hosts.items():
            version = host.store.document.version
            assert (
                version >= self.acknowledged_version
            ), f"{name} lacks acknowledged version {self.acknowledged_version}"
        voters = self.cluster.hosts[self.cluster.leader()].store.replica.configuration.voters
        names = {(name, host.disk.replica_id) for name, host in self.cluster.hosts.items()}
        assert set(voters) == names, f"voters are {voters}"
        assert self.acknowledged_version > 0, "nothing was acknowledged"


if __name__ == "__main__":
    run_rounds(StoreRound, lambda store_round: len(store_round.sent_texts), "versions sent")
