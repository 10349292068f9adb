"""What targets tell of themselves, apart from any wire format."""

from __future__ import annotations

import re
from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.exceptions import CodecError
from marigoldarch.identifiers import PoolId

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,64}:[0-9]{1,5}\Z")
PERMIT = re.compile(r"[0-9]{1,18}-[0-9]{1,18}\Z")
MAX_TTL_MS = 60_000.0
MAX_TOKENS = 10**12
MAX_HOLDINGS = 100_000
MAX_LABELS = 4096
MAX_LABEL = 128


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
    problem = _find_problem(announcement)
    return Error(CodecError(problem)) if problem else Ok(announcement)


def has_identity_conflict(known: Announcement, announced: Announcement) -> bool:
    """Return whether a live target's name is announced by another run at another address.

    A restarted target has a new incarnation at its old address; one that moved waits until its
    old announcement has run out.
    """
    return known.incarnation != announced.incarnation and known.address != announced.address


def _find_problem(announced: Announcement) -> str:
    for name in (announced.target, announced.incarnation, announced.name, announced.data_centre):
        if not NAME.match(name):
            return "target, incarnation, name and data_centre must be 1 to 64 of A-Z a-z 0-9 . _ -"
    if not ADDRESS.match(announced.address):
        return "address must be HOST:PORT"
    if not 0 < announced.ttl_ms <= MAX_TTL_MS:
        return f"ttl_ms must be above 0 and at most {MAX_TTL_MS:g}"
    load = announced.load
    numbers = (announced.memory_tokens, load.running, load.waiting, load.used_tokens)
    if not all(0 <= number <= MAX_TOKENS for number in numbers):
        return f"token and stream counts must be from 0 to {MAX_TOKENS}"
    labels = (*announced.adapters, *announced.versions, announced.role)
    if len(labels) > MAX_LABELS or not all(len(label) <= MAX_LABEL for label in labels):
        return f"give at most {MAX_LABELS} adapters and versions of {MAX_LABEL} characters"
    return _find_holdings_problem(announced.holdings or ())


def _find_holdings_problem(holdings: tuple[str, ...]) -> str:
    if len(holdings) > MAX_HOLDINGS:
        return f"holdings must list at most {MAX_HOLDINGS} permits"
    if not all(PERMIT.match(text) for text in holdings):
        return "holdings must list permits as they were granted"
    return ""
