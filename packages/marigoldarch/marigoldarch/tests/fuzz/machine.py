"""The base of the stateful machines: one in-memory cluster, rules that inject faults, checks."""

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
"""Selects a node, a target or a key; machines take it modulo the count of these."""

STATISTICS: Counter[str] = Counter()
"""Counts steps, faults and outcomes by name, over all machines of this process."""

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
    """A cluster under faults; `check` runs at every step, `check_recovery` after all faults ended.

    A subclass adds the rules that send work to the cluster, and the two checks, which raise
    `AssertionError` when the code breaks a guarantee.
    """

    node_count = 3
    voter_count = 3
    sync_delay_ms: Millis = 15.0

    def __init__(self) -> None:
        super().__init__()
        self.cluster: MemoryCluster = MemoryCluster(self.node_count, self.voter_count)
        self.has_violation = False

    @initialize(seed=st.integers(0, 2**16), drift=st.booleans())
    def set_up(self, seed: int, drift: bool) -> None:
        """Start a cluster and run it long enough to elect a leader."""
        STATISTICS["examples"] += 1
        self.cluster = MemoryCluster(self.node_count, self.voter_count, seed)
        self.cluster.sync_delay_ms = self.sync_delay_ms
        if drift:
            for number, name in enumerate(self.cluster.names):
                self.cluster.clock_rates[name] = 1.0 + (number % 3 - 1) * MAX_DRIFT_RATE
        self.exited_nodes: list[str] = []
        self.cluster.observers.append(self._record_exit)
        self.prepare()
        self.advance(1500.0)

    def prepare(self) -> None:
        """Set up what the subclass needs, before the cluster first runs."""

    def check(self) -> None:
        """Raise `AssertionError` if a guarantee is broken at this step."""

    def is_recovered(self) -> bool:
        """Return whether the cluster works again; called after all faults have ended."""
        return self.cluster.leader() is not None

    def check_recovery(self) -> None:
        """Raise `AssertionError` if a guarantee is broken once the cluster has recovered."""

    def advance(self, duration_ms: Millis) -> None:
        """Advance time and check at every step."""
        end_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < end_ms:
            self.step()

    def step(self) -> None:
        """Advance time by one step, restart nodes that have exited, and check."""
        self.cluster.step(STEP_MS)
        for name in self.exited_nodes:
            self.cluster.kill(name)
            self.cluster.start(name)
        self.exited_nodes.clear()
        STATISTICS["steps"] += 1
        self.run_check(self.check)

    def run_check(self, check: object) -> None:
        """Call a check; if it fails, record that, so that the teardown raises no second failure."""
        try:
            check()
        except AssertionError:
            self.has_violation = True
            raise

    def name_of(self, number: int) -> str:
        """Return the name of the node that a number selects."""
        return self.cluster.names[number % self.node_count]

    def running_name(self, number: int) -> str | None:
        """Return the running node that a number selects, or None when none runs."""
        running = self.cluster.running
        return running[number % len(running)] if running else None

    def resume(self, name: str) -> None:
        """Resume a paused process, and check before time advances."""
        self.cluster.resume(name)
        self.run_check(self.check)

    def end_faults(self) -> None:
        """Heal the network, and start or resume every node that does not run."""
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
        """Advance time."""
        self.advance(duration_ms)

    @rule(number=NUMBERS, kept=st.integers(0, 2))
    def kill(self, number: int, kept: int) -> None:
        """Kill a node; of its unsynced records only the first `kept` remain."""
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
        """Kill a node and start it again at once."""
        name = self.name_of(number)
        if name in self.cluster.nodes:
            STATISTICS["restarts"] += 1
            self.cluster.kill(name)
            self.cluster.start(name)

    @rule(number=NUMBERS)
    def pause(self, number: int) -> None:
        """Pause a node's process."""
        name = self.name_of(number)
        if name in self.cluster.nodes:
            STATISTICS["pauses"] += 1
            self.cluster.pause(name)

    @rule(number=NUMBERS)
    def drain(self, number: int) -> None:
        """Tell a node to stop gracefully; it is started again when it has exited."""
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

    @rule(sender=NUMBERS, receiver=NUMBERS, is_bidirectional=st.booleans())
    def cut(self, sender: int, receiver: int, is_bidirectional: bool) -> None:
        """Cut the network between two nodes in both directions or in one."""
        STATISTICS["cuts"] += 1
        sender_name, receiver_name = self.name_of(sender), self.name_of(receiver)
        if is_bidirectional:
            self.cluster.cut(sender_name, receiver_name)
        else:
            self.cluster.cut_one_way(sender_name, receiver_name)

    @rule()
    def isolate_leader(self) -> None:
        """Cut the leader off from all other nodes."""
        leader = self.cluster.leader()
        if leader is not None:
            STATISTICS["cuts"] += 1
            self.cluster.isolate(leader)

    @rule()
    def pause_leader(self) -> None:
        """Pause the leader's process."""
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
        """End all faults and give the cluster 1.5 s to recover; later rules may inject new ones."""
        self.end_faults()
        self.advance(1500.0)

    @rule(
        drop=st.sampled_from([0.0, 0.05, 0.3]),
        duplicate=st.sampled_from([0.0, 0.2]),
        delay_ms=st.sampled_from([3.0, 60.0, 900.0]),
    )
    def disturb_network(self, drop: float, duplicate: float, delay_ms: Millis) -> None:
        """Set how the network drops, duplicates, delays and so reorders messages."""
        STATISTICS["disturbances"] += 1
        faults = self.cluster.network.faults
        faults.drop, faults.duplicate, faults.max_delay_ms = drop, duplicate, delay_ms

    def _record_exit(self, name: str, effect: Effect) -> None:
        if isinstance(effect, Exit):
            self.exited_nodes.append(name)

    def teardown(self) -> None:
        """End all faults and check that the cluster recovers in time.

        Does nothing after a failed check, and before the cluster has run for a second.
        """
        if self.has_violation or self.cluster.now_ms < 2000.0:
            return
        self.end_faults()
        limit_ms = self.cluster.now_ms + RECOVERY_LIMIT_MS
        while not self.is_recovered():
            assert (
                self.cluster.now_ms < limit_ms
            ), f"the cluster did not recover within {RECOVERY_LIMIT_MS:.0f} ms after all faults ended"
            self.advance(200.0)
        self.run_check(self.check_recovery)
