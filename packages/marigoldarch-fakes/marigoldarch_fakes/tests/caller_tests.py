"""Tests of when the caller tries the next address."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marigoldarch_fakes.caller import Caller, CallOutcome, CallResult
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings

TIME_LIMIT_S = 20.0
CLOSED_ADDRESS = "127.0.0.1:1"


class ScriptedNode:
    """A node with fixed directory addresses that passes every call to a given handler."""

    def __init__(self, answer: Callable[[HttpRequest], Awaitable[None]]) -> None:
        self._answer = answer
        self.addresses: list[str] = []
        self.calls = 0

    async def start(self, nursery: trio.Nursery) -> str:
        """Start listening and return the address."""
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
    """Answer with status 200."""
    await request.send_json(200, {"ok": True})


async def refuse(request: HttpRequest) -> None:
    """Refuse as not run, with a retry delay."""
    raise HttpError(503, "no_target", "none", retry_after_ms=1.0)


async def refuse_without_retry(request: HttpRequest) -> None:
    """Refuse as not run, without a retry delay."""
    raise HttpError(401, "unknown_key", "none")


async def cut_after_headers(request: HttpRequest) -> None:
    """Send the response headers and end without a body."""
    await request.start(200, "application/json", {})


async def fail_after_run(request: HttpRequest) -> None:
    """Answer with an error that leaves open whether the request ran."""
    raise HttpError(502, "target_failed", "none", run="unknown")


class CallerTests(unittest.TestCase):
    """Only a request that certainly did not run is sent again."""

    def call(self, *answers: Any, has_closed_first: bool = False) -> tuple[CallResult, list[int]]:
        """Call a service through scripted nodes; return the result and each node's call count."""
        results: list[Any] = []

        async def main() -> None:
            nodes = [ScriptedNode(answer) for answer in answers]
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    addresses = [await node.start(nursery) for node in nodes]
                    listed = [CLOSED_ADDRESS, *addresses] if has_closed_first else addresses
                    for node in nodes:
                        node.addresses = listed
                    caller = Caller([CLOSED_ADDRESS, *addresses], "key")
                    results.append(await caller.call("book", "post", {}, "k1"))
                    results.append([node.calls for node in nodes])
                    nursery.cancel_scope.cancel()

        trio.run(main)
        return results[0], results[1]

    def test_refused_connection_is_retried_at_the_next_address(self) -> None:
        result, calls = self.call(accept, has_closed_first=True)
        self.assertEqual((result.outcome, result.attempts, calls), (CallOutcome.ANSWERED, 2, [1]))

    def test_refusal_with_a_retry_delay_is_retried_at_the_next_address(self) -> None:
        result, calls = self.call(refuse, accept)
        self.assertEqual((result.outcome, calls), (CallOutcome.ANSWERED, [1, 1]))

    def test_refusal_without_a_retry_delay_is_final(self) -> None:
        result, calls = self.call(refuse_without_retry, accept)
        self.assertEqual((result.outcome, calls), (CallOutcome.NOT_RUN, [1, 0]))

    def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        for answer in (cut_after_headers, fail_after_run):
            result, calls = self.call(answer, accept)
            self.assertEqual((result.outcome, calls), (CallOutcome.UNKNOWN, [1, 0]))

    def test_outcome_is_not_run_when_no_node_is_reachable(self) -> None:
        async def main() -> CallResult:
            return await Caller([CLOSED_ADDRESS], "key").call("book", "post", {}, "k1")

        self.assertEqual(trio.run(main).outcome, CallOutcome.NOT_RUN)
