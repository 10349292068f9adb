"""Tests of TLS for callers and between nodes, over real sockets."""

from __future__ import annotations

import ssl
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import httpcore
import trio
import trustme

from marigoldarch.exceptions import ConfigurationError
from marigoldarch.messages import InForce
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.security.file_watcher import WatchedFiles
from marigoldarch_node.security.tls import TlsContexts, TlsFiles
from marigoldarch_node.tests.edge.peer_links_tests import LinkEnd

TIME_LIMIT_S = 20.0


async def answer(request: HttpRequest) -> None:
    """Answer each request with an empty JSON object."""
    await request.send_json(200, {})


class TlsTests(unittest.TestCase):
    """New connections use the current certificates; nodes authenticate each other."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = trustme.CA()

    def files(self, name: str, authority: trustme.CA, *, is_mutual: bool = False) -> TlsFiles:
        """Write a certificate for 127.0.0.1 with its key and authority, and return the paths."""
        issued = authority.issue_cert("127.0.0.1")
        paths = [self.folder / f"{name}.{part}" for part in ("cert", "key", "ca")]
        issued.cert_chain_pems[0].write_to_path(paths[0])
        issued.private_key_pem.write_to_path(paths[1])
        authority.cert_pem.write_to_path(paths[2])
        return TlsFiles("--test", paths[0], paths[1], paths[2] if is_mutual else None)

    def run_with(self, tls: TlsContexts, test: Callable[[int], Awaitable[None]]) -> None:
        """Run a test against a listener that uses TLS; the test gets its port."""

        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    router = Router([Route("GET", "/", answer)])
                    listener = Listener(router, ListenerSettings("127.0.0.1:0", tls=tls))
                    port = await nursery.start(listener.serve, trio.Event())
                    await test(port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def get(self, port: int, authority: trustme.CA) -> int:
        """Send a request that trusts only this authority, and return the status."""
        context = ssl.create_default_context()
        authority.configure_trust(context)
        async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
            return (await pool.request("GET", f"https://127.0.0.1:{port}/")).status

    def test_replaced_certificate_is_used_without_a_restart(self) -> None:
        tls = TlsContexts(self.files("node", self.authority))
        other = trustme.CA()

        async def test(port: int) -> None:
            self.assertEqual(await self.get(port, self.authority), 200)
            with self.assertRaises(httpcore.ConnectError):
                await self.get(port, other)
            files = self.files("node", other)
            watched = WatchedFiles((files.certificate, files.key), tls.reload)
            watched.check(is_forced=True)
            self.assertEqual(await self.get(port, other), 200)
            files.certificate.write_text("broken")
            watched.check()
            self.assertEqual(await self.get(port, other), 200)

        self.run_with(tls, test)

    def test_tls_listener_still_serves_after_a_plain_text_request(self) -> None:
        tls = TlsContexts(self.files("node", self.authority))

        async def test(port: int) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                with self.assertRaises(httpcore.ProtocolError):
                    await pool.request("GET", f"http://127.0.0.1:{port}/")
            self.assertEqual(await self.get(port, self.authority), 200)

        self.run_with(tls, test)

    def test_node_with_a_certificate_of_another_authority_is_refused(self) -> None:
        trusted = TlsContexts(self.files("trusted", self.authority, is_mutual=True))
        untrusted = TlsContexts(self.files("untrusted", trustme.CA(), is_mutual=True))

        async def main() -> None:
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    receiver = LinkEnd("n2")
                    settings = ListenerSettings("127.0.0.1:0", tls=trusted)
                    listener = Listener(Router(receiver.links.routes), settings)
                    port = await nursery.start(listener.serve, trio.Event())
                    impostor, peer = LinkEnd("n1", port, tls=untrusted), LinkEnd(
                        "n1", port, tls=trusted
                    )
                    nursery.start_soon(impostor.links.run)
                    impostor.links.send("n2", InForce(1))
                    await trio.sleep(0.2)
                    nursery.start_soon(peer.links.run)
                    peer.links.send("n2", InForce(2))
                    while not receiver.events:
                        await trio.sleep(0.001)
                    self.assertEqual(receiver.revisions, [2])
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_unreadable_files_raise_an_error_that_names_the_option(self) -> None:
        missing = self.folder / "none"
        with self.assertRaises(ConfigurationError) as caught:
            TlsContexts(TlsFiles("--tls-certificate", missing, missing))
        self.assertIn("--tls-certificate", str(caught.exception))
