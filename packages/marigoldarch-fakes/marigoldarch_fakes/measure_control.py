"""Measures the control state of real processes on loopback.

Prints the time until changes are in force, with and without the loss of the leader, the time until
a leader is replaced, the time in which a restarted replica catches up on many changes, and the
processor time and traffic of idle nodes.

Run `python -m marigoldarch_fakes.measure_control --voters=3`.
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
IDLE_WINDOW_S = 20.0
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0


class ResourceUse(NamedTuple):
    """The traffic and processor time of a node since it started."""

    sent_bytes: int
    received_bytes: int
    cpu_s: float


class MeasuredCluster:
    """A cluster of real processes and a client of its operator interface."""

    def __init__(self, folder: Path, nodes: int, voters: int) -> None:
        self._processes = LocalCluster(folder, nodes, voters)
        self._pool = httpcore.ConnectionPool()
        self._serial = 0

    @property
    def processes(self) -> LocalCluster:
        """Return the local cluster that runs the processes."""
        return self._processes

    def start(self) -> None:
        """Start the nodes and wait until each holds a lease."""
        self._processes.start_nodes()
        self.wait_until(
            lambda: all(self.status(name)["has_lease"] for name in self._processes.nodes)
        )

    def wait_until(self, condition: Any, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until a condition holds; return the waiting time in seconds.

        Raises `TimeoutError` after `timeout_s`.
        """
        start_s = time.monotonic()
        while time.monotonic() < start_s + timeout_s:
            try:
                if condition():
                    return time.monotonic() - start_s
            except (httpcore.NetworkError, httpcore.ProtocolError, KeyError):
                pass
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"condition not met within {timeout_s} s")

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of a node."""
        return self._request("GET", name, "/v1/operator/status")

    def leader(self) -> str:
        """Return the name of the leader, or an empty string if there is none."""
        for name, node in self._processes.nodes.items():
            if node.process.poll() is None and self.status(name)["role"] == "leader":
                return name
        return ""

    def apply(self, name: str) -> float:
        """Declare a new team; return the time in seconds until the change is in force."""
        self._serial += 1
        body = {
            "change_id": f"c{self._serial}",
            "operator": "ada",
            "base_revision": 0,
            "declaration": {"team": f"t{self._serial}", "models": {"coach": {}}},
        }
        start_s = time.monotonic()
        answer = self._request("POST", name, "/v1/operator/apply", body)
        if answer.get("status") != "in_force":
            raise RuntimeError(f"change {self._serial} is not in force: {answer}")
        return time.monotonic() - start_s

    def resource_use(self, name: str) -> ResourceUse:
        """Return the resources that a node has used."""
        node = self._processes.nodes[name]
        links = self.status(name)["link_bytes"]
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        return ResourceUse(links["sent"], links["received"], cpu_s)

    def _request(self, method: str, name: str, path: str, body: Any = None) -> dict[str, Any]:
        address = self._processes.nodes[name].caller_address
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


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def measure(voters: int = 3, nodes: int = 6, changes: int = 200, kills: int = 5) -> None:
    """Run all measurements and print one line for each."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-measure-") as name:
        cluster = MeasuredCluster(Path(name), nodes, voters)
        try:
            cluster.start()
            print(f"{nodes} nodes, {voters} voters")
            _measure_idle(cluster)
            _measure_changes(cluster, changes)
            _measure_leader_losses(cluster, kills)
            _measure_restart(cluster)
        finally:
            cluster.processes.stop()


def _measure_idle(cluster: MeasuredCluster) -> None:
    names = list(cluster.processes.nodes)
    before = {name: cluster.resource_use(name) for name in names}
    time.sleep(IDLE_WINDOW_S)
    leader = cluster.leader()
    for name in names:
        after = cluster.resource_use(name)
        sent = (after.sent_bytes - before[name].sent_bytes) / IDLE_WINDOW_S
        received = (after.received_bytes - before[name].received_bytes) / IDLE_WINDOW_S
        cpu_share = (after.cpu_s - before[name].cpu_s) / IDLE_WINDOW_S
        role = "leader" if name == leader else "other"
        print(
            f"idle {name} ({role}): {sent:.0f} B/s sent, {received:.0f} B/s received, "
            f"{100 * cpu_share:.2f}% of a core"
        )


def _measure_changes(cluster: MeasuredCluster, count: int) -> None:
    names = list(cluster.processes.nodes)
    before = {name: cluster.resource_use(name) for name in names}
    times = [cluster.apply(names[number % len(names)]) for number in range(count)]
    spent = [cluster.resource_use(name).cpu_s - before[name].cpu_s for name in names]
    received = [
        cluster.resource_use(name).received_bytes - before[name].received_bytes for name in names
    ]
    print(
        f"{count} changes in force: p50 {1000 * percentile(times, 0.5):.1f} ms, "
        f"p99 {1000 * percentile(times, 0.99):.1f} ms, max {1000 * max(times):.1f} ms"
    )
    print(
        f"cost per change and node: {1e3 * sum(spent) / count / len(names):.2f} ms of a core, "
        f"{sum(received) / count / len(names):.0f} B received, periodic traffic included"
    )


def _measure_leader_losses(cluster: MeasuredCluster, kills: int) -> None:
    in_force_s = [
        _time_leader_loss(cluster, lambda names: cluster.apply(names[-1])) for _ in range(kills)
    ]
    formatted = ", ".join(f"{1000 * value:.0f}" for value in in_force_s)
    print(f"change made right after kill -9 of the leader, in force after ms: {formatted}")
    replacement_s = [
        _time_leader_loss(cluster, lambda names: _time_until_leader(cluster, names))
        for _ in range(kills)
    ]
    formatted = ", ".join(f"{1000 * value:.0f}" for value in replacement_s)
    print(f"leader replaced after ms: {formatted}")


def _time_leader_loss(cluster: MeasuredCluster, action: Callable[[list[str]], float]) -> float:
    """Kill the leader, run the action with the names of the other nodes, and restart the leader.

    Returns what the action returns, a time in seconds.
    """
    stopped = cluster.leader()
    cluster.processes.kill(cluster.processes.nodes[stopped].process)
    took_s = action([name for name in cluster.processes.nodes if name != stopped])
    cluster.processes.start_node(stopped)
    cluster.wait_until(lambda: cluster.status(stopped)["has_lease"])
    time.sleep(3.0)
    return took_s


def _time_until_leader(cluster: MeasuredCluster, names: list[str]) -> float:
    return cluster.wait_until(
        lambda: any(cluster.status(name)["role"] == "leader" for name in names)
    )


def _measure_restart(cluster: MeasuredCluster, missed_changes: int = 1000) -> None:
    leader = cluster.leader()
    stopped = next(name for name in cluster.processes._voters if name != leader)
    cluster.processes.kill(cluster.processes.nodes[stopped].process)
    others = [name for name in cluster.processes.nodes if name != stopped]
    time.sleep(3.0)
    for number in range(missed_changes):
        cluster.apply(others[number % len(others)])
    target_index = cluster.status(leader)["replica"]["commit_index"]
    start_s = time.monotonic()
    cluster.processes.start_node(stopped)
    answering_s = cluster.wait_until(lambda: bool(cluster.status(stopped)))
    cluster.wait_until(lambda: cluster.status(stopped)["replica"]["commit_index"] >= target_index)
    total_s = time.monotonic() - start_s
    print(
        f"restart {missed_changes} changes behind: caught up after {1000 * total_s:.0f} ms, "
        f"of which {1000 * answering_s:.0f} ms until the process answers"
    )


if __name__ == "__main__":
    fire.Fire(measure)
