"""Checks of the files that the settings refer to; no file is changed."""

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

_DATA_FOLDER_OPTION = "--data-folder (MARIGOLDARCH_DATA_FOLDER)"


def check_settings(settings: NodeSettings) -> None:
    """Check keys, certificates and the data folder without writing anything.

    Raises `ConfigurationError` or `StorageError`.
    """
    if settings.keys_file is not None:
        read_keys_file(settings.keys_file)
    for files in (settings.caller_tls, settings.peer_tls):
        if files is not None:
            TlsContexts(files)
    if settings.data_folder is not None:
        _check_data_folder(settings.data_folder, settings)


def _check_data_folder(path: Path, settings: NodeSettings) -> None:
    existing = next(folder for folder in (path, *path.absolute().parents) if folder.exists())
    if not existing.is_dir():
        raise ConfigurationError(
            f"{_DATA_FOLDER_OPTION}: {existing} is not a folder; use another path"
        )
    if not os.access(existing, os.R_OK | os.W_OK | os.X_OK):
        raise ConfigurationError(
            f"{_DATA_FOLDER_OPTION}: allow this user to read and write {existing}"
        )
    if existing == path:
        _check_folder_content(path, settings)


def _check_folder_content(path: Path, settings: NodeSettings) -> None:
    identity, log = path / IDENTITY_FILE, path / LOG_FILE
    try:
        if identity.exists():
            node = settings.core.node
            decode_identity(identity.read_bytes(), settings.installation, node)
        elif log.exists():
            raise ConfigurationError(
                f"{_DATA_FOLDER_OPTION}: it contains a log but no identity file; use another folder"
            )
        if log.exists():
            scan_records(log.read_bytes())
    except OSError as error:
        raise StorageError(f"{_DATA_FOLDER_OPTION}: cannot read it: {error.strerror}") from error
