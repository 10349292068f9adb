"""Tests of the operator routes for declarations and repairs: rights, retries and conflicts."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

from marigoldarch_node.tests import harness

ADAS_KEY = "adas-own-key"


def change(change_id: str, declaration: dict[str, Any], base: int = 0) -> dict[str, Any]:
    """Return the body of an apply request."""
    return {
        "change_id": change_id,
        "operator": "root",
        "base_revision": base,
        "declaration": declaration,
    }


OPERATORS = change(
    "o1",
    {"operators": {"ada": {"key_sha256": [harness.digest(ADAS_KEY)], "teams": ["vetting"]}}},
)


class DeclarationRoutesTests(unittest.TestCase):
    """One node with a root key and one declared operator."""

    @classmethod
    def setUpClass(cls) -> None:
        scratch = tempfile.TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        cls.thread = harness.NodeThread(Path(scratch.name))
        cls.thread.start()
        cls.addClassCleanup(cls.thread.stop)
        cls.post("/v1/operator/apply", OPERATORS, harness.OPERATOR_KEY)

    @classmethod
    def post(cls, path: str, body: dict[str, Any], key: str) -> harness.Response:
        """Send a POST to the node."""
        return cls.thread.run(cls.thread.node.post, path, body, key)

    def test_operator_changes_only_its_own_subtree(self) -> None:
        own = self.post("/v1/operator/apply", change("a1", {"team": "vetting"}), ADAS_KEY)
        self.assertEqual(own.status, 200)
        other = self.post("/v1/operator/apply", change("a2", {"team": "guild"}), ADAS_KEY)
        self.assertEqual(other.status, 403)
        rights = self.post("/v1/operator/apply", {**OPERATORS, "change_id": "a3"}, ADAS_KEY)
        self.assertEqual(rights.status, 403)

    def test_operator_name_in_the_body_grants_no_rights(self) -> None:
        body = {**change("b1", {"team": "other"}), "operator": "root"}
        self.assertEqual(self.post("/v1/operator/apply", body, ADAS_KEY).status, 403)
        self.assertEqual(self.post("/v1/operator/apply", body, "wrong-key").status, 401)

    def test_resent_change_gets_the_first_answer_and_a_conflicting_one_names_the_winner(
        self,
    ) -> None:
        body = change("c9", {"team": "racing"})
        first = self.post("/v1/operator/apply", body, harness.OPERATOR_KEY)
        again = self.post("/v1/operator/apply", body, harness.OPERATOR_KEY)
        self.assertEqual((first.status, again.body), (200, first.body))
        lost = self.post("/v1/operator/apply", {**body, "change_id": "d9"}, harness.OPERATOR_KEY)
        self.assertEqual(lost.status, 409)
        self.assertIn(b'"winner":"c9"', lost.body)

    def test_only_the_root_operator_may_repair_and_drain(self) -> None:
        body = {"lost": "n1", "replacement": "n1"}
        self.assertEqual(self.post("/v1/operator/repair", body, ADAS_KEY).status, 403)
        self.assertEqual(self.post("/v1/operator/drain", {}, ADAS_KEY).status, 403)

    def test_operators_cannot_be_declared_without_a_root_key(self) -> None:
        with tempfile.TemporaryDirectory() as scratch:
            thread = harness.NodeThread(Path(scratch), operator_key_sha256="")
            thread.start()
            try:
                response = thread.run(thread.node.post, "/v1/operator/apply", OPERATORS, "")
            finally:
                thread.stop()
        self.assertEqual(response.status, 409)
        self.assertIn(b"no_root_key", response.body)
