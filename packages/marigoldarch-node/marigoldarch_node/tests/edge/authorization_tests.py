"""Tests of authorization by key, and that keys and prompts do not leak into answers or logs."""

from __future__ import annotations

import io
import tempfile
import unittest
from pathlib import Path

import logbook
import trio

from marigoldarch.codec import encode_json
from marigoldarch_node.logs import RateLimitedHandler
from marigoldarch_node.tests import harness

OPERATOR_ROUTES = (
    ("POST", "/v1/operator/apply"),
    ("GET", "/v1/operator/view"),
    ("GET", "/v1/operator/status"),
    ("GET", "/v1/operator/timeline"),
    ("GET", "/v1/operator/history"),
    ("POST", "/v1/operator/repair"),
    ("POST", "/v1/operator/drain"),
)
TARGET_ROUTES = (("POST", "/v1/targets/announce"), ("POST", "/v1/targets/cache-events"))
KEYS = {harness.KEY, harness.OPERATOR_KEY, harness.TARGET_KEY, "", "another-key"}


class AuthorizationTests(unittest.TestCase):
    """Customers, operators and targets cannot act as each other."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.thread = harness.NodeThread(Path(folder.name))
        cls.thread.start()
        cls.addClassCleanup(cls.thread.stop)

    def send(self, method: str, path: str, key: str, body: bytes = b"{}") -> harness.Response:
        """Send one request."""
        router = self.thread.node.public_router
        return self.thread.run(harness.send, router, method, path, [], body, key)

    def test_routes_accept_only_the_key_of_their_role(self) -> None:
        for routes, own in (
            (OPERATOR_ROUTES, harness.OPERATOR_KEY),
            (TARGET_ROUTES, harness.TARGET_KEY),
        ):
            for method, path in routes:
                for key in KEYS - {own}:
                    self.assertEqual(self.send(method, path, key).status, 401, (path, key))

    def test_customer_routes_require_a_declared_key(self) -> None:
        body = encode_json({"model": "coach", "prompt": "hi"})
        for key in KEYS - {harness.KEY}:
            response = self.send("POST", "/v1/completions", key, body)
            self.assertEqual(response.status, 401)
            self.assertEqual(response.json["error"]["run"], "not_run")
            self.assertEqual(self.send("GET", "/v1/models", key).status, 401)

    def test_keys_and_prompts_do_not_leak(self) -> None:
        stream = io.StringIO()
        secret, prompt = "a-secret-that-is-wrong", "the text of a prompt"
        with RateLimitedHandler(stream, logbook.DEBUG).applicationbound():
            for method, path in (*OPERATOR_ROUTES, *TARGET_ROUTES, ("GET", "/v1/models")):
                self.assertNotIn(secret, self.send(method, path, secret).body.decode())
            for key in (secret, harness.KEY):
                body = encode_json({"model": "coach", "prompt": prompt})
                shown = self.send("POST", "/v1/completions", key, body).body.decode()
                self.assertNotIn(key, shown)
                self.assertNotIn(prompt, shown)
        timeline = str(self.thread.node.runtime.recorder.events)
        for text in (secret, prompt, harness.KEY, harness.OPERATOR_KEY):
            self.assertNotIn(text, timeline + stream.getvalue())

    def test_cancelled_operator_request_leaves_no_pending_reply(self) -> None:
        change = {
            "change_id": "c9",
            "operator": "ada",
            "base_revision": 0,
            "declaration": harness.DECLARATION,
            "wait_ms": 0,
        }
        node = self.thread.node

        async def apply() -> None:
            with trio.move_on_after(0):
                await node.post("/v1/operator/apply", change, key=harness.OPERATOR_KEY)

        self.thread.run(apply)
        self.assertEqual(node.runtime.operator_replies, {})
