"""Tests of the caller's side of the directory's contract."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marigoldarch_fakes.caller import Caller, CallOutcome, CallResult
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings

TIME_LIMIT_S = 20.0
NOBODY = "127.0.0.1:1"


class ScriptedNode:
    """A node that answers the directory with fixed addresses, and calls as a script says."""

    def __init__(self, answer: Callable[[HttpRequest], Awaitable[None]]) -> None:
        self._answer = answer
        self.addresses: list[str] = []
        self.calls = 0

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        routes = [
            Route("GET", "/v1/directory", self._serve_directory),
            Route("POST", "/v1/", self._serve_call, is_prefix=True),
        ]
        listener = Listener(Router(routes), ListenerSettings("127.0.0.1:0"))
        return f"127.0.0.1:{await nursery.start(listener.serve, trio.Event())}"

    async def _serve_directory(self, request: HttpRequest) -> None:
        await request.send_json(200, {"addresses": self.addresses, "ttl_ms": 60_000})

    async def _serve_call(self, request: HttpRequest) -> None:
        self.calls += 1
        await request.read_body()
        await self._answer(request)


async def accept(request: HttpRequest) -> None:
    """Answer."""
    await request.send_json(200, {"ok": True})


async def refuse(request: HttpRequest) -> None:
    """Refuse as not run, for now."""
    raise HttpError(503, "no_target", "none", retry_after_ms=1.0)


async def refuse_for_good(request: HttpRequest) -> None:
    """Refuse as not run, without a time to come back."""
    raise HttpError(401, "unknown_key", "none")


async def cut(request: HttpRequest) -> None:
    """Break off after the head."""
    await request.start(200, "application/json", {})


async def fail(request: HttpRequest) -> None:
    """Fail after the request may have run."""
    raise HttpError(502, "target_failed", "none", run="unknown")


class CallerTests(unittest.TestCase):
    """Only what was certainly not run is sent again."""

    def call(self, *answers: Any, has_dead_first: bool = False) -> tuple[CallResult, list[int]]:
        """Call a service through scripted nodes; return the result and each node's calls."""
        results: list[Any] = []

        async def main() -> None:
            nodes = [ScriptedNode(answer) for answer in answers]
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    addresses = [await node.start(nursery) for node in nodes]
                    listed = [NOBODY, *addresses] if has_dead_first else addresses
                    for node in nodes:
                        node.addresses = listed
                    caller = Caller([NOBODY, *addresses], "key")
                    results.append(await caller.call("book", "post", {}, "k1"))
                    results.append([node.calls for node in nodes])
                    nursery.cancel_scope.cancel()

        trio.run(main)
        return results[0], results[1]

    def test_refused_connection_leads_to_the_next_address(self) -> None:
        result, calls = self.call(accept, has_dead_first=True)
        self.assertEqual((result.outcome, result.tries, calls), (CallOutcome.ANSWERED, 2, [1]))

    def test_refusal_with_a_time_to_come_back_is_tried_at_the_alternate(self) -> None:
        result, calls = self.call(refuse, accept)
        self.assertEqual((result.outcome, calls), (CallOutcome.ANSWERED, [1, 1]))

    def test_refusal_without_a_time_to_come_back_is_final(self) -> None:
        result, calls = self.call(refuse_for_good, accept)
        self.assertEqual((result.outcome, calls), (CallOutcome.NOT_RUN, [1, 0]))

    def test_what_may_have_run_is_not_sent_again(self) -> None:
        for answer in (cut, fail):
            result, calls = self.call(answer, accept)
            self.assertEqual((result.outcome, calls), (CallOutcome.UNKNOWN, [1, 0]))

    def test_without_any_node_the_outcome_is_not_run(self) -> None:
        async def main() -> CallResult:
            return await Caller([NOBODY], "key").call("book", "post", {}, "k1")

        self.assertEqual(trio.run(main).outcome, CallOutcome.NOT_RUN)
