"""Tests of invalid and conflicting announcements of targets."""

from __future__ import annotations

import unittest
from typing import Any

from expression import Result

from marigoldarch.targets import Announcement, parse_announcement
from marigoldarch_node.edge import targets
from marigoldarch_node.edge.http import HttpError
from marigoldarch_node.edge.targets import TargetIdentities

ANNOUNCEMENT = {
    "target": "e1",
    "incarnation": "i1",
    "kind": "engine",
    "name": "coach",
    "address": "127.0.0.1:9",
    "data_centre": "dc1",
    "ttl_ms": 1000.0,
}


def announce(**changes: Any) -> Announcement:
    """Return an announcement with some fields changed."""
    return parse_announcement({**ANNOUNCEMENT, **changes}).ok


class AnnouncementParsingTests(unittest.TestCase):
    """Announcements with invalid values are refused before they reach the reducer."""

    def assert_refused(self, **changes: Any) -> None:
        """Check that an announcement with some fields changed is refused."""
        match parse_announcement({**ANNOUNCEMENT, **changes}):
            case Result(tag="ok", ok=announcement):
                self.fail(announcement)

    def test_holdings_must_be_permits(self) -> None:
        for text in ("", "x", "1", "1-", "1-2-3", "-1-2", "1-2\n", "9" * 30 + "-1"):
            self.assert_refused(holdings=[text])
        self.assertEqual(announce(holdings=["3-14"]).holdings, ("3-14",))

    def test_numbers_out_of_range_are_refused(self) -> None:
        for ttl_ms in (0, -1, 10**9):
            self.assert_refused(ttl_ms=ttl_ms)
        for tokens in (-1, 10**30, 1.5, "7"):
            self.assert_refused(memory_tokens=tokens)
        self.assert_refused(load={"running": -1})

    def test_names_and_addresses_are_checked(self) -> None:
        for name in ("", " ", "a b", "a" * 65, "e1\n", "../e"):
            self.assert_refused(target=name)
            self.assert_refused(name=name)
        for address in ("", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:1/path"):
            self.assert_refused(address=address)


class TargetIdentitiesTests(unittest.TestCase):
    """A target name cannot be taken over from another address while its lease lasts."""

    def setUp(self) -> None:
        self.identities = TargetIdentities()
        self.identities.register(announce(), 0.0)

    def test_other_incarnation_at_another_address_is_refused_until_the_lease_ends(self) -> None:
        impostor = announce(incarnation="i2", address="127.0.0.1:10")
        with self.assertRaises(HttpError) as caught:
            self.identities.register(impostor, 400.0)
        self.assertEqual((caught.exception.kind, caught.exception.status), ("identity_in_use", 409))
        self.assertEqual(caught.exception.retry_after_ms, 600.0)
        self.identities.register(impostor, 1000.0)

    def test_refused_announcement_does_not_change_the_lease(self) -> None:
        with self.assertRaises(HttpError):
            self.identities.register(announce(incarnation="i2", address="127.0.0.1:10"), 400.0)
        self.identities.register(announce(), 500.0)

    def test_restart_at_the_same_address_is_accepted(self) -> None:
        self.identities.register(announce(incarnation="i2"), 100.0)

    def test_address_must_be_an_ip_address(self) -> None:
        with self.assertRaises(HttpError):
            self.identities.register(announce(target="e2", address="metadata.internal:80"), 0.0)

    def test_number_of_targets_is_limited_and_expired_ones_are_removed(self) -> None:
        self.identities = TargetIdentities()
        for number in range(targets.MAX_KNOWN_TARGETS):
            self.identities.register(announce(target=f"e{number}"), 0.0)
        with self.assertRaises(HttpError):
            self.identities.register(announce(target="one-more"), 10.0)
        self.identities.register(announce(target="one-more"), 2000.0)
        self.assertEqual(len(self.identities), 1)
