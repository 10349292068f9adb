"""A cluster of real processes for one test, and a load of callers on it."""

from __future__ import annotations

import hashlib
import itertools
import signal
import subprocess
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch_fakes.caller import Caller, CallOutcome, CallResult
from marigoldarch_fakes.cluster import LocalCluster

KEY = "process-test-key"
TIME_LIMIT_S = 40.0
"""A generous limit of every wait; no test asserts how long anything took."""

POLL_S = 0.1
TOKENS = 8
WORKERS = 2
GIVE_UP_S = 8.0
"""After how long a caller gives up on a node that does not answer, as a stopped one."""

GIVEN_UP = CallResult(0, None, {})
"""The result of a request that its caller gave up on: its outcome is unknown to it."""

BROKEN_NODE = "marigoldarch_fakes.tests.process.broken_node"

DECLARATION: dict[str, Any] = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": 10_000}, "binder": {"deadline_ms": 10_000}},
    "customers": {"harbor": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
    "services": {"gradebook": {"methods": {"post": {"idempotent": False}}}},
}


class FaultyCluster(LocalCluster):
    """A cluster whose nodes may have a fault of `broken_node` built in."""

    fault = ""

    def _start(self, name: str, module: str, flags: list[str]) -> subprocess.Popen:
        if self.fault and module == "marigoldarch_node":
            return super()._start(name, BROKEN_NODE, [self.fault, *flags])
        return super()._start(name, module, flags)


class Sent(NamedTuple):
    """One request of the load; `key` is set for a posting."""

    key: str
    result: CallResult


