"""Announce a stand-in target to the nodes, and renew the announcement."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import httpcore
import trio

from marigoldarch.codec import encode_json
from marigoldarch_node.edge.http import bearer_header

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0


class TargetIdentity(NamedTuple):
    """What never changes in a target's announcements."""

    target: str
    incarnation: str
    kind: str
    name: str
    address: str
    data_centre: str


class Announcer:
    """Announce to one node after another until one accepts."""

    def __init__(
        self,
        identity: TargetIdentity,
        nodes: tuple[str, ...],
        key: str,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self._identity = identity
        self._nodes = nodes
        self._key = key
        self._describe = describe
        self._turn = 0

    async def run(self) -> None:
        """Announce at a fixed interval."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self._announce(pool)
                await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, pool: httpcore.AsyncConnectionPool) -> None:
        content = encode_json({**self._identity._asdict(), **self._describe()})
        timeout = dict.fromkeys(("connect", "read", "write"), ANNOUNCE_TIMEOUT_S)
        for _ in self._nodes:
            node = self._nodes[self._turn % len(self._nodes)]
            try:
                response = await pool.request(
                    "POST",
                    f"http://{node}/v1/targets/announce",
                    headers=bearer_header(self._key),
                    content=content,
                    extensions={"timeout": timeout},
                )
            except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                self._turn += 1
                continue
            if response.status == 200:
                return
            self._turn += 1
