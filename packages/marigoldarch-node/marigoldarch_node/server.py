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

log = get_logger("server")


async def serve(settings: NodeSettings) -> None:
    """Run a node until it is told to stop and everything in progress has finished."""
    runtime = Runtime(settings)
    address = settings.core.address
    caller_routes = CallerRoutes(runtime).routes
    public = Router(caller_routes + TargetRoutes(runtime).routes + OperatorRoutes(runtime).routes)
    peers = Router(runtime.links.routes)
    tls = runtime.security.caller_tls
    log.info("Node {} starts.", address.node)
    async with trio.open_nursery() as nursery:
        for router, listen in (
            (public, ListenerSettings(address.caller_address, settings.max_connections, tls)),
            (peers, ListenerSettings(address.peer_address, tls=runtime.security.peer_tls)),
        ):
            nursery.start_soon(Listener(router, listen).serve, runtime.stopped)
        nursery.start_soon(_watch_signals, runtime)
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
