"""Tests of messages between nodes of an older and a newer build."""

from __future__ import annotations

import unittest

from marigoldarch.identifiers import PermitId, PoolId
from marigoldarch.messages import MESSAGES, PermitReleased


class MessageTests(unittest.TestCase):
    """Fields that were added later have defaults."""

    def test_release_of_a_node_that_does_not_know_lost_connections_is_understood(self) -> None:
        """Guards against permits that are not freed while nodes are upgraded one by one."""
        message = PermitReleased(
            PoolId("dc1", "coach"), "r1", 1, PermitId(5, 1), True, "e1", 3.0, 0, True
        )
        name, fields = MESSAGES.to_plain(message)
        del fields["is_connection_lost"]
        decoded = MESSAGES.from_plain([name, fields])
        self.assertEqual(decoded.failed_target, "e1")
        self.assertFalse(decoded.is_connection_lost)

    def test_unknown_fields_of_a_newer_node_are_ignored(self) -> None:
        message = PermitReleased(PoolId("dc1", "coach"), "r1", 1, None)
        name, fields = MESSAGES.to_plain(message)
        self.assertEqual(MESSAGES.from_plain([name, {**fields, "added_later": 1}]), message)
