"""Announces a stand-in target to the nodes and renews the announcement periodically."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import encode_json
from marigoldarch_node.edge.http import authorization_header

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0


class TargetIdentity(NamedTuple):
    """The fields that are the same in all announcements of one target process."""

    target: str
    incarnation: str
    kind: str
    name: str
    address: str
    data_centre: str


class Announcer:
    """Sends announcements to one node; on failure it moves to the next node in the list."""

    def __init__(
        self,
        identity: TargetIdentity,
        nodes: tuple[str, ...],
        key: str,
        announced_fields: Callable[[], dict[str, Any]],
    ) -> None:
        self._identity = identity
        self._nodes = nodes
        self._key = key
        self._announced_fields = announced_fields
        self._node_index = 0
        self._pool = httpcore.AsyncConnectionPool()

    async def run(self) -> None:
        """Announce every `ANNOUNCE_INTERVAL_S` until cancelled."""
        while True:
            await self._send("/v1/targets/announce", self._announced_fields())
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def publish_cache_events(self, event: dict[str, Any]) -> None:
        """Publish prefix-cache events; they are lost if no node accepts them."""
        await self._send("/v1/targets/cache-events", event)

    async def _send(self, path: str, fields: dict[str, Any]) -> None:
        identity = self._identity._asdict()
        if path.endswith("cache-events"):
            identity = {name: identity[name] for name in ("target", "data_centre", "name")}
        content = encode_json({**identity, **fields})
        timeout = dict.fromkeys(("connect", "read", "write"), ANNOUNCE_TIMEOUT_S)
        for _ in self._nodes:
            node = self._nodes[self._node_index % len(self._nodes)]
            try:
                response = await self._pool.request(
                    "POST",
                    f"http://{node}{path}",
                    headers=authorization_header(self._key),
                    content=content,
                    extensions={"timeout": timeout},
                )
            except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                self._node_index += 1
                continue
            if response.status == 200:
                return
            self._node_index += 1
