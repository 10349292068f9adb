"""Stateful fuzzing of limits: entries and their keeper over a network that loses and reorders."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any
from unittest.mock import patch

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from marigoldarch.entry.limit_keeper import REQUEST_BURST_S, LimitKeeper
from marigoldarch.entry.limit_shares import Claim, LimitShares
from marigoldarch.entry.limits import Limit
from marigoldarch.messages import LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings

SUBJECT = "customer/guild/harbor"
ENTRIES = ("n1", "n2", "n3")
SETTINGS = EntrySettings()
KEEPER = "k"
LAST = -1
FUZZ = settings(max_examples=100, stateful_step_count=40, derandomize=True, deadline=None)
HUNT = settings(FUZZ, phases=(Phase.generate,))

entries = strategies.sampled_from(ENTRIES)
picks = strategies.integers(0, 99)


class LimitMachine(RuleBasedStateMachine):
    """Three entries and one keeper; the oracle counts what runs and what was started when."""

    limit = Limit(0.0, 0.0, 0)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.keeper = LimitKeeper(KEEPER, SETTINGS)
        self.shares = {name: LimitShares(SETTINGS) for name in ENTRIES}
        self.flying: list[tuple[str, str, int, Any]] = []
        self.running: dict[str, list[str]] = {name: [] for name in ENTRIES}
        self.started_ms: list[float] = []
        self.serial = 0

    @rule(entry=entries, count=strategies.integers(1, 4))
    def call(self, entry: str, count: int) -> None:
        """Let requests arrive at an entry, which asks for what it lacks."""
        for _ in range(count):
            self.serial += 1
            self._claim(entry, Claim(f"r{self.serial}", (SUBJECT,), 1, self.now_ms))
        self.ask(entry)

    @rule(entry=entries)
    def ask(self, entry: str) -> None:
        """Let an entry ask for what it needs."""
        needs = list(self.shares[entry].needs(self.now_ms).values())
        number = self.shares[entry].ask(KEEPER, needs, self.now_ms) if needs else None
        if number is not None:
            self.flying.append(("ask", entry, number, needs))

    @rule(pick=picks, is_repeated=strategies.booleans())
    def deliver(self, pick: int, is_repeated: bool) -> None:
        """Deliver any message in flight; it may be delivered again."""
        if not self.flying:
            return
        index = pick % len(self.flying)
        sort, entry, number, content = self.flying[index]
        if not is_repeated:
            del self.flying[index]
        if sort == "ask":
            self._keep(entry, number, content)
        else:
            self._take(entry, number, content)

    @rule(pick=picks)
    def lose(self, pick: int) -> None:
        """Lose a message."""
        if self.flying:
            del self.flying[pick % len(self.flying)]

    @rule(entry=entries, count=strategies.integers(1, 4))
    def finish(self, entry: str, count: int) -> None:
        """Let running requests end."""
        for _ in range(min(count, len(self.running[entry]))):
            self.running[entry].pop()
            self.shares[entry].give_back((SUBJECT,))

    @rule(entry=entries)
    def kill(self, entry: str) -> None:
        """Lose an entry with all that ran there, and start it again."""
        self.running[entry] = []
        self.shares[entry] = LimitShares(SETTINGS)
        # A new process counts its rounds anew; it does so only after its session was opened.
        self.flying = [item for item in self.flying if item[1] != entry]
        self.now_ms += SETTINGS.slot_lease_ms + 1.0

    @rule(duration_ms=strategies.sampled_from((10.0, 100.0, 450.0, 1100.0, 3100.0)))
    def wait(self, duration_ms: float) -> None:
        """Let time pass; entries that run something renew their slots when they are due."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + SETTINGS.slot_renewal_ms / 2.0)
            for entry in ENTRIES:
                self._renew(entry)

    def _renew(self, entry: str) -> None:
        """Renew slots over a network that loses nothing, as the running requests rely on it."""
        needs = list(self.shares[entry].needs(self.now_ms).values())
        if not self.running[entry] or not needs:
            return
        number = self.shares[entry].ask(KEEPER, needs, self.now_ms)
        if number is not None:
            self._take(entry, number, self._lend(entry, number, needs))

    def _lend(self, entry: str, number: int, needs: list[LimitNeed]) -> list[LimitShare]:
        if not self.keeper.is_next_round(entry, number, self.now_ms):
            return []
        return [self.keeper.lend(entry, need, self.limit, self.now_ms) for need in needs]

    def _keep(self, entry: str, number: int, needs: list[LimitNeed]) -> None:
        lent = self._lend(entry, number, needs)
        if lent:
            self.flying.append(("answer", entry, number, lent))

    def _take(self, entry: str, number: int, lent: list[LimitShare]) -> None:
        self.shares[entry].take_answer(KEEPER, number, lent, self.now_ms)
        for claim in self.shares[entry].waiting:
            self._claim(entry, claim)

    def _claim(self, entry: str, claim: Claim) -> None:
        if self.shares[entry].try_take(claim, {SUBJECT: self.limit}, self.now_ms):
            self.running[entry].append(claim.request_id)
            self.started_ms.append(self.now_ms)
        else:
            self.shares[entry].wait(claim)


