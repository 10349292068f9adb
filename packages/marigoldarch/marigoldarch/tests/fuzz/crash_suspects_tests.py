"""Stateful fuzzing of nodes that find parts of prompts which crash targets, against an oracle."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from marigoldarch.crash_suspects import CrashId, CrashSuspects, SuspectSettings, TargetCrash
from marigoldarch.tests.fuzz.machine import STATISTICS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldarch.clock import Millis

NODES = ("n0", "n1", "n2")
TARGETS = (0, 1, 2, 3)
PARTS = ("customer", "route", "x", "y", "z")
MAX_ATTEMPTS = 2
SETTINGS = SuspectSettings()
FUZZ_SETTINGS = settings(max_examples=80, stateful_step_count=50, derandomize=True, deadline=None)
SEARCH_SETTINGS = settings(FUZZ_SETTINGS, max_examples=2000, phases=(Phase.generate,))

nodes = strategies.sampled_from(NODES)
targets = strategies.sampled_from(TARGETS)
part_sets = strategies.sets(strategies.sampled_from(PARTS), min_size=1, max_size=3)
picks = strategies.integers(0, 99)


class Request(NamedTuple):
    """An attempt of a request that runs on a target, sent by a node."""

    node: str
    parts: frozenset[str]
    attempt: int


class Answered(NamedTuple):
    """A part that one node tells the others to be answered."""

    part: str
    at_ms: Millis


@dataclass
class Facts:
    """What one node has seen or was told since its start; the oracle's own record."""

    crashes: dict[str, dict[CrashId, Millis]] = field(default_factory=dict)
    answers_ms: dict[str, Millis] = field(default_factory=dict)

    def add_crash(self, crash: TargetCrash) -> None:
        """Add the report of a crash; the first instant of a crash counts."""
        for part in crash.parts:
            self.crashes.setdefault(part, {}).setdefault(crash.crash_id, crash.at_ms)

    def add_answer(self, part: str, at_ms: Millis) -> None:
        """Add the report of an answer."""
        self.answers_ms[part] = max(at_ms, self.answers_ms.get(part, at_ms))

    def crashes_of(self, part: str, since_ms: Millis = float("-inf")) -> dict[CrashId, Millis]:
        """Return the crashes that accuse a part, after its newest answer."""
        since_ms = max(since_ms, self.answers_ms.get(part, since_ms))
        found = self.crashes.get(part, {}).items()
        return {crash_id: at_ms for crash_id, at_ms in found if at_ms > since_ms}


def find_moments(times_ms: Iterable[Millis]) -> list[Millis]:
    """Return instants, each at least `moment_ms` after the one before."""
    moments: list[Millis] = []
    for at_ms in sorted(times_ms):
        if not moments or at_ms - moments[-1] >= SETTINGS.moment_ms:
            moments.append(at_ms)
    return moments


