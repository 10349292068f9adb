"""The keys of operators, targets and peers: only their digests are kept.

Customers' keys are declared by their teams, also as digests.
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
    """Who presents a key."""

    OPERATOR = "operator"
    TARGET = "target"
    PEER = "peer"


class KeyDigests(NamedTuple):
    """The SHA-256 digests of the keys that each role may present."""

    operator: tuple[str, ...] = ()
    target: tuple[str, ...] = ()
    peer: tuple[str, ...] = ()


class KeyRing:
    """Check keys in constant time against digests that can be replaced at any time.

    A role without digests needs no key. Several digests of a role let old and new keys overlap.
    """

    def __init__(self, digests: KeyDigests) -> None:
        self._digests = digests

    def replace(self, digests: KeyDigests) -> None:
        """Use other digests from now on."""
        self._digests = digests

    def accepts_any_key(self, role: Role) -> bool:
        """Return whether the role needs no key."""
        return not getattr(self._digests, role)

    def allows(self, role: Role, key: str) -> bool:
        """Return whether a key is one of the role's; every digest is compared each time."""
        digests: tuple[str, ...] = getattr(self._digests, role)
        presented = digest_of(key)
        is_known = False
        for known in digests:
            is_known |= hmac.compare_digest(known, presented)
        return is_known or not digests


def digest_of(key: str) -> str:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_keys_file(path: Path) -> KeyDigests:
    """Read a TOML file with `operator`, `target` and `peer` as lists of digests.

    Raises `ConfigurationError`, which names the option and never shows what the file holds.
    """
    try:
        with path.open("rb") as file:
            plain = tomllib.loads(file.read(MAX_KEYS_FILE_BYTES).decode())
    except OSError as error:
        raise _problem(f"cannot read it: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _problem("it is not valid TOML") from error
    unknown = sorted(set(plain) - set(KeyDigests._fields))
    if unknown:
        raise _problem(f"use only {', '.join(KeyDigests._fields)}")
    for name, digests in plain.items():
        is_list = isinstance(digests, list) and all(isinstance(item, str) for item in digests)
        if not is_list or not all(SHA256_HEX.match(item) for item in digests):
            raise _problem(f"{name} must be a list of lower-case SHA-256 digests")
    return KeyDigests(**{name: tuple(digests) for name, digests in plain.items()})


def _problem(remedy: str) -> ConfigurationError:
    return ConfigurationError(f"--keys-file (MARIGOLDARCH_KEYS_FILE): {remedy}")
