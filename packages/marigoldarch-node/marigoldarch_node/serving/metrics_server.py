"""HTTP endpoint for the metrics of a serving node, on a port of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch_node.serving.caller_guard import SIDE_SHARE
from marigoldarch_node.serving.http_server import HttpServer, ServerLimits
from marigoldarch_node.serving.limit_history import LimitHistory
from marigoldarch_node.serving.metrics import METRICS_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    import trio

    from marigoldarch_node.serving.caller_guard import CallerGuard
    from marigoldarch_node.serving.http_server import Exchange
    from marigoldarch_node.serving.metrics import ServingMetrics
    from marigoldarch_node.serving.settings import ServingSettings


async def serve_metrics(
    settings: ServingSettings,
    metrics: ServingMetrics,
    guard: CallerGuard,
    gauge_values: Callable[[], dict[str, float]],
    nursery: trio.Nursery,
) -> None:
    """Start the endpoint if the settings name a port; `gauge_values` is called for each request."""
    if not settings.metrics_port:
        return

    async def handle(exchange: Exchange) -> None:
        if exchange.request.target.partition("?")[0] != METRICS_PATH:
            await exchange.answer(404, [])
            return
        content, headers = metrics.render(gauge_values())
        plain = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        await exchange.answer(200, plain, content)

    limits = LimitHistory(ServerLimits(body_bytes=0))
    server = HttpServer(guard.server_state(handle, limits, share=SIDE_SHARE))
    await nursery.start(server.serve, f"{settings.ip}:{settings.metrics_port}")