class CrashSuspectMachine(RuleBasedStateMachine):
    """Nodes that send requests to targets, and tell each other late, repeatedly or never.

    One or two parts crash each target that begins to answer a request with them. Targets also crash
    by themselves, alone or together. The oracle knows the faulty parts and what each node has heard.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.faulty: frozenset[str] = frozenset()
        self.suspects = {node: self.make_suspects(node) for node in NODES}
        self.facts = {node: Facts() for node in NODES}
        self.running: dict[int, list[Request]] = {number: [] for number in TARGETS}
        self.starts = dict.fromkeys(TARGETS, 0)
        self.messages: list[TargetCrash | Answered] = []
        self.violations: list[str] = []

    def make_suspects(self, node: str) -> CrashSuspects:
        """Return what a node that starts knows."""
        return CrashSuspects(SETTINGS._replace(spread=NODES.index(node) / len(NODES)))

    @initialize(faulty=strategies.sets(strategies.sampled_from(PARTS[1:]), min_size=1, max_size=2))
    def choose_faulty_parts(self, faulty: set[str]) -> None:
        """Choose the parts under which targets crash; the first part of all is sound."""
        self.faulty = frozenset(faulty)
        STATISTICS["examples"] += 1

    @rule(node=nodes, parts=part_sets, number=targets)
    def send(self, node: str, parts: set[str], number: int) -> None:
        """Let a caller's request come to a node, which sends or refuses it."""
        self._send(Request(node, frozenset(parts), 1), number)

    @rule(node=nodes, number=targets, count=strategies.integers(1, 5), pick=picks)
    def send_faulty(self, node: str, number: int, count: int, pick: int) -> None:
        """Let requests with a faulty part come one after the other, each to be answered at once."""
        part = sorted(self.faulty)[pick % len(self.faulty)]
        for index in range(count):
            self._send(Request(node, frozenset({part, PARTS[0]}), 1), number + index)
            self.begin_answer(number + index, -1)
            self.advance(200.0)

    def _send(self, request: Request, target: int) -> None:
        """Send a request to a target unless its node refuses it; check either decision."""
        suspects = self.suspects[request.node]
        if suspects.find_quarantine(request.parts, self.now_ms) is None:
            self._check_sent(request)
            self.running[target % len(TARGETS)].append(request)
            STATISTICS["sent"] += 1
        else:
            self._check_refused(request, SETTINGS.crash_limit)
            STATISTICS["refused"] += 1

    @rule(number=targets, pick=picks)
    def begin_answer(self, number: int, pick: int) -> None:
        """Let a target begin to answer a request, and crash if it has a faulty part."""
        running = self.running[number % len(TARGETS)]
        if running and running[pick % len(running)].parts & self.faulty:
            STATISTICS["crashes"] += 1
            self._crash(number % len(TARGETS))

    @rule(number=targets, pick=picks)
    def answer(self, number: int, pick: int) -> None:
        """Let a target answer a sound request completely."""
        running = self.running[number]
        if not running or running[pick % len(running)].parts & self.faulty:
            return
        request = running.pop(pick % len(running))
        for part in self.suspects[request.node].record_answer(request.parts, self.now_ms):
            self.messages.append(Answered(part, self.now_ms))
        for part in request.parts:
            self.facts[request.node].add_answer(part, self.now_ms)

    @rule(crashed=strategies.sets(targets, min_size=1))
    def crash_by_themselves(self, crashed: set[int]) -> None:
        """Let targets crash together, for no request's sake."""
        for target in sorted(crashed):
            self._crash(target)

    def _crash(self, target: int) -> None:
        """Start a target again; its requests are cut, and sent again as far as their nodes allow."""
        self.starts[target] += 1
        cut, self.running[target] = self.running[target], []
        crash_id = (target, self.starts[target])
        for node in NODES:
            parts = {part for request in cut if request.node == node for part in request.parts}
            if parts:
                crash = TargetCrash(crash_id, self.now_ms, tuple(sorted(parts)))
                self._report(node, crash)
                self.messages.append(crash)
        for request in cut:
            if request.attempt == MAX_ATTEMPTS:
                continue
            if self.suspects[request.node].may_retry(request.parts, self.now_ms):
                self._check_retried(request)
                self._send(request._replace(attempt=request.attempt + 1), target + 1)
            else:
                self._check_refused(request, SETTINGS.retry_crash_limit)

    def _report(self, node: str, message: TargetCrash | Answered) -> None:
        match message:
            case TargetCrash():
                self.suspects[node].record_crash(message)
                self.facts[node].add_crash(message)
            case Answered(part, at_ms):
                self.suspects[node].acquit(part, at_ms)
                self.facts[node].add_answer(part, at_ms)

    @rule(node=nodes, pick=picks)
    def deliver(self, node: str, pick: int) -> None:
        """Deliver any message to a node, also an old one or once more."""
        if self.messages:
            self._report(node, self.messages[pick % len(self.messages)])

    @rule(node=nodes)
    def deliver_all(self, node: str) -> None:
        """Deliver all messages to a node, the newest first."""
        for message in reversed(self.messages):
            self._report(node, message)

    @rule(sender=nodes, receiver=nodes, limit=strategies.integers(1, 8))
    def tell(self, sender: str, receiver: str, limit: int) -> None:
        """Let a node tell another what it may have missed."""
        for crash in self.suspects[sender].crashes_to_tell(limit):
            self._report(receiver, crash)
        for part, at_ms in self.suspects[sender].acquittals_to_tell(limit):
            self._report(receiver, Answered(part, at_ms))

    @rule(node=nodes)
    def restart(self, node: str) -> None:
        """Start a node again: it knows nothing, and its requests end."""
        self.suspects[node] = self.make_suspects(node)
        self.facts[node] = Facts()
        for target, running in self.running.items():
            self.running[target] = [request for request in running if request.node != node]

    @rule(duration_ms=strategies.sampled_from((1.0, 60.0, 150.0, 2000.0, 125_000.0)))
    def advance(self, duration_ms: Millis) -> None:
        """Let time pass and let the nodes forget, as they do at intervals."""
        self.now_ms += duration_ms
        for suspects in self.suspects.values():
            suspects.forget_old(self.now_ms)

    def _is_explained(
        self, request: Request, part: str, others: frozenset[str], limit: int
    ) -> bool:
        """Return whether others, not in the request, are accused of a part's crashes but a moment.

        Each must be accused of `limit` crashes itself, or of two while the part has three at most.
        """
        facts = self.facts[request.node]
        own = facts.crashes_of(part)
        if len(find_moments(own.values())) <= SETTINGS.crash_limit:
            limit = SETTINGS.retry_crash_limit
        kept_ms = self.now_ms - SETTINGS.memory_ms
        explained: set[CrashId] = set()
        for other in others - request.parts:
            crashes = facts.crashes_of(other)
            if len(find_moments(crashes.values())) >= limit and max(crashes.values()) > kept_ms:
                explained |= crashes.keys()
        left_ms = [at_ms for crash_id, at_ms in own.items() if crash_id not in explained]
        return len(find_moments(left_ms)) < SETTINGS.retry_crash_limit

    def _check_sent(self, request: Request) -> None:
        """Check that no request with a part known to be faulty is sent.

        It is known to be while its third crash is no older than a quarantine, unless sound parts
        without a known answer, which the request lacks, were accused of all but one moment too.
        """
        for part in request.parts & self.faulty:
            crashes = self.facts[request.node].crashes_of(part, self.now_ms - SETTINGS.memory_ms)
            moments = find_moments(crashes.values())
            is_known = len(moments) >= SETTINGS.crash_limit
            if not is_known or self.now_ms >= (
                moments[SETTINGS.crash_limit - 1] + SETTINGS.quarantine_ms
            ):
                continue
            others = frozenset(PARTS) - {part}
            if not self._is_explained(request, part, others, SETTINGS.crash_limit):
                self.violations.append(f"{request} is sent after crashes at {moments} by {part}")

    def _check_retried(self, request: Request) -> None:
        """Check that no request is sent again whose part is known to have crashed two targets."""
        for part in request.parts & self.faulty:
            crashes = self.facts[request.node].crashes_of(part, self.now_ms - SETTINGS.memory_ms)
            is_known = len(find_moments(crashes.values())) >= SETTINGS.retry_crash_limit
            others = frozenset(PARTS) - {part}
            if is_known and not self._is_explained(
                request, part, others, SETTINGS.retry_crash_limit
            ):
                self.violations.append(f"{request} is sent again after crashes by {part}")

    def _check_refused(self, request: Request, limit: int) -> None:
        """Check that a sound request is refused only for crashes that no faulty part explains.

        One of its parts must be accused of crashes at `limit` moments since its newest known answer,
        and faulty parts with as many must not be accused of all these but one moment.
        """
        if request.parts & self.faulty:
            return
        STATISTICS["sound refused"] += 1
        facts = self.facts[request.node]
        for part in request.parts:
            is_accused = len(find_moments(facts.crashes_of(part).values())) >= limit
            if is_accused and not self._is_explained(request, part, self.faulty, limit):
                return
        self.violations.append(f"{request} is sound and refused: {facts}")

    @invariant()
    def decisions_agree_with_what_the_nodes_know(self) -> None:
        """Check that no decision was wrong."""
        assert not self.violations, self.violations

    @invariant()
    def suspects_are_bounded_by_the_parts(self) -> None:
        """Check that nothing is suspected but parts of prompts."""
        assert all(suspects.count <= len(PARTS) for suspects in self.suspects.values())


