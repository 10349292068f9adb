"""Tests of addresses that others have written."""

from __future__ import annotations

import unittest

from marigoldarch.addresses import is_address

ODD_ADDRESSES = (
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:1e3",
    "127.0.0.1:\u0663\u0663",
    "127.0.0.256:80",
    "desk.example:80",
    "::1:80",
    "[::1]:80",
    "\ud800:80",
    "127.0.0.1\x00:80",
)


class AddressTests(unittest.TestCase):
    """Load pattern: another writer leaves an odd entry among those of targets and nodes."""

    def test_only_an_ip_and_a_port_are_an_address(self) -> None:
        self.assertTrue(is_address("127.0.0.1:65535"))
        for text in ODD_ADDRESSES:
            self.assertFalse(is_address(text), text[:30])
