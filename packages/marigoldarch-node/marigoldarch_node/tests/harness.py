"""Test harness: a node that is reached without sockets, by ASGI requests to its routers."""

from __future__ import annotations

import hashlib
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch_node.config.node import NodeSettings, load_settings
from marigoldarch_node.edge.callers import CallerRoutes
from marigoldarch_node.edge.http import Router
from marigoldarch_node.edge.operators import OperatorRoutes
from marigoldarch_node.edge.targets import TargetRoutes
from marigoldarch_node.runtime import Runtime

KEY = "guild-test-key"
OPERATOR_KEY = "operator-test-key"
TARGET_KEY = "target-test-key"

DECLARATION = {
    "team": "guild",
    "models": {"coach": {}},
    "kinds": {"quiz": {"rank": 0, "deadline_ms": 5000}},
    "customers": {"harbor": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
    "services": {"gradebook": {"methods": {"post": {}, "look": {"idempotent": True}}}},
}


class Response(NamedTuple):
    """The response to a request; `status` is 0 when none was sent."""

    status: int
    body: bytes
    headers: dict[str, str]
    is_ended: bool

    @property
    def json(self) -> Any:
        """Return the decoded body."""
        return decode_json(self.body)


def digest(key: str) -> str:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def node_settings(folder: Path, **flags: Any) -> NodeSettings:
    """Return the settings of a cluster of one node."""
    defaults = {
        "node": "n1",
        "data_centre": "dc1",
        "caller_address": "127.0.0.1:7001",
        "peer_address": "127.0.0.1:7002",
        "voters": "n1",
        "peers": "n1@dc1=127.0.0.1:7001/127.0.0.1:7002",
        "data_folder": str(folder),
    }
    return load_settings({**defaults, **flags}, {}).ok


class Node:
    """A node that tests call through its routers."""

    def __init__(self, folder: Path, **flags: Any) -> None:
        keys = {
            "operator_key_sha256": digest(OPERATOR_KEY),
            "target_key_sha256": digest(TARGET_KEY),
        }
        self.runtime = Runtime(node_settings(folder, **{**keys, **flags}))
        routes = CallerRoutes(self.runtime).routes + TargetRoutes(self.runtime).routes
        self.public_router = Router(routes + OperatorRoutes(self.runtime).routes)
        self.peer_router = Router(self.runtime.links.routes)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the node; return once it has its lease and `DECLARATION` is in force."""
        nursery.start_soon(self.runtime.run)
        while (await self.get("/readyz")).status != 200:
            await trio.sleep(0.02)
        change = {
            "change_id": "c1",
            "operator": "ada",
            "base_revision": 0,
            "declaration": DECLARATION,
        }
        response = await self.post("/v1/operator/apply", change, key=OPERATOR_KEY)
        if response.status != 200:
            raise AssertionError(response)

    async def get(self, path: str, key: str = "") -> Response:
        """Send a GET."""
        return await send(self.public_router, "GET", path, [], b"", key)

    async def post(self, path: str, plain: Any, key: str = "", **headers: str) -> Response:
        """Send a POST with a JSON body."""
        pairs = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return await send(self.public_router, "POST", path, pairs, encode_json(plain), key)


class NodeThread:
    """A node whose event loop runs in its own thread, for synchronous tests."""

    def __init__(self, folder: Path, **flags: Any) -> None:
        self._arguments = (folder, flags)
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,))
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self.node: Node | None = None

    def start(self) -> None:
        """Start the node and wait until it is ready."""
        self._thread.start()
        self._ready.wait()

    def stop(self) -> None:
        """Stop the node and its thread."""
        self._token.run_sync_soon(self._scope.cancel)
        self._thread.join()

    def run(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run an async function in the node's event loop."""
        return trio.from_thread.run(function, *args, trio_token=self._token)

    async def _run(self) -> None:
        folder, flags = self._arguments
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            async with trio.open_nursery() as nursery:
                self.node = Node(folder, **flags)
                await self.node.start(nursery)
                self._ready.set()


async def send(
    router: Router,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
    key: str = "",
    *,
    disconnects: bool = False,
) -> Response:
    """Send a request whose body comes in two parts; `disconnects` ends the connection after it."""
    plain_path, _, query = path.partition("?")
    raw = [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    if key:
        raw.append((b"authorization", f"Bearer {key}".encode("latin-1")))
    scope = {
        "type": "http",
        "method": method,
        "path": plain_path,
        "query_string": query.encode("latin-1"),
        "headers": raw,
    }
    middle = len(body) // 2
    incoming = [
        {"type": "http.request", "body": body[:middle], "more_body": True},
        {"type": "http.request", "body": body[middle:], "more_body": False},
    ]
    if disconnects:
        incoming.append({"type": "http.disconnect"})
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        if not incoming:
            await trio.sleep_forever()
        return incoming.pop(0)

    async def collect(message: dict[str, Any]) -> None:
        sent.append(message)

    await router(scope, receive, collect)
    status = sent[0]["status"] if sent else 0
    found = {name.decode(): value.decode() for name, value in sent[0]["headers"]} if sent else {}
    content = b"".join(message.get("body", b"") for message in sent[1:])
    is_ended = bool(sent) and sent[-1].get("more_body") is False
    return Response(status, content, found, is_ended)
