"""Slopes of real processes: idle clusters, and a leader with many stand-in members."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import decode_json
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import Heartbeat, NodeLoad
from marigoldarch.settings import ControlSettings
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.slopes import Point, Slope
from marigoldarch_fakes.capacity.usage import Usage, read_usage
from marigoldarch_fakes.cluster import LocalCluster, random_loopback
from marigoldarch_fakes.serving import serve_routes
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.edge.http import HttpRequest, Route
from marigoldarch_node.edge.peer_links import LINK_PATH, LinkSettings, PeerLink
from marigoldarch_node.security.keys import KeyDigests, KeyRing
from marigoldarch_node.timeline.recorder import TimelineRecorder

CLUSTER_SIZES = (3, 5, 7, 9)
MEMBER_COUNTS = (25, 50, 100, 200)
READY_TIMEOUT_S = 20.0
WARM_UP_S = 2.0
WINDOW_S = 5.0
HEARTBEAT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
CALLER_PORT = 20_001
PEER_PORT = 20_002
MEMBERS_PORT = 20_003


class UsageSample(NamedTuple):
    """The resources that a node had used at one time; `link_bytes` counts both directions."""

    taken_at_s: float
    usage: Usage
    link_bytes: int


class Rates(NamedTuple):
    """The resource usage of a node over a time window."""

    is_leader: bool
    cpu_ms_per_s: float
    bytes_per_s: float
    resident_bytes: float


def _get_status(address: str) -> dict[str, Any]:
    return decode_json(httpcore.request("GET", f"http://{address}/v1/operator/status").content)


def _wait_ready(address: str) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if httpcore.request("GET", f"http://{address}/readyz").status == 200:
                return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"{address} was not ready within {READY_TIMEOUT_S:g} s")


def _take_sample(address: str, pid: int) -> UsageSample:
    links = _get_status(address)["link_bytes"]
    return UsageSample(time.monotonic(), read_usage(pid), links["sent"] + links["received"])


def _compute_rates(address: str, before: UsageSample, after: UsageSample) -> Rates:
    seconds = after.taken_at_s - before.taken_at_s
    return Rates(
        _get_status(address)["role"] == "leader",
        (after.usage.cpu_ms - before.usage.cpu_ms) / seconds,
        (after.link_bytes - before.link_bytes) / seconds,
        after.usage.resident_bytes,
    )


def measure_idle_cluster(nodes: int) -> list[Rates]:
    """Run an idle cluster and return the rates of each node."""
    with tempfile.TemporaryDirectory(prefix="marigoldarch-capacity-") as folder:
        cluster = LocalCluster(Path(folder), nodes, 3)
        try:
            cluster.start_nodes()
            running = [(node.caller_address, node.process.pid) for node in cluster.nodes.values()]
            for address, _ in running:
                _wait_ready(address)
            time.sleep(WARM_UP_S)
            before = [_take_sample(address, pid) for address, pid in running]
            time.sleep(WINDOW_S)
            after = [_take_sample(address, pid) for address, pid in running]
            return [
                _compute_rates(address, earlier, later)
                for (address, _), earlier, later in zip(running, before, after, strict=True)
            ]
        finally:
            for node in cluster.nodes.values():
                cluster.kill(node.process)


class StandInMembers:
    """Simulates member nodes that connect to a leader and send it heartbeats."""

    def __init__(self, host: str, count: int) -> None:
        self.address = f"{host}:{MEMBERS_PORT}"
        self.leader = NodeAddress("leader", "dc00", f"{host}:{CALLER_PORT}", f"{host}:{PEER_PORT}")
        self.members = [
            NodeAddress(f"m{number}", f"dc{number % 23:02}", self.address, self.address)
            for number in range(count)
        ]
        clock = SystemClock()
        keys = KeyRing(KeyDigests())
        self._links = [
            PeerLink(
                LinkSettings(member.node, "", clock, TimelineRecorder(member.node), keys),
                self.leader,
            )
            for member in self.members
        ]

    @property
    def peers(self) -> str:
        """Return the value of the leader's `--peers` flag."""
        return ",".join(
            f"{node.node}@{node.data_centre}={node.caller_address}/{node.peer_address}"
            for node in [self.leader, *self.members]
        )

    async def run(self) -> None:
        """Accept the leader's links and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            route = Route("POST", LINK_PATH, self._discard_messages)
            nursery.start_soon(serve_routes, [route], self.address)
            for number, (member, link) in enumerate(zip(self.members, self._links, strict=True)):
                nursery.start_soon(link.run)
                delay_s = HEARTBEAT_INTERVAL_S * number / len(self.members)
                nursery.start_soon(self._send_heartbeats, link, member, delay_s)

    async def _send_heartbeats(self, link: PeerLink, member: NodeAddress, delay_s: float) -> None:
        await trio.sleep(delay_s)
        while True:
            now_ms = trio.current_time() * 1000.0
            link.send(Heartbeat(NodeLoad(member, 0, False), "run1", 1_000_000, [], now_ms))
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _discard_messages(self, request: HttpRequest) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass


def measure_leader(count: int) -> Rates:
    """Run a leader with `count` stand-in members and return the leader's rates."""
    members = StandInMembers(random_loopback(), count)
    with tempfile.TemporaryDirectory(prefix="marigoldarch-capacity-") as folder:
        flags = [
            "--node=leader",
            "--data-centre=dc00",
            f"--caller-address={members.leader.caller_address}",
            f"--peer-address={members.leader.peer_address}",
            "--voters=leader",
            f"--peers={members.peers}",
            f"--data-folder={folder}/leader",
        ]
        with (Path(folder) / "leader.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "marigoldarch_node", *flags],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        try:
            return trio.run(_measure_leader, members, process.pid)
        finally:
            process.kill()
            process.wait()


async def _measure_leader(members: StandInMembers, pid: int) -> Rates:
    address = members.leader.caller_address
    async with trio.open_nursery() as nursery:
        nursery.start_soon(members.run)
        await trio.to_thread.run_sync(_wait_ready, address)
        # The leader lists at most `directory_nodes` nodes.
        expected_nodes = min(len(members.members) + 1, ControlSettings().directory_nodes)
        await _wait_for_members(address, expected_nodes)
        await trio.sleep(WARM_UP_S)
        before = await trio.to_thread.run_sync(_take_sample, address, pid)
        await trio.sleep(WINDOW_S)
        after = await trio.to_thread.run_sync(_take_sample, address, pid)
        rates = await trio.to_thread.run_sync(_compute_rates, address, before, after)
        nursery.cancel_scope.cancel()
    return rates


async def _wait_for_members(address: str, expected: int) -> None:
    with trio.move_on_after(READY_TIMEOUT_S):
        while True:
            status = await trio.to_thread.run_sync(_get_status, address)
            if len(status["nodes"]) >= expected:
                return
            await trio.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"the leader did not list {expected} nodes within {READY_TIMEOUT_S:g} s")


