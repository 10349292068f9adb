"""The HTTP servers of a node: one for callers, targets and operators, one for other nodes."""

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

SHUTDOWN_GRACE_S = 30.0
"""How long slow callers may take to read complete answers after the node has stopped."""

log = get_logger("server")


async def serve(settings: NodeSettings) -> None:
    """Run a node until it has drained or failed.

    SIGTERM and SIGINT start a drain; SIGHUP reloads the keys and certificates.
    """
    runtime = Runtime(settings)
    address = settings.core.address
    caller_routes = CallerRoutes(runtime).routes
    public_router = Router(
        caller_routes + TargetRoutes(runtime).routes + OperatorRoutes(runtime).routes
    )
    peer_router = Router(runtime.links.routes + runtime.forwarding.routes)
    log.info("Starting node {}.", address.node)
    public_settings = ListenerSettings(
        address.caller_address,
        settings.max_connections,
        runtime.security.caller_tls,
        SHUTDOWN_GRACE_S,
    )
    peer_settings = ListenerSettings(address.peer_address, tls=runtime.security.peer_tls)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, runtime)
        async with trio.open_nursery() as listeners:
            listeners.start_soon(Listener(public_router, public_settings).serve, runtime.stopped)
            listeners.start_soon(Listener(peer_router, peer_settings).serve, runtime.stopped)
            await runtime.run()
        log.info("Node {} stopped.", address.node)
        nursery.cancel_scope.cancel()


async def _handle_signals(runtime: Runtime) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                runtime.security.reload()
                continue
            log.info("Draining before shutdown.")
            runtime.submit(DrainRequested(runtime.clock.monotonic_ms()))
