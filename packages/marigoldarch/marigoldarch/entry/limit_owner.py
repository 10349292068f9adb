"""The owner's side of limits: an account for each subject, and the shares lent from it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.limit_loans import LimitNeed, LimitShare
from marigoldarch.entry.limits import Limit
from marigoldarch.entry.owner_placement import choose_owner
from marigoldarch.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

TOKEN_BURST_S = 10.0
"""Burst of a token rate, in seconds of that rate."""

SLOT_RETRY_MS: Millis = 500.0
"""Wait suggested to an entry node that lacks slots; when one is freed is not known."""

IDLE_CHECK_MS: Millis = 2000.0
"""Interval at which idle accounts are dropped."""


class LentSlots(NamedTuple):
    """Slots lent to an entry node until `expires_ms`."""

    slots: int
    expires_ms: Millis


@dataclass
class SubjectAccount:
    """One subject's token buckets of requests and tokens, and its lent slots by entry node.

    The token bucket may become negative by a request larger than the burst; nothing more is then
    lent until it has refilled. Until `recovery_ends_ms`, only slots in use are lent.
    """

    requests: float
    tokens: float
    updated_ms: Millis
    recovery_ends_ms: Millis
    lent: dict[str, LentSlots] = field(default_factory=dict)


class PastMembership(NamedTuple):
    """The nodes that owned subjects until `ended_ms`."""

    nodes: tuple[str, ...]
    ended_ms: Millis


class LastRound(NamedTuple):
    """The newest round of an entry node's asks, and when it arrived."""

    number: int
    received_ms: Millis


