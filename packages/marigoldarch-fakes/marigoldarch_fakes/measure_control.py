"""Measure the control state of real processes on loopback.

Prints how long changes take to be in force, with and without the loss of the leader, how long the
leader is missing, how long a replica takes to restart behind many changes, and what an idle node
spends on control. Run `python -m marigoldarch_fakes.measure_control --voters=3`.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import fire
import httpcore

from marigoldarch_fakes.cluster import LocalCluster

if TYPE_CHECKING:
    from collections.abc import Callable

CLOCK_TICKS_PER_S = 100
IDLE_S = 20.0
POLL_S = 0.02
READY_S = 20.0


class Cost(NamedTuple):
    """What a node has spent so far."""

    sent_bytes: int
    received_bytes: int
    processor_s: float


class Bench:
    """A cluster of real processes and a client of its operators' interface."""

    def __init__(self, folder: Path, nodes: int, voters: int) -> None:
        self._cluster = LocalCluster(folder, nodes, voters)
        self._pool = httpcore.ConnectionPool()
        self._serial = 0

    @property
    def cluster(self) -> LocalCluster:
        """Return the processes."""
        return self._cluster

    def start(self) -> None:
        """Start the nodes and wait until each holds a lease."""
        self._cluster.start_nodes()
        self.wait_for(lambda: all(self.status(name)["has_lease"] for name in self._cluster.nodes))

    def wait_for(self, condition: Any, limit_s: float = READY_S) -> float:
        """Wait until a condition holds; return how long that took, in seconds."""
        began = time.monotonic()
        while time.monotonic() < began + limit_s:
            try:
                if condition():
                    return time.monotonic() - began
            except (httpcore.NetworkError, httpcore.ProtocolError, KeyError):
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"not reached within {limit_s} s")

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of a node."""
        return self._request("GET", name, "/v1/operator/status")

    def leader(self) -> str:
        """Return the node that leads, or an empty string."""
        for name, node in self._cluster.nodes.items():
            if node.process.poll() is None and self.status(name)["role"] == "leader":
                return name
        return ""

    def apply(self, name: str) -> float:
        """Make a change of a new team; return when it was in force, in seconds."""
        self._serial += 1
        body = {
            "change_id": f"c{self._serial}",
            "operator": "ada",
            "base_revision": 0,
            "declaration": {"team": f"t{self._serial}", "models": {"coach": {}}},
        }
        began = time.monotonic()
        answer = self._request("POST", name, "/v1/operator/apply", body)
        if answer.get("status") != "in_force":
            raise RuntimeError(f"change {self._serial}: {answer}")
        return time.monotonic() - began

    def cost(self, name: str) -> Cost:
        """Return what a node has spent."""
        node = self._cluster.nodes[name]
        links = self.status(name)["link_bytes"]
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        processor_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        return Cost(links["sent"], links["received"], processor_s)

    def _request(self, method: str, name: str, path: str, body: Any = None) -> dict[str, Any]:
        address = self._cluster.nodes[name].caller_address
        content = None if body is None else json.dumps(body).encode()
        timeout = {"connect": 1.0, "read": 15.0, "write": 1.0, "pool": 1.0}
        response = self._pool.request(
            method,
            f"http://{address}{path}",
            headers={"content-type": "application/json"},
            content=content,
            extensions={"timeout": timeout},
        )
        return json.loads(response.content)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of all lie."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def measure(voters: int = 3, nodes: int = 6, changes: int = 200, kills: int = 5) -> None:
    """Run all measurements and print one line for each."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-measure-") as name:
        bench = Bench(Path(name), nodes, voters)
        try:
            bench.start()
            print(f"{nodes} nodes, {voters} voters")
            _measure_idle(bench)
            _measure_changes(bench, changes)
            _measure_leader_losses(bench, kills)
            _measure_restart(bench)
        finally:
            bench.cluster.stop()


def _measure_idle(bench: Bench) -> None:
    names = list(bench.cluster.nodes)
    before = {name: bench.cost(name) for name in names}
    time.sleep(IDLE_S)
    leader = bench.leader()
    for name in names:
        after = bench.cost(name)
        sent = (after.sent_bytes - before[name].sent_bytes) / IDLE_S
        received = (after.received_bytes - before[name].received_bytes) / IDLE_S
        processor = (after.processor_s - before[name].processor_s) / IDLE_S
        role = "leader" if name == leader else "other"
        print(
            f"idle {name} ({role}): {sent:.0f} B/s sent, {received:.0f} B/s received, "
            f"{100 * processor:.2f}% of a core"
        )


def _measure_changes(bench: Bench, count: int) -> None:
    names = list(bench.cluster.nodes)
    before = {name: bench.cost(name) for name in names}
    times = [bench.apply(names[number % len(names)]) for number in range(count)]
    spent = [bench.cost(name).processor_s - before[name].processor_s for name in names]
    received = [bench.cost(name).received_bytes - before[name].received_bytes for name in names]
    print(
        f"{count} changes in force: p50 {1000 * percentile(times, 0.5):.1f} ms, "
        f"p99 {1000 * percentile(times, 0.99):.1f} ms, max {1000 * max(times):.1f} ms"
    )
    print(
        f"cost per change and node: {1e3 * sum(spent) / count / len(names):.2f} ms of a core, "
        f"{sum(received) / count / len(names):.0f} B received, periodic traffic included"
    )


def _measure_leader_losses(bench: Bench, kills: int) -> None:
    in_force = [_lose_leader(bench, lambda names: bench.apply(names[-1])) for _ in range(kills)]
    shown = ", ".join(f"{1000 * value:.0f}" for value in in_force)
    print(f"change made right after kill -9 of the leader, in force after ms: {shown}")
    replaced = [
        _lose_leader(bench, lambda names: _wait_for_leader(bench, names)) for _ in range(kills)
    ]
    shown = ", ".join(f"{1000 * value:.0f}" for value in replaced)
    print(f"leader replaced after ms: {shown}")


def _lose_leader(bench: Bench, act: Callable[[list[str]], float]) -> float:
    """Kill the leader, act with the names of the other nodes, and start it again."""
    lost = bench.leader()
    bench.cluster.kill(bench.cluster.nodes[lost].process)
    took_s = act([name for name in bench.cluster.nodes if name != lost])
    bench.cluster.start_node(lost)
    bench.wait_for(lambda: bench.status(lost)["has_lease"])
    time.sleep(3.0)
    return took_s


def _wait_for_leader(bench: Bench, names: list[str]) -> float:
    return bench.wait_for(lambda: any(bench.status(name)["role"] == "leader" for name in names))


def _measure_restart(bench: Bench, behind: int = 1000) -> None:
    leader = bench.leader()
    lost = next(name for name in bench.cluster._voters if name != leader)
    bench.cluster.kill(bench.cluster.nodes[lost].process)
    others = [name for name in bench.cluster.nodes if name != lost]
    time.sleep(3.0)
    for number in range(behind):
        bench.apply(others[number % len(others)])
    target = bench.status(leader)["replica"]["commit_index"]
    began = time.monotonic()
    bench.cluster.start_node(lost)
    up_s = bench.wait_for(lambda: bool(bench.status(lost)))
    bench.wait_for(lambda: bench.status(lost)["replica"]["commit_index"] >= target)
    total_s = time.monotonic() - began
    print(
        f"restart {behind} changes behind: caught up after {1000 * total_s:.0f} ms, "
        f"of which {1000 * up_s:.0f} ms until the process answers"
    )


if __name__ == "__main__":
    fire.Fire(measure)