class ConcurrencyMachine(LimitMachine):
    """A limit of three requests in progress."""

    limit = Limit(0.0, 0.0, 3)

    @invariant()
    def concurrency_holds(self) -> None:
        """No more requests run than the limit allows, over all entries."""
        assert sum(map(len, self.running.values())) <= self.limit.concurrency, "too many run"


class RateMachine(LimitMachine):
    """A limit of four requests a second."""

    limit = Limit(4.0, 0.0, 0)

    @invariant()
    def rate_holds(self) -> None:
        """In no span of time were more requests started than the rate and one burst allow."""
        burst = max(1.0, self.limit.rate_per_s * REQUEST_BURST_S)
        lease_s = SETTINGS.limit_lease_ms / 1000.0
        for first, begin_ms in enumerate(self.started_ms):
            count = len(self.started_ms) - first
            span_s = (self.started_ms[-1] - begin_ms) / 1000.0
            # A share may be used as long after it was lent as its lease lasts.
            allowed = self.limit.rate_per_s * (span_s + lease_s) + burst
            assert count <= allowed, "too many were started"


def find_breach(machine: type[LimitMachine], fault: Any) -> str:
    """Fuzz a deliberately broken variant; return the breach it was caught by, or nothing."""
    with fault:
        try:
            run_state_machine_as_test(machine, settings=HUNT)
        except AssertionError as breach:
            return str(breach)
    return ""


def borrow(machine: LimitMachine, entry: str, count: int) -> None:
    """Let requests arrive at an entry, and deliver its ask and the answer."""
    machine.call(entry, count)
    machine.deliver(LAST, False)
    machine.deliver(LAST, False)


def lose_answer_to_smaller_ask(machine: LimitMachine) -> None:
    """Let an entry ask for fewer slots than it holds, and lose the answer."""
    borrow(machine, "n1", 3)
    machine.finish("n1", 2)
    machine.now_ms += SETTINGS.slot_renewal_ms
    machine.ask("n1")
    machine.deliver(LAST, False)
    machine.lose(LAST)
    borrow(machine, "n2", 2)
    machine.call("n1", 2)


def deliver_older_ask_late(machine: LimitMachine) -> None:
    """Deliver an ask after a later and larger one of the same entry."""
    machine.call("n1", 1)
    machine.now_ms += SETTINGS.permit_retry_ms
    borrow(machine, "n1", 2)
    machine.deliver(0, False)
    borrow(machine, "n2", 2)


def flood(machine: LimitMachine) -> None:
    """Let far more requests arrive at once than the rate allows."""
    for _ in range(8):
        borrow(machine, "n1", 4)


