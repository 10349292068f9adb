"""What callers see when the leader is killed: `python -m marigoldarch_fakes.capacity.refusals`.

Callers look up a status on every remaining node at a fixed rate. The refusal window of a node is
the time from its first to its last refusal after the kill.
"""

from __future__ import annotations

import hashlib
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import fire
import httpcore
import trio

from marigoldarch.codec import decode_json
from marigoldarch_fakes.cluster import LocalCluster

KEY = "harbor-demo-key"
CALL_INTERVAL_S = 0.02
BEFORE_S = 1.0
AFTER_S = 6.0
READY_TIMEOUT_S = 20.0
DECLARATION = f"""
team = "guild"

[kinds.quiz]
rank = 0

[customers.harbor]
key_sha256 = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]

[services.gradebook.methods.status]
idempotent = true
"""


class Outcome(NamedTuple):
    """One call's outcome; `at_s` is the time of its sending after the kill."""

    node: str
    at_s: float
    result: str


class Probe:
    """Call every node at a fixed rate and note the outcomes."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._pool = httpcore.AsyncConnectionPool(max_connections=500)
        self.outcomes: list[tuple[str, float, str]] = []

    async def run(self, names: list[str]) -> None:
        """Call the nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self._call_often, name, nursery)

    async def _call_often(self, name: str, nursery: trio.Nursery) -> None:
        address = self._cluster.nodes[name].caller_address
        while True:
            nursery.start_soon(self.call, name, address)
            await trio.sleep(CALL_INTERVAL_S)

    async def call(self, name: str, address: str) -> None:
        """Make one call and note its outcome."""
        sent_s = trio.current_time()
        try:
            response = await self._pool.request(
                "POST",
                f"http://{address}/v1/services/gradebook/status",
                headers={"authorization": f"Bearer {KEY}", "content-type": "application/json"},
                content=b"{}",
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.outcomes.append((name, sent_s, "no connection"))
            return
        body = decode_json(response.content)
        result = "answered" if response.status == 200 else str(body["error"]["type"])
        self.outcomes.append((name, sent_s, result))


def measure_once(nodes: int) -> list[Outcome]:
    """Kill the leader of a running cluster and return the outcomes at the other nodes."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-refusals-") as name:
        cluster = LocalCluster(Path(name), nodes, 3)
        try:
            cluster.start_nodes()
            for data_centre in ("dc1", "dc2", "dc3"):
                cluster.start_service(f"gradebook-{data_centre}", "gradebook", data_centre)
            return trio.run(_measure, cluster, Path(name))
        finally:
            for process in [node.process for node in cluster.nodes.values()]:
                cluster.kill(process)
            for process in cluster.targets.values():
                cluster.kill(process)


async def _measure(cluster: LocalCluster, folder: Path) -> list[Outcome]:
    await _wait_until_serving(cluster, folder)
    probe = Probe(cluster)
    leader = await _find_leader(cluster)
    remaining = [name for name in cluster.nodes if name != leader]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe.run, remaining)
        await trio.sleep(BEFORE_S)
        killed_s = trio.current_time()
        cluster.kill(cluster.nodes[leader].process)
        await trio.sleep(AFTER_S)
        nursery.cancel_scope.cancel()
    return [Outcome(name, at_s - killed_s, result) for name, at_s, result in probe.outcomes]


async def _wait_until_serving(cluster: LocalCluster, folder: Path) -> None:
    path = folder / "guild.toml"
    path.write_text(DECLARATION)
    with trio.move_on_after(READY_TIMEOUT_S):
        while not await _apply(cluster, path):
            await trio.sleep(0.2)
        while not await _all_answer(cluster):
            await trio.sleep(0.2)
        return
    raise RuntimeError(f"the cluster did not serve within {READY_TIMEOUT_S:g} s")


async def _apply(cluster: LocalCluster, path: Path) -> bool:
    command = [sys.executable, "-m", "marigoldarch_cli", "apply", str(path)]
    command += [f"--node={cluster.caller_addresses[0]}"]
    finished = await trio.run_process(
        command, check=False, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    return finished.returncode == 0


async def _all_answer(cluster: LocalCluster) -> bool:
    probe = Probe(cluster)
    for name, node in cluster.nodes.items():
        await probe.call(name, node.caller_address)
    return all(result == "answered" for _, _, result in probe.outcomes)


async def _find_leader(cluster: LocalCluster) -> str:
    async with httpcore.AsyncConnectionPool() as pool:
        for name, node in cluster.nodes.items():
            url = f"http://{node.caller_address}/v1/operator/status"
            response = await pool.request("GET", url)
            if decode_json(response.content)["role"] == "leader":
                return name
    raise RuntimeError("no node leads")


def main(runs: int = 5, nodes: int = 5) -> None:
    """Kill the leader of several clusters; print outcomes and each node's refusal window."""
    for run in range(1, runs + 1):
        outcomes = measure_once(nodes)
        after = [outcome for outcome in outcomes if outcome.at_s >= 0]
        counts = Counter(outcome.result for outcome in after)
        bad = [outcome for outcome in after if outcome.result != "answered"]
        windows = []
        for name in sorted({outcome.node for outcome in bad}):
            times = [outcome.at_s for outcome in bad if outcome.node == name]
            windows.append(f"{name} {min(times):.2f} to {max(times):.2f} s")
        print(f"run {run}: {dict(counts)}; {', '.join(windows) or 'no refusal'}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
