"""The keeper's side of limits: accounts of subjects, and what is lent of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.view import ClusterView
from marigoldarch.entry.keepers import place
from marigoldarch.entry.limits import Limit, find_limit
from marigoldarch.messages import LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings

TOKEN_BURST_S = 10.0
"""How many seconds of its token rate a subject may use at once."""

REQUEST_BURST_S = 1.0
"""How many seconds of its request rate a subject may use at once, but at least one request."""

SLOT_RETRY_MS: Millis = 500.0

IDLE_CHECK_MS: Millis = 2000.0
"""How often accounts are looked through for idle ones."""


class Lent(NamedTuple):
    """Slots lent to a node."""

    slots: int
    expires_ms: Millis


@dataclass
class Account:
    """A keeper's account of one subject; a debt is paid off before more is lent."""

    requests: float
    tokens: float
    updated_ms: Millis
    recovers_until_ms: Millis
    lent: dict[str, Lent] = field(default_factory=dict)


class EarlierNodes(NamedTuple):
    """A membership that was in force until `ended_ms`."""

    nodes: tuple[str, ...]
    ended_ms: Millis


class LastRound(NamedTuple):
    """The newest ask of a node."""

    number: int
    heard_ms: Millis


class LimitOwner:
    """The accounts of the subjects that this node keeps.

    A new keeper cannot know what its predecessor lent. For a recovery time after a change of
    membership, accounts that have moved here therefore start empty, and a node is lent only the
    slots that it uses already.
    """

    def __init__(self, node: str, settings: EntrySettings) -> None:
        self._node = node
        self._settings = settings
        self._accounts: dict[str, Account] = {}
        self._nodes: tuple[str, ...] = ()
        self._earlier: list[EarlierNodes] = []
        self._check_due_ms: Millis = 0.0
        self._rounds: dict[str, LastRound] = {}

    @property
    def account_count(self) -> int:
        """Return how many subjects are in use."""
        return len(self._accounts)

    def set_nodes(self, nodes: tuple[str, ...], now_ms: Millis) -> None:
        """Note a change of membership, and give up the subjects that have moved away."""
        if nodes == self._nodes:
            return
        oldest_ms = now_ms - self._settings.limit_recovery_ms
        self._earlier = [item for item in self._earlier if item.ended_ms > oldest_ms]
        self._earlier.append(EarlierNodes(self._nodes, now_ms))
        self._nodes = nodes
        for subject in list(self._accounts):
            if place(subject, nodes) != self._node:
                del self._accounts[subject]

    def is_next_round(self, node: str, number: int, now_ms: Millis) -> bool:
        """Return whether an ask is newer than the last one of its node.

        An older ask that arrives late would set back what its node holds. A node that was silent
        for a slot's lease may have begun to count anew.
        """
        last = self._rounds.get(node)
        is_old = last is not None and number <= last.number
        if is_old and now_ms < last.heard_ms + self._settings.slot_lease_ms:
            return False
        self._rounds[node] = LastRound(number, now_ms)
        return True

    def lend(self, node: str, need: LimitNeed, limit: Limit, now_ms: Millis) -> LimitShare:
        """Lend what the limits allow of a node's need."""
        account = self._refill(need.subject, limit, now_ms)
        requests, request_wait = _take(account.requests, need.requests, limit.rate_per_s)
        slots, slot_wait = self._lend_slots(account, node, need, limit, now_ms)
        tokens, token_wait = _lend_tokens(account.tokens, need, limit)
        if limit.rate_per_s:
            account.requests -= requests
        if limit.tokens_per_s:
            account.tokens -= tokens
        wait_ms = max(request_wait, token_wait, slot_wait)
        return LimitShare(need.subject, requests, tokens, slots, wait_ms)

    def forget_idle(self, view: ClusterView, now_ms: Millis) -> None:
        """Drop accounts that stand as a new one would, looking them through at an interval."""
        if now_ms < self._check_due_ms:
            return
        self._check_due_ms = now_ms + IDLE_CHECK_MS
        for subject, account in list(self._accounts.items()):
            limit = find_limit(view, subject)
            account = self._refill(subject, limit, now_ms)
            is_full = account.requests >= _request_burst(limit)
            is_paid = account.tokens >= limit.tokens_per_s * TOKEN_BURST_S
            if is_full and is_paid and not account.lent:
                del self._accounts[subject]

    def _refill(self, subject: str, limit: Limit, now_ms: Millis) -> Account:
        account = self._accounts.get(subject)
        if account is None:
            recovers_until_ms = self._recovers_until_ms(subject)
            share = 0.0 if now_ms < recovers_until_ms else 1.0
            tokens = limit.tokens_per_s * TOKEN_BURST_S * share
            account = Account(_request_burst(limit) * share, tokens, now_ms, recovers_until_ms)
            self._accounts[subject] = account
        elapsed_s = max(0.0, now_ms - account.updated_ms) / 1000.0
        account.updated_ms = now_ms
        refilled = account.requests + elapsed_s * limit.rate_per_s
        account.requests = min(_request_burst(limit), refilled)
        refilled = account.tokens + elapsed_s * limit.tokens_per_s
        account.tokens = min(limit.tokens_per_s * TOKEN_BURST_S, refilled)
        lent = account.lent
        account.lent = {node: held for node, held in lent.items() if held.expires_ms > now_ms}
        return account

    def _lend_slots(
        self, account: Account, node: str, need: LimitNeed, limit: Limit, now_ms: Millis
    ) -> tuple[int, Millis]:
        if not limit.concurrency:
            return need.slots, 0.0
        account.lent.pop(node, None)
        wait_ms = 0.0
        if now_ms < account.recovers_until_ms:
            slots = need.used_slots
        else:
            others = sum(held.slots for held in account.lent.values())
            # Slots in use are a fact; they are counted even where they exceed the limit.
            slots = max(need.used_slots, min(need.slots, limit.concurrency - others))
            wait_ms = SLOT_RETRY_MS if slots < need.slots else 0.0
        if slots:
            account.lent[node] = Lent(slots, now_ms + self._settings.slot_lease_ms)
        return slots, wait_ms

    def _recovers_until_ms(self, subject: str) -> Millis:
        """Return until when entries may not yet have shown what another keeper lent them."""
        ends = [
            item.ended_ms
            for item in self._earlier
            if item.nodes and place(subject, item.nodes) != self._node
        ]
        return max(ends, default=float("-inf")) + self._settings.limit_recovery_ms


def _request_burst(limit: Limit) -> float:
    return max(1.0, limit.rate_per_s * REQUEST_BURST_S) if limit.rate_per_s else 0.0


def _lend_tokens(available: float, need: LimitNeed, limit: Limit) -> tuple[float, Millis]:
    """Lend for the oldest request whole, as a debt if it exceeds the burst, and the rest in part."""
    if not limit.tokens_per_s:
        return need.tokens, 0.0
    threshold = min(need.first_tokens, limit.tokens_per_s * TOKEN_BURST_S)
    if available < threshold:
        return 0.0, (threshold - available) / limit.tokens_per_s * 1000.0
    granted = max(need.first_tokens, min(need.tokens, available))
    missing = need.tokens - granted
    return granted, missing / limit.tokens_per_s * 1000.0


def _take(available: float, wanted: float, rate_per_s: float) -> tuple[float, Millis]:
    if not rate_per_s:
        return wanted, 0.0
    granted = float(int(max(0.0, min(available, wanted))))
    missing = wanted - granted
    wait_ms = (1.0 - (available - granted)) / rate_per_s * 1000.0 if missing > 0 else 0.0
    return granted, max(0.0, wait_ms)
