"""HTTP serving for stand-ins."""

from __future__ import annotations

import trio

from marigoldarch_node.edge.http import Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings


async def serve_routes(routes: list[Route], address: str) -> None:
    """Serve the routes on `address` until cancelled."""
    await Listener(Router(routes), ListenerSettings(address)).serve(trio.Event())
