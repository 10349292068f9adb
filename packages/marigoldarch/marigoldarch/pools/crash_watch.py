"""Crashes of a pool's targets, and the requests that are refused as they may cause them.

Load pattern: each target that begins to answer a prompt with a certain prefix, or to run a certain
request, crashes, so that every retry, every new request with this prefix and every repeat of this
request takes another target away from all others. A request counts as one more prefix, its identity.

A target has crashed if it closed the connections of calls, and after that its announcement expires
or is replaced by that of another incarnation. Both are needed: a call may fail at a target that goes
on serving, and announcements may get lost. A target that has announced that it leaves accuses none.
"""

from __future__ import annotations

from collections import deque
from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from marigoldarch.crash_suspects import CrashSuspects, TargetCrash
from marigoldarch.effects import Effect, RecordEvent
from marigoldarch.serving.request_identity import IDENTITY_PREFIX

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.messages import WorkItem
    from marigoldarch.pools.fleet import Fleet, Target
    from marigoldarch.pools.permits import Permit
    from marigoldarch.settings import PoolSettings

RENEWAL_LAG_MS: Millis = 500.0
"""An announcement that arrives so soon after a lost call may have been sent before it."""

UNRESOLVED_RETRY_MS: Millis = 1000.0
"""The `retry_after_ms` until it is known whether a target has crashed under a suspected prefix."""

FORGET_INTERVAL_MS: Millis = 10_000.0

MAX_LOST_CALLS = 256
"""How many lost calls are kept per target; beyond, the oldest is dropped."""

MAX_PREFIXES_PER_CRASH = 512


class LostCall(NamedTuple):
    """A call whose connection its target has closed before the end of the answer."""

    at_ms: Millis
    prefix: tuple[str, ...]


class SuspectRefusal(NamedTuple):
    """Why a request must not be sent, and after how many milliseconds it may be sent again.

    `prefix` is quarantined. With an empty one the request is suspected, and a target may have
    crashed under the same prefix just now.
    """

    prefix: str
    crashes: int
    retry_after_ms: Millis


class CrashWatch:
    """Finds the targets of one pool that crash, and the prefixes of the prompts that ran there."""

    def __init__(self, fleet: Fleet, settings: PoolSettings) -> None:
        self._fleet = fleet
        self._suspects = CrashSuspects(settings.crash_suspects)
        self._lost_calls: dict[str, deque[LostCall]] = {}
        self._forget_due_ms = float("-inf")

    def record_lost_call(self, permit: Permit, now_ms: Millis) -> None:
        """Record that a target has closed the connection of a permit's call.

        All members of a gang count, as the others may have crashed too.
        """
        call = LostCall(now_ms, _prefixes_of(permit.item))
        for address in permit.targets:
            target = self._fleet.find(address.target)
            if target is not None and target.address.incarnation == address.incarnation:
                calls = self._lost_calls.setdefault(target.name, deque(maxlen=MAX_LOST_CALLS))
                calls.append(call)

    def record_renewal(self, name: str, now_ms: Millis) -> None:
        """Drop the calls that a target has lost some time before it renews its announcement."""
        calls = self._lost_calls.get(name)
        if calls is None:
            return
        while calls and calls[0].at_ms <= now_ms - RENEWAL_LAG_MS:
            calls.popleft()
        if not calls:
            del self._lost_calls[name]

    def record_end(self, target: Target) -> list[Effect]:
        """Record that a target has restarted or expired; if it crashed, accuse what ran there."""
        calls = self._lost_calls.pop(target.name, None)
        if not calls or target.announcement.is_leaving:
            return []
        at_ms = calls[0].at_ms
        held = (
            _prefixes_of(permit.item)
            for permit in target.permits.values()
            if permit.granted_ms < at_ms
        )
        found = dict.fromkeys(chain(*(call.prefix for call in calls), *held))
        # Identities come first, so that long prompts never displace them.
        prefixes = tuple(sorted(found, key=lambda item: not item.startswith(IDENTITY_PREFIX)))
        crash_id = _hash(target.name), _hash(target.announcement.incarnation)
        crash = TargetCrash(crash_id, at_ms, prefixes[:MAX_PREFIXES_PER_CRASH])
        quarantined = self._suspects.record_crash(crash)
        fields = {"target": target.name, "lost_calls": len(calls), "prefixes": len(prefixes)}
        effects: list[Effect] = [RecordEvent("target_crashed", fields)]
        for prefix in quarantined:
            fields = {"prefix": prefix, "target": target.name}
            effects.append(RecordEvent("prefix_quarantined", fields))
        return effects

    def record_answer(self, item: WorkItem, now_ms: Millis) -> list[Effect]:
        """Acquit the prefixes of a request that was answered completely."""
        prefixes = _prefixes_of(item)
        acquitted = self._suspects.record_answer(prefixes, now_ms)
        if self._lost_calls:
            # A crash before this answer may be recognized only after it.
            for prefix in prefixes:
                self._suspects.acquit(prefix, now_ms)
        if not acquitted:
            return []
        fields = {"request": item.request_id, "prefixes": len(acquitted)}
        return [RecordEvent("prefixes_acquitted", fields)]

    def find_refusal(self, item: WorkItem, now_ms: Millis) -> SuspectRefusal | None:
        """Return why a request must not be sent, None if it may be."""
        prefixes = _prefixes_of(item)
        quarantine = self._suspects.find_quarantine(prefixes, now_ms)
        if quarantine is not None:
            return SuspectRefusal(quarantine.part, quarantine.crashes, quarantine.left_ms)
        if not self._lost_calls or self._suspects.may_retry(prefixes, now_ms):
            return None
        if self._shares_with_lost_call(prefixes):
            return SuspectRefusal("", 0, UNRESOLVED_RETRY_MS)
        return None

    def tick(self, now_ms: Millis) -> None:
        """Forget the prefixes that have long not been accused."""
        if now_ms >= self._forget_due_ms:
            self._forget_due_ms = now_ms + FORGET_INTERVAL_MS
            self._suspects.forget_old(now_ms)

    def _shares_with_lost_call(self, prefixes: tuple[str, ...]) -> bool:
        wanted = set(prefixes)
        return any(
            not wanted.isdisjoint(call.prefix)
            for calls in self._lost_calls.values()
            for call in calls
        )


def _prefixes_of(item: WorkItem) -> tuple[str, ...]:
    """Return the prefixes by which a request is judged; the identity is never left out."""
    return (item.identity, *item.prefix) if item.identity else item.prefix


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
