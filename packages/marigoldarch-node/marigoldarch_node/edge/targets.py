"""HTTP interface for targets: announcements and prefix-cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
from expression import Result

from marigoldarch.addresses import is_address
from marigoldarch.events import CacheEventsArrived, TargetAnnounced
from marigoldarch.identifiers import PoolId
from marigoldarch.targets import Announcement, has_identity_conflict, parse_announcement
from marigoldarch_node.edge.http import OVERLOAD_RETRY_AFTER_MS, HttpError, HttpRequest, Route
from marigoldarch_node.security.keys import Role

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch_node.runtime import Runtime

MAX_TARGET_BODY_BYTES = 1024 * 1024
MAX_KNOWN_TARGETS = 20_000
MAX_CACHE_EVENTS = 10_000

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
PrefixHash = Annotated[str, msgspec.Meta(max_length=128)]


class KnownTarget(NamedTuple):
    """The latest announcement of a target, and when its lease ends."""

    announcement: Announcement
    expires_ms: Millis


class TargetIdentities:
    """The targets that announced themselves to this node, by data centre, pool and target name.

    A target name belongs to one address while its lease lasts.
    """

    def __init__(self) -> None:
        self._targets: dict[tuple[str, str, str], KnownTarget] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def register(self, announcement: Announcement, now_ms: Millis) -> None:
        """Record an announcement and renew the target's lease.

        Raises `HttpError` when its address is not IP:PORT, when another incarnation of the target
        holds the lease at another address, or when there are too many targets.
        """
        if not is_address(announcement.address):
            raise HttpError(400, "invalid_announcement", "address must be IP:PORT")
        key = (announcement.data_centre, announcement.name, announcement.target)
        existing = self._targets.get(key)
        is_lease_valid = existing is not None and now_ms < existing.expires_ms
        if is_lease_valid and has_identity_conflict(existing.announcement, announcement):
            message = "another run of this target is alive at another address"
            lease_left_ms = existing.expires_ms - now_ms
            raise HttpError(409, "identity_in_use", message, retry_after_ms=lease_left_ms)
        if existing is None and len(self._targets) >= MAX_KNOWN_TARGETS:
            self._remove_expired(now_ms)
        self._targets[key] = KnownTarget(announcement, now_ms + announcement.ttl_ms)

    def _remove_expired(self, now_ms: Millis) -> None:
        self._targets = {
            key: item for key, item in self._targets.items() if now_ms < item.expires_ms
        }
        if len(self._targets) >= MAX_KNOWN_TARGETS:
            message = "too many targets announce themselves here"
            raise HttpError(503, "overloaded", message, retry_after_ms=OVERLOAD_RETRY_AFTER_MS)


class CacheEvents(msgspec.Struct, forbid_unknown_fields=True):
    """Prefixes that a target stored in its cache or removed from it.

    `sequence` increases by one with each publication.
    """

    target: Label
    data_centre: Label
    name: Label
    sequence: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    stored: Annotated[tuple[PrefixHash, ...], msgspec.Meta(max_length=MAX_CACHE_EVENTS)] = ()
    removed: Annotated[tuple[PrefixHash, ...], msgspec.Meta(max_length=MAX_CACHE_EVENTS)] = ()


class TargetRoutes:
    """The routes for targets."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._identities = TargetIdentities()

    @property
    def routes(self) -> list[Route]:
        """Return the routes for targets."""
        return [
            Route("POST", "/v1/targets/announce", self._serve_announce),
            Route("POST", "/v1/targets/cache-events", self._serve_cache_events),
        ]

    async def _serve_announce(self, request: HttpRequest) -> None:
        self._check_key(request)
        match parse_announcement(await request.read_json(MAX_TARGET_BODY_BYTES)):
            case Result(tag="ok", ok=announcement):
                now_ms = self._runtime.clock.monotonic_ms()
                self._identities.register(announcement, now_ms)
                self._runtime.submit(TargetAnnounced(now_ms, announcement))
                await request.send_json(200, {"ttl_ms": announcement.ttl_ms})
            case Result(error=error):
                raise HttpError(400, "invalid_announcement", str(error))

    async def _serve_cache_events(self, request: HttpRequest) -> None:
        self._check_key(request)
        body = await request.read_json(MAX_TARGET_BODY_BYTES)
        try:
            events = msgspec.convert(body, CacheEvents)
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
        if not self._runtime.keys.allows(Role.TARGET, request.bearer_key):
            raise HttpError(401, "unknown_target_key", "the target key is wrong")
