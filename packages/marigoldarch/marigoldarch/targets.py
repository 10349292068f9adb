"""What targets tell of themselves, apart from any wire format."""

from __future__ import annotations

from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.exceptions import CodecError
from marigoldarch.identifiers import PoolId


class TargetLoad(msgspec.Struct, frozen=True):
    """A target's lagged load report, in streams and tokens.

    `prefill_tokens` is what is still to be prefilled; None means that the target does not tell.
    """

    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    prefill_tokens: int | None = None


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A target's announcement or renewal.

    `holdings` lists the permits whose streams or exported KV the target holds; None means that the
    target did not report them this time. `memory_tokens` is the KV capacity of an engine.
    """

    target: str
    incarnation: str
    kind: str
    name: str
    address: str
    data_centre: str
    ttl_ms: float = 3000.0
    memory_tokens: int = 0
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    role: str = "any"
    checks_fence: bool = False
    is_leaving: bool = False
    load: TargetLoad = TargetLoad()
    holdings: tuple[str, ...] | None = None

    @property
    def pool(self) -> PoolId:
        """Return the pool that the target belongs to."""
        return PoolId(self.data_centre, self.name)

    @property
    def is_engine(self) -> bool:
        """Return whether the target is a model engine and not a plain service."""
        return self.kind == "engine"


def parse_announcement(plain: Any) -> Result[Announcement, CodecError]:
    """Validate plain types as an announcement."""
    try:
        announcement = msgspec.convert(plain, Announcement)
    except msgspec.ValidationError as error:
        return Error(CodecError(str(error)))
    if announcement.kind not in ("engine", "service"):
        return Error(CodecError("kind must be 'engine' or 'service'"))
    if not announcement.target or not announcement.name or not announcement.address:
        return Error(CodecError("target, name and address must not be empty"))
    if not 0 < announcement.ttl_ms <= 60_000:
        return Error(CodecError("ttl_ms must be above 0 and at most 60000"))
    return Ok(announcement)
