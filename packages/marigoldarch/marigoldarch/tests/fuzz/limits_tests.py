"""Stateful fuzzing of limits: entry nodes and an owner, over a network that loses and reorders."""

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

from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limit_shares import Claim, LimitShares
from marigoldarch.entry.limits import Limit
from marigoldarch.messages import LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings

SUBJECT = "customer/guild/harbor"
ENTRIES = ("n1", "n2", "n3")
SETTINGS = EntrySettings()
OWNER = "k"
NEWEST = -1
"""Index of the message that was sent last."""

FUZZ_SETTINGS = settings(max_examples=100, stateful_step_count=40, derandomize=True, deadline=None)
SEARCH_SETTINGS = settings(FUZZ_SETTINGS, phases=(Phase.generate,))

entry_names = strategies.sampled_from(ENTRIES)
message_picks = strategies.integers(0, 99)


class LimitMachine(RuleBasedStateMachine):
    """Three entry nodes and the owner of one subject's limit.

    The invariants of subclasses use only `running`, the running requests of each entry node, and
    `started_ms`, when each request was started.
    """

    limit = Limit(0.0, 0.0, 0)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.owner = LimitOwner(OWNER, SETTINGS)
        self.shares = {name: LimitShares(SETTINGS) for name in ENTRIES}
        # Messages as (kind, entry node, round number, needs or shares).
        self.in_flight: list[tuple[str, str, int, Any]] = []
        self.running: dict[str, list[str]] = {name: [] for name in ENTRIES}
        self.started_ms: list[float] = []
        self.request_count = 0

    @rule(entry=entry_names, count=strategies.integers(1, 4))
    def call(self, entry: str, count: int) -> None:
        """Let requests arrive at an entry node, which then asks the owner for what they need."""
        for _ in range(count):
            self.request_count += 1
            claim = Claim(f"r{self.request_count}", (SUBJECT,), 1, self.now_ms)
            self._start_or_wait(entry, claim)
        self.ask(entry)

    @rule(entry=entry_names)
    def ask(self, entry: str) -> None:
        """Let an entry node ask the owner for the shares it needs."""
        needs = list(self.shares[entry].needs(self.now_ms).values())
        round_number = self.shares[entry].ask(OWNER, needs, self.now_ms) if needs else None
        if round_number is not None:
            self.in_flight.append(("ask", entry, round_number, needs))

    @rule(pick=message_picks, is_repeated=strategies.booleans())
    def deliver(self, pick: int, is_repeated: bool) -> None:
        """Deliver any message in flight; with `is_repeated` it stays in flight."""
        if not self.in_flight:
            return
        index = pick % len(self.in_flight)
        kind, entry, round_number, content = self.in_flight[index]
        if not is_repeated:
            del self.in_flight[index]
        if kind == "ask":
            self._on_ask(entry, round_number, content)
        else:
            self._on_answer(entry, round_number, content)

    @rule(pick=message_picks)
    def lose(self, pick: int) -> None:
        """Lose a message in flight."""
        if self.in_flight:
            del self.in_flight[pick % len(self.in_flight)]

    @rule(entry=entry_names, count=strategies.integers(1, 4))
    def finish(self, entry: str, count: int) -> None:
        """Let running requests end."""
        for _ in range(min(count, len(self.running[entry]))):
            self.running[entry].pop()
            self.shares[entry].release((SUBJECT,))

    @rule(entry=entry_names)
    def kill(self, entry: str) -> None:
        """Restart an entry node: its requests end, and its slots expire before it asks again."""
        self.running[entry] = []
        self.shares[entry] = LimitShares(SETTINGS)
        # A new process numbers its rounds from the start, but only after it has opened a new
        # session, so messages of the old process are not delivered any more.
        self.in_flight = [message for message in self.in_flight if message[1] != entry]
        self.now_ms += SETTINGS.slot_lease_ms + 1.0

    @rule(duration_ms=strategies.sampled_from((10.0, 100.0, 450.0, 1100.0, 3100.0)))
    def wait(self, duration_ms: float) -> None:
        """Advance time; entry nodes with running requests renew their slots when this is due."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + SETTINGS.slot_renewal_ms / 2.0)
            for entry in ENTRIES:
                self._renew(entry)

    def _renew(self, entry: str) -> None:
        """Renew an entry node's slots without message loss.

        A lost renewal would let the slots of running requests expire.
        """
        needs = list(self.shares[entry].needs(self.now_ms).values())
        if not self.running[entry] or not needs:
            return
        round_number = self.shares[entry].ask(OWNER, needs, self.now_ms)
        if round_number is not None:
            self._on_answer(entry, round_number, self._lend(entry, round_number, needs))

    def _lend(self, entry: str, round_number: int, needs: list[LimitNeed]) -> list[LimitShare]:
        if not self.owner.is_next_round(entry, round_number, self.now_ms):
            return []
        return [self.owner.lend(entry, need, self.limit, self.now_ms) for need in needs]

    def _on_ask(self, entry: str, round_number: int, needs: list[LimitNeed]) -> None:
        lent_shares = self._lend(entry, round_number, needs)
        if lent_shares:
            self.in_flight.append(("answer", entry, round_number, lent_shares))

    def _on_answer(self, entry: str, round_number: int, lent_shares: list[LimitShare]) -> None:
        self.shares[entry].take_answer(OWNER, round_number, lent_shares, self.now_ms)
        for claim in self.shares[entry].waiting:
            self._start_or_wait(entry, claim)

    def _start_or_wait(self, entry: str, claim: Claim) -> None:
        if self.shares[entry].try_acquire(claim, {SUBJECT: self.limit}, self.now_ms):
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
        burst = max(1.0, self.limit.rate_per_s * SETTINGS.limit_burst_s)
        lease_s = SETTINGS.limit_lease_ms / 1000.0
        for first, begin_ms in enumerate(self.started_ms):
            count = len(self.started_ms) - first
            span_s = (self.started_ms[-1] - begin_ms) / 1000.0
            # A lent share may be used until its lease ends, so the lease is added to the span.
            allowed = self.limit.rate_per_s * (span_s + lease_s) + burst
            assert count <= allowed, "too many were started"


def find_violation(machine_class: type[LimitMachine], fault: Any) -> str:
    """Fuzz the code with a fault injected; return the text of the failed check, or ""."""
    with fault:
        try:
            run_state_machine_as_test(machine_class, settings=SEARCH_SETTINGS)
        except AssertionError as violation:
            return str(violation)
    return ""


def borrow(machine: LimitMachine, entry: str, count: int) -> None:
    """Let requests arrive at an entry node, and deliver its ask and the owner's answer."""
    machine.call(entry, count)
    machine.deliver(NEWEST, False)
    machine.deliver(NEWEST, False)


