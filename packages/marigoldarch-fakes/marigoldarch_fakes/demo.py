"""A demo with three nodes, four engines and two service replicas on loopback."""

from __future__ import annotations

import hashlib
import subprocess
import sys
import tempfile
from pathlib import Path

import httpcore
import trio

from marigoldarch.codec import decode_json
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_fakes.caller import Caller, CallResult
from marigoldarch_fakes.cluster import LocalCluster

KEY = "harbor-demo-key"
READY_TIMEOUT_S = 15.0
ENGINE_TOKENS = 60_000
BYTES_PER_TOKEN = 4

DECLARATION = f"""
team = "guild"

[models.coach]
versions = ["1"]

[kinds.quiz]
rank = 0
deadline_ms = 10000

[kinds.binder]
rank = 2
deadline_ms = 60000

[customers.harbor]
key_sha256 = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]

[services.gradebook.methods.status]
idempotent = true

[services.gradebook.methods.post_certificate]
idempotent = false
"""


class DemoError(MarigoldarchError):
    """A step of the demo failed or returned an unexpected result."""


def main() -> None:
    """Run the demo and print `demo: ok`; exit with status 1 if a step or the shutdown fails."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-demo-") as name:
        cluster = LocalCluster(Path(name))
        problem = ""
        try:
            _run(cluster, Path(name))
        except (MarigoldarchError, RuntimeError, httpcore.NetworkError) as error:
            problem = str(error) or type(error).__name__
        unstopped = cluster.stop()
        if not problem and unstopped:
            problem = f"nodes did not stop gracefully: {unstopped}"
        if problem:
            for log in sorted(Path(name).glob("n*.log")):
                sys.stderr.write(f"--- {log.name}\n{log.read_text()[-2000:]}\n")
            print(f"demo: failed: {problem}")
            sys.exit(1)
    print("demo: ok")


def _run(cluster: LocalCluster, folder: Path) -> None:
    cluster.start_nodes()
    for number in range(1, 5):
        cluster.start_engine(f"engine{number}", "coach", "dc1", f"--memory-tokens={ENGINE_TOKENS}")
    services = [cluster.start_service(f"gradebook{n}", "gradebook", "dc1") for n in (1, 2)]
    trio.run(_wait_until_ready, cluster)
    _apply_declaration(cluster, folder)
    trio.run(_send_requests, cluster, services)


async def _wait_until_ready(cluster: LocalCluster) -> None:
    with trio.move_on_after(READY_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                ready = [await _is_ready(pool, addr) for addr in cluster.caller_addresses]
                if all(ready) and await _has_targets(pool, cluster, 6):
                    print("nodes are ready, targets have announced themselves")
                    return
                await trio.sleep(0.1)
    raise DemoError(f"nodes or targets were not ready within {READY_TIMEOUT_S:g} s")


async def _is_ready(pool: httpcore.AsyncConnectionPool, address: str) -> bool:
    try:
        response = await pool.request("GET", f"http://{address}/readyz")
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    return response.status == 200


async def _has_targets(
    pool: httpcore.AsyncConnectionPool, cluster: LocalCluster, expected: int
) -> bool:
    target_count = 0
    for address in cluster.caller_addresses:
        response = await pool.request("GET", f"http://{address}/v1/operator/status")
        targets = decode_json(response.content)["targets"]
        target_count += sum(len(names) for names in targets.values())
    return target_count >= expected


def _apply_declaration(cluster: LocalCluster, folder: Path) -> None:
    path = folder / "guild.toml"
    path.write_text(DECLARATION)
    command = [sys.executable, "-m", "marigoldarch_cli", "apply", str(path)]
    command += [f"--node={cluster.caller_addresses[0]}", "--operator=ada"]
    finished = subprocess.run(command, capture_output=True, text=True, check=False)
    if finished.returncode != 0:
        raise DemoError(f"apply failed: {finished.stdout}{finished.stderr}")
    print(f"apply: {finished.stdout.strip()}")


async def _send_requests(cluster: LocalCluster, services: list[str]) -> None:
    caller = Caller(cluster.caller_addresses, KEY, "dc1")
    print(f"directory: use {await caller.preferred_address()}")
    short = await caller.prompt("coach", "quiz", "Is this card valid? " * 40, 16)
    _check_prompt("short prompt", short, 16)
    long_prompt = "x" * (40_000 * BYTES_PER_TOKEN)
    _check_prompt("long prompt", await caller.prompt("coach", "binder", long_prompt, 16), 16)
    gang_prompt = "x" * (150_000 * BYTES_PER_TOKEN)
    _check_prompt("gang prompt", await caller.prompt("coach", "binder", gang_prompt, 16), 16)
    looked_up = await caller.call("gradebook", "status", {"learner": "lena"})
    _check_service_call("lookup", looked_up)
    for number in (1, 2):
        posted = await caller.call("gradebook", "post_certificate", {"learner": "lena"}, "cert-1")
        _check_service_call(f"posting, time {number}", posted)
    await _check_executions(services)


def _check_prompt(name: str, result: CallResult, tokens: int) -> None:
    if not result.is_complete or result.tokens != tokens:
        raise DemoError(f"{name}: {result}")
    print(f"{name}: {result.tokens} tokens, the first after {result.first_token_ms:.0f} ms")


def _check_service_call(name: str, result: CallResult) -> None:
    if result.status != 200:
        raise DemoError(f"{name}: {result}")
    replayed = " (replayed)" if "x-marigoldarch-replayed" in result.headers else ""
    print(f"{name}: {result.body}{replayed}")


async def _check_executions(services: list[str]) -> None:
    count = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for address in services:
            response = await pool.request("GET", f"http://{address}/executions")
            executions = decode_json(response.content)["executions"]
            count += sum(run["method"] == "post_certificate" for run in executions)
    if count != 1:
        raise DemoError(f"the posting was executed {count} times, expected once")
    print("posting executions: 1")


if __name__ == "__main__":
    main()
