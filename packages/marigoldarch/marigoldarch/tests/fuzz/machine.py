"""The base of the stateful machines: one cluster, the faults that may befall it, its checks."""

from __future__ import annotations

from collections import Counter

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, Exit
from marigoldarch.events import DrainRequested
from marigoldarch.tests.cluster import MemoryCluster

STEP_MS: Millis = 20.0
RECOVERY_LIMIT_MS: Millis = 20_000.0
MAX_DRIFT_RATE = 0.01

NUMBERS = st.integers(0, 5)
"""Picks a node, a target or a key; taken modulo their count."""

STATISTICS: Counter[str] = Counter()
"""How many steps, faults and facts all machines of this process have seen."""

CI_SETTINGS = settings(
    max_examples=12,
    stateful_step_count=25,
    deadline=None,
    database=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class ClusterMachine(RuleBasedStateMachine):
    """A cluster under faults; `check` holds at every instant, `check_recovery` once all is well.

    A subclass adds rules for the work, and the predicates. It raises `AssertionError` for a breach.
    """

    node_count = 3
    voter_count = 3
    sync_delay_ms: Millis = 15.0

    def __init__(self) -> None:
        super().__init__()
        self.cluster: MemoryCluster = MemoryCluster(self.node_count, self.voter_count)
        self.is_broken = False

    @initialize(seed=st.integers(0, 2**16), drift=st.booleans())
    def set_up(self, seed: int, drift: bool) -> None:
        """Start a cluster and let it elect a leader."""
        STATISTICS["examples"] += 1
        self.cluster = MemoryCluster(self.node_count, self.voter_count, seed)
        self.cluster.sync_delay_ms = self.sync_delay_ms
        if drift:
            for number, name in enumerate(self.cluster.names):
                self.cluster.clock_rates[name] = 1.0 + (number % 3 - 1) * MAX_DRIFT_RATE
        self.exited: list[str] = []
        self.cluster.observers.append(self._note_exit)
        self.prepare()
        self.advance(1500.0)

    def prepare(self) -> None:
        """Set up what the subclass needs, before the cluster first runs."""

    def check(self) -> None:
        """Raise `AssertionError` when a promise is broken now."""

    def is_recovered(self) -> bool:
        """Return whether the cluster has recovered, once all faults have ended."""
        return self.cluster.leader() is not None

    def check_recovery(self) -> None:
        """Raise `AssertionError` when a promise is broken after recovery."""

    def advance(self, duration_ms: Millis) -> None:
        """Advance time and check at every step."""
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            self.step()

    def step(self) -> None:
        """Advance time by one step and check."""
        self.cluster.step(STEP_MS)
        for name in self.exited:
            self.cluster.kill(name)
            self.cluster.start(name)
        self.exited.clear()
        STATISTICS["steps"] += 1
        self.guarded(self.check)

    def guarded(self, check: object) -> None:
        """Run a check, and remember that it failed so that the teardown keeps quiet."""
        try:
            check()
        except AssertionError:
            self.is_broken = True
            raise

    def name_of(self, number: int) -> str:
        """Return the name of a node by number."""
        return self.cluster.names[number % self.node_count]

    def running_name(self, number: int) -> str | None:
        """Return a running node by number, or None when none runs."""
        running = self.cluster.running
        return running[number % len(running)] if running else None

    def resume(self, name: str) -> None:
        """Let a paused process run on, and check before anything else happens."""
        self.cluster.resume(name)
        self.guarded(self.check)

    def end_faults(self) -> None:
        """Heal the network, and let every node run."""
        self.cluster.network.faults.drop = 0.0
        self.cluster.network.faults.duplicate = 0.0
        self.cluster.network.faults.max_delay_ms = 3.0
        self.cluster.heal()
        for name in self.cluster.names:
            if name not in self.cluster.nodes:
                self.cluster.start(name)
            elif self.cluster.nodes[name].is_paused:
                self.resume(name)

    @rule(duration_ms=st.sampled_from([40.0, 200.0, 700.0, 2200.0]))
    def let_run(self, duration_ms: Millis) -> None:
        """Let time pass."""
        self.advance(duration_ms)

    @rule(number=NUMBERS, kept=st.integers(0, 2))
    def kill(self, number: int, kept: int) -> None:
        """Kill a node; unsynced records may be lost or kept in part."""
        name = self.name_of(number)
        if name in self.cluster.nodes:
            STATISTICS["kills"] += 1
            self.cluster.kill(name, kept)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        """Start a killed node, or resume a paused one."""
        name = self.name_of(number)
        if name not in self.cluster.nodes:
            self.cluster.start(name)
        elif self.cluster.nodes[name].is_paused:
            self.resume(name)

    @rule(number=NUMBERS)
    def kill_and_restart(self, number: int) -> None:
        """Restart a node at once."""
        name = self.name_of(number)
        if name in self.cluster.nodes:
            STATISTICS["restarts"] += 1
            self.cluster.kill(name)
            self.cluster.start(name)

    @rule(number=NUMBERS)
    def pause(self, number: int) -> None:
        """Stop a node's process without ending it."""
        name = self.name_of(number)
        if name in self.cluster.nodes:
            STATISTICS["pauses"] += 1
            self.cluster.pause(name)

    @rule(number=NUMBERS)
    def drain(self, number: int) -> None:
        """Tell a node to stop gracefully; it starts again once it has."""
        name = self.running_name(number)
        if name is not None:
            STATISTICS["drains"] += 1
            self.cluster.submit(name, DrainRequested(self.cluster.local_ms(name)))

    @rule()
    def drain_leader(self) -> None:
        """Tell the leader to stop gracefully."""
        leader = self.cluster.leader()
        if leader is not None:
            STATISTICS["drains"] += 1
            self.cluster.submit(leader, DrainRequested(self.cluster.local_ms(leader)))

    @rule(sender=NUMBERS, receiver=NUMBERS, is_both=st.booleans())
    def cut(self, sender: int, receiver: int, is_both: bool) -> None:
        """Cut the network between two nodes, both ways or one."""
        STATISTICS["cuts"] += 1
        one, other = self.name_of(sender), self.name_of(receiver)
        if is_both:
            self.cluster.cut(one, other)
        else:
            self.cluster.cut_one_way(one, other)

    @rule()
    def isolate_leader(self) -> None:
        """Cut the leader off from all others."""
        leader = self.cluster.leader()
        if leader is not None:
            STATISTICS["cuts"] += 1
            self.cluster.isolate(leader)

    @rule()
    def pause_leader(self) -> None:
        """Stop the leader's process without ending it."""
        leader = self.cluster.leader()
        if leader is not None:
            STATISTICS["pauses"] += 1
            self.cluster.pause(leader)

    @rule()
    def heal(self) -> None:
        """End all cuts."""
        self.cluster.heal()

    @rule()
    def recover(self) -> None:
        """End all faults for now and let the cluster settle."""
        self.end_faults()
        self.advance(1500.0)

    @rule(
        drop=st.sampled_from([0.0, 0.05, 0.3]),
        duplicate=st.sampled_from([0.0, 0.2]),
        delay_ms=st.sampled_from([3.0, 60.0, 900.0]),
    )
    def disturb_network(self, drop: float, duplicate: float, delay_ms: Millis) -> None:
        """Let the network drop, duplicate, delay and reorder messages."""
        STATISTICS["disturbances"] += 1
        faults = self.cluster.network.faults
        faults.drop, faults.duplicate, faults.max_delay_ms = drop, duplicate, delay_ms

    def _note_exit(self, name: str, effect: Effect) -> None:
        if isinstance(effect, Exit):
            self.exited.append(name)

    def teardown(self) -> None:
        """End all faults and check that the cluster recovers."""
        if self.is_broken or self.cluster.now_ms < 2000.0:
            return
        self.end_faults()
        limit_ms = self.cluster.now_ms + RECOVERY_LIMIT_MS
        while not self.is_recovered():
            assert self.cluster.now_ms < limit_ms, "the cluster did not recover"
            self.advance(200.0)
        self.guarded(self.check_recovery)