class LimitOwner:
    """The accounts of the subjects that this node owns.

    A new owner does not know what the previous one lent. For a recovery time after a change of
    nodes, accounts that have moved here therefore start with empty buckets, and an entry node is
    lent only the slots that it already uses. Accounts of subjects that another node owns start with
    empty buckets, too: that node may still lend to others.
    """

    def __init__(self, node: str, settings: EntrySettings) -> None:
        self._node = node
        self._settings = settings
        self._accounts: dict[str, SubjectAccount] = {}
        self._nodes: tuple[str, ...] = ()
        self._past_memberships: list[PastMembership] = []
        self._idle_check_due_ms: Millis = 0.0
        self._last_rounds: dict[str, LastRound] = {}
        self._recovered_ms: Millis = float("-inf")

    @property
    def subject_count(self) -> int:
        """Return the number of subjects that have an account."""
        return len(self._accounts)

    @property
    def subjects(self) -> set[str]:
        """Return the subjects that have an account."""
        return set(self._accounts)

    def assume_lent(self, now_ms: Millis) -> None:
        """Assume that an earlier process of this node has lent shares until now.

        New accounts start with empty buckets for the recovery time.
        """
        self._recovered_ms = now_ms + self._settings.limit_recovery_ms

    def set_nodes(self, nodes: tuple[str, ...], now_ms: Millis) -> None:
        """Replace the nodes that own subjects; drop the accounts of those that moved away."""
        if nodes == self._nodes:
            return
        oldest_ms = now_ms - self._settings.limit_recovery_ms
        self._past_memberships = [
            item for item in self._past_memberships if item.ended_ms > oldest_ms
        ]
        self._past_memberships.append(PastMembership(self._nodes, now_ms))
        self._nodes = nodes
        for subject in list(self._accounts):
            if choose_owner(subject, nodes) != self._node:
                del self._accounts[subject]

    def is_next_round(self, node: str, number: int, now_ms: Millis) -> bool:
        """Record the round of an ask; return whether it is newer than the node's last one.

        An older ask that arrives late must be ignored: it would reduce the slots recorded for its
        node below those that the node holds. A node that has not asked for the length of a slot
        lease may have restarted and count its rounds from 1 again, so any round is accepted.
        """
        last = self._last_rounds.get(node)
        is_old = last is not None and number <= last.number
        if is_old and now_ms < last.received_ms + self._settings.slot_lease_ms:
            return False
        self._last_rounds[node] = LastRound(number, now_ms)
        return True

    def lend(self, node: str, need: LimitNeed, limit: Limit, now_ms: Millis) -> LimitShare:
        """Lend an entry node as much of its need as the limits allow."""
        account = self._refill(need.subject, limit, now_ms)
        requests, request_wait = _take_requests(account.requests, need.requests, limit.rate_per_s)
        slots, slot_wait = self._lend_slots(account, node, need, limit, now_ms)
        tokens, token_wait = _lend_tokens(account.tokens, need, limit)
        if limit.rate_per_s:
            account.requests -= requests
        if limit.tokens_per_s:
            account.tokens -= tokens
        wait_ms = max(request_wait, token_wait, slot_wait)
        return LimitShare(need.subject, requests, tokens, slots, wait_ms)

    def drop_idle(self, find_limit: Callable[[str], Limit], now_ms: Millis) -> None:
        """Drop accounts that equal a new one; the check runs once every `IDLE_CHECK_MS`.

        `find_limit` returns the limit of a subject.
        """
        if now_ms < self._idle_check_due_ms:
            return
        self._idle_check_due_ms = now_ms + IDLE_CHECK_MS
        # After this time a round of any number is accepted in any case.
        self._last_rounds = {
            node: last
            for node, last in self._last_rounds.items()
            if now_ms < last.received_ms + self._settings.slot_lease_ms
        }
        for subject, account in list(self._accounts.items()):
            limit = find_limit(subject)
            account = self._refill(subject, limit, now_ms)
            has_all_requests = account.requests >= self._request_burst(limit)
            has_all_tokens = account.tokens >= limit.tokens_per_s * TOKEN_BURST_S
            if has_all_requests and has_all_tokens and not account.lent:
                del self._accounts[subject]

    def _refill(self, subject: str, limit: Limit, now_ms: Millis) -> SubjectAccount:
        account = self._accounts.get(subject)
        if account is None:
            recovery_ends_ms = self._recovery_ends_ms(subject)
            is_owner = not self._nodes or choose_owner(subject, self._nodes) == self._node
            fill = 1.0 if is_owner and now_ms >= recovery_ends_ms else 0.0
            tokens = limit.tokens_per_s * TOKEN_BURST_S * fill
            account = SubjectAccount(
                self._request_burst(limit) * fill, tokens, now_ms, recovery_ends_ms
            )
            self._accounts[subject] = account
        elapsed_s = max(0.0, now_ms - account.updated_ms) / 1000.0
        account.updated_ms = now_ms
        refilled = account.requests + elapsed_s * limit.rate_per_s
        account.requests = min(self._request_burst(limit), refilled)
        refilled = account.tokens + elapsed_s * limit.tokens_per_s
        account.tokens = min(limit.tokens_per_s * TOKEN_BURST_S, refilled)
        lent = account.lent
        account.lent = {node: held for node, held in lent.items() if held.expires_ms > now_ms}
        return account

    def _lend_slots(
        self, account: SubjectAccount, node: str, need: LimitNeed, limit: Limit, now_ms: Millis
    ) -> tuple[int, Millis]:
        if not limit.concurrency:
            return need.slots, 0.0
        account.lent.pop(node, None)
        wait_ms = 0.0
        if now_ms < account.recovery_ends_ms:
            slots = need.used_slots
        else:
            lent_to_others = sum(held.slots for held in account.lent.values())
            # Slots in use cannot be taken back, so they are counted even above the limit.
            slots = max(need.used_slots, min(need.slots, limit.concurrency - lent_to_others))
            wait_ms = SLOT_RETRY_MS if slots < need.slots else 0.0
        if slots:
            account.lent[node] = LentSlots(slots, now_ms + self._settings.slot_lease_ms)
        return slots, wait_ms

    def _request_burst(self, limit: Limit) -> float:
        """Return the size of the bucket of requests, at least one request."""
        burst_s = self._settings.limit_burst_s if limit.burst_s is None else limit.burst_s
        burst = limit.rate_per_s * burst_s
        return max(1.0, burst) if limit.rate_per_s else 0.0

    def _recovery_ends_ms(self, subject: str) -> Millis:
        """Return until when this node may not know all slots that a previous owner lent."""
        ends = [
            item.ended_ms
            for item in self._past_memberships
            if item.nodes and choose_owner(subject, item.nodes) != self._node
        ]
        ended_ms = max(ends, default=float("-inf"))
        return max(ended_ms + self._settings.limit_recovery_ms, self._recovered_ms)


def _lend_tokens(available: float, need: LimitNeed, limit: Limit) -> tuple[float, Millis]:
    """Return the tokens to lend and the wait for the missing ones in milliseconds.

    The oldest request gets all of its tokens or none; the others may get a part. A request larger
    than the burst is lent as a debt once the bucket is full, as it could else never run.
    """
    if not limit.tokens_per_s:
        return need.tokens, 0.0
    threshold = min(need.first_tokens, limit.tokens_per_s * TOKEN_BURST_S)
    if available < threshold:
        return 0.0, (threshold - available) / limit.tokens_per_s * 1000.0
    granted = max(need.first_tokens, min(need.tokens, available))
    missing = need.tokens - granted
    return granted, missing / limit.tokens_per_s * 1000.0


def _take_requests(available: float, wanted: float, rate_per_s: float) -> tuple[float, Millis]:
    """Return the whole requests to lend, and the wait for the next one in milliseconds."""
    if not rate_per_s:
        return wanted, 0.0
    granted = float(int(max(0.0, min(available, wanted))))
    missing = wanted - granted
    wait_ms = (1.0 - (available - granted)) / rate_per_s * 1000.0 if missing > 0 else 0.0
    return granted, max(0.0, wait_ms)
