"""Tests of the limits and error responses of the HTTP layer."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import trio
import trio.testing

from marigoldarch.exceptions import NodeFailedError
from marigoldarch_node.edge import http
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.tests.harness import Response, send


async def echo(request: HttpRequest) -> None:
    """Answer with the JSON body of the request."""
    await request.send_json(200, await request.read_json(max_bytes=100))


async def crash(request: HttpRequest) -> None:
    """Raise an unexpected exception."""
    raise KeyError("a fault")


async def crash_late(request: HttpRequest) -> None:
    """Raise an unexpected exception after the response headers are sent."""
    await request.start(200, "text/plain", {})
    raise KeyError("a fault")


async def fail_node(request: HttpRequest) -> None:
    """Raise the error of a reducer that failed."""
    raise NodeFailedError("broken")


ROUTES = [
    Route("POST", "/echo", echo),
    Route("POST", "/crash", crash),
    Route("POST", "/late", crash_late),
    Route("POST", "/fail", fail_node),
]


def request(path: str, body: bytes = b"", headers: Any = (), method: str = "POST") -> Response:
    """Send one request to a new router."""
    return trio.run(send, Router(ROUTES), method, path, list(headers), body)


class RouterTests(unittest.TestCase):
    """Error responses have a type, a request id and tell whether the request was run."""

    def assert_error(self, response: Response, status: int, kind: str) -> None:
        """Check the status and body of an error response."""
        self.assertEqual(response.status, status, response)
        error = response.json["error"]
        self.assertEqual(error["type"], kind)
        self.assertTrue(error["request_id"])

    def test_body_over_the_limit_is_refused_and_its_memory_released(self) -> None:
        router = Router(ROUTES)
        response = trio.run(send, router, "POST", "/echo", [], b"x" * 101)
        self.assert_error(response, 413, "body_too_large")
        self.assertEqual(router.buffered_bytes, 0)

    def test_deeply_nested_body_is_malformed_json(self) -> None:
        with mock.patch.object(http, "MAX_BODY_BYTES", 10**6):
            router = Router([Route("POST", "/any", lambda r: r.read_json())])
            response = trio.run(send, router, "POST", "/any", [], b"[" * 100_000)
        self.assert_error(response, 400, "invalid_json")

    def test_body_that_is_not_utf8_is_malformed_json(self) -> None:
        self.assert_error(request("/echo", b'"\xff"'), 400, "invalid_json")

    def test_slow_body_times_out(self) -> None:
        sent: list[dict[str, Any]] = []

        async def drip() -> dict[str, Any]:
            await trio.sleep(1)
            return {"type": "http.request", "body": b" ", "more_body": True}

        async def collect(message: dict[str, Any]) -> None:
            sent.append(message)

        async def main() -> None:
            scope = {"type": "http", "method": "POST", "path": "/echo", "headers": []}
            await Router(ROUTES)({**scope, "query_string": b""}, drip, collect)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(sent[0]["status"], 408)

    def test_too_many_and_too_large_headers_are_refused(self) -> None:
        many = [(f"x-{number}", "v") for number in range(http.MAX_HEADERS + 1)]
        self.assert_error(request("/echo", b"1", many), 431, "headers_too_large")
        large = [("x-large", "v" * (http.MAX_HEADER_BYTES + 1))]
        self.assert_error(request("/echo", b"1", large), 431, "headers_too_large")

    def test_unknown_path_and_unsupported_method_have_different_errors(self) -> None:
        self.assert_error(request("/nowhere"), 404, "not_found")
        self.assert_error(request("/echo", method="GET"), 405, "method_not_allowed")

    def test_memory_of_all_bodies_together_is_limited(self) -> None:
        budget = http.MemoryBudget(limit_bytes=10)
        budget.reserve(8)
        with self.assertRaises(http.HttpError) as caught:
            budget.reserve(3)
        self.assertEqual(caught.exception.status, 503)
        self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_open_requests_are_limited(self) -> None:
        router = Router(ROUTES, max_open_requests=0)
        response = trio.run(send, router, "POST", "/echo", [], b"1")
        self.assert_error(response, 503, "overloaded")
        self.assertEqual(response.headers["retry-after"], "1")
        self.assertEqual(router.open_requests, 0)

    def test_exception_in_a_handler_is_answered_with_unknown_run(self) -> None:
        response = request("/crash")
        self.assert_error(response, 500, "internal_error")
        self.assertEqual(response.json["error"]["run"], "unknown")

    def test_exception_after_the_headers_leaves_the_response_incomplete(self) -> None:
        response = request("/late")
        self.assertEqual((response.status, response.is_ended), (200, False))

    def test_node_failure_is_raised_through_the_router(self) -> None:
        with self.assertRaises(NodeFailedError):
            request("/fail")
