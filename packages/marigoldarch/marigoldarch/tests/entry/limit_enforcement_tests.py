"""Tests of limits over several nodes while the owner of a limit is killed or partitioned."""

from __future__ import annotations

import hashlib
import unittest

from marigoldarch.effects import CallTarget
from marigoldarch.entry.owner_placement import choose_owner
from marigoldarch.events import CallArrived, CallInfo, DeclareRequested, TargetAnnounced
from marigoldarch.settings import ControlSettings, EntrySettings
from marigoldarch.targets import Announcement
from marigoldarch.tests.cluster import MemoryCluster

KEY = hashlib.sha256(b"secret").hexdigest()
RATE_PER_S = 10.0
CONCURRENCY = 6
DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": 30_000}},
    "customers": {
        "harbor": {"key_sha256": [KEY], "rate_per_s": RATE_PER_S},
        "pier": {"key_sha256": ["0" * 64], "concurrency": CONCURRENCY},
    },
}
STEP_MS = 50.0
BURST_S = EntrySettings().limit_burst_s


class OwnerLossTests(unittest.TestCase):
    """Five nodes, to all of which one customer sends far above its limit."""

    def setUp(self) -> None:
        self.cluster = MemoryCluster(nodes=5, voters=3)
        self.cluster.run(3000)
        event = DeclareRequested(
            self.cluster.now_ms, "op", "c1", "ada", "guild", 0, DECLARATION, 8000.0
        )
        self.cluster.submit("n1", event)
        self.serial = 0
        self.started: list[float] = []
        self.flood(4000.0, senders=[])

    def flood(self, duration_ms: float, senders: list[str], key: str = KEY) -> None:
        """Send one call to each node of `senders` in each step."""
        for _ in range(int(duration_ms / STEP_MS)):
            if int(self.cluster.now_ms) % 500 == 0:
                self.announce()
            for node in senders:
                if node in self.cluster.nodes:
                    self.serial += 1
                    call = CallInfo(f"r{self.serial}", key, "quiz", model="coach")
                    self.cluster.submit(node, CallArrived(self.cluster.now_ms, call))
            self.cluster.run(STEP_MS)
            self.collect()

    def announce(self) -> None:
        """Renew the engine's announcement at a running node."""
        announcement = Announcement(
            "e1", "i1", "engine", "coach", "e1:1", "dc1", memory_tokens=10_000_000
        )
        node = next(iter(self.cluster.nodes))
        self.cluster.submit(node, TargetAnnounced(self.cluster.now_ms, announcement))

    def collect(self) -> None:
        """Record when target calls were sent."""
        for node in self.cluster.nodes.values():
            calls = [effect for effect in node.effects if isinstance(effect, CallTarget)]
            self.started += [self.cluster.now_ms] * len(calls)
            node.effects.clear()

    def owner(self, subject: str) -> str:
        """Return the owner of a subject."""
        voters = self.cluster.nodes["n1"].state.control.member.view.voters
        return choose_owner(subject, voters)

    def test_rate_holds_while_its_owner_is_killed(self) -> None:
        senders = ["n1", "n2", "n3", "n4", "n5"]
        self.flood(3000.0, senders)
        self.cluster.kill(self.owner("customer/guild/harbor"))
        self.flood(7000.0, senders)
        self.assertLessEqual(len(self.started), RATE_PER_S * (10.0 + BURST_S))
        self.assertGreater(len(self.started), RATE_PER_S * 10.0 * 0.5)

    def test_rate_exceeds_its_limit_by_at_most_one_lease_while_its_owner_is_partitioned(
        self,
    ) -> None:
        senders = ["n1", "n2", "n3", "n4", "n5"]
        self.flood(3000.0, senders)
        owner = self.owner("customer/guild/harbor")
        for other in senders:
            if other != owner:
                self.cluster.cut(owner, other)
        self.flood(7000.0, senders)
        lease_s = ControlSettings().session_lease_ms / 1000.0
        bound = RATE_PER_S * (10.0 + BURST_S + lease_s)
        self.assertLessEqual(len(self.started), bound)

    def test_concurrency_holds_while_its_owner_is_killed(self) -> None:
        senders = ["n1", "n2", "n3", "n4", "n5"]
        self.flood(2000.0, senders, "0" * 64)
        self.assertEqual(len(self.started), CONCURRENCY)
        owner = self.owner("customer/guild/pier")
        lost = sum(
            len(request.attempts)
            for request in self.cluster.nodes[owner].state.entry.requests.values()
        )
        self.cluster.kill(owner)
        self.flood(EntrySettings().slot_lease_ms + 5000.0, senders, "0" * 64)
        self.assertLessEqual(len(self.started), CONCURRENCY + lost)
