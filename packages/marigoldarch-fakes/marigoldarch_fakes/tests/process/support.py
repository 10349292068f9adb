"""Base class of the process tests: a cluster of real processes and a load on it."""

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
"""Limit of every wait; long, since no test asserts how long an operation takes."""

POLL_INTERVAL_S = 0.1
ANSWER_TOKENS = 8
CALLER_PAIRS = 2
CLIENT_TIMEOUT_S = 8.0
"""Time after which a caller abandons a request, e.g. when the node is suspended."""

TIMED_OUT = CallResult(0, None, {})
"""The result of a request that timed out; the caller does not know its outcome."""

FAULTY_NODE_MODULE = "marigoldarch_fakes.tests.process.faulty_node"

DECLARATION: dict[str, Any] = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"deadline_ms": 10_000}, "binder": {"deadline_ms": 10_000}},
    "customers": {"harbor": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
    "services": {"gradebook": {"methods": {"post": {"idempotent": False}}}},
}


class FaultyCluster(LocalCluster):
    """A cluster whose nodes run with an injected fault of `faulty_node`, if one is set."""

    fault = ""

    def _start(self, name: str, module: str, flags: list[str]) -> subprocess.Popen:
        if self.fault and module == "marigoldarch_node":
            return super()._start(name, FAULTY_NODE_MODULE, [self.fault, *flags])
        return super()._start(name, module, flags)


class SentRequest(NamedTuple):
    """One request of the load; `key` is the idempotency key of a posting, empty for a prompt."""

    key: str
    result: CallResult


