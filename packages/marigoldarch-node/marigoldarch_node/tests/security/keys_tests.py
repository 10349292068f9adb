"""Tests of access keys, the keys file and its reloading."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from marigoldarch.exceptions import ConfigurationError
from marigoldarch_node.security.credential_store import CredentialStore
from marigoldarch_node.security.keys import KeyDigests, KeyRing, Role, digest_of, read_keys_file
from marigoldarch_node.tests.harness import node_settings

OLD, NEW = "old-operator-key", "new-operator-key"


class KeyRingTests(unittest.TestCase):
    """A key is accepted only for its own role."""

    def setUp(self) -> None:
        digests = KeyDigests(operator=(digest_of(OLD), digest_of(NEW)), target=(digest_of("t"),))
        self.ring = KeyRing(digests)

    def test_each_of_several_keys_of_a_role_is_accepted(self) -> None:
        self.assertTrue(self.ring.allows(Role.OPERATOR, OLD))
        self.assertTrue(self.ring.allows(Role.OPERATOR, NEW))

    def test_wrong_role_digest_empty_and_altered_keys_are_refused(self) -> None:
        for key in ("t", digest_of(OLD), "", OLD + " ", "\u00e9"):
            self.assertFalse(self.ring.allows(Role.OPERATOR, key))

    def test_role_without_digests_accepts_any_key(self) -> None:
        self.assertTrue(self.ring.accepts_any_key(Role.PEER))
        self.assertTrue(self.ring.allows(Role.PEER, "anything"))


class KeysFileTests(unittest.TestCase):
    """The keys file is validated, and reloaded while the node runs."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "keys.toml"

    def write(self, key: str) -> None:
        """Write a file that allows one operator key."""
        self.path.write_text(f'operator = ["{digest_of(key)}"]\n')

    def test_malformed_files_are_refused_without_showing_their_content(self) -> None:
        for text in ("operator = 5", 'operator = ["plain-secret"]', "x = []", "\\", "\x00"):
            self.path.write_text(text)
            with self.subTest(text), self.assertRaises(ConfigurationError) as caught:
                read_keys_file(self.path)
            self.assertIn("--keys-file (MARIGOLDARCH_KEYS_FILE)", str(caught.exception))
            self.assertNotIn("plain-secret", str(caught.exception))

    def test_reload_replaces_the_keys_unless_the_file_is_broken_or_missing(self) -> None:
        self.write(OLD)
        settings = node_settings(self.folder / "data", keys_file=str(self.path))
        security = CredentialStore(settings)
        self.assertTrue(security.keys.allows(Role.OPERATOR, OLD))
        self.write(NEW)
        security.reload()
        self.assertFalse(security.keys.allows(Role.OPERATOR, OLD))
        self.assertTrue(security.keys.allows(Role.OPERATOR, NEW))
        self.path.write_text("broken")
        security.reload()
        self.assertTrue(security.keys.allows(Role.OPERATOR, NEW))
        self.path.unlink()
        security.reload()
        self.assertTrue(security.keys.allows(Role.OPERATOR, NEW))
