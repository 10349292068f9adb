"""Serve a stand-in's routes over HTTP."""

from __future__ import annotations

import hypercorn.trio
from hypercorn.config import Config

from marigoldarch_node.edge.http import Route, Router


async def serve_routes(routes: list[Route], address: str) -> None:
    """Serve until cancelled."""
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.graceful_timeout = 0.1
    await hypercorn.trio.serve(Router(routes), config, mode="asgi")