def measure_process_slopes() -> list[Slope]:
    """Measure idle clusters and leaders of several sizes; return the slopes."""
    clusters = [(count, measure_idle_cluster(count)) for count in CLUSTER_SIZES]
    leader_rates = [(count, measure_leader(count)) for count in MEMBER_COUNTS]
    members = [
        (count, [rates for rates in all_rates if not rates.is_leader])
        for count, all_rates in clusters
    ]

    def member_slope(name: str, unit: str, field: str) -> Slope:
        points = [
            Point(count, sum(getattr(rates, field) for rates in member_rates) / len(member_rates))
            for count, member_rates in members
        ]
        return Slope(f"idle node: {name}", "nodes", unit, tuple(points), sizes.NODES)

    def leader_slope(name: str, unit: str, costs: list[float]) -> Slope:
        points = [Point(count, cost) for (count, _), cost in zip(leader_rates, costs, strict=True)]
        return Slope(f"leader process: {name}", "members", unit, tuple(points), sizes.NODES)

    return [
        member_slope("processor time", "ms/s", "cpu_ms_per_s"),
        member_slope("messages, both ways", "bytes/s", "bytes_per_s"),
        member_slope("resident memory", "bytes", "resident_bytes"),
        leader_slope("processor time", "ms/s", [rates.cpu_ms_per_s for _, rates in leader_rates]),
        leader_slope(
            "messages of one member, both ways",
            "bytes/s",
            [rates.bytes_per_s / count for count, rates in leader_rates],
        ),
        leader_slope(
            "resident memory", "bytes", [rates.resident_bytes for _, rates in leader_rates]
        ),
    ]


def measure_bare_server() -> Rates:
    """Run a server without routes, built on the libraries of a node; return its idle rates."""
    address = f"{random_loopback()}:{CALLER_PORT}"
    process = subprocess.Popen(
        [sys.executable, "-m", "marigoldarch_fakes.capacity.bare", address],
        stdin=subprocess.DEVNULL,
    )
    try:
        time.sleep(WARM_UP_S)
        before = read_usage(process.pid)
        time.sleep(WINDOW_S)
        after = read_usage(process.pid)
    finally:
        process.kill()
        process.wait()
    return Rates(False, (after.cpu_ms - before.cpu_ms) / WINDOW_S, 0.0, after.resident_bytes)
