"""The exceptions of marigoldarch."""

from __future__ import annotations


class MarigoldarchError(Exception):
    """The base of every error that marigoldarch raises on purpose."""


class ConfigurationError(MarigoldarchError):
    """A setting or declaration is invalid; the message names the option and the remedy."""


class DeclarationError(ConfigurationError):
    """A declaration does not follow the declared schema."""


class CodecError(MarigoldarchError):
    """A message from another process cannot be decoded."""


class StorageError(MarigoldarchError):
    """The data folder cannot be used."""


class DiskFullError(StorageError):
    """The disk has no room for the log; nothing that was not synced is acknowledged."""


class DamagedLogError(StorageError):
    """A record before the tail of the log is damaged."""


class ForeignDataFolderError(StorageError):
    """The data folder belongs to another node or installation."""


class StreamError(MarigoldarchError):
    """A target's stream breaks the contract of permits, attempts and offsets."""


class NodeFailedError(MarigoldarchError):
    """An invariant of the core broke; the node stops rather than act on a damaged state."""
