"""What callers see when the leader is lost: `python -m marigoldarch_fakes.capacity.refusals`.

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
CALL_INTERVAL_S = 0.05
BEFORE_S = 1.0
AFTER_S = 8.0
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
    took_s: float


class Probe:
    """Call every node at a fixed rate and note the outcomes."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._pools = {name: httpcore.AsyncConnectionPool() for name in cluster.nodes}
        self.outcomes: list[Outcome] = []

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
        result = "waiting at the end"
        try:
            response = await self._pools[name].request(
                "POST",
                f"http://{address}/v1/services/gradebook/status",
                headers={"authorization": f"Bearer {KEY}", "content-type": "application/json"},
                content=b"{}",
            )
            body = decode_json(response.content)
            result = "answered" if response.status == 200 else str(body["error"]["type"])
        except (httpcore.NetworkError, httpcore.ProtocolError):
            result = "no connection"
        finally:
            took_s = trio.current_time() - sent_s
            self.outcomes.append(Outcome(name, sent_s, result, took_s))


def measure_once(nodes: int, *, is_graceful: bool) -> list[Outcome]:
    """Kill or gracefully stop the leader of a running cluster and return the outcomes at the other nodes."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-refusals-") as name:
        cluster = LocalCluster(Path(name), nodes, 3)
        try:
            cluster.start_nodes()
            for data_centre in ("dc1", "dc2", "dc3"):
                cluster.start_service(f"gradebook-{data_centre}", "gradebook", data_centre)
            return trio.run(_measure, cluster, Path(name), is_graceful)
        finally:
            for process in [node.process for node in cluster.nodes.values()]:
                cluster.kill(process)
            for process in cluster.targets.values():
                cluster.kill(process)


async def _measure(cluster: LocalCluster, folder: Path, is_graceful: bool) -> list[Outcome]:
    await _wait_until_serving(cluster, folder)
    probe = Probe(cluster)
    leader = await _find_leader(cluster)
    remaining = [name for name in cluster.nodes if name != leader]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe.run, remaining)
        await trio.sleep(BEFORE_S)
        killed_s = trio.current_time()
        process = cluster.nodes[leader].process
        if is_graceful:
            process.terminate()
        else:
            cluster.kill(process)
        await trio.sleep(AFTER_S)
        nursery.cancel_scope.cancel()
    return [item._replace(at_s=item.at_s - killed_s) for item in probe.outcomes]


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
    return all(item.result == "answered" for item in probe.outcomes)


async def _find_leader(cluster: LocalCluster) -> str:
    async with httpcore.AsyncConnectionPool() as pool:
        for name, node in cluster.nodes.items():
            url = f"http://{node.caller_address}/v1/operator/status"
            response = await pool.request("GET", url)
            if decode_json(response.content)["role"] == "leader":
                return name
    raise RuntimeError("no node leads")


def main(runs: int = 5, nodes: int = 5, graceful: bool = False) -> None:
    """Kill the leader of several clusters; print outcomes and each node's refusal window.

    With --graceful the leader is stopped by SIGTERM.
    """
    for run in range(1, runs + 1):
        after = [
            outcome for outcome in measure_once(nodes, is_graceful=graceful) if outcome.at_s >= 0
        ]
        counts = Counter(outcome.result for outcome in after)
        print(f"run {run}: {dict(counts)}, {_describe_waits(after)}; {_describe_refusals(after)}")
        sys.stdout.flush()


def _describe_waits(outcomes: list[Outcome]) -> str:
    times = sorted(outcome.took_s for outcome in outcomes)
    return f"longest wait {times[-1]:.2f} s, median {times[len(times) // 2] * 1000:.0f} ms"


def _describe_refusals(outcomes: list[Outcome]) -> str:
    refused = [item for item in outcomes if item.result not in ("answered", "waiting at the end")]
    windows: list[str] = []
    for name in sorted({outcome.node for outcome in refused}):
        times = [outcome.at_s for outcome in refused if outcome.node == name]
        windows.append(f"{name} refuses from {min(times):.2f} to {max(times):.2f} s")
    return ", ".join(windows) or "no refusal"


if __name__ == "__main__":
    fire.Fire(main)
