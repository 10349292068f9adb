"""Typed options; each parses and validates the value of one flag or environment variable."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Generic, TypeVar

from marigoldarch.addresses import is_address
from marigoldarch.exceptions import ConfigurationError
from marigoldarch.identifiers import NodeAddress

_SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")

T = TypeVar("T")

ENVIRONMENT_PREFIX = "MARIGOLDARCH_"

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}\Z")


class Option(Generic[T]):
    """An option that is named after the class attribute that declares it.

    An option with `is_required` has no default and must be given as a flag or a variable.
    """

    def __init__(self, help_text: str, default: T | None = None, *, is_required: bool = False):
        self.help_text = help_text
        self.default = default
        self.is_required = is_required
        self.name = ""

    def __set_name__(self, owner: type, name: str) -> None:
        self.name = name

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    def parse(self, raw: Any) -> T:
        """Return the validated value; raise `ConfigurationError` with the option and the remedy."""
        raise NotImplementedError

    def error(self, remedy: str) -> ConfigurationError:
        """Return, without raising it, the error of a missing or invalid value."""
        return ConfigurationError(f"{self.flag} ({self.variable}): {remedy}")


class Name(Option[str]):
    """A short name of a node or data centre."""

    def parse(self, raw: Any) -> str:
        """Return the validated name."""
        if not _NAME.match(str(raw)):
            raise self.error("use 1 to 64 of a-z, 0-9, '.', '_' and '-'")
        return str(raw)


class NameList(Option[tuple[str, ...]]):
    """A comma-separated list of names."""

    def parse(self, raw: Any) -> tuple[str, ...]:
        """Return the validated names."""
        items = raw if isinstance(raw, list | tuple) else str(raw).split(",")
        names = tuple(str(item) for item in items)
        if not all(_NAME.match(name) for name in names):
            raise self.error("use a comma-separated list of names, for example n1,n2,n3")
        return names


class Address(Option[str]):
    """An IPv4 address and port."""

    def parse(self, raw: Any) -> str:
        """Return the validated address."""
        if not is_address(str(raw)):
            raise self.error("use IP:PORT, for example 127.0.0.1:7000")
        return str(raw)


class PeerList(Option[tuple[NodeAddress, ...]]):
    """A comma-separated list of peers as NAME@DATA_CENTRE=CALLER_ADDRESS/PEER_ADDRESS."""

    def parse(self, raw: Any) -> tuple[NodeAddress, ...]:
        """Return the validated peers."""
        items = raw if isinstance(raw, list | tuple) else str(raw).split(",")
        return tuple(self._parse_one(str(item)) for item in items)

    def _parse_one(self, item: str) -> NodeAddress:
        name, _, addresses = item.partition("=")
        node, _, data_centre = name.partition("@")
        caller, _, peer = addresses.partition("/")
        is_valid = _NAME.match(node) and _NAME.match(data_centre)
        if not is_valid or not is_address(caller) or not is_address(peer):
            raise self.error("use NAME@DATA_CENTRE=IP:PORT/IP:PORT, separated by commas")
        return NodeAddress(node, data_centre, caller, peer)


class FilePath(Option[Path]):
    """The path of a file or folder; an empty text means none."""

    def parse(self, raw: Any) -> Path | None:
        """Return the path, or `None`; the file need not exist."""
        return Path(str(raw)) if str(raw) else None


class Choice(Option[str]):
    """One of a fixed set of values."""

    def __init__(self, help_text: str, default: str, choices: tuple[str, ...]) -> None:
        super().__init__(help_text, default)
        self.choices = choices

    def parse(self, raw: Any) -> str:
        """Return the chosen value."""
        if str(raw) not in self.choices:
            raise self.error(f"use one of {', '.join(self.choices)}")
        return str(raw)


class Number(Option[float]):
    """A number from `minimum` to `maximum`, both included."""

    def __init__(self, help_text: str, default: float, minimum: float, maximum: float) -> None:
        super().__init__(help_text, default)
        self.minimum = minimum
        self.maximum = maximum

    def parse(self, raw: Any) -> float:
        """Return the validated number."""
        try:
            value = float(raw)
        except (TypeError, ValueError):
            value = float("nan")
        if not self.minimum <= value <= self.maximum:
            raise self.error(f"use a number from {self.minimum:g} to {self.maximum:g}")
        return value


class Secret(Option[str]):
    """A credential; its value never occurs in an error text."""

    def parse(self, raw: Any) -> str:
        """Return the credential; empty if there is none."""
        if raw and len(str(raw)) < 8:
            raise self.error("use at least 8 characters")
        return str(raw or "")


class Sha256List(Option[tuple[str, ...]]):
    """A comma-separated list of SHA-256 digests of credentials."""

    def parse(self, raw: Any) -> tuple[str, ...]:
        """Return the validated digests."""
        items = raw if isinstance(raw, list | tuple) else str(raw).split(",")
        digests = tuple(str(item) for item in items if str(item))
        if not all(_SHA256_HEX.match(digest) for digest in digests):
            raise self.error("use lower-case SHA-256 digests of keys, separated by commas")
        return digests


class Switch(Option[bool]):
    """A Boolean option."""

    def parse(self, raw: Any) -> bool:
        """Return the Boolean value."""
        values = {"true": True, "1": True, "yes": True, "false": False, "0": False, "no": False}
        value = values.get(str(raw).lower())
        if value is None:
            raise self.error("use true or false")
        return value