class Load:
    """Callers that send prompts, and postings with a new idempotency key each, until stopped."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._numbers = itertools.count(1)
        self._is_stopping = False
        self._thread = threading.Thread(target=trio.run, args=(self._run,))
        self.sent: list[SentRequest] = []

    def start(self) -> None:
        """Start the callers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the callers; waits until their last requests have ended."""
        self._is_stopping = True
        self._thread.join()

    def answered_count(self) -> int:
        """Return how many requests have been answered."""
        return sum(item.result.outcome is CallOutcome.ANSWERED for item in list(self.sent))

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(CALLER_PAIRS):
                nursery.start_soon(self._send_prompts)
                nursery.start_soon(self._send_postings)

    async def _send_prompts(self) -> None:
        caller = Caller(self._addresses, KEY, "dc1")
        while not self._is_stopping:
            with trio.move_on_after(CLIENT_TIMEOUT_S):
                result = await caller.prompt("coach", "quiz", "Is this card valid?", ANSWER_TOKENS)
                self.sent.append(SentRequest("", result))
                continue
            self.sent.append(SentRequest("", TIMED_OUT))

    async def _send_postings(self) -> None:
        caller = Caller(self._addresses, KEY, "dc1")
        while not self._is_stopping:
            key = f"cert-{next(self._numbers)}"
            with trio.move_on_after(CLIENT_TIMEOUT_S):
                result = await caller.call("gradebook", "post", {"learner": key}, key)
                self.sent.append(SentRequest(key, result))
                continue
            self.sent.append(SentRequest(key, TIMED_OUT))


class ProcessCase(unittest.TestCase):
    """Runs a cluster with two engines, two service replicas and a declaration in force.

    Subclasses set `fault` to the name of a fault of `faulty_node`.
    """

    node_count = 3
    voter_count = 3
    fault = ""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="marigoldarch-process-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.cluster = FaultyCluster(self.folder, self.node_count, self.voter_count)
        self.cluster.fault = self.fault
        self.addCleanup(self._kill_processes)
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

    def _kill_processes(self) -> None:
        processes = [node.process for node in self.cluster.nodes.values()]
        for process in [*processes, *self.cluster.targets.values()]:
            if process.poll() is None:
                self.cluster.kill(process)

    def request(self, method: str, address: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request; return its status and body, or (0, None) if there is no answer."""
        timeout = {"timeout": dict.fromkeys(("connect", "read", "write"), TIME_LIMIT_S)}
        content = None if body is None else encode_json(body)
        try:
            response = self.pool.request(
                method, f"http://{address}{path}", content=content, extensions=timeout
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return 0, None
        return response.status, decode_json(response.content) if response.content else None

    def address(self, name: str) -> str:
        """Return the address on which a node accepts callers."""
        return self.cluster.nodes[name].caller_address

    def apply(
        self, declaration: dict[str, Any], change_id: str, base: int, node: str = "n1"
    ) -> dict[str, Any]:
        """Apply a declaration through a node; return the answer."""
        body = {
            "change_id": change_id,
            "operator": "ada",
            "base_revision": base,
            "declaration": declaration,
        }
        return self.request("POST", self.address(node), "/v1/operator/apply", body)[1]

    def status(self, name: str) -> dict[str, Any]:
        """Return a node's status, or an empty dictionary if it does not answer."""
        return self.request("GET", self.address(name), "/v1/operator/status")[1] or {}

    def is_ready(self, name: str) -> bool:
        """Return whether a node is ready."""
        return self.request("GET", self.address(name), "/readyz")[0] == 200

    def all_ready(self) -> bool:
        """Return whether all nodes are ready."""
        return all(self.is_ready(name) for name in self.cluster.nodes)

    def pools(self) -> dict[str, Any]:
        """Return the pools' assignments as seen by the first running node that answers."""
        for name, node in self.cluster.nodes.items():
            if node.process.poll() is None:
                pools = self.status(name).get("pools")
                if pools is not None:
                    return pools
        return {}

    def leader(self) -> str:
        """Wait for a leader and return its name."""
        self.wait_until("there is a leader", lambda: bool(self._find_leaders()))
        return self._find_leaders()[0]

    def _find_leaders(self) -> list[str]:
        return [name for name in self.cluster.nodes if self.status(name).get("role") == "leader"]

    def scheduler(self) -> str:
        """Return the name of the node that schedules the pool of engines."""
        return self.pools()["dc1/coach"]["node"]

    def kill(self, name: str) -> None:
        """Send SIGKILL to a node and wait for its exit."""
        self.cluster.kill(self.cluster.nodes[name].process)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.cluster.nodes[name].process.send_signal(number)

    def wait_until(self, description: str, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; fail with the nodes' logs after `TIME_LIMIT_S`."""
        deadline_s = time.monotonic() + TIME_LIMIT_S
        while not condition():
            if time.monotonic() > deadline_s:
                logs = [
                    f"--- {log.name}\n{log.read_text()[-1500:]}"
                    for log in sorted(self.folder.glob("n*.log"))
                ]
                self.fail(
                    f"condition not met within {TIME_LIMIT_S:.0f} s: {description}\n"
                    + "\n".join(logs)
                )
            time.sleep(POLL_INTERVAL_S)

    def start_load(self) -> Load:
        """Start a load and wait for its first answers."""
        load = Load(self.cluster.caller_addresses)
        self.addCleanup(load.stop)
        load.start()
        self.wait_for_answers(load, 8)
        return load

    def wait_for_answers(self, load: Load, count: int) -> None:
        """Wait until `count` more requests have been answered."""
        target_count = load.answered_count() + count
        self.wait_until(f"{count} more answers", lambda: load.answered_count() >= target_count)

    def executions(self) -> list[str]:
        """Return the learner of every executed posting."""
        executed = []
        for address in self.services:
            runs = self.request("GET", address, "/executions")[1]["executions"]
            executed += [decode_json(run["body"].encode())["learner"] for run in runs]
        return executed

    def check_outcomes(self, load: Load) -> None:
        """Stop the load and check every outcome.

        Answered prompts are complete, an answered posting ran, one reported as not run did not, and
        none ran more than once.
        """
        load.stop()
        executed = self.executions()
        self.assertEqual(len(executed), len(set(executed)), "a posting ran more than once")
        whole = "".join(f"w{number} " for number in range(ANSWER_TOKENS))
        for item in load.sent:
            outcome = item.result.outcome
            if not item.key and outcome is CallOutcome.ANSWERED:
                self.assertEqual(item.result.text, whole)
            if item.key and outcome is CallOutcome.ANSWERED:
                self.assertIn(item.key, executed)
            if item.key and outcome is CallOutcome.NOT_RUN:
                self.assertNotIn(item.key, executed)
