"""What the servers of one process share: the memory for requests, and the number of connections."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from marigoldarch.serving.connection_limits import connection_limit
from marigoldarch.serving.request_memory import RequestMemory, request_memory_limits
from marigoldarch_node.serving.http_server import ServerState
from marigoldarch_node.serving.refusal_counts import RefusalCounts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.clock import Clock
    from marigoldarch_node.serving.body_reader import HeadCheck
    from marigoldarch_node.serving.http_server import Exchange
    from marigoldarch_node.serving.limit_history import LimitHistory
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.settings import ServingSettings

MAX_DESCRIPTORS = 4096
"""Of a process whose limit is higher or unknown."""

BYTES_PER_MB = 1_000_000
SIDE_SHARE = 1 / 16
"""The part of the connections for an address that is not the main one, such as that of metrics."""


class CallerGuard:
    """Bounds what callers make the servers of a process hold.

    `response_bytes` is what the process may hold of responses besides.
    """

    def __init__(
        self, settings: ServingSettings, metrics: ServingMetrics, clock: Clock, response_bytes: int
    ) -> None:
        memory_bytes = int(settings.memory_mb * BYTES_PER_MB)
        descriptors = settings.max_descriptors or _descriptor_limit()
        self._clock = clock
        self._max_connections = connection_limit(memory_bytes, descriptors)
        self._refusals = RefusalCounts(
            lambda reason: metrics.caller_refusals.inc({"reason": reason})
        )
        self._servers: list[ServerState] = []
        self.memory = RequestMemory(request_memory_limits(memory_bytes, response_bytes))

    def server_state(
        self,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: LimitHistory,
        *,
        share: float = 1.0,
        check_head: HeadCheck | None = None,
    ) -> ServerState:
        """Return the state of a server that may have a share of the connections, the main one 1."""
        state = ServerState(
            handler,
            limits,
            self._clock,
            self.memory,
            check_head,
            max(1, int(self._max_connections * share)),
            self._refusals,
        )
        self._servers.append(state)
        return state

    def tend(self) -> None:
        """Close connections whose callers read nothing, and log the refusals since the last call.

        Called about once a second.
        """
        for server in self._servers:
            server.close_unread()
        self._refusals.log_sums(self.memory.held_bytes)


def _descriptor_limit() -> int:
    """Return how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(soft, MAX_DESCRIPTORS) if soft > 0 else MAX_DESCRIPTORS
