"""Finds the parts of prompts under which targets crash, and the requests that must not be sent.

Load pattern: requests of many callers share a part of their prompts, and each target that begins to
answer one of them crashes. Every retry and every new request takes another target away from the
sound requests, which share their customer, their route and their other parts with these.

Each crash accuses all shared parts of the requests that ran on the target, also those of sound ones.
A part is acquitted by an answer to any request with it. It is quarantined after several crashes, each
under a request that was sent after the crash before: the targets of a rack crash under requests that
were all sent before. Such crashes are of different moments. A quarantined part does not block a request
if other parts, which the request lacks, explain all of its crashes but one moment: sound requests that
ran beside faulty ones are accused with them, and the report of a crash may lack the faulty part.

A request is one more part, which only its repeats have. Its repeats explain the crashes of a part that was
answered before, or of other requests, but not those of a part that only it is known to have had.

A quarantine of a part ends after a time that doubles, that of a request sooner at first. One more crash then suffices for the next one.
Until an answer acquits the part, one request with it is sent at a time: the callers that were told the same wait all come back at once.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.serving.request_identity import IDENTITY_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.clock import Millis

CrashId = tuple[int, int]
"""A target, as hash of its id, and the instant of its start in Unix milliseconds."""


class SuspectSettings(NamedTuple):
    """When a part is quarantined and for how long, and how much is remembered.

    A part is quarantined after `crash_limit` crashes at different moments. Where it is not known when
    a request was sent, crashes within `moment_ms` are of the same moment. The first quarantine takes
    `quarantine_ms`, each following one twice as long, up to `max_quarantine_ms`. A part is forgotten
    `memory_ms` after its last crash and quarantine. `spread`, from 0 to 1, differs between nodes, so
    that not all of them end a quarantine at the same instant.
    """

    crash_limit: int = 3
    retry_crash_limit: int = 2
    """With as many crashes a part's requests are still sent, but only once.

    A part blocks requests only with as many that no other part explains.
    """

    moment_ms: Millis = 100.0
    quarantine_ms: Millis = 120_000.0
    request_quarantines_ms: tuple[Millis, ...] = (10_000.0, 40_000.0)
    """The first quarantines of a request; the others take `max_quarantine_ms`.

    A sound request may meet three crashes in a row, and nobody but its caller can then show that it is
    sound: it is tried again soon, but only twice.
    """

    max_quarantine_ms: Millis = 3_600_000.0
    trial_ms: Millis = 2000.0
    """How long one request with a part whose quarantine has ended is sent alone."""

    memory_ms: Millis = 600_000.0
    max_parts: int = 1024
    max_crashes_per_part: int = 32
    spread: float = 0.0


SPREAD_SHARE = 0.1
"""A node extends quarantines by up to this share."""

MAX_PARTS_PER_CRASH = 16
"""How many parts of a crash are told to other nodes; those with most crashes come first."""


class TargetCrash(NamedTuple):
    """A target that has crashed at `at_ms`, and the shared parts of the requests that ran on it.

    The newest of these requests was sent to it at `sent_ms`, None if that is not known.
    """

    crash_id: CrashId
    at_ms: Millis
    parts: tuple[str, ...]
    sent_ms: Millis | None = None


class Quarantine(NamedTuple):
    """A part whose requests are not sent for `left_ms`, after `crashes` crashes of targets."""

    part: str
    crashes: int
    left_ms: Millis


class TrialClaim(NamedTuple):
    """A part of which one request is sent alone from now on."""

    part: str


@dataclass
class _Suspect:
    """The crashes of which a part is accused, with their instants, and its newest quarantine.

    `sent_ms` are the instants at which the requests that ran were sent, where they are known.
    `moments` is the number of crashes, with those of the same moment counted once. After a quarantine
    only the request `trial_holder` is sent until `trial_until_ms`, one of another node if it is 0.
    """

    part: str
    crashes: dict[CrashId, Millis] = field(default_factory=dict)
    sent_ms: dict[CrashId, Millis] = field(default_factory=dict)
    moments: int = 0
    quarantines: int = 0
    quarantined_until_ms: Millis = float("-inf")
    trial_holder: int = 0
    trial_until_ms: Millis = float("-inf")

    @property
    def last_crash_ms(self) -> Millis:
        return max(self.crashes.values(), default=float("-inf"))


class CrashSuspects:
    """The parts of prompts that one node suspects of crashing targets."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._suspects: dict[str, _Suspect] = {}
        self._acquitted_ms: dict[str, Millis] = {}
        self._answered_ms: dict[str, Millis] = {}
        self._random = random.Random(f"crash suspects/{settings.spread}")

    @property
    def count(self) -> int:
        """Return how many parts are suspected, in quarantine or not."""
        return len(self._suspects)

    def has_any(self, prefix: str) -> bool:
        """Return whether a part whose name begins so is suspected."""
        return any(part.startswith(prefix) for part in self._suspects)

    def record_crash(self, crash: TargetCrash) -> tuple[str, ...]:
        """Record a crash that this node has seen or was told of; return the parts it quarantines.

        The same crash may be recorded again, also with other parts.
        """
        accused = [
            part for part in dict.fromkeys(crash.parts) if crash.at_ms > self._find_answer_ms(part)
        ]
        known = [self._suspects[part] for part in accused if part in self._suspects]
        suspects = [item for item in known if crash.crash_id not in item.crashes]
        for suspect in suspects:
            self._add_crash(suspect, crash)
        for suspect in self._add_suspects([part for part in accused if part not in self._suspects]):
            self._add_crash(suspect, crash)
            suspects.append(suspect)
        return tuple(item.part for item in suspects if self._begin_quarantine(item, crash.at_ms))

    def record_answer(self, parts: Iterable[str], now_ms: Millis) -> tuple[str, ...]:
        """Acquit the parts of a request that was answered completely; return those suspected."""
        acquitted = []
        for part in parts:
            # Reports of crashes before the answer may still come. The identities of all sound requests
            # would displace the parts.
            if part in self._suspects or not part.startswith(IDENTITY_PREFIX):
                self._remember(self._answered_ms, part, now_ms)
            if part in self._suspects:
                self.acquit(part, now_ms)
                acquitted.append(part)
        return tuple(acquitted)

    def acquit(self, part: str, at_ms: Millis) -> None:
        """Drop a part's crashes up to an instant: a request with it was answered then.

        A quarantine stays if the crashes that remain suffice for one.
        """
        self._remember(self._acquitted_ms, part, at_ms)
        at_ms = self._find_answer_ms(part)
        suspect = self._suspects.get(part)
        if suspect is None:
            return
        suspect.crashes = {
            crash: crash_ms for crash, crash_ms in suspect.crashes.items() if crash_ms > at_ms
        }
        suspect.moments = self._count_moments(suspect, suspect.crashes)
        if not suspect.crashes:
            del self._suspects[part]
        elif suspect.moments < self._settings.crash_limit:
            self._suspects[part] = _Suspect(part, suspect.crashes, suspect.sent_ms, suspect.moments)

    def find_quarantine(self, parts: Iterable[str], now_ms: Millis) -> Quarantine | None:
        """Return why a request with these shared parts must not be sent, None if it may be."""
        if not self._suspects:
            return None
        wanted = set(parts)
        quarantined = [
            suspect
            for suspect in self._find_accused(wanted, self._settings.crash_limit)
            if now_ms < suspect.quarantined_until_ms
        ]
        worst = self._find_worst(quarantined, wanted)
        if worst is None:
            return None
        return Quarantine(worst.part, len(worst.crashes), worst.quarantined_until_ms - now_ms)

    def claim_trial(
        self, parts: Iterable[str], holder: int, now_ms: Millis
    ) -> Quarantine | TrialClaim | None:
        """Let a request be the only one that is sent with a part whose quarantine has ended.

        `holder` is a number of the request, not 0. Returns the claim if it is new, for the other nodes, and
        the rest of the trial of another request, if there is one. Without such a part there is nothing to
        claim. The request must not be in quarantine.
        """
        if not self._suspects:
            return None
        wanted = set(parts)
        accused = self._find_accused(wanted, self._settings.crash_limit)
        worst = self._find_worst([item for item in accused if item.quarantines], wanted)
        if worst is None:
            return None
        is_running = now_ms < worst.trial_until_ms
        if is_running and worst.trial_holder == holder:
            return None
        if is_running:
            return Quarantine(worst.part, len(worst.crashes), worst.trial_until_ms - now_ms)
        worst.trial_holder, worst.trial_until_ms = holder, now_ms + self._settings.trial_ms
        return TrialClaim(worst.part)

    def record_trial(self, part: str, now_ms: Millis) -> None:
        """Record that another node sends a request with a part alone."""
        suspect = self._suspects.get(part)
        if suspect is not None and now_ms >= suspect.trial_until_ms:
            suspect.trial_holder, suspect.trial_until_ms = 0, now_ms + self._settings.trial_ms

    def _find_worst(self, quarantined: list[_Suspect], wanted: set[str]) -> _Suspect | None:
        """Return one that blocks a request with the `wanted` parts, None if others explain them all."""
        # A faulty part gets no more crashes while parts that come with it are refused, so fewer of
        # its own explain the first ones of these.
        limit = self._settings.crash_limit
        strong = [suspect for suspect in quarantined if suspect.moments > limit]
        weak = [suspect for suspect in quarantined if suspect.moments <= limit]
        return self._find_unexplained(limit, strong, wanted) or self._find_unexplained(
            self._settings.retry_crash_limit, weak, wanted
        )

    def may_retry(self, parts: Iterable[str], now_ms: Millis) -> bool:
        """Return whether a request whose target has crashed may be sent to another one."""
        wanted = set(parts)
        limit = self._settings.retry_crash_limit
        return self._find_unexplained(limit, self._find_accused(wanted, limit), wanted) is None

    def crashes_to_tell(self, limit: int) -> list[TargetCrash]:
        """Return crashes, each with its most accused parts, for nodes that lack them.

        Those with parts that had a quarantine come first, then the newest.
        """
        parts_by_crash: dict[CrashId, list[str]] = {}
        times_ms: dict[CrashId, Millis] = {}
        sent_ms: dict[CrashId, Millis] = {}
        urgent: set[CrashId] = set()
        for suspect in sorted(self._suspects.values(), key=lambda item: -len(item.crashes)):
            times_ms.update(suspect.crashes)
            sent_ms.update(suspect.sent_ms)
            if suspect.quarantines:
                urgent.update(suspect.crashes)
            for crash_id in suspect.crashes:
                parts_by_crash.setdefault(crash_id, []).append(suspect.part)
        first = heapq.nlargest(limit, times_ms, key=lambda item: (item in urgent, times_ms[item]))
        return [
            TargetCrash(
                crash_id,
                times_ms[crash_id],
                tuple(parts_by_crash[crash_id][:MAX_PARTS_PER_CRASH]),
                sent_ms.get(crash_id),
            )
            for crash_id in first
        ]

    def acquittals_to_tell(self, limit: int) -> list[tuple[str, Millis]]:
        """Return the parts acquitted last and when, newest first, for nodes that missed it.

        A node that still suspects such a part refuses its requests, and so never sees an answer.
        """
        return heapq.nlargest(limit, self._acquitted_ms.items(), key=lambda item: item[1])

    def forget_old(self, now_ms: Millis) -> None:
        """Drop the parts that have long been neither accused nor quarantined."""
        for part, suspect in list(self._suspects.items()):
            last_ms = max(suspect.last_crash_ms, suspect.quarantined_until_ms)
            if now_ms >= last_ms + self._settings.memory_ms:
                del self._suspects[part]
        for times_ms in (self._acquitted_ms, self._answered_ms):
            for part, at_ms in list(times_ms.items()):
                if now_ms >= at_ms + self._settings.memory_ms:
                    del times_ms[part]

    def _remember(self, times_ms: dict[str, Millis], part: str, at_ms: Millis) -> None:
        """Keep the newest instant of a part; at the limit, drop the part set first."""
        at_ms = max(at_ms, times_ms.pop(part, at_ms))
        if len(times_ms) >= self._settings.max_parts:
            del times_ms[next(iter(times_ms))]
        times_ms[part] = at_ms

    def _find_answer_ms(self, part: str) -> Millis:
        """Return when a part was last answered, as far as known; negative infinity if never."""
        never_ms = float("-inf")
        return max(self._acquitted_ms.get(part, never_ms), self._answered_ms.get(part, never_ms))

    def _add_suspects(self, parts: list[str]) -> list[_Suspect]:
        """Add parts; at the limit, drop those with the fewest and oldest crashes.

        At most half of all are replaced at once. Of more parts any may be the faulty one, so others
        are added with each crash.
        """
        max_parts = self._settings.max_parts
        if len(parts) > max_parts // 2:
            parts = self._random.sample(parts, max_parts // 2)
        excess = len(self._suspects) + len(parts) - max_parts
        if excess > 0:
            weakest = heapq.nsmallest(
                excess,
                self._suspects.values(),
                key=lambda item: (len(item.crashes), item.last_crash_ms),
            )
            for suspect in weakest:
                del self._suspects[suspect.part]
        added = [_Suspect(part) for part in parts]
        self._suspects.update((suspect.part, suspect) for suspect in added)
        return added

    def _add_crash(self, suspect: _Suspect, crash: TargetCrash) -> None:
        suspect.crashes[crash.crash_id] = crash.at_ms
        if crash.sent_ms is not None:
            suspect.sent_ms[crash.crash_id] = crash.sent_ms
        while len(suspect.crashes) > self._settings.max_crashes_per_part:
            oldest = min(suspect.crashes, key=lambda item: suspect.crashes[item])
            del suspect.crashes[oldest]
            suspect.sent_ms.pop(oldest, None)
        suspect.moments = self._count_moments(suspect, suspect.crashes)

    def _begin_quarantine(self, suspect: _Suspect, at_ms: Millis) -> bool:
        """Begin a quarantine if a crash suffices for one; return whether it does."""
        settings = self._settings
        if at_ms < suspect.quarantined_until_ms:
            return False
        if not suspect.quarantines and suspect.moments < settings.crash_limit:
            return False
        duration_ms = min(
            settings.quarantine_ms * 2**suspect.quarantines, settings.max_quarantine_ms
        )
        if suspect.part.startswith(IDENTITY_PREFIX):
            durations = (*settings.request_quarantines_ms, settings.max_quarantine_ms)
            duration_ms = durations[min(suspect.quarantines, len(durations) - 1)]
        suspect.quarantines = min(suspect.quarantines + 1, 16)
        suspect.quarantined_until_ms = suspect.last_crash_ms + duration_ms * (
            1.0 + SPREAD_SHARE * settings.spread
        )
        return True

    def _count_moments(self, suspect: _Suspect, crash_ids: Iterable[CrashId]) -> int:
        """Return the number of crashes under requests that were sent after the counted one before."""
        count, moment_ms = 0, float("-inf")
        for at_ms, crash_id in sorted((suspect.crashes[item], item) for item in crash_ids):
            if suspect.sent_ms.get(crash_id, at_ms - self._settings.moment_ms) >= moment_ms:
                count, moment_ms = count + 1, at_ms
        return count

    def _find_accused(self, parts: Iterable[str], crash_limit: int) -> list[_Suspect]:
        """Return those of the parts that have `crash_limit` crashes or had a quarantine."""
        suspects = (self._suspects[part] for part in parts if part in self._suspects)
        return [item for item in suspects if item.quarantines or item.moments >= crash_limit]

    def _find_unexplained(
        self, crash_limit: int, suspects: list[_Suspect], wanted: set[str]
    ) -> _Suspect | None:
        """Return one whose crashes the parts that are not `wanted` do not explain, None if none is.

        Parts with `crash_limit` crashes explain them, all together.
        """
        if not suspects:
            return None
        others = self._find_accused(self._suspects.keys() - wanted, crash_limit)
        unexplained = {crash_id for suspect in suspects for crash_id in suspect.crashes}
        repeated: set[CrashId] = set()
        for other in others:
            if other.part.startswith(IDENTITY_PREFIX):
                repeated.update(other.crashes)
            else:
                unexplained.difference_update(other.crashes)
        if not unexplained:
            return None
        # A part that has reached its limit of crashes has lost those before them.
        full = [item for item in others if len(item.crashes) >= self._settings.max_crashes_per_part]
        since_ms = max((min(item.crashes.values()) for item in full), default=float("-inf"))
        # The last quarantine to end decides how long the caller has to wait.
        for suspect in sorted(suspects, key=lambda item: (-item.quarantined_until_ms, item.part)):
            is_excusable = self._may_be_excused_by_request(suspect)
            left = unexplained - repeated if is_excusable else unexplained
            moments = self._count_moments(
                suspect,
                (
                    crash_id
                    for crash_id, at_ms in suspect.crashes.items()
                    if at_ms >= since_ms and crash_id in left
                ),
            )
            if moments >= self._settings.retry_crash_limit:
                return suspect
        return None

    def _may_be_excused_by_request(self, suspect: _Suspect) -> bool:
        """Return whether the repeats of a single request may explain a suspect's crashes.

        They don't if the request is the only one that is known to have had the part: either may be
        at fault then. A part that was answered before, and another request, are not.
        """
        is_request = suspect.part.startswith(IDENTITY_PREFIX)
        return is_request or self._find_answer_ms(suspect.part) > float("-inf")
