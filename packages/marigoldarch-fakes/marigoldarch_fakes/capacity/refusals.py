"""Measures refused calls after the loss of the leader.

Calls of an idempotent method are sent to every remaining node at a fixed rate. The refusal window
of a node is the time from its first to its last refusal after the kill.

Run with `python -m marigoldarch_fakes.capacity.refusals`.
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
LOAD_BEFORE_KILL_S = 1.0
LOAD_AFTER_KILL_S = 8.0
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


class CallRecord(NamedTuple):
    """The result of one call; `sent_after_kill_s` is negative if it was sent before the kill."""

    node: str
    sent_after_kill_s: float
    result: str
    took_s: float


class Probe:
    """Calls nodes at a fixed rate and records the results."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster
        self._pools = {name: httpcore.AsyncConnectionPool() for name in cluster.nodes}
        self.records: list[CallRecord] = []

    async def run(self, names: list[str]) -> None:
        """Call the nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self._call_periodically, name, nursery)

    async def _call_periodically(self, name: str, nursery: trio.Nursery) -> None:
        address = self._cluster.nodes[name].caller_address
        while True:
            nursery.start_soon(self.call, name, address)
            await trio.sleep(CALL_INTERVAL_S)

    async def call(self, name: str, address: str) -> None:
        """Make one call and record its result."""
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
            self.records.append(CallRecord(name, sent_s, result, took_s))


def measure_leader_loss(nodes: int, *, is_graceful: bool) -> list[CallRecord]:
    """Kill or gracefully stop the leader of a new cluster; return the calls of the other nodes."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-refusals-") as name:
        cluster = LocalCluster(Path(name), nodes, 3)
        try:
            cluster.start_nodes()
            for data_centre in ("dc1", "dc2", "dc3"):
                cluster.start_service(f"gradebook-{data_centre}", "gradebook", data_centre)
            return trio.run(_record_leader_loss, cluster, Path(name), is_graceful)
        finally:
            for process in [node.process for node in cluster.nodes.values()]:
                cluster.kill(process)
            for process in cluster.targets.values():
                cluster.kill(process)


async def _record_leader_loss(
    cluster: LocalCluster, folder: Path, is_graceful: bool
) -> list[CallRecord]:
    await _wait_until_serving(cluster, folder)
    probe = Probe(cluster)
    leader = await _find_leader(cluster)
    remaining = [name for name in cluster.nodes if name != leader]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe.run, remaining)
        await trio.sleep(LOAD_BEFORE_KILL_S)
        killed_s = trio.current_time()
        process = cluster.nodes[leader].process
        if is_graceful:
            process.terminate()
        else:
            cluster.kill(process)
        await trio.sleep(LOAD_AFTER_KILL_S)
        nursery.cancel_scope.cancel()
    return [
        record._replace(sent_after_kill_s=record.sent_after_kill_s - killed_s)
        for record in probe.records
    ]


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
    return all(record.result == "answered" for record in probe.records)


async def _find_leader(cluster: LocalCluster) -> str:
    async with httpcore.AsyncConnectionPool() as pool:
        for name, node in cluster.nodes.items():
            url = f"http://{node.caller_address}/v1/operator/status"
            response = await pool.request("GET", url)
            if decode_json(response.content)["role"] == "leader":
                return name
    raise RuntimeError("no node reports the role of leader")


def main(runs: int = 5, nodes: int = 5, graceful: bool = False) -> None:
    """Kill the leader of one cluster a run; print the results and each node's refusal window.

    With `--graceful` the leader is stopped by SIGTERM instead.
    """
    for run in range(1, runs + 1):
        after = [
            record
            for record in measure_leader_loss(nodes, is_graceful=graceful)
            if record.sent_after_kill_s >= 0
        ]
        counts = Counter(record.result for record in after)
        print(f"run {run}: {dict(counts)}, {_describe_waits(after)}; {_describe_refusals(after)}")
        sys.stdout.flush()


def _describe_waits(records: list[CallRecord]) -> str:
    times = sorted(record.took_s for record in records)
    return f"longest wait {times[-1]:.2f} s, median {times[len(times) // 2] * 1000:.0f} ms"


def _describe_refusals(records: list[CallRecord]) -> str:
    refused = [
        record for record in records if record.result not in ("answered", "waiting at the end")
    ]
    windows: list[str] = []
    for name in sorted({record.node for record in refused}):
        times = [record.sent_after_kill_s for record in refused if record.node == name]
        windows.append(f"{name} refuses from {min(times):.2f} to {max(times):.2f} s")
    return ", ".join(windows) or "no refusal"


if __name__ == "__main__":
    fire.Fire(main)
