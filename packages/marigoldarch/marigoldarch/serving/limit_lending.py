"""One entry's part in sharing the limits of targets among all entries.

Load pattern: a target names a limit for all nodes together, and its callers meet hundreds of entries
or only one. An entry of the target's data centre, chosen by rendezvous hashing, owns the limit and
lends requests of it to the entries that need them. A request costs one exchange with the owner, and
an entry without requests for the target costs nothing, however many entries there are.

An entry knows all entries of its data centre, but only a few of each other one. It asks one of these
about a target there, which forwards the ask to the owner. An owner that doesn't answer is replaced by
the next one in the order of the hashes. That one starts with nothing to lend, so that a change of
owners adds at most what two of them lend at the same time: while groups of entries cannot reach each
other, each group has an owner of its own.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from marigoldarch.entry.limit_loans import LimitNeed, LimitShare
from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limit_shares import Claim, LimitShares
from marigoldarch.entry.limits import NO_LIMIT, Limit
from marigoldarch.entry.owner_placement import rank_owners
from marigoldarch.serving.cold_phases import COLD_BURST_S, ColdPhases
from marigoldarch.serving.limit_messages import LimitAnswer, LimitAsk
from marigoldarch.serving.targets import TargetStart
from marigoldarch.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.clock import Millis
    from marigoldarch.serving.report_recipients import EntryNode
    from marigoldarch.serving.target_limits import TargetLimits
    from marigoldarch.serving.targets import Target

LENDING_SETTINGS = EntrySettings(
    # A lent request is used at once or lost.
    limit_lease_ms=250.0,
    limit_burst_s=0.5,
    # The entries of one region answer within some 10 ms.
    permit_retry_ms=80.0,
)

OWNER_SILENCE_MS: Millis = 1000.0
"""How long an owner that has not answered is not asked again. Meanwhile others may still ask it, so
that two owners lend."""

MIN_WAIT_MS: Millis = 5.0
"""An entry that got nothing asks about the target again after this time at the earliest."""

UNANSWERED_WAIT_MS: Millis = 300.0
"""The same if no owner has answered."""

MAX_CACHED_RANKINGS = 1000
"""Rankings cached before the cache is cleared, which bounds its memory."""


class Outgoing(NamedTuple):
    """A message for another entry."""

    node: str
    message: LimitAsk | LimitAnswer


class Decision(NamedTuple):
    """Whether the request of a claim may be sent now."""

    claim_id: str
    is_granted: bool


class LimitLending:
    """The requests that an entry was lent, the claims that wait for more, and its own accounts."""

    def __init__(
        self,
        own: EntryNode,
        process: int,
        limits: TargetLimits,
        now_ms: Millis,
        cold: ColdPhases | None = None,
    ) -> None:
        self._own = own
        self._process = process
        self._limits = limits
        self._cold = cold or ColdPhases()
        self._shares = LimitShares(LENDING_SETTINGS)
        self._owner = LimitOwner(own.node, LENDING_SETTINGS)
        # This entry may have owned limits before a restart.
        self._owner.assume_lent(now_ms)
        self._nodes_by_data_centre: dict[str, tuple[str, ...]] = {own.data_centre: (own.node,)}
        self._ranked: dict[str, list[str]] = {}
        self._targets: dict[str, Target] = {}
        self._claim_count = 0
        self._told_until_ms: dict[str, Millis] = {}
        self._silent_until_ms: dict[str, Millis] = {}
        self._asked_owner: dict[str, str] = {}
        self._account_limits: dict[str, Limit] = {}

    @property
    def limits(self) -> TargetLimits:
        """Return the limits that targets name."""
        return self._limits

    @property
    def cold(self) -> ColdPhases:
        """Return the targets that are cold."""
        return self._cold

    def rate_per_s(self, start: TargetStart, now_ms: Millis) -> float | None:
        """Return how many requests a second are lent for a target, None if they are not limited.

        It is the lower one of the limit that the target names and that of its cold phase.
        """
        named_per_s = self._limits.find(start)
        cold_per_s = self._cold.rate_per_s(start, now_ms)
        if named_per_s is None or cold_per_s is None:
            return named_per_s if cold_per_s is None else cold_per_s
        return min(named_per_s, cold_per_s)

    @property
    def is_waiting(self) -> bool:
        """Return whether claims wait for shares."""
        return bool(self._shares.waiting)

    @property
    def account_count(self) -> int:
        """Return of how many targets this entry lends requests."""
        return self._owner.subject_count

    def set_entries(self, entries: Iterable[EntryNode], now_ms: Millis, *, is_own: bool) -> None:
        """Replace the entries that may own limits; with `is_own` this one may."""
        nodes: dict[str, set[str]] = defaultdict(set)
        for entry in entries:
            if entry.node != self._own.node:
                nodes[entry.data_centre].add(entry.node)
        if is_own or not nodes:
            nodes[self._own.data_centre].add(self._own.node)
        nodes_by_data_centre = {
            data_centre: tuple(sorted(names)) for data_centre, names in nodes.items()
        }
        if nodes_by_data_centre == self._nodes_by_data_centre:
            return
        self._nodes_by_data_centre = nodes_by_data_centre
        self._ranked.clear()
        self._owner.set_nodes(self._nodes_by_data_centre.get(self._own.data_centre, ()), now_ms)

    def wait_ms(self, start: TargetStart, now_ms: Millis) -> Millis:
        """Return after how long a request for a limited target may be lent, 0 if it may be now."""
        until_ms = self._told_until_ms.get(_subject(start), 0.0)
        return max(0.0, until_ms - now_ms)

    def try_acquire(self, target: Target, rate_per_s: float, now_ms: Millis) -> bool:
        """Use one of the requests that were lent for a target; return whether there was one."""
        return self._use(self._new_claim(target, now_ms), rate_per_s, now_ms)

    def claim(self, target: Target, now_ms: Millis) -> str:
        """Let a request wait for a share of a target's limit; return the id of its claim."""
        claim = self._new_claim(target, now_ms)
        self._targets[claim.subjects[0]] = target
        self._shares.wait(claim)
        return claim.request_id

    def withdraw(self, claim_id: str) -> None:
        """Drop a claim; what it was lent may be used by other requests of this entry."""
        self._shares.withdraw(claim_id)

    def ask(self, now_ms: Millis) -> tuple[list[Outgoing], list[Decision]]:
        """Return the asks for what the waiting claims lack, and the claims decided without one."""
        decisions = self._decide({}, now_ms)
        outgoing: list[Outgoing] = []
        for subject, need in self._shares.needs(now_ms).items():
            # An ask is about one subject, so that the round that awaits an answer is one of it.
            round_number = self._shares.ask(subject, [need], now_ms) if need.requests > 0 else None
            if round_number is None:
                continue
            owner, is_final = self._find_owner(subject, now_ms)
            self._asked_owner[subject] = owner
            target = self._targets[subject]
            ask = LimitAsk(
                self._own.node,
                self._process,
                round_number,
                target.target_id,
                target.born_ms,
                target.data_centre,
                int(need.requests),
                self.rate_per_s(target.start, now_ms) or 0.0,
                is_final,
                self._cold.left_ms(target.start, now_ms) > 0.0,
            )
            if owner == self._own.node:
                answer = self._lend(ask, now_ms)
                decisions += self.receive_answer(answer, now_ms) if answer else []
            else:
                outgoing.append(Outgoing(owner, ask))
        return outgoing, decisions

    def receive_ask(self, ask: LimitAsk, now_ms: Millis) -> Outgoing | None:
        """Return the answer to an ask, or the ask itself to forward it to the owner."""
        if not ask.is_final:
            ranked = self._rank(_subject_of(ask), ask.data_centre)
            owner = self._first_speaking(ranked, now_ms)
            if owner != self._own.node:
                return Outgoing(owner, msgspec.structs.replace(ask, is_final=True))
        answer = self._lend(ask, now_ms)
        return None if answer is None else Outgoing(ask.node, answer)

    def receive_answer(self, answer: LimitAnswer, now_ms: Millis) -> list[Decision]:
        """Store the share of an answer; return which claims this decides."""
        subject = _subject_of(answer)
        share = LimitShare(subject, float(answer.requests), 0.0, 0, answer.retry_after_ms)
        self._silent_until_ms.pop(self._asked_owner.get(subject, ""), None)
        waits = self._shares.take_answer(subject, answer.round, [share], now_ms)
        for wait_ms in waits.values():
            self._told_until_ms[subject] = now_ms + max(wait_ms, MIN_WAIT_MS)
        return self._decide(waits, now_ms)

    def note_silence(self, target: Target, now_ms: Millis) -> None:
        """Record that the owner of a target's limit has not answered."""
        owner = self._asked_owner.get(_subject(target.start))
        if owner is not None and owner != self._own.node:
            self._silent_until_ms[owner] = now_ms + OWNER_SILENCE_MS

    def note_start(self, node: str) -> None:
        """Record that an entry has started again: it is not silent any more."""
        self._silent_until_ms.pop(node, None)

    def give_up(self, target: Target, now_ms: Millis) -> None:
        """Record that no owner of a target's limit can be reached for the moment."""
        self._told_until_ms[_subject(target.start)] = now_ms + UNANSWERED_WAIT_MS

    def forget_old(self, now_ms: Millis) -> None:
        """Drop what is no longer needed of waits, owners, shares and accounts."""
        self._shares.drop_idle(now_ms)
        self._owner.drop_idle(self._account_limit, now_ms)
        for times_ms in (self._told_until_ms, self._silent_until_ms):
            for key, until_ms in list(times_ms.items()):
                if now_ms >= until_ms:
                    del times_ms[key]
        held = set(self._shares.subjects)
        for subject in self._targets.keys() - held:
            del self._targets[subject]
            self._asked_owner.pop(subject, None)
        for subject in self._account_limits.keys() - self._owner.subjects:
            del self._account_limits[subject]

    def _new_claim(self, target: Target, now_ms: Millis) -> Claim:
        self._claim_count += 1
        return Claim(str(self._claim_count), (_subject(target.start),), 0, now_ms)

    def _use(self, claim: Claim, rate_per_s: float, now_ms: Millis) -> bool:
        limits = {subject: Limit(rate_per_s, 0.0, 0) for subject in claim.subjects}
        if not self._shares.try_acquire(claim, limits, now_ms):
            return False
        # Only the number of requests is limited, not how many run at a time.
        self._shares.release(claim.subjects)
        return True

    def _decide(self, waits: dict[str, Millis], now_ms: Millis) -> list[Decision]:
        """Return the claims whose requests may be sent, and those that must wait, in their order."""
        decisions: list[Decision] = []
        for claim in self._shares.waiting:
            subject = claim.subjects[0]
            rate_per_s = self.rate_per_s(self._targets[subject].start, now_ms)
            if rate_per_s is None or self._use(claim, rate_per_s, now_ms):
                decisions.append(Decision(claim.request_id, is_granted=True))
                self._shares.withdraw(claim.request_id)
            elif subject in waits:
                decisions.append(Decision(claim.request_id, is_granted=False))
                self._shares.withdraw(claim.request_id)
        return decisions

    def _find_owner(self, subject: str, now_ms: Millis) -> tuple[str, bool]:
        """Return which entry to ask, and whether it must lend in place of a silent owner.

        Only an entry of the same data centre can be asked to do so: the others do not know the order
        of its entries.
        """
        ranked = self._rank(subject, self._targets[subject].data_centre)
        chosen = self._first_speaking(ranked, now_ms)
        return chosen, self._own.node in ranked and chosen != ranked[0]

    def _rank(self, subject: str, data_centre: str) -> list[str]:
        """Return the known entries that may own the limit of a data centre's target, the owner first.

        The limits of a data centre without entries are owned in another one.
        """
        ranked = self._ranked.get(subject)
        if ranked is None:
            by_data_centre = self._nodes_by_data_centre
            if data_centre not in by_data_centre:
                data_centre = rank_owners(subject, by_data_centre)[0]
            ranked = rank_owners(subject, by_data_centre[data_centre])
            if len(self._ranked) >= MAX_CACHED_RANKINGS:
                self._ranked.clear()
            self._ranked[subject] = ranked
        return ranked

    def _first_speaking(self, ranked: list[str], now_ms: Millis) -> str:
        """Return the first entry that is not silent; the first one if all are."""
        speaking = (node for node in ranked if self._silent_until_ms.get(node, now_ms) <= now_ms)
        return next(speaking, ranked[0])

    def _lend(self, ask: LimitAsk, now_ms: Millis) -> LimitAnswer | None:
        """Lend what an ask wants as far as the limit allows; None if a newer ask was answered."""
        subject = _subject_of(ask)
        asking = f"{ask.node}/{ask.process}/{subject}"
        if not self._owner.is_next_round(asking, ask.round, now_ms):
            return None
        start = TargetStart(ask.target_id, ask.born_ms)
        known_per_s = self.rate_per_s(start, now_ms)
        is_cold = ask.is_cold or self._cold.left_ms(start, now_ms) > 0.0
        limit = Limit(
            min(ask.rate_per_s, known_per_s or ask.rate_per_s),
            0.0,
            0,
            COLD_BURST_S if is_cold else None,
        )
        self._account_limits[subject] = limit
        wanted = LimitNeed(subject, float(ask.requests), 0.0, 0.0, 0, 0)
        lent = self._owner.lend(asking, wanted, limit, now_ms)
        return LimitAnswer(
            ask.round, ask.target_id, ask.born_ms, int(lent.requests), lent.retry_after_ms
        )

    def _account_limit(self, subject: str) -> Limit:
        return self._account_limits.get(subject, NO_LIMIT)


def _subject(start: TargetStart) -> str:
    return f"{start.born_ms}/{start.target_id}"


def _subject_of(item: LimitAsk | LimitAnswer) -> str:
    return f"{item.born_ms}/{item.target_id}"
