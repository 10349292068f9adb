"""Tests of what a request and its repeats have in common."""

from __future__ import annotations

import unittest

from marigoldarch.serving.request_identity import IDENTITY_PREFIX, request_identity


class RequestIdentityTests(unittest.TestCase):
    """Requests that differ in their caller, method, path or body, and repeats that do not."""

    def test_repeats_have_the_same_identity(self) -> None:
        identity = request_identity("key-1", "POST", "/post/x", b"body")
        self.assertEqual(identity, request_identity("key-1", "POST", "/post/x", b"body"))
        self.assertTrue(identity.startswith(IDENTITY_PREFIX))

    def test_other_requests_have_another_identity(self) -> None:
        requests = [
            ("key-1", "POST", "/post/x", b"body"),
            ("key-2", "POST", "/post/x", b"body"),
            ("key-1", "GET", "/post/x", b"body"),
            ("key-1", "POST", "/post/xb", b"ody"),
            ("key-1", "POST", "/post/x", b"bodY"),
            ("", "POST", "/post/x", b"body"),
        ]
        self.assertEqual(len({request_identity(*item) for item in requests}), len(requests))

    def test_keys_and_paths_of_any_characters_are_accepted(self) -> None:
        self.assertTrue(request_identity("\xff\udcff" * 100, "GET", "/\xff\udcff", b"\xff"))
