"""The keys and certificates that a node uses, as loaded from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch_node.logs import get_logger
from marigoldarch_node.security.keys import KeyDigests, KeyRing, Role, read_keys_file
from marigoldarch_node.security.tls import TlsContexts
from marigoldarch_node.security.watch import Watched, watch

if TYPE_CHECKING:
    from marigoldarch_node.config.node import NodeSettings

log = get_logger("security")


class CredentialStore:
    """Load what the settings name, and load it anew when it changes."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self.keys = KeyRing(self._read_digests())
        self.caller_tls = TlsContexts(settings.caller_tls) if settings.caller_tls else None
        self.peer_tls = TlsContexts(settings.peer_tls) if settings.peer_tls else None
        self._watched = self._list_watched()
        for role in Role:
            if self.keys.accepts_any_key(role):
                log.warning("No key is set for {}: anyone may act as one.", role)

    async def watch(self) -> None:
        """Watch the files until cancelled."""
        await watch(self._watched)

    def reload(self) -> None:
        """Load everything anew, whether or not it has changed."""
        for item in self._watched:
            item.check(is_forced=True)

    def _list_watched(self) -> list[Watched]:
        watched: list[Watched] = []
        if self._settings.keys_file is not None:
            watched.append(Watched((self._settings.keys_file,), self._reload_keys))
        for tls in (self.caller_tls, self.peer_tls):
            if tls is not None:
                files = (tls.files.certificate, tls.files.key, tls.files.authority)
                paths = tuple(path for path in files if path is not None)
                watched.append(Watched(paths, tls.reload))
        return watched

    def _reload_keys(self) -> None:
        self.keys.replace(self._read_digests())

    def _read_digests(self) -> KeyDigests:
        """Return the digests of the settings and of the keys file together."""
        given = self._settings.digests
        path = self._settings.keys_file
        if path is None:
            return given
        return KeyDigests(*(a + b for a, b in zip(given, read_keys_file(path), strict=True)))
