"""Serve a stand-in's routes over HTTP."""

from __future__ import annotations

import trio

from marigoldarch_node.edge.http import Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings


async def serve_routes(routes: list[Route], address: str) -> None:
    """Serve until cancelled."""
    await Listener(Router(routes), ListenerSettings(address)).serve(trio.Event())
