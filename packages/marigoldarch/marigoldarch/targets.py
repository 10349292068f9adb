"""Announcements of targets and their validation, independent of the wire format."""

from __future__ import annotations

import re
from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.exceptions import CodecError
from marigoldarch.identifiers import PoolId

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9.-]{1,64}:[0-9]{1,5}\Z")
PERMIT_PATTERN = re.compile(r"[0-9]{1,18}-[0-9]{1,18}\Z")
MAX_TTL_MS = 60_000.0
MAX_TOKENS = 10**12
MIN_REQUESTS_PER_S = 0.05
MAX_REQUESTS_PER_S = 100_000.0
MAX_HOLDINGS = 100_000
MAX_LABELS = 4096
MAX_LABEL_CHARS = 128


class TargetLoad(msgspec.Struct, frozen=True):
    """A target's load when it last reported, in streams and tokens.

    `prefill_tokens` are still to be prefilled; None means that the target does not report them.
    """

    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    prefill_tokens: int | None = None


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A target's announcement or renewal.

    `holdings` lists the permits whose streams or exported KV cache the target holds; None means
    that this announcement does not report them. `memory_tokens` is an engine's KV cache capacity.
    `checks_fence` tells that the target rejects orders with an outdated fencing token.
    `requests_per_s` limits the requests that the target accepts from all nodes together, 0 for no limit.
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
    requests_per_s: float = 0.0

    @property
    def pool(self) -> PoolId:
        """Return the pool that the target belongs to."""
        return PoolId(self.data_centre, self.name)

    @property
    def is_engine(self) -> bool:
        """Return whether the target is a model engine and not a plain service."""
        return self.kind == "engine"


def parse_announcement(plain: Any) -> Result[Announcement, CodecError]:
    """Convert built-in types to an announcement, or return a `CodecError` that names the fault."""
    try:
        announcement = msgspec.convert(plain, Announcement)
    except msgspec.ValidationError as error:
        return Error(CodecError(str(error)))
    if announcement.kind not in ("engine", "service"):
        return Error(CodecError("kind must be 'engine' or 'service'"))
    error_text = _find_error(announcement)
    return Error(CodecError(error_text)) if error_text else Ok(announcement)


def has_identity_conflict(known: Announcement, announced: Announcement) -> bool:
    """Return whether a live target's name is announced by another run at another address.

    A restarted target has a new incarnation at its old address. One that has moved to another
    address is accepted only after its old announcement has expired.
    """
    return known.incarnation != announced.incarnation and known.address != announced.address


def _find_error(announced: Announcement) -> str:
    for name in (announced.target, announced.incarnation, announced.name, announced.data_centre):
        if not NAME_PATTERN.match(name):
            return "target, incarnation, name and data_centre must be 1 to 64 of A-Z a-z 0-9 . _ -"
    if not ADDRESS_PATTERN.match(announced.address):
        return "address must be HOST:PORT"
    if not 0 < announced.ttl_ms <= MAX_TTL_MS:
        return f"ttl_ms must be above 0 and at most {MAX_TTL_MS:g}"
    load = announced.load
    numbers = (announced.memory_tokens, load.running, load.waiting, load.used_tokens)
    if not all(0 <= number <= MAX_TOKENS for number in numbers):
        return f"token and stream counts must be from 0 to {MAX_TOKENS}"
    rate_per_s = announced.requests_per_s
    if rate_per_s and not MIN_REQUESTS_PER_S <= rate_per_s <= MAX_REQUESTS_PER_S:
        return (
            f"requests_per_s must be 0 for no limit, or from {MIN_REQUESTS_PER_S:g} to"
            f" {MAX_REQUESTS_PER_S:g}"
        )
    labels = (*announced.adapters, *announced.versions, announced.role)
    if len(labels) > MAX_LABELS or not all(len(label) <= MAX_LABEL_CHARS for label in labels):
        return (
            f"adapters, versions and role must be at most {MAX_LABELS} labels of at most"
            f" {MAX_LABEL_CHARS} characters"
        )
    return _find_holdings_error(announced.holdings or ())


def _find_holdings_error(holdings: tuple[str, ...]) -> str:
    if len(holdings) > MAX_HOLDINGS:
        return f"holdings must list at most {MAX_HOLDINGS} permits"
    if not all(PERMIT_PATTERN.match(text) for text in holdings):
        return "holdings must list permits in the form EPOCH-SERIAL"
    return ""
