"""Runs nodes and stand-ins as processes on loopback, for the demo, tests and measurements."""

from __future__ import annotations

import itertools
import secrets
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

STOP_TIMEOUT_S = 30.0
FIRST_PORT = 20_001


class NodeProcess(NamedTuple):
    """A node's process and the addresses that it listens on."""

    name: str
    caller_address: str
    peer_address: str
    process: subprocess.Popen


class LocalCluster:
    """Nodes and targets as processes on a loopback address of their own.

    Several clusters can run on one machine without port conflicts.
    """

    def __init__(self, folder: Path, node_count: int = 3, voter_count: int = 3) -> None:
        self._folder = folder
        names = [f"n{number}" for number in range(1, node_count + 1)]
        self._voters = names[:voter_count]
        self._host = random_loopback()
        self._ports = itertools.count(FIRST_PORT)
        self._addresses = {
            name: (self._allocate_address(), self._allocate_address()) for name in names
        }
        self.nodes: dict[str, NodeProcess] = {}
        self.targets: dict[str, subprocess.Popen] = {}

    @property
    def caller_addresses(self) -> list[str]:
        """Return the addresses on which the nodes accept callers."""
        return [caller for caller, _ in self._addresses.values()]

    def start_nodes(self) -> None:
        """Start all nodes."""
        for name in self._addresses:
            self.start_node(name)

    def start_node(self, name: str, *extra_flags: str) -> NodeProcess:
        """Start a node, or restart it; a voter reuses its data folder."""
        caller, peer = self._addresses[name]
        peers = ",".join(
            f"{other}@{_data_centre(other)}={addresses[0]}/{addresses[1]}"
            for other, addresses in self._addresses.items()
        )
        flags = [
            f"--node={name}",
            f"--data-centre={_data_centre(name)}",
            f"--caller-address={caller}",
            f"--peer-address={peer}",
            f"--voters={','.join(self._voters)}",
            f"--peers={peers}",
            *extra_flags,
        ]
        if name in self._voters:
            flags.append(f"--data-folder={self._folder / name}")
        process = self._start(name, "marigoldarch_node", flags)
        self.nodes[name] = NodeProcess(name, caller, peer, process)
        return self.nodes[name]

    def start_engine(self, name: str, model: str, data_centre: str, *extra_flags: str) -> str:
        """Start an engine and return its address."""
        flags = [f"--model={model}", *extra_flags]
        return self._start_target("engine", name, data_centre, flags)

    def start_service(self, name: str, service: str, data_centre: str) -> str:
        """Start a plain service and return its address."""
        return self._start_target("service", name, data_centre, [f"--service={service}"])

    def kill(self, process: subprocess.Popen) -> None:
        """Send SIGKILL to a process and wait for its exit."""
        process.kill()
        process.wait()

    def stop(self) -> list[str]:
        """Stop all processes; return the names of nodes that did not exit cleanly on SIGTERM."""
        for node in self.nodes.values():
            node.process.send_signal(signal.SIGTERM)
        failed = [node.name for node in self.nodes.values() if not _exits_cleanly(node.process)]
        for process in self.targets.values():
            process.kill()
            process.wait()
        return failed

    def _start_target(self, kind: str, name: str, data_centre: str, flags: list[str]) -> str:
        address = self._allocate_address()
        flags = [
            kind,
            f"--nodes={','.join(self.caller_addresses)}",
            f"--target={name}",
            f"--address={address}",
            f"--data-centre={data_centre}",
            *flags,
        ]
        self.targets[name] = self._start(name, "marigoldarch_fakes", flags)
        return address

    def _allocate_address(self) -> str:
        return f"{self._host}:{next(self._ports)}"

    def _start(self, name: str, module: str, flags: list[str]) -> subprocess.Popen:
        with (self._folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *flags],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


def random_loopback() -> str:
    """Return a random loopback address that no other cluster is likely to use.

    Clusters use fixed ports. With an address of its own, a cluster's ports cannot conflict with
    those of another one, nor with the ephemeral ports of outgoing connections, which use 127.0.0.1.
    """
    return ".".join(["127", *(str(1 + secrets.randbelow(253)) for _ in range(3))])


def _data_centre(node: str) -> str:
    return f"dc{(int(node[1:]) - 1) % 3 + 1}"


def _exits_cleanly(process: subprocess.Popen) -> bool:
    try:
        return process.wait(STOP_TIMEOUT_S) == 0
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
