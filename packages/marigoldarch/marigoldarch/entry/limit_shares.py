"""The entry's side of limits: shares it was lent, and the requests that wait for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.limits import Limit
from marigoldarch.messages import LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass
class Share:
    """What an entry holds of one subject; requests and tokens go stale at `expires_ms`."""

    requests: float = 0.0
    tokens: float = 0.0
    slots: int = 0
    used: int = 0
    expires_ms: Millis = 0.0
    slots_expire_ms: Millis = 0.0
    keeper: str = ""
    asked_ms: Millis = 0.0


class Claim(NamedTuple):
    """A request that waits for shares of its subjects."""

    request_id: str
    subjects: tuple[str, ...]
    cost_tokens: int
    since_ms: Millis


@dataclass
class OpenAsk:
    """An ask without an answer yet."""

    round: int
    sent_ms: Millis


class LimitShares:
    """An entry's shares, and the requests that wait for them in the order of arrival."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._shares: dict[str, Share] = {}
        self._waiting: dict[str, Claim] = {}
        self._asks: dict[str, OpenAsk] = {}
        self._round = 0
        self.generation = 0

    @property
    def waiting(self) -> list[Claim]:
        """Return the waiting claims, oldest first."""
        return list(self._waiting.values())

    @property
    def subjects(self) -> list[str]:
        """Return the subjects of which something is held."""
        return list(self._shares)

    def used(self, subject: str) -> int:
        """Return how many requests in progress count for a subject."""
        share = self._shares.get(subject)
        return share.used if share else 0

    def try_take(self, claim: Claim, limits: dict[str, Limit], now_ms: Millis) -> bool:
        """Take a share of every subject, or of none."""
        shares = [self._shares.setdefault(subject, Share()) for subject in claim.subjects]
        for subject, share in zip(claim.subjects, shares, strict=True):
            if not _covers(share, limits[subject], claim.cost_tokens, now_ms):
                return False
        for subject, share in zip(claim.subjects, shares, strict=True):
            limit = limits[subject]
            share.requests -= 1.0 if limit.rate_per_s else 0.0
            share.tokens -= claim.cost_tokens if limit.tokens_per_s else 0.0
            share.used += 1
        self._waiting.pop(claim.request_id, None)
        return True

    def wait(self, claim: Claim) -> None:
        """Let a claim wait for shares."""
        self._waiting[claim.request_id] = claim

    def withdraw(self, request_id: str) -> bool:
        """Remove a claim; return whether it still waited and thus has taken nothing."""
        return self._waiting.pop(request_id, None) is not None

    def give_back(self, subjects: tuple[str, ...]) -> None:
        """End a request's use of its slots."""
        for subject in subjects:
            share = self._shares.get(subject)
            if share is not None:
                share.used = max(0, share.used - 1)

    def needs(self, now_ms: Millis) -> dict[str, LimitNeed]:
        """Return what is needed for waiting claims, and slots in use that are due for renewal."""
        found: dict[str, LimitNeed] = {}
        for subject, share in self._shares.items():
            if share.used and now_ms >= share.asked_ms + self._settings.slot_renewal_ms:
                found[subject] = _renewal(subject, share)
        for claim in self._waiting.values():
            for subject in claim.subjects:
                share = self._shares.setdefault(subject, Share())
                need = found.get(subject) or _renewal(subject, share)
                found[subject] = need._replace(
                    requests=need.requests + 1.0,
                    tokens=need.tokens + claim.cost_tokens,
                    first_tokens=need.first_tokens or claim.cost_tokens,
                    slots=need.slots + 1,
                )
        return {subject: self._less_held(need, now_ms) for subject, need in found.items()}

    def move(self, keeper_of: Callable[[str], str | None]) -> list[LimitNeed]:
        """Return the slots in use of subjects that have another keeper than the one asked last.

        Unused slots that an earlier keeper lent are given up, for the new one knows nothing of them.
        """
        moved: list[LimitNeed] = []
        for subject, share in self._shares.items():
            if share.keeper == keeper_of(subject):
                continue
            share.slots = min(share.slots, share.used)
            if share.used:
                moved.append(_renewal(subject, share))
        return moved

    def has_arrivals_since_ask(self, keeper: str) -> bool:
        """Return whether a claim waits that the last ask to the keeper did not count."""
        pending = self._asks.get(keeper)
        return pending is not None and any(
            claim.since_ms > pending.sent_ms for claim in self._waiting.values()
        )

    def ask(self, keeper: str, needs: list[LimitNeed], now_ms: Millis) -> int | None:
        """Open an ask to a keeper and return its round, or None while one is open.

        Slots beyond those asked for are given up at once: the keeper may lend them to others as
        soon as it reads the ask, whether or not its answer arrives.
        """
        pending = self._asks.get(keeper)
        if pending and now_ms < pending.sent_ms + self._settings.permit_retry_ms:
            return None
        self._round += 1
        self._asks[keeper] = OpenAsk(self._round, now_ms)
        for need in needs:
            share = self._shares.setdefault(need.subject, Share())
            share.keeper, share.asked_ms = keeper, now_ms
            share.slots = min(share.slots, need.slots)
        return self._round

    def take_answer(
        self, keeper: str, answer_round: int, shares: list[LimitShare], now_ms: Millis
    ) -> dict[str, Millis]:
        """Add lent shares; return the waits of the subjects that were lent too little."""
        pending = self._asks.get(keeper)
        if pending is None or pending.round != answer_round:
            return {}
        del self._asks[keeper]
        waits: dict[str, Millis] = {}
        for lent in shares:
            share = self._shares.setdefault(lent.subject, Share())
            if share.expires_ms <= now_ms:
                share.requests, share.tokens = 0.0, 0.0
            share.requests += lent.requests
            share.tokens += lent.tokens
            share.slots = lent.slots
            share.expires_ms = pending.sent_ms + self._settings.limit_lease_ms
            share.slots_expire_ms = pending.sent_ms + self._settings.slot_lease_ms
            if lent.retry_after_ms > 0:
                waits[lent.subject] = lent.retry_after_ms
        return waits

    def forget_idle(self, now_ms: Millis) -> None:
        """Drop shares that nothing uses."""
        wanted = {subject for claim in self._waiting.values() for subject in claim.subjects}
        for subject, share in list(self._shares.items()):
            if not share.used and subject not in wanted and share.slots_expire_ms <= now_ms:
                del self._shares[subject]

    def _less_held(self, need: LimitNeed, now_ms: Millis) -> LimitNeed:
        share = self._shares[need.subject]
        if share.expires_ms <= now_ms:
            return need
        return need._replace(
            requests=max(0.0, need.requests - share.requests),
            tokens=max(0.0, need.tokens - share.tokens),
            first_tokens=max(0.0, need.first_tokens - share.tokens),
        )


def _renewal(subject: str, share: Share) -> LimitNeed:
    return LimitNeed(subject, 0.0, 0.0, 0.0, share.used, share.used)


def _covers(share: Share, limit: Limit, cost_tokens: int, now_ms: Millis) -> bool:
    is_fresh = now_ms < share.expires_ms
    if limit.rate_per_s and not (is_fresh and share.requests >= 1.0):
        return False
    if limit.tokens_per_s and not (is_fresh and share.tokens >= cost_tokens):
        return False
    has_slot = share.used < share.slots and now_ms < share.slots_expire_ms
    return not limit.concurrency or has_slot