class CrashSuspectTests(unittest.TestCase):
    """Runs of the machine, and broken variants that its checks must find."""

    def find_violation(self, variant: type[CrashSuspects]) -> None:
        """Fuzz nodes with a broken variant, and expect a check to fail."""

        class BrokenMachine(CrashSuspectMachine):
            """Nodes with the broken variant."""

            def make_suspects(self, node: str) -> CrashSuspects:
                """Return what a node that starts knows."""
                return variant(SETTINGS)

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(BrokenMachine, settings=SEARCH_SETTINGS)

    def test_faulty_parts_are_stopped_and_sound_ones_sent(self) -> None:
        run_state_machine_as_test(CrashSuspectMachine, settings=FUZZ_SETTINGS)

    def test_node_that_blames_each_part_of_a_crash_is_found(self) -> None:
        class BlamingSuspects(CrashSuspects):
            """Lets no other part explain crashes."""

            def _find_unexplained(
                self, crash_limit: int, suspects: list, wanted: set[str]
            ) -> object:
                return suspects[0] if suspects else None

        self.find_violation(BlamingSuspects)

    def test_node_that_excuses_a_part_for_any_other_is_found(self) -> None:
        class ExcusingSuspects(CrashSuspects):
            """Lets any other accused part explain all crashes."""

            def _find_unexplained(
                self, crash_limit: int, suspects: list, wanted: set[str]
            ) -> object:
                others = self._suspects.keys() - wanted
                return None if others else super()._find_unexplained(crash_limit, suspects, wanted)

        self.find_violation(ExcusingSuspects)

    def test_node_that_counts_a_rack_as_many_crashes_is_found(self) -> None:
        class RackSuspects(CrashSuspects):
            """Counts each crash as a moment of its own."""

            def _count_moments(self, suspect: object, crash_ids: Iterable[CrashId]) -> int:
                return len(list(crash_ids))

        self.find_violation(RackSuspects)

    def test_node_that_forgets_answers_is_found(self) -> None:
        class ForgetfulSuspects(CrashSuspects):
            """Lets late reports of crashes accuse a part that was answered since."""

            def _find_answer_ms(self, part: str) -> Millis:
                return self._acquitted_ms.get(part, float("-inf"))

        self.find_violation(ForgetfulSuspects)
