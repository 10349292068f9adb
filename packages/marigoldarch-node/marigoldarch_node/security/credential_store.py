"""The access keys and TLS contexts of a node, loaded from what its settings refer to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch_node.logs import get_logger
from marigoldarch_node.security.file_watcher import WatchedFiles, poll_files
from marigoldarch_node.security.keys import KeyDigests, KeyRing, Role, read_keys_file
from marigoldarch_node.security.tls import TlsContexts

if TYPE_CHECKING:
    from marigoldarch_node.config.node import NodeSettings

log = get_logger("security")


class CredentialStore:
    """Holds the access keys and TLS contexts, and reloads them when their files change."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self.keys = KeyRing(self._read_digests())
        self.caller_tls = TlsContexts(settings.caller_tls) if settings.caller_tls else None
        self.peer_tls = TlsContexts(settings.peer_tls) if settings.peer_tls else None
        self._watched_files = self._list_watched_files()
        for role in Role:
            if self.keys.accepts_any_key(role):
                log.warning("No key is set for the role {}: any client may act in it.", role)

    async def watch(self) -> None:
        """Reload the files that change, until cancelled."""
        await poll_files(self._watched_files)

    def reload(self) -> None:
        """Reload all files, whether or not they have changed."""
        for files in self._watched_files:
            files.check(is_forced=True)

    def _list_watched_files(self) -> list[WatchedFiles]:
        watched: list[WatchedFiles] = []
        if self._settings.keys_file is not None:
            watched.append(WatchedFiles((self._settings.keys_file,), self._reload_keys))
        for tls in (self.caller_tls, self.peer_tls):
            if tls is not None:
                files = (tls.files.certificate, tls.files.key, tls.files.authority)
                paths = tuple(path for path in files if path is not None)
                watched.append(WatchedFiles(paths, tls.reload))
        return watched

    def _reload_keys(self) -> None:
        self.keys.replace(self._read_digests())

    def _read_digests(self) -> KeyDigests:
        """Return the digests of the settings combined with those of the keys file."""
        configured = self._settings.digests
        path = self._settings.keys_file
        if path is None:
            return configured
        return KeyDigests(*(a + b for a, b in zip(configured, read_keys_file(path), strict=True)))
