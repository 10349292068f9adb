"""The interface to targets: announcements and cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Result

from marigoldarch.events import CacheEventsArrived, TargetAnnounced
from marigoldarch.identifiers import PoolId
from marigoldarch.targets import parse_announcement
from marigoldarch_node.edge.http import HttpError, HttpRequest, Route

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

MAX_ANNOUNCEMENT_BYTES = 1024 * 1024


class CacheEvents(msgspec.Struct, forbid_unknown_fields=True):
    """Prefix-cache events of one target; `sequence` counts up by one with each publication."""

    target: str
    data_centre: str
    name: str
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class TargetRoutes:
    """Serve targets."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    @property
    def routes(self) -> list[Route]:
        """Return the routes for targets."""
        return [
            Route("POST", "/v1/targets/announce", self._serve_announce),
            Route("POST", "/v1/targets/cache-events", self._serve_cache_events),
        ]

    async def _serve_announce(self, request: HttpRequest) -> None:
        self._check_key(request)
        match parse_announcement(await request.read_json(MAX_ANNOUNCEMENT_BYTES)):
            case Result(tag="ok", ok=announcement):
                now_ms = self._runtime.clock.monotonic_ms()
                self._runtime.submit(TargetAnnounced(now_ms, announcement))
                await request.send_json(200, {"ttl_ms": announcement.ttl_ms})
            case Result(error=error):
                raise HttpError(400, "invalid_announcement", str(error))

    async def _serve_cache_events(self, request: HttpRequest) -> None:
        self._check_key(request)
        plain = await request.read_json(MAX_ANNOUNCEMENT_BYTES)
        try:
            events = msgspec.convert(plain, CacheEvents)
        except msgspec.ValidationError as error:
            raise HttpError(400, "invalid_cache_events", str(error)) from error
        self._runtime.submit(
            CacheEventsArrived(
                self._runtime.clock.monotonic_ms(),
                PoolId(events.data_centre, events.name),
                events.target,
                events.sequence,
                events.stored,
                events.removed,
            )
        )
        await request.send_json(200, {})

    def _check_key(self, request: HttpRequest) -> None:
        expected = self._runtime.settings.target_key
        if expected and request.bearer != expected:
            raise HttpError(401, "unknown_target_key", "the target key is wrong")
