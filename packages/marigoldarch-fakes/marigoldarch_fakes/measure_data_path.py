"""Measure the data path of one node beside a bare proxy built of the same libraries.

Both stand between the same caller and the same target on loopback, in one run:

- added time to first token: sequential requests, taken in turns over the direct way, the bare proxy
  and the node; the median over the direct way is what each adds
- processor time per request of the process in the middle, which other load on the machine changes
  less than it changes times
- chunks per second per core: concurrent streams; chunks divided by the processor time that the
  process in the middle has used, so that neither caller nor target can be what limits it
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
REQUESTS = 300
CPU_REQUESTS = 500
STREAMS = 64
PACED_CHUNKS = 250
PACED_INTERVAL_S = 0.02
FLOOD_STREAMS = 8
FLOOD_CHUNKS = 4000
SHORT_CHUNKS = 4
WORD = b"word"
"""What each chunk's text begins with, by which the arrived chunks are counted."""

DECLARATION = {
    "team": "measure",
    "models": {"coach": {}},
    "kinds": {"quiz": {"rank": 0, "deadline_ms": 3_600_000}},
    "customers": {"one": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
}


class MeasurementError(MarigoldarchError):
    """A way did not deliver what it was to be measured with."""


class Way(NamedTuple):
    """A way to the target; `pid` is the process in the middle, 0 for none."""

    name: str
    url: str
    pid: int


class Target:
    """A target without a time model: the prompt says how many chunks it sends, and how fast."""

    @property
    def routes(self) -> list[Route]:
        """Return the target's routes; the bare proxy passes the caller's request on as it is."""
        return [
            Route("POST", "/v1/generate", self._serve),
            Route("POST", "/v1/chat/completions", self._serve),
            Route("DELETE", "/v1/streams/", self._release, is_prefix=True),
        ]

    async def _serve(self, request: HttpRequest) -> None:
        order = await request.read_json()
        prompt = order.get("prompt") or order["messages"][0]["content"]
        count, pause_ms = (int(word) for word in prompt.split())
        await request.start(200, "application/x-ndjson", {})
        for offset in range(count):
            frame = {
                "permit": order.get("permit", ""),
                "attempt": order.get("attempt", 1),
                "offset": offset,
                "text": f"{WORD.decode()}{offset} ",
                "tokens": 1,
                "end": offset + 1 == count,
            }
            if pause_ms:
                await trio.sleep(pause_ms / 1000.0)
            await request.send_chunk(encode_json(frame) + b"\n")
        await request.send_chunk(b"", is_last=True)

    async def _release(self, request: HttpRequest) -> None:
        await request.send_json(200, {})


class BareProxy:
    """Pass a request on and its answer back, chunk by chunk, and do nothing else."""

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
    """Send requests over a way and time them."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000
        )

    async def first_token_ms(self, way: Way) -> float:
        """Return the time to the first chunk of a short answer."""
        began = time.perf_counter()
        first = 0.0
        parts: list[bytes] = []
        async with self._stream(way, SHORT_CHUNKS, 0) as response:
            async for part in response.aiter_stream():
                first = first or time.perf_counter() - began
                parts.append(part)
        self._check(way, response.status, b"".join(parts), SHORT_CHUNKS)
        return first * 1000.0

    async def chunks_per_cpu_s(
        self, way: Way, streams: int, chunks: int, interval_s: float
    ) -> float:
        """Return the chunks that the process in the middle relays per second of its core."""
        before = cpu_s(way.pid)
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(self._read, way, chunks, int(interval_s * 1000))
        return streams * chunks / (cpu_s(way.pid) - before)

    async def cpu_of_requests(self, way: Way, count: int) -> float:
        """Return the processor time in seconds of that many short answers, one by one."""
        before = cpu_s(way.pid)
        for _ in range(count):
            await self.first_token_ms(way)
        return cpu_s(way.pid) - before

    async def _read(self, way: Way, chunks: int, pause_ms: int) -> None:
        parts: list[bytes] = []
        async with self._stream(way, chunks, pause_ms) as response:
            async for part in response.aiter_stream():
                parts.append(part)
        self._check(way, response.status, b"".join(parts), chunks)

    def _check(self, way: Way, status: int, content: bytes, chunks: int) -> None:
        """Raise `MeasurementError` unless every chunk has arrived."""
        arrived = content.count(WORD)
        if status != 200 or arrived != chunks:
            raise MeasurementError(f"{way.name}: status {status}, {arrived} of {chunks} chunks")

    def _stream(self, way: Way, chunks: int, pause_ms: int) -> Any:
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
            f"http://{way.url}/v1/chat/completions",
            headers=headers,
            content=encode_json(body),
            extensions={"timeout": timeout},
        )


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(ways: list[Way]) -> dict[str, Any]:
    """Run all measurements over the ways."""
    prober = Prober()
    times: dict[str, list[float]] = {way.name: [] for way in ways}
    for _ in range(REQUESTS):
        for way in ways:
            times[way.name].append(await prober.first_token_ms(way))
    results: dict[str, Any] = {
        f"first_token_ms {name}": round(statistics.median(values), 3)
        for name, values in times.items()
    }
    for way in ways[1:]:
        spent_s = await prober.cpu_of_requests(way, CPU_REQUESTS)
        results[f"cpu_ms_per_request {way.name}"] = round(spent_s * 1000.0 / CPU_REQUESTS, 3)
    for load, streams, chunks, interval_s in (
        ("paced", STREAMS, PACED_CHUNKS, PACED_INTERVAL_S),
        ("flood", FLOOD_STREAMS, FLOOD_CHUNKS, 0.0),
    ):
        for way in ways[1:]:
            rate = await prober.chunks_per_cpu_s(way, streams, chunks, interval_s)
            results[f"chunks_per_cpu_s {load} {way.name}"] = round(rate)
    return results


async def announce(pool: httpcore.AsyncConnectionPool, node: str, target: str) -> None:
    """Announce the target at the node until the measurement ends."""
    plain = {
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
        await pool.request("POST", url, content=encode_json(plain))
        await trio.sleep(1.0)


async def prepare(pool: httpcore.AsyncConnectionPool, node: str) -> None:
    """Wait for the node, put the declaration in force, and wait for the pool's scheduler."""
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


async def run(ways: list[Way], node: str, target: str) -> None:
    """Measure and print the figures."""
    async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as nursery:
        await prepare(pool, node)
        nursery.start_soon(announce, pool, node, target)
        await trio.sleep(3.0)
        results = await measure(ways)
        nursery.cancel_scope.cancel()
    for name, value in results.items():
        print(f"{name}: {value}")
    direct, bare, through = (results[f"first_token_ms {way.name}"] for way in ways)
    print(f"added first_token_ms bare: {bare - direct:.3f}")
    print(f"added first_token_ms node: {through - direct:.3f} (aim: at most 2)")
    for load in ("paced", "flood"):
        share = results[f"chunks_per_cpu_s {load} node"] / results[f"chunks_per_cpu_s {load} bare"]
        print(f"share of the bare proxy's chunks per core, {load}: {share:.2f} (aim: 0.60)")


def main() -> None:
    """Run the measurement, or one of its processes."""
    match sys.argv[1:]:
        case ["target", address]:
            trio.run(serve_routes, Target().routes, address)
        case ["proxy", address, target]:
            trio.run(serve_routes, BareProxy(target).routes, address)
        case _:
            with tempfile.TemporaryDirectory() as folder:
                run_all(Path(folder))


def run_all(folder: Path) -> None:
    """Start the processes, measure, and stop them."""
    cluster = LocalCluster(folder, 1, 1)
    node = cluster.start_node("n1")
    host = node.caller_address.rpartition(":")[0]
    target, proxy = f"{host}:21001", f"{host}:21002"
    module = [sys.executable, "-m", "marigoldarch_fakes.measure_data_path"]
    processes = [
        subprocess.Popen([*module, "target", target]),
        subprocess.Popen([*module, "proxy", proxy, target]),
    ]
    ways = [
        Way("direct", target, 0),
        Way("bare", proxy, processes[1].pid),
        Way("node", node.caller_address, node.process.pid),
    ]
    try:
        trio.run(run, ways, node.caller_address, target)
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()
        cluster.kill(node.process)


if __name__ == "__main__":
    main()
