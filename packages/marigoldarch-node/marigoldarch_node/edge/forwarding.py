"""Calls to targets through another node, for nodes whose own links don't reach a target.

A call goes at most one node further: the other node calls the target itself, or answers that it did not
run. The response is relayed as it arrives; one that breaks off at the target breaks off here, too.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import httpcore
import trio

from marigoldarch.serving.gateways import Gateways, GatewaySettings
from marigoldarch.serving.report_recipients import EntryNode
from marigoldarch.serving.target_links import LinkSettings, TargetLinks
from marigoldarch.serving.targets import Target
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route, authorization_header
from marigoldarch_node.logs import get_logger
from marigoldarch_node.security.keys import Role

if TYPE_CHECKING:
    import random

    from marigoldarch.clock import Millis
    from marigoldarch.identifiers import NodeAddress, TargetAddress
    from marigoldarch_node.edge.connection_pool import HttpcoreConnectionPool
    from marigoldarch_node.security.keys import KeyRing

FORWARD_PATH = "/peer/v1/forward"
TARGET_HEADER = "x-marigoldarch-target"
METHOD_HEADER = "x-marigoldarch-method"
PATH_HEADER = "x-marigoldarch-path"
RELAYED_HEADER = b"x-marigoldarch-relayed"
"""Present on each response that comes from the target itself."""

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.35

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,
)
"""Errors with which nothing was sent."""

log = get_logger("forwarding")


class TargetCall(NamedTuple):
    """A call to a target; the read and write timeout is None for a stream."""

    method: str
    target: TargetAddress
    path: str
    content: bytes
    io_timeout_s: float | None

    @property
    def timeouts(self) -> dict[str, float | None]:
        """Return the timeouts as `httpcore` takes them."""
        return {
            "connect": CONNECT_TIMEOUT_S,
            "read": self.io_timeout_s,
            "write": self.io_timeout_s,
        }


class Forwarders:
    """The other nodes, through which this node calls targets that its own links don't reach."""

    def __init__(
        self, own: NodeAddress, peers: tuple[NodeAddress, ...], key: str, rng: random.Random
    ) -> None:
        self._clock = SystemClock()
        self._headers = authorization_header(key)
        self._links = TargetLinks(LinkSettings(), rng)
        self._lost: dict[str, Target] = {}
        self._gateways = Gateways(own.data_centre, GatewaySettings(), rng, Counter())
        self._gateways.set_entries(
            {EntryNode(peer.peer_address, peer.data_centre) for peer in peers if peer != own}
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there is no other node."""
        return self._gateways.is_empty

    def is_lost(self, target: TargetAddress) -> bool:
        """Return whether only other nodes reach a target."""
        return target.address in self._links.lost_targets

    def choose(self) -> list[str]:
        """Return the peer addresses of nodes to call a target through, in this order."""
        return self._gateways.choose(self._now_ms())

    def avoid(self, gateway: str) -> None:
        """Use a node no more for a while, as it can't be reached or doesn't reach targets."""
        self._gateways.avoid(gateway, self._now_ms())

    def record_lost(self, target: TargetAddress) -> None:
        """Record that another node reaches a target that this one doesn't."""
        link = Target(target.address, 0, 0, "", target.address, "", 0, is_leaving=False)
        if self._links.record_lost(link, self._now_ms()):
            self._lost[target.address] = link
            log.warning("The own link to {} is lost.", target.address)

    def forwarded_headers(self, call: TargetCall) -> dict[str, str]:
        """Return the headers of a call for another node."""
        headers = {TARGET_HEADER: call.target.address, METHOD_HEADER: call.method}
        return {**headers, PATH_HEADER: call.path, **self._headers}

    async def run(self) -> None:
        """Probe lost links until cancelled."""
        while True:
            await trio.sleep(self._links.probe_interval_ms / 1000.0)
            for link in self._links.choose_probes(self._lost, self._now_ms()):
                opened_ms = self._now_ms()
                if await _connects(link.address):
                    self._links.record_reached(link, opened_ms)
                    del self._lost[link.target_id]
                    log.info("The own link to {} is back.", link.address)

    def _now_ms(self) -> Millis:
        return self._clock.monotonic_ms()


class ForwardRoutes:
    """The route over which other nodes call targets through this one."""

    def __init__(self, connections: HttpcoreConnectionPool, keys: KeyRing) -> None:
        self._connections = connections
        self._keys = keys

    @property
    def routes(self) -> list[Route]:
        """Return the routes for other nodes."""
        return [Route("POST", FORWARD_PATH, self._serve)]

    async def _serve(self, request: HttpRequest) -> None:
        if not self._keys.allows(Role.PEER, request.bearer_key):
            raise HttpError(401, "unknown_peer", "the peer key is wrong")
        address = request.headers.get(TARGET_HEADER, "")
        method, path = request.headers.get(METHOD_HEADER, ""), request.headers.get(PATH_HEADER, "")
        if not (address and method and path.startswith("/")):
            raise HttpError(400, "invalid_forward", f"{TARGET_HEADER} and others are missing")
        body = await request.read_body()
        error: HttpError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, request, nursery.cancel_scope)
            error = await self._relay(request, address, method, path, body)
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _relay(
        self, request: HttpRequest, address: str, method: str, path: str, body: bytes
    ) -> HttpError | None:
        """Call the target and relay its response; return the error if there is none."""
        try:
            async with (
                self._connections.acquire(address) as connection,
                connection.stream(
                    method,
                    f"http://{address}{path}",
                    content=body,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
                ) as response,
            ):
                content_type = dict(response.headers).get(b"content-type", b"application/json")
                headers = {RELAYED_HEADER.decode(): "1"}
                await request.start(response.status, content_type.decode("latin-1"), headers)
                async for chunk in response.aiter_stream():
                    await request.send_chunk(chunk)
                await request.send_chunk(b"", is_last=True)
        except CONNECT_ERRORS:
            message = f"this node does not reach {address} either"
            return HttpError(502, "target_unreachable", message)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            message = f"the connection to {address} broke"
            return HttpError(502, "target_failed", message, run="unknown")
        return None


async def _cancel_on_disconnect(request: HttpRequest, scope: trio.CancelScope) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
        return True
    return False
