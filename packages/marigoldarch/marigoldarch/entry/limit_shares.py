"""The entry node's side of limits: shares it was lent, and requests that wait for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.limit_loans import LimitNeed, LimitShare
from marigoldarch.entry.limits import Limit
from marigoldarch.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass
class HeldShare:
    """What an entry node holds of one subject's limits.

    `used` slots of `slots` are in use. Requests and tokens may be used until `expires_ms`, slots
    may be taken until `slots_expire_ms`. `owner` is the node that was asked last, at `asked_ms`.
    """

    requests: float = 0.0
    tokens: float = 0.0
    slots: int = 0
    used: int = 0
    expires_ms: Millis = 0.0
    slots_expire_ms: Millis = 0.0
    owner: str = ""
    asked_ms: Millis = 0.0


class Claim(NamedTuple):
    """What a request needs of the limits of each of its subjects before it may proceed."""

    request_id: str
    subjects: tuple[str, ...]
    cost_tokens: int
    since_ms: Millis


@dataclass
class PendingAsk:
    """The last ask to an owner, which has not answered yet."""

    round: int
    sent_ms: Millis


class LimitShares:
    """An entry node's shares, and the claims that wait for them in the order of arrival."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._shares: dict[str, HeldShare] = {}
        self._waiting: dict[str, Claim] = {}
        self._asks: dict[str, PendingAsk] = {}
        self._round = 0
        self.generation = 0

    @property
    def waiting(self) -> list[Claim]:
        """Return the waiting claims, oldest first."""
        return list(self._waiting.values())

    @property
    def subjects(self) -> list[str]:
        """Return the subjects that have a share here."""
        return list(self._shares)

    def used(self, subject: str) -> int:
        """Return the number of requests in progress that use a slot of the subject."""
        share = self._shares.get(subject)
        return share.used if share else 0

    def try_acquire(self, claim: Claim, limits: dict[str, Limit], now_ms: Millis) -> bool:
        """Take the claim's cost from the shares of all its subjects, or of none if one lacks it.

        Returns whether the cost was taken.
        """
        shares = [self._shares.setdefault(subject, HeldShare()) for subject in claim.subjects]
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
        """Add a claim to those that wait for shares; does not block."""
        self._waiting[claim.request_id] = claim

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting claim; return whether it still waited and so has acquired nothing."""
        return self._waiting.pop(request_id, None) is not None

    def release(self, subjects: tuple[str, ...]) -> None:
        """Release a request's slot of each subject."""
        for subject in subjects:
            share = self._shares.get(subject)
            if share is not None:
                share.used = max(0, share.used - 1)

    def needs(self, now_ms: Millis) -> dict[str, LimitNeed]:
        """Return what waiting claims lack, and the slots in use that are due for renewal."""
        needs_by_subject: dict[str, LimitNeed] = {}
        for subject, share in self._shares.items():
            if share.used and now_ms >= share.asked_ms + self._settings.slot_renewal_ms:
                needs_by_subject[subject] = _renewal(subject, share)
        for claim in self._waiting.values():
            for subject in claim.subjects:
                share = self._shares.setdefault(subject, HeldShare())
                need = needs_by_subject.get(subject) or _renewal(subject, share)
                needs_by_subject[subject] = need._replace(
                    requests=need.requests + 1.0,
                    tokens=need.tokens + claim.cost_tokens,
                    first_tokens=need.first_tokens or claim.cost_tokens,
                    slots=need.slots + 1,
                )
        return {
            subject: self._subtract_held(need, now_ms) for subject, need in needs_by_subject.items()
        }

    def reassign(self, find_owner: Callable[[str], str | None]) -> list[LimitNeed]:
        """Return the slots in use of subjects that have another owner than the one asked last.

        Unused slots from the previous owner are dropped, as the new owner does not count them.
        """
        moved: list[LimitNeed] = []
        for subject, share in self._shares.items():
            if share.owner == find_owner(subject):
                continue
            share.slots = min(share.slots, share.used)
            if share.used:
                moved.append(_renewal(subject, share))
        return moved

    def has_claims_since_ask(self, owner: str) -> bool:
        """Return whether a claim waits that arrived after the pending ask to the owner was sent."""
        pending = self._asks.get(owner)
        return pending is not None and any(
            claim.since_ms > pending.sent_ms for claim in self._waiting.values()
        )

    def ask(self, owner: str, needs: list[LimitNeed], now_ms: Millis) -> int | None:
        """Begin an ask to an owner and return its round, or None while an earlier one is pending.

        Slots beyond those asked for are dropped at once: the owner may lend them to other nodes as
        soon as it receives the ask, whether or not its answer arrives.
        """
        pending = self._asks.get(owner)
        if pending and now_ms < pending.sent_ms + self._settings.permit_retry_ms:
            return None
        self._round += 1
        self._asks[owner] = PendingAsk(self._round, now_ms)
        for need in needs:
            share = self._shares.setdefault(need.subject, HeldShare())
            share.owner, share.asked_ms = owner, now_ms
            share.slots = min(share.slots, need.slots)
        return self._round

    def take_answer(
        self, owner: str, answer_round: int, shares: list[LimitShare], now_ms: Millis
    ) -> dict[str, Millis]:
        """Add lent shares; return the waits in milliseconds of subjects that were lent too little.

        An answer to any other ask than the pending one is ignored.
        """
        pending = self._asks.get(owner)
        if pending is None or pending.round != answer_round:
            return {}
        del self._asks[owner]
        waits: dict[str, Millis] = {}
        for lent in shares:
            share = self._shares.setdefault(lent.subject, HeldShare())
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

    def drop_idle(self, now_ms: Millis) -> None:
        """Drop shares without slots in use or waiting claims, whose slots have expired.

        Asks without an answer are dropped, too, once what they could bring has expired.
        """
        lease_ms = max(self._settings.slot_lease_ms, self._settings.limit_lease_ms)
        self._asks = {
            owner: pending
            for owner, pending in self._asks.items()
            if now_ms < pending.sent_ms + lease_ms
        }
        wanted = {subject for claim in self._waiting.values() for subject in claim.subjects}
        for subject, share in list(self._shares.items()):
            if not share.used and subject not in wanted and share.slots_expire_ms <= now_ms:
                del self._shares[subject]

    def _subtract_held(self, need: LimitNeed, now_ms: Millis) -> LimitNeed:
        share = self._shares[need.subject]
        if share.expires_ms <= now_ms:
            return need
        return need._replace(
            requests=max(0.0, need.requests - share.requests),
            tokens=max(0.0, need.tokens - share.tokens),
            first_tokens=max(0.0, need.first_tokens - share.tokens),
        )


def _renewal(subject: str, share: HeldShare) -> LimitNeed:
    return LimitNeed(subject, 0.0, 0.0, 0.0, share.used, share.used)


def _covers(share: HeldShare, limit: Limit, cost_tokens: int, now_ms: Millis) -> bool:
    is_valid = now_ms < share.expires_ms
    if limit.rate_per_s and not (is_valid and share.requests >= 1.0):
        return False
    if limit.tokens_per_s and not (is_valid and share.tokens >= cost_tokens):
        return False
    has_slot = share.used < share.slots and now_ms < share.slots_expire_ms
    return not limit.concurrency or has_slot