def lose_answer_to_smaller_ask(machine: LimitMachine) -> None:
    """Lose the answer to an entry node that asked for fewer slots than it holds.

    The owner lends the slots that were not asked for to another entry node.
    """
    borrow(machine, "n1", 3)
    machine.finish("n1", 2)
    machine.now_ms += SETTINGS.slot_renewal_ms
    machine.ask("n1")
    machine.deliver(NEWEST, False)
    machine.lose(NEWEST)
    borrow(machine, "n2", 2)
    machine.call("n1", 2)


def deliver_older_ask_late(machine: LimitMachine) -> None:
    """Deliver an ask after a later and larger one of the same entry node."""
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
    """Deliver one answer several times, with new requests in between."""
    machine.call("n1", 4)
    machine.deliver(NEWEST, False)
    for _ in range(4):
        machine.deliver(NEWEST, True)
        machine.call("n1", 4)


def run_script(
    machine_class: type[LimitMachine], script: Callable[[LimitMachine], None], fault: Any
) -> LimitMachine:
    """Run a fixed sequence of steps with a fault injected; return the machine afterwards."""
    machine = machine_class()
    with fault:
        script(machine)
    return machine


def count_running(script: Callable[[LimitMachine], None], fault: Any) -> int:
    """Return how many requests run after a fixed sequence of steps with a fault injected."""
    machine = run_script(ConcurrencyMachine, script, fault)
    return sum(map(len, machine.running.values()))


class LimitFuzzTests(unittest.TestCase):
    """The limits hold under fuzzing, and each injected fault is caught."""

    def test_concurrency_holds(self) -> None:
        run_state_machine_as_test(ConcurrencyMachine, settings=FUZZ_SETTINGS)

    def test_rate_holds(self) -> None:
        run_state_machine_as_test(RateMachine, settings=FUZZ_SETTINGS)

    def test_keeping_slots_that_were_not_asked_for_is_caught(self) -> None:
        original = LimitShares.ask

        def ask_and_keep_slots(
            shares: LimitShares, owner: str, needs: list[LimitNeed], now_ms: float
        ) -> Any:
            slots = {subject: share.slots for subject, share in shares._shares.items()}
            round_number = original(shares, owner, needs, now_ms)
            for subject, count in slots.items():
                shares._shares[subject].slots = count
            return round_number

        fault = patch.object(LimitShares, "ask", ask_and_keep_slots)
        running = count_running(lose_answer_to_smaller_ask, fault)
        self.assertGreater(running, ConcurrencyMachine.limit.concurrency)

    def test_accepting_an_older_ask_is_caught(self) -> None:
        fault = patch.object(LimitOwner, "is_next_round", lambda *_: True)
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

    def test_ignoring_slots_lent_to_other_nodes_is_caught(self) -> None:
        original = LimitOwner.lend

        def forget_lent_slots(
            owner: LimitOwner, node: str, need: LimitNeed, *rest: Any
        ) -> LimitShare:
            for account in owner._accounts.values():
                account.lent.clear()
            return original(owner, node, need, *rest)

        fault = patch.object(LimitOwner, "lend", forget_lent_slots)
        self.assertIn("too many run", find_violation(ConcurrencyMachine, fault))

    def test_accepting_an_answer_twice_is_caught(self) -> None:
        original = LimitShares.take_answer

        def keep_ask_pending(
            shares: LimitShares,
            owner: str,
            round_number: int,
            lent: list[LimitShare],
            now_ms: float,
        ) -> Any:
            pending_ask = shares._asks.get(owner)
            waits = original(shares, owner, round_number, lent, now_ms)
            if pending_ask is not None:
                shares._asks[owner] = pending_ask
            return waits

        fault = patch.object(LimitShares, "take_answer", keep_ask_pending)
        with self.assertRaisesRegex(AssertionError, "too many were started"):
            run_script(RateMachine, repeat_answer, fault).rate_holds()

    def test_lending_without_counting_the_rate_is_caught(self) -> None:
        original = LimitOwner.lend

        def lend_all_requests(
            owner: LimitOwner, node: str, need: LimitNeed, *rest: Any
        ) -> LimitShare:
            share = original(owner, node, need, *rest)
            return share._replace(requests=need.requests)

        fault = patch.object(LimitOwner, "lend", lend_all_requests)
        with self.assertRaisesRegex(AssertionError, "too many were started"):
            run_script(RateMachine, flood, fault).rate_holds()
