"""Fuzz tests of all routes.

No input may cause a 500, leave a call or reply open, or stop the node from serving.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from marigoldarch.codec import encode_json
from marigoldarch_node.tests import harness

EXAMPLES = 300
MAX_CONCURRENT_REQUESTS = 8

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)

VALID_BODIES: dict[str, dict[str, Any]] = {
    "/v1/chat/completions": {
        "model": "coach",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 4,
        "stream": False,
    },
    "/v1/completions": {"model": "coach", "prompt": "hello", "max_tokens": 4},
    "/v1/services/gradebook/look": {"learner": "lena"},
    "/v1/services/gradebook/post": {"learner": "lena"},
    "/v1/targets/announce": {
        "target": "e1",
        "incarnation": "i1",
        "kind": "engine",
        "name": "coach",
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "memory_tokens": 1000,
        "holdings": ["1-1"],
        "load": {"running": 1},
    },
    "/v1/targets/cache-events": {
        "target": "e1",
        "data_centre": "dc1",
        "name": "coach",
        "sequence": 1,
        "stored": ["a"],
    },
    "/v1/operator/apply": {
        "change_id": "c2",
        "operator": "ada",
        "base_revision": 0,
        "declaration": harness.DECLARATION,
        "wait_ms": 10,
    },
}
VALID_BODIES["/v1/operator/repair"] = {"lost": "n8", "replacement": "n9", "wait_ms": 10}
GET_PATHS = (
    "/v1/operator/history?team=guild",
    "/v1/models",
    "/v1/directory",
    "/v1/operator/view",
    "/v1/operator/status",
    "/v1/operator/timeline",
    "/healthz",
    "/readyz",
    "/metrics",
    "/nothing/here",
    "/v1/services/",
    "/v1/services/gradebook",
)
KEYS = (harness.KEY, harness.OPERATOR_KEY, harness.TARGET_KEY, "another-key", "")
HEADER_LISTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "x-marigoldarch-kind",
                "x-marigoldarch-deadline-ms",
                "idempotency-key",
                "accept",
                "content-type",
                "authorization",
            ]
        ),
        st.sampled_from(["quiz", "50", "-1", "nan", "inf", "1e308", "0x10", "*/*", "Bearer", ""])
        | st.text(st.characters(max_codepoint=255), max_size=300),
    ),
    max_size=5,
)


@st.composite
def bodies(draw: st.DrawFn, valid: dict[str, Any]) -> bytes:
    """Draw a body: valid, changed or unknown fields, any JSON, nested, truncated, or any bytes."""
    form = draw(st.sampled_from(["valid", "changed", "json", "cut", "bytes", "deep"]))
    if form == "bytes":
        return draw(st.binary(max_size=60))
    if form == "deep":
        return b"[" * draw(st.integers(1, 50_000))
    if form == "json":
        return encode_json(draw(JSON_VALUES))
    plain = dict(valid)
    if form == "changed":
        field = draw(st.sampled_from([*valid, "unknown"]))
        plain[field] = draw(JSON_VALUES)
    data = encode_json(plain)
    return data[: draw(st.integers(0, len(data)))] if form == "cut" else data


@st.composite
def requests(draw: st.DrawFn) -> dict[str, Any]:
    """Draw a request to any route."""
    path = draw(st.sampled_from([*VALID_BODIES, *GET_PATHS]))
    body = draw(bodies(VALID_BODIES.get(path, {})))
    if path not in VALID_BODIES:
        path += draw(st.sampled_from(["", "?data_centre=dc9", "?" + "a=1&" * 40, "?%ff=%"]))
    method = draw(
        st.sampled_from(["POST" if path in VALID_BODIES else "GET", "GET", "POST", "PUT"])
    )
    return {
        "method": method,
        "path": path,
        "headers": draw(HEADER_LISTS),
        "body": body,
        "key": draw(st.sampled_from(KEYS)),
        "disconnects": draw(st.booleans()),
    }


class RouteFuzzTests(unittest.TestCase):
    """Random requests to one running node."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.thread = harness.NodeThread(Path(folder.name))
        cls.thread.start()
        cls.addClassCleanup(cls.thread.stop)

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(requests(), min_size=1, max_size=MAX_CONCURRENT_REQUESTS))
    def test_every_request_is_answered_and_the_node_keeps_serving(
        self, batch: list[dict[str, Any]]
    ) -> None:
        self.thread.run(self._serve_batch, batch)

    async def _serve_batch(self, batch: list[dict[str, Any]]) -> None:
        node = self.thread.node
        async with trio.open_nursery() as callers:
            for request in batch:
                callers.start_soon(self._send, node, request)
        self.assertEqual(len(node.runtime.calls), 0)
        self.assertEqual(node.runtime.state.active, 0)
        self.assertEqual(node.runtime.operator_replies, {})
        self.assertEqual(node.public_router.buffered_bytes, 0)
        self.assertEqual((await node.get("/readyz")).status, 200)
        view = node.runtime.state.control.member.view
        self.assertIsNotNone(view.find_customer(harness.digest(harness.KEY)))

    async def _send(self, node: harness.Node, request: dict[str, Any]) -> None:
        headers = [("x-marigoldarch-deadline-ms", "100"), *request["headers"]]
        response = await harness.send(
            node.public_router,
            request["method"],
            request["path"],
            headers,
            request["body"],
            request["key"],
            disconnects=request["disconnects"],
        )
        self.assertNotIn(response.status, (0, 500), (request, response))
        self.assertTrue(response.is_ended, (request, response))
        if response.status >= 400:
            self.assertTrue({"error", "status", "ready"} & set(response.json), response)
