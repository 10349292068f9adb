"""Measures the data path of one node in comparison with a bare proxy of the same libraries.

Both relay between the same caller and the same target on loopback, in one run:

- added time to first token: sequential requests that alternate between the target itself, the bare
  proxy and the node; the added time is the difference of a median to that of the target itself
- processor time per request of the relaying process, which is less sensitive to other load on the
  machine than elapsed time is
- chunks per second per core: the chunks of concurrent streams, divided by the processor time of the
  relaying process, so that neither the caller nor the target can be the limit
"""

from __future__ import annotations

import hashlib
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import encode_json
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_fakes.cluster import LocalCluster
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.edge.http import HttpRequest, Route

KEY = "measure-key"
LATENCY_REQUESTS = 300
CPU_REQUESTS = 500
PACED_STREAMS = 64
PACED_CHUNKS = 250
PACED_INTERVAL_S = 0.02
FLOOD_STREAMS = 8
FLOOD_CHUNKS = 4000
SHORT_CHUNKS = 4
CHUNK_MARKER = b"word"
"""Each chunk's text begins with this marker, by which arrived chunks are counted."""

DECLARATION = {
    "team": "measure",
    "models": {"coach": {}},
    "kinds": {"quiz": {"rank": 0, "deadline_ms": 3_600_000}},
    "customers": {"one": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
}


class MeasurementError(MarigoldarchError):
    """An answer had a wrong status or number of chunks, so that it can't be measured."""


class Endpoint(NamedTuple):
    """An address to send requests to; `pid` is the relaying process, 0 for the target itself."""

    name: str
    address: str
    pid: int


class ScriptedTarget:
    """A target whose prompt gives the number of chunks to send and the pause between them in ms."""

    @property
    def routes(self) -> list[Route]:
        """Return the target's routes.

        One of them is the caller's path, as the bare proxy relays requests unchanged.
        """
        return [
            Route("POST", "/v1/generate", self._serve),
            Route("POST", "/v1/chat/completions", self._serve),
            Route("DELETE", "/v1/streams/", self._serve_release, is_prefix=True),
        ]

    async def _serve(self, request: HttpRequest) -> None:
        body = await request.read_json()
        prompt = body.get("prompt") or body["messages"][0]["content"]
        count, pause_ms = (int(word) for word in prompt.split())
        await request.start(200, "application/x-ndjson", {})
        for offset in range(count):
            frame = {
                "permit": body.get("permit", ""),
                "attempt": body.get("attempt", 1),
                "offset": offset,
                "text": f"{CHUNK_MARKER.decode()}{offset} ",
                "tokens": 1,
                "end": offset + 1 == count,
            }
            if pause_ms:
                await trio.sleep(pause_ms / 1000.0)
            await request.send_chunk(encode_json(frame) + b"\n")
        await request.send_chunk(b"", is_last=True)

    async def _serve_release(self, request: HttpRequest) -> None:
        await request.send_json(200, {})


class BareProxy:
    """Relays requests and, chunk by chunk, their answers, and does nothing else."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000
        )

    @property
    def routes(self) -> list[Route]:
        """Return the proxy's route."""
        return [Route("POST", "/v1/chat/completions", self._serve)]

    async def _serve(self, request: HttpRequest) -> None:
        body = await request.read_body()
        url = f"http://{self._target}{request.path}"
        async with self._pool.stream("POST", url, content=body) as response:
            await request.start(response.status, "application/x-ndjson", {})
            async for chunk in response.aiter_stream():
                await request.send_chunk(chunk)
        await request.send_chunk(b"", is_last=True)


class Prober:
    """Sends requests to an endpoint and measures time and processor time."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000
        )

    async def first_token_ms(self, endpoint: Endpoint) -> float:
        """Return the time to the first chunk of a short answer, in milliseconds."""
        start_s = time.perf_counter()
        first_chunk_s = 0.0
        received: list[bytes] = []
        async with self._open_stream(endpoint, SHORT_CHUNKS, 0) as response:
            async for chunk in response.aiter_stream():
                first_chunk_s = first_chunk_s or time.perf_counter() - start_s
                received.append(chunk)
        self._check_chunks(endpoint, response.status, b"".join(received), SHORT_CHUNKS)
        return first_chunk_s * 1000.0

    async def chunks_per_cpu_s(
        self, endpoint: Endpoint, streams: int, chunks: int, interval_s: float
    ) -> float:
        """Return the chunks that the relaying process relays per second of its processor time."""
        before = read_cpu_s(endpoint.pid)
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(self._receive_chunks, endpoint, chunks, int(interval_s * 1000))
        return streams * chunks / (read_cpu_s(endpoint.pid) - before)

    async def cpu_s_of_requests(self, endpoint: Endpoint, count: int) -> float:
        """Return the processor time in seconds of the relaying process for sequential requests."""
        before = read_cpu_s(endpoint.pid)
        for _ in range(count):
            await self.first_token_ms(endpoint)
        return read_cpu_s(endpoint.pid) - before

    async def _receive_chunks(self, endpoint: Endpoint, chunks: int, pause_ms: int) -> None:
        received: list[bytes] = []
        async with self._open_stream(endpoint, chunks, pause_ms) as response:
            async for chunk in response.aiter_stream():
                received.append(chunk)
        self._check_chunks(endpoint, response.status, b"".join(received), chunks)

    def _check_chunks(self, endpoint: Endpoint, status: int, content: bytes, chunks: int) -> None:
        """Raise `MeasurementError` unless every chunk has arrived."""
        arrived = content.count(CHUNK_MARKER)
        if status != 200 or arrived != chunks:
            raise MeasurementError(
                f"{endpoint.name}: status {status}, {arrived} of {chunks} chunks"
            )

    def _open_stream(self, endpoint: Endpoint, chunks: int, pause_ms: int) -> Any:
        body = {
            "model": "coach",
            "messages": [{"role": "user", "content": f"{chunks} {pause_ms}"}],
            "max_tokens": chunks,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {KEY}", "x-marigoldarch-kind": "quiz"}
        timeout = {"connect": 5.0, "read": 60.0, "write": 5.0}
        return self._pool.stream(
            "POST",
            f"http://{endpoint.address}/v1/chat/completions",
            headers=headers,
            content=encode_json(body),
            extensions={"timeout": timeout},
        )


def read_cpu_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(endpoints: list[Endpoint]) -> dict[str, Any]:
    """Run all measurements; the first endpoint is the target itself."""
    prober = Prober()
    times: dict[str, list[float]] = {endpoint.name: [] for endpoint in endpoints}
    for _ in range(LATENCY_REQUESTS):
        for endpoint in endpoints:
            times[endpoint.name].append(await prober.first_token_ms(endpoint))
    results: dict[str, Any] = {
        f"first_token_ms {name}": round(statistics.median(values), 3)
        for name, values in times.items()
    }
    for endpoint in endpoints[1:]:
        cpu_s = await prober.cpu_s_of_requests(endpoint, CPU_REQUESTS)
        results[f"cpu_ms_per_request {endpoint.name}"] = round(cpu_s * 1000.0 / CPU_REQUESTS, 3)
    for load, streams, chunks, interval_s in (
        ("paced", PACED_STREAMS, PACED_CHUNKS, PACED_INTERVAL_S),
        ("flood", FLOOD_STREAMS, FLOOD_CHUNKS, 0.0),
    ):
        for endpoint in endpoints[1:]:
            rate = await prober.chunks_per_cpu_s(endpoint, streams, chunks, interval_s)
            results[f"chunks_per_cpu_s {load} {endpoint.name}"] = round(rate)
    return results


async def announce_target(pool: httpcore.AsyncConnectionPool, node: str, target: str) -> None:
    """Announce the target at the node until the measurement ends."""
    announcement = {
        "target": "e1",
        "incarnation": "i1",
        "kind": "engine",
        "name": "coach",
        "address": target,
        "data_centre": "dc1",
        "memory_tokens": 10_000_000,
    }
    while True:
        url = f"http://{node}/v1/targets/announce"
        await pool.request("POST", url, content=encode_json(announcement))
        await trio.sleep(1.0)


async def prepare_node(pool: httpcore.AsyncConnectionPool, node: str) -> None:
    """Wait until the node is ready and apply the declaration."""
    while True:
        try:
            if (await pool.request("GET", f"http://{node}/readyz")).status == 200:
                break
        except httpcore.NetworkError:
            pass
        await trio.sleep(0.1)
    change = {
        "change_id": "c1",
        "operator": "measure",
        "base_revision": 0,
        "declaration": DECLARATION,
    }
    url = f"http://{node}/v1/operator/apply"
    await pool.request("POST", url, content=encode_json(change))


async def run_measurements(endpoints: list[Endpoint], node: str, target: str) -> None:
    """Run the measurements and print the results."""
    async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as nursery:
        await prepare_node(pool, node)
        nursery.start_soon(announce_target, pool, node, target)
        await trio.sleep(3.0)
        results = await measure(endpoints)
        nursery.cancel_scope.cancel()
    for name, value in results.items():
        print(f"{name}: {value}")
    direct_ms, bare_ms, node_ms = (
        results[f"first_token_ms {endpoint.name}"] for endpoint in endpoints
    )
    print(f"added first_token_ms bare: {bare_ms - direct_ms:.3f}")
    print(f"added first_token_ms node: {node_ms - direct_ms:.3f} (aim: at most 2)")
    for load in ("paced", "flood"):
        ratio = results[f"chunks_per_cpu_s {load} node"] / results[f"chunks_per_cpu_s {load} bare"]
        print(f"share of the bare proxy's chunks per core, {load}: {ratio:.2f} (aim: 0.60)")


def main() -> None:
    """Run the measurement, or one of its processes."""
    match sys.argv[1:]:
        case ["target", address]:
            trio.run(serve_routes, ScriptedTarget().routes, address)
        case ["proxy", address, target]:
            trio.run(serve_routes, BareProxy(target).routes, address)
        case _:
            with tempfile.TemporaryDirectory() as folder:
                run_with_processes(Path(folder))


def run_with_processes(folder: Path) -> None:
    """Start the node, target and proxy, run the measurements, and stop the processes."""
    cluster = LocalCluster(folder, 1, 1)
    node = cluster.start_node("n1")
    host = node.caller_address.rpartition(":")[0]
    target, proxy = f"{host}:21001", f"{host}:21002"
    module = [sys.executable, "-m", "marigoldarch_fakes.measure_data_path"]
    processes = [
        subprocess.Popen([*module, "target", target]),
        subprocess.Popen([*module, "proxy", proxy, target]),
    ]
    endpoints = [
        Endpoint("direct", target, 0),
        Endpoint("bare", proxy, processes[1].pid),
        Endpoint("node", node.caller_address, node.process.pid),
    ]
    try:
        trio.run(run_measurements, endpoints, node.caller_address, target)
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()
        cluster.kill(node.process)


if __name__ == "__main__":
    main()
