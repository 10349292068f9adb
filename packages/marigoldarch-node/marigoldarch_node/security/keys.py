"""The access keys of operators, targets and peers, of which only SHA-256 digests are stored.

Customers' keys are not configured here: their teams declare them, also as digests.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import tomllib
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from marigoldarch.exceptions import ConfigurationError

SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")
MAX_KEYS_FILE_BYTES = 64 * 1024


class Role(StrEnum):
    """The kind of client that presents a key."""

    OPERATOR = "operator"
    TARGET = "target"
    PEER = "peer"


class KeyDigests(NamedTuple):
    """The SHA-256 digests, in lower-case hexadecimal, of the keys that each role may present."""

    operator: tuple[str, ...] = ()
    target: tuple[str, ...] = ()
    peer: tuple[str, ...] = ()


class KeyRing:
    """Checks presented keys in constant time against digests that can be replaced at any time.

    A role without digests needs no key. A role may have several digests, so that an old key stays
    valid while a new one is rolled out.
    """

    def __init__(self, digests: KeyDigests) -> None:
        self._digests = digests

    def replace(self, digests: KeyDigests) -> None:
        """Use these digests for all later checks."""
        self._digests = digests

    def accepts_any_key(self, role: Role) -> bool:
        """Return whether the role has no digests, so that any key, or none, is accepted."""
        return not getattr(self._digests, role)

    def allows(self, role: Role, key: str) -> bool:
        """Return whether the role may present this key.

        All digests are compared, also after a match, to keep the time constant.
        """
        digests: tuple[str, ...] = getattr(self._digests, role)
        presented = digest_of(key)
        has_match = False
        for digest in digests:
            has_match |= hmac.compare_digest(digest, presented)
        return has_match or not digests


def digest_of(key: str) -> str:
    """Return the SHA-256 digest of a key in lower-case hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_keys_file(path: Path) -> KeyDigests:
    """Read a TOML file with `operator`, `target` and `peer` as lists of digests.

    Raises `ConfigurationError`, whose text names the option and never shows the file's content.
    """
    try:
        with path.open("rb") as file:
            document = tomllib.loads(file.read(MAX_KEYS_FILE_BYTES).decode())
    except OSError as error:
        raise _keys_file_error(f"cannot read it: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _keys_file_error("it is not valid TOML") from error
    unknown = sorted(set(document) - set(KeyDigests._fields))
    if unknown:
        raise _keys_file_error(f"use only the keys {', '.join(KeyDigests._fields)}")
    for name, digests in document.items():
        is_list = isinstance(digests, list) and all(isinstance(item, str) for item in digests)
        if not is_list or not all(SHA256_HEX.match(item) for item in digests):
            raise _keys_file_error(f"{name} must be a list of lower-case SHA-256 digests")
    return KeyDigests(**{name: tuple(digests) for name, digests in document.items()})


def _keys_file_error(remedy: str) -> ConfigurationError:
    return ConfigurationError(f"--keys-file (MARIGOLDARCH_KEYS_FILE): {remedy}")