class Load:
    """Callers that send prompts and postings, each under a new key, until told to stop."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._numbers = itertools.count(1)
        self._is_over = False
        self._thread = threading.Thread(target=trio.run, args=(self._run,))
        self.sent: list[Sent] = []

    def start(self) -> None:
        """Start the callers."""
        self._thread.start()

    def stop(self) -> None:
        """Let every caller end its request, and wait for them."""
        self._is_over = True
        self._thread.join()

    def answered(self) -> int:
        """Return how many requests were answered."""
        return sum(item.result.outcome is CallOutcome.ANSWERED for item in list(self.sent))

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(WORKERS):
                nursery.start_soon(self._send_prompts)
                nursery.start_soon(self._send_postings)

    async def _send_prompts(self) -> None:
        caller = Caller(self._addresses, KEY, "dc1")
        while not self._is_over:
            with trio.move_on_after(GIVE_UP_S):
                result = await caller.prompt("coach", "quiz", "Is this card valid?", TOKENS)
                self.sent.append(Sent("", result))
                continue
            self.sent.append(Sent("", GIVEN_UP))

    async def _send_postings(self) -> None:
        caller = Caller(self._addresses, KEY, "dc1")
        while not self._is_over:
            key = f"cert-{next(self._numbers)}"
            with trio.move_on_after(GIVE_UP_S):
                result = await caller.call("gradebook", "post", {"learner": key}, key)
                self.sent.append(Sent(key, result))
                continue
            self.sent.append(Sent(key, GIVEN_UP))


class ProcessCase(unittest.TestCase):
    """A running cluster with two engines, two service replicas and a declaration in force."""

    node_count = 3
    voter_count = 3
    fault = ""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="marigoldarch-process-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.cluster = FaultyCluster(self.folder, self.node_count, self.voter_count)
        self.cluster.fault = self.fault
        self.addCleanup(self._end_processes)
        self.pool = httpcore.ConnectionPool()
        self.addCleanup(self.pool.close)
        self.cluster.start_nodes()
        self.engines = [self.cluster.start_engine(f"e{n}", "coach", "dc1") for n in (1, 2)]
        self.services = [self.cluster.start_service(f"s{n}", "gradebook", "dc1") for n in (1, 2)]
        self.wait_until("all nodes are ready", self.all_ready)
        answer = self.apply(DECLARATION, "c1", 0)
        self.assertEqual(answer["status"], "in_force")
        self.revision = answer["revision"]
        self.wait_until("the pools have schedulers", lambda: len(self.pools()) == 2)

    def _end_processes(self) -> None:
        processes = [node.process for node in self.cluster.nodes.values()]
        for process in [*processes, *self.cluster.targets.values()]:
            if process.poll() is None:
                self.cluster.kill(process)

    def request(self, method: str, address: str, path: str, plain: Any = None) -> tuple[int, Any]:
        """Send a request; return status and body, or status 0 when there is no answer."""
        timeout = {"timeout": dict.fromkeys(("connect", "read", "write"), TIME_LIMIT_S)}
        content = None if plain is None else encode_json(plain)
        try:
            response = self.pool.request(
                method, f"http://{address}{path}", content=content, extensions=timeout
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return 0, None
        return response.status, decode_json(response.content) if response.content else None

    def address(self, name: str) -> str:
        """Return where a node listens for callers."""
        return self.cluster.nodes[name].caller_address

    def apply(
        self, declaration: dict[str, Any], change_id: str, base: int, node: str = "n1"
    ) -> dict[str, Any]:
        """Apply a declaration through a node."""
        body = {
            "change_id": change_id,
            "operator": "ada",
            "base_revision": base,
            "declaration": declaration,
        }
        return self.request("POST", self.address(node), "/v1/operator/apply", body)[1]

    def status(self, name: str) -> dict[str, Any]:
        """Return a node's status, empty when it does not answer."""
        return self.request("GET", self.address(name), "/v1/operator/status")[1] or {}

    def is_ready(self, name: str) -> bool:
        """Return whether a node is ready."""
        return self.request("GET", self.address(name), "/readyz")[0] == 200

    def all_ready(self) -> bool:
        """Return whether all nodes are ready."""
        return all(self.is_ready(name) for name in self.cluster.nodes)

    def pools(self) -> dict[str, Any]:
        """Return the pools' assignments as a node that answers sees them."""
        for name, node in self.cluster.nodes.items():
            if node.process.poll() is None:
                found = self.status(name).get("pools")
                if found is not None:
                    return found
        return {}

    def leader(self) -> str:
        """Return the node that leads."""
        self.wait_until("there is a leader", lambda: bool(self._leading()))
        return self._leading()[0]

    def _leading(self) -> list[str]:
        return [name for name in self.cluster.nodes if self.status(name).get("role") == "leader"]

    def scheduler(self) -> str:
        """Return the node that schedules the engines."""
        return self.pools()["dc1/coach"]["node"]

    def kill(self, name: str) -> None:
        """Kill a node at once."""
        self.cluster.kill(self.cluster.nodes[name].process)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.cluster.nodes[name].process.send_signal(number)

    def wait_until(self, what: str, condition: Callable[[], bool]) -> None:
        """Wait until something holds, or fail."""
        end_s = time.monotonic() + TIME_LIMIT_S
        while not condition():
            if time.monotonic() > end_s:
                logs = [
                    f"--- {log.name}\n{log.read_text()[-1500:]}"
                    for log in sorted(self.folder.glob("n*.log"))
                ]
                self.fail(f"not so in {TIME_LIMIT_S:.0f} s: {what}\n" + "\n".join(logs))
            time.sleep(POLL_S)

    def start_load(self) -> Load:
        """Start a load, and wait until some of it was answered."""
        load = Load(self.cluster.caller_addresses)
        self.addCleanup(load.stop)
        load.start()
        self.wait_for_answers(load, 8)
        return load

    def wait_for_answers(self, load: Load, count: int) -> None:
        """Wait until so many more requests were answered."""
        goal = load.answered() + count
        self.wait_until(f"{count} more answers", lambda: load.answered() >= goal)

    def executions(self) -> list[str]:
        """Return the learners of all executed postings."""
        found = []
        for address in self.services:
            runs = self.request("GET", address, "/executions")[1]["executions"]
            found += [decode_json(run["body"].encode())["learner"] for run in runs]
        return found

    def check_outcomes(self, load: Load) -> None:
        """Check the load: whole answers, at most one execution, and not run means not run."""
        load.stop()
        executed = self.executions()
        self.assertEqual(len(executed), len(set(executed)), "a posting ran more than once")
        whole = "".join(f"w{number} " for number in range(TOKENS))
        for item in load.sent:
            outcome = item.result.outcome
            if not item.key and outcome is CallOutcome.ANSWERED:
                self.assertEqual(item.result.text, whole)
            if item.key and outcome is CallOutcome.ANSWERED:
                self.assertIn(item.key, executed)
            if item.key and outcome is CallOutcome.NOT_RUN:
                self.assertNotIn(item.key, executed)
