"""The exceptions of marigoldarch."""

from __future__ import annotations


class MarigoldarchError(Exception):
    """The base class of the errors that marigoldarch raises."""


class ConfigurationError(MarigoldarchError):
    """A setting or declaration is invalid; the message names the option and the remedy."""


class DeclarationError(ConfigurationError):
    """A declaration does not match the schema."""


class CodecError(MarigoldarchError):
    """A message from another process cannot be decoded."""


class StorageError(MarigoldarchError):
    """The data folder cannot be read or written."""


class DiskFullError(StorageError):
    """The disk is full; records that could not be synced are not acknowledged."""


class DamagedLogError(StorageError):
    """A log record that is followed by an intact one is damaged, so the log cannot be cut there."""


class ForeignDataFolderError(StorageError):
    """The data folder belongs to another node or installation."""


class StreamError(MarigoldarchError):
    """A target's stream violates the protocol of permits, attempts and offsets."""


class EventTooLongError(StreamError):
    """An event of a target's stream exceeds the bound on its size."""


class NodeFailedError(MarigoldarchError):
    """An invariant of the core is violated; the node stops rather than act on a corrupt state."""