def repeat_answer(machine: LimitMachine) -> None:
    """Deliver one answer several times."""
    machine.call("n1", 4)
    machine.deliver(LAST, False)
    for _ in range(4):
        machine.deliver(LAST, True)
        machine.call("n1", 4)


def run_script(
    kind: type[LimitMachine], script: Callable[[LimitMachine], None], fault: Any
) -> LimitMachine:
    """Return the machine after a sequence of steps on a broken variant."""
    machine = kind()
    with fault:
        script(machine)
    return machine


def count_running(script: Callable[[LimitMachine], None], fault: Any) -> int:
    """Return how many requests run after a sequence of steps on a broken variant."""
    machine = run_script(ConcurrencyMachine, script, fault)
    return sum(map(len, machine.running.values()))


class LimitFuzzTests(unittest.TestCase):
    """The product holds, and each broken variant is caught."""

    def test_concurrency_holds(self) -> None:
        run_state_machine_as_test(ConcurrencyMachine, settings=FUZZ)

    def test_rate_holds(self) -> None:
        run_state_machine_as_test(RateMachine, settings=FUZZ)

    def test_keeping_slots_that_were_not_asked_for_is_caught(self) -> None:
        original = LimitShares.ask

        def ask(shares: LimitShares, keeper: str, needs: list[LimitNeed], now_ms: float) -> Any:
            slots = {subject: share.slots for subject, share in shares._shares.items()}
            number = original(shares, keeper, needs, now_ms)
            for subject, count in slots.items():
                shares._shares[subject].slots = count
            return number

        fault = patch.object(LimitShares, "ask", ask)
        running = count_running(lose_answer_to_smaller_ask, fault)
        self.assertGreater(running, ConcurrencyMachine.limit.concurrency)

    def test_taking_an_older_ask_is_caught(self) -> None:
        fault = patch.object(LimitKeeper, "is_next_round", lambda *_: True)
        running = count_running(deliver_older_ask_late, fault)
        self.assertGreater(running, ConcurrencyMachine.limit.concurrency)

    def test_scripts_hold_without_a_fault(self) -> None:
        for script in (lose_answer_to_smaller_ask, deliver_older_ask_late):
            with self.subTest(script.__name__):
                running = count_running(script, nullcontext())
                self.assertEqual(running, ConcurrencyMachine.limit.concurrency)
        for script in (flood, repeat_answer):
            with self.subTest(script.__name__):
                run_script(RateMachine, script, nullcontext()).rate_holds()

    def test_lending_slots_to_each_node_alone_is_caught(self) -> None:
        original = LimitKeeper.lend

        def lend(keeper: LimitKeeper, node: str, need: LimitNeed, *rest: Any) -> LimitShare:
            for account in keeper._accounts.values():
                account.lent.clear()
            return original(keeper, node, need, *rest)

        fault = patch.object(LimitKeeper, "lend", lend)
        self.assertIn("too many run", find_breach(ConcurrencyMachine, fault))

    def test_taking_an_answer_twice_is_caught(self) -> None:
        original = LimitShares.take_answer

        def take(
            shares: LimitShares, keeper: str, number: int, lent: list[LimitShare], now_ms: float
        ) -> Any:
            pending = shares._asks.get(keeper)
            waits = original(shares, keeper, number, lent, now_ms)
            if pending is not None:
                shares._asks[keeper] = pending
            return waits

        fault = patch.object(LimitShares, "take_answer", take)
        with self.assertRaisesRegex(AssertionError, "too many were started"):
            run_script(RateMachine, repeat_answer, fault).rate_holds()

    def test_lending_without_counting_the_rate_is_caught(self) -> None:
        original = LimitKeeper.lend

        def lend(keeper: LimitKeeper, node: str, need: LimitNeed, *rest: Any) -> LimitShare:
            share = original(keeper, node, need, *rest)
            return share._replace(requests=need.requests)

        fault = patch.object(LimitKeeper, "lend", lend)
        with self.assertRaisesRegex(AssertionError, "too many were started"):
            run_script(RateMachine, flood, fault).rate_holds()
