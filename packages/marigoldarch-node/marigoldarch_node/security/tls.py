"""TLS contexts that are loaded from PEM files and can be reloaded."""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import NamedTuple

from marigoldarch.exceptions import ConfigurationError


class TlsFiles(NamedTuple):
    """The PEM files of one interface.

    `option` is the flag that errors name. If `authority` is given, the other side must present a
    certificate that this authority has signed.
    """

    option: str
    certificate: Path
    key: Path
    authority: Path | None = None


class TlsContexts:
    """The TLS contexts of one interface; a connection uses those in force when it is opened."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._server = self._load_server()
        self._client = self._load_client()

    @property
    def files(self) -> TlsFiles:
        """Return the files that the contexts are loaded from."""
        return self._files

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context for accepting connections."""
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context for opening connections to the same interface of other nodes."""
        return self._client

    def reload(self) -> None:
        """Reload the files; if this raises `ConfigurationError`, the old contexts stay in use."""
        server, client = self._load_server(), self._load_client()
        self._server, self._client = server, client

    def _load_server(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_alpn_protocols(["http/1.1"])
        if self._files.authority is not None:
            context.verify_mode = ssl.CERT_REQUIRED
        return self._load(context)

    def _load_client(self) -> ssl.SSLContext:
        return self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))

    def _load(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        files = self._files
        try:
            context.load_cert_chain(files.certificate, files.key)
            if files.authority is not None:
                context.load_verify_locations(files.authority)
        except (OSError, ssl.SSLError) as error:
            remedy = "use readable PEM files for the certificate, its key and its authority"
            raise ConfigurationError(f"{files.option}: {remedy}") from error
        return context
