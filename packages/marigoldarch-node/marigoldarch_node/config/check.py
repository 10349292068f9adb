"""Checks of what the settings name, without changing any of it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from marigoldarch.exceptions import ConfigurationError, StorageError
from marigoldarch_node.security.keys import read_keys_file
from marigoldarch_node.security.tls import TlsContexts
from marigoldarch_node.storage.folder import IDENTITY_FILE, LOG_FILE
from marigoldarch_node.storage.identity import decode_identity
from marigoldarch_node.storage.records import scan_records

if TYPE_CHECKING:
    from marigoldarch_node.config.node import NodeSettings

_FOLDER = "--data-folder (MARIGOLDARCH_DATA_FOLDER)"


def check_settings(settings: NodeSettings) -> None:
    """Check keys, certificates and the data folder; nothing is written.

    Raises `ConfigurationError` or `StorageError`.
    """
    if settings.keys_file is not None:
        read_keys_file(settings.keys_file)
    for files in (settings.caller_tls, settings.peer_tls):
        if files is not None:
            TlsContexts(files)
    if settings.data_folder is not None:
        _check_folder(settings.data_folder, settings)


def _check_folder(path: Path, settings: NodeSettings) -> None:
    existing = next(folder for folder in (path, *path.absolute().parents) if folder.exists())
    if not existing.is_dir():
        raise ConfigurationError(f"{_FOLDER}: {existing} is not a folder; name another")
    if not os.access(existing, os.R_OK | os.W_OK | os.X_OK):
        raise ConfigurationError(f"{_FOLDER}: allow this user to read and write {existing}")
    if existing == path:
        _check_content(path, settings)


def _check_content(path: Path, settings: NodeSettings) -> None:
    identity, log = path / IDENTITY_FILE, path / LOG_FILE
    try:
        if identity.exists():
            node = settings.core.node
            decode_identity(identity.read_bytes(), settings.installation, node)
        elif log.exists():
            raise ConfigurationError(f"{_FOLDER}: it holds a log without an identity; name another")
        if log.exists():
            scan_records(log.read_bytes())
    except OSError as error:
        raise StorageError(f"{_FOLDER}: cannot be read: {error.strerror}") from error
