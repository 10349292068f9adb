"""Limits that hold over all nodes: keepers lend shares to entries for a short time.

Each limited subject (a team, a kind of work or a customer) has one keeper. A subject that nobody uses has no state anywhere and costs no message.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.control.view import ClusterView
from marigoldarch.entry.keepers import place
from marigoldarch.messages import LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

TOKEN_BURST_S = 10.0
"""How many seconds of its token rate a subject may use at once."""

REQUEST_BURST_S = 1.0
"""How many seconds of its request rate a subject may use at once, but at least one request."""

SLOT_RETRY_MS: Millis = 500.0


class Limit(NamedTuple):
    """The declared limits of a subject; zero means none of that sort."""

    rate_per_s: float
    tokens_per_s: float
    concurrency: int

    @property
    def is_none(self) -> bool:
        """Return whether nothing is limited."""
        return not (self.rate_per_s or self.tokens_per_s or self.concurrency)


NO_LIMIT = Limit(0.0, 0.0, 0)


def subjects_of(team: str, kind: str, customer: str) -> tuple[str, ...]:
    """Return the subjects that a request counts for."""
    subjects = (f"team/{team}", f"customer/{team}/{customer}")
    return (*subjects, f"kind/{team}/{kind}") if kind else subjects


def find_limit(view: ClusterView, subject: str) -> Limit:
    """Return the declared limits of a subject."""
    scope, team, *rest = subject.split("/")
    state = view.teams.get(team)
    if state is None:
        return NO_LIMIT
    declaration = state.declaration
    match scope:
        case "team":
            declared = declaration
        case "kind":
            declared = declaration.kinds.get(rest[0])
        case _:
            declared = declaration.customers.get(rest[0])
    if declared is None:
        return NO_LIMIT
    return Limit(declared.rate_per_s, declared.tokens_per_s, declared.concurrency)


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


class LimitKeeper:
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

    @property
    def account_count(self) -> int:
        """Return how many subjects are in use."""
        return len(self._accounts)

    def watch_nodes(self, nodes: tuple[str, ...], now_ms: Millis) -> None:
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
        """Drop accounts that stand as a new one would."""
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
    subjects: frozenset[str]


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

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting claim."""
        self._waiting.pop(request_id, None)

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

    def moved(self, keeper_of: Callable[[str], str | None]) -> list[LimitNeed]:
        """Return the slots in use of subjects that have another keeper than the one asked last."""
        return [
            _renewal(subject, share)
            for subject, share in self._shares.items()
            if share.used and share.keeper != keeper_of(subject)
        ]

    def has_arrivals_since_ask(self, keeper: str) -> bool:
        """Return whether a claim waits that the last ask to the keeper did not count."""
        pending = self._asks.get(keeper)
        return pending is not None and any(
            claim.since_ms > pending.sent_ms for claim in self._waiting.values()
        )

    def ask(self, keeper: str, subjects: frozenset[str], now_ms: Millis) -> int | None:
        """Open an ask to a keeper and return its round, or None while one is open."""
        pending = self._asks.get(keeper)
        if pending and now_ms < pending.sent_ms + self._settings.permit_retry_ms:
            return None
        self._round += 1
        self._asks[keeper] = OpenAsk(self._round, now_ms, subjects)
        for subject in subjects:
            share = self._shares.setdefault(subject, Share())
            share.keeper, share.asked_ms = keeper, now_ms
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
