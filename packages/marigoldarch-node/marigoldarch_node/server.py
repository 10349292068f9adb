"""The servers of a node: one for callers, targets and operators, one for peers."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from marigoldarch.events import DrainRequested
from marigoldarch_node.edge.callers import CallerRoutes
from marigoldarch_node.edge.http import Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.edge.operators import OperatorRoutes
from marigoldarch_node.edge.targets import TargetRoutes
from marigoldarch_node.logs import get_logger
from marigoldarch_node.runtime import Runtime

if TYPE_CHECKING:
    from marigoldarch_node.config.node import NodeSettings

FLUSH_S = 30.0
"""How long slow callers may take to read the end of answers that are complete."""

log = get_logger("server")


async def serve(settings: NodeSettings) -> None:
    """Run a node until it is told to stop and everything in progress has finished."""
    runtime = Runtime(settings)
    address = settings.core.address
    caller_routes = CallerRoutes(runtime).routes
    public = Router(caller_routes + TargetRoutes(runtime).routes + OperatorRoutes(runtime).routes)
    peers = Router(runtime.links.routes)
    log.info("Node {} starts.", address.node)
    public_settings = ListenerSettings(
        address.caller_address, settings.max_connections, runtime.security.caller_tls, FLUSH_S
    )
    peer_settings = ListenerSettings(address.peer_address, tls=runtime.security.peer_tls)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, runtime)
        async with trio.open_nursery() as listeners:
            listeners.start_soon(Listener(public, public_settings).serve, runtime.stopped)
            listeners.start_soon(Listener(peers, peer_settings).serve, runtime.stopped)
            await runtime.run()
        log.info("Node {} has stopped.", address.node)
        nursery.cancel_scope.cancel()


async def _watch_signals(runtime: Runtime) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received == signal.SIGHUP:
                runtime.security.reload()
                continue
            log.info("A graceful stop begins.")
            runtime.submit(DrainRequested(runtime.clock.monotonic_ms()))
