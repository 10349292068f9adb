"""The interface to targets: announcements and cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
from expression import Result

from marigoldarch.events import CacheEventsArrived, TargetAnnounced
from marigoldarch.identifiers import PoolId
from marigoldarch.targets import Announcement, has_identity_conflict, parse_announcement
from marigoldarch_node.config.options import is_address
from marigoldarch_node.edge.http import OVERLOAD_RETRY_MS, HttpError, HttpRequest, Route
from marigoldarch_node.security.keys import Role

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch_node.runtime import Runtime

MAX_ANNOUNCEMENT_BYTES = 1024 * 1024
MAX_KNOWN_TARGETS = 20_000
MAX_CACHE_EVENTS = 10_000

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Prefix = Annotated[str, msgspec.Meta(max_length=128)]


class Known(NamedTuple):
    """The latest announcement under a name, and when it runs out."""

    announcement: Announcement
    expires_ms: Millis


class IdentityTable:
    """The targets that announced themselves here; refuses a live target's name to another."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str, str], Known] = {}

    def __len__(self) -> int:
        return len(self._known)

    def check(self, announced: Announcement, now_ms: Millis) -> None:
        """Note an announcement.

        Raises `HttpError` when its address is not IP:PORT, when another run of the target is
        alive at another address, or when there are too many targets.
        """
        if not is_address(announced.address):
            raise HttpError(400, "invalid_announcement", "address must be IP:PORT")
        key = (announced.data_centre, announced.name, announced.target)
        known = self._known.get(key)
        is_alive = known is not None and now_ms < known.expires_ms
        if is_alive and has_identity_conflict(known.announcement, announced):
            message = "another run of this target is alive at another address"
            wait_ms = known.expires_ms - now_ms
            raise HttpError(409, "identity_in_use", message, retry_after_ms=wait_ms)
        if known is None and len(self._known) >= MAX_KNOWN_TARGETS:
            self._forget_expired(now_ms)
        self._known[key] = Known(announced, now_ms + announced.ttl_ms)

    def _forget_expired(self, now_ms: Millis) -> None:
        self._known = {key: item for key, item in self._known.items() if now_ms < item.expires_ms}
        if len(self._known) >= MAX_KNOWN_TARGETS:
            message = "too many targets announce themselves here"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_MS)


class CacheEvents(msgspec.Struct, forbid_unknown_fields=True):
    """Prefix-cache events of one target; `sequence` counts up by one with each publication."""

    target: Label
    data_centre: Label
    name: Label
    sequence: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    stored: Annotated[tuple[Prefix, ...], msgspec.Meta(max_length=MAX_CACHE_EVENTS)] = ()
    removed: Annotated[tuple[Prefix, ...], msgspec.Meta(max_length=MAX_CACHE_EVENTS)] = ()


class TargetRoutes:
    """Serve targets."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._identities = IdentityTable()

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
                self._identities.check(announcement, now_ms)
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
        if not self._runtime.keys.allows(Role.TARGET, request.bearer):
            raise HttpError(401, "unknown_target_key", "the target key is wrong")
