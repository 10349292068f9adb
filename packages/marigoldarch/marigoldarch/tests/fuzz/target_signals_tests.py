"""Stateful fuzzing of targets that leave or ask for waits in their responses, against an oracle."""

from __future__ import annotations

import unittest

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from marigoldarch.serving.candidates import CandidateSource
from marigoldarch.serving.placement import choose_least_loaded
from marigoldarch.serving.pool_view import PoolView
from marigoldarch.serving.target_health import HealthSettings, TargetHealth
from marigoldarch.serving.target_waits import TargetWaits, WaitSettings
from marigoldarch.serving.targets import MergedTargetView, Target, TargetStart
from marigoldarch.tests.serving.support import target

TARGETS = ("t", "u", "v")
HOSTS = ("c1", "c2")
SETTINGS = WaitSettings(max_wait_ms=5000.0, spread=0.5)
FUZZ_SETTINGS = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
SEARCH_SETTINGS = settings(FUZZ_SETTINGS, max_examples=1000, phases=(Phase.generate,))

target_ids = strategies.sampled_from(TARGETS)
hosts = strategies.sampled_from(HOSTS)
picks = strategies.integers(0, 99)


class TargetSignalMachine(RuleBasedStateMachine):
    """One entry, two control hosts with late announcements, and three targets that restart.

    The oracle keeps, for each start of a target, since when it leaves and until when it wants no
    request. It knows nothing of views, marks or trials.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.view = MergedTargetView()
        self.waits = TargetWaits(SETTINGS)
        health = TargetHealth(HealthSettings())
        self.source = CandidateSource("dc1", self.view, PoolView(), health, self.waits)
        self.born_ms = dict.fromkeys(TARGETS, 1000)
        self.serial = dict.fromkeys(TARGETS, 0)
        self.announced: list[Target] = []
        self.chosen: list[tuple[int, Target]] = []
        self.sent: list[tuple[int, Target]] = []
        self.sends: list[tuple[TargetStart, float]] = []
        self.leaving: set[TargetStart] = set()
        self.wanted_until_ms: dict[TargetStart, float] = {}
        self.attempts = 0
        self.violations: list[str] = []
        for host in HOSTS:
            self.view.connect(host)
            self.view.mark_complete(host)
        for name in TARGETS:
            self.announce(name, False)
            self.deliver(HOSTS[0], -1)

    @rule(name=target_ids, is_leaving=strategies.booleans())
    def announce(self, name: str, is_leaving: bool) -> None:
        """Let a target announce itself; the announcement may arrive at any time."""
        self.serial[name] += 1
        self.announced.append(
            target(
                name,
                born_ms=self.born_ms[name],
                serial=self.serial[name],
                is_leaving=is_leaving,
            )
        )

    @rule(host=hosts, pick=picks)
    def deliver(self, host: str, pick: int) -> None:
        """Let a control host list any announcement, also an old one."""
        self.view.update_target(host, self.announced[pick % len(self.announced)])

    @rule(name=target_ids)
    def restart(self, name: str) -> None:
        """Start a target again under its id."""
        self.born_ms[name] += 1000
        self.serial[name] = 0
        self.announce(name, False)

    @rule(host=hosts, name=target_ids)
    def drop(self, host: str, name: str) -> None:
        """Let a control host no longer hear of a target."""
        self.view.remove_target(host, name)

    @rule(host=hosts, is_complete=strategies.booleans())
    def reconnect(self, host: str, is_complete: bool) -> None:
        """Lose a control host's view and start a new one."""
        self.view.disconnect(host)
        self.view.connect(host)
        if is_complete:
            self.view.mark_complete(host)

    @rule(duration_ms=strategies.floats(1.0, 3000.0))
    def advance(self, duration_ms: float) -> None:
        """Let time pass and clean up, as an entry does at intervals."""
        self.now_ms += duration_ms
        self.waits.forget_old(self.now_ms)
        self.view.forget_departed(self.now_ms)

    @rule()
    def choose(self) -> None:
        """Choose a target for a request, which is sent later."""
        chosen = choose_least_loaded(self.source.find("engines", set(), self.now_ms))
        if chosen is not None:
            self.attempts += 1
            self.chosen.append((self.attempts, chosen.target))

    @rule(pick=picks)
    def send(self, pick: int) -> None:
        """Send a request to its chosen target, unless the entry finds that it must not."""
        if not self.chosen:
            return
        attempt, chosen = self.chosen.pop(pick % len(self.chosen))
        if self.view.is_leaving(chosen):
            return
        if not self.waits.admit(chosen.start, attempt, self.now_ms):
            return
        self.sent.append((attempt, chosen))
        self._check_send(chosen.start)

    def _check_send(self, start: TargetStart) -> None:
        if start in self.leaving:
            self.violations.append(f"{start} gets a request and is leaving")
        until_ms = self.wanted_until_ms.get(start, 0.0)
        if self.now_ms < until_ms:
            self.violations.append(f"{start} gets a request {until_ms - self.now_ms} ms too early")
        trial_from_ms = max(until_ms, self.now_ms - SETTINGS.trial_timeout_ms)
        unanswered = [
            at_ms for sent_to, at_ms in self.sends if sent_to == start and at_ms > trial_from_ms
        ]
        if until_ms and unanswered:
            self.violations.append(f"{start} gets a second request before it has answered one")
        self.sends.append((start, self.now_ms))

    def _respond(self, pick: int) -> tuple[int, TargetStart] | None:
        """Take a sent request to which its target responds, None if none is left."""
        if not self.sent:
            return None
        attempt, sent_to = self.sent.pop(pick % len(self.sent))
        return attempt, sent_to.start

    @rule(pick=picks)
    def respond(self, pick: int) -> None:
        """Let a target respond to a request."""
        response = self._respond(pick)
        if response is None:
            return
        attempt, start = response
        self.waits.note_end(start, attempt)
        # After any response the oracle expects no more trial: later responses end it early only.
        self.sends = [(sent_to, at_ms) for sent_to, at_ms in self.sends if sent_to != start]

    @rule(pick=picks)
    def respond_leaving(self, pick: int) -> None:
        """Let a target say in a response that it is leaving."""
        response = self._respond(pick)
        if response is not None:
            attempt, start = response
            self.view.mark_leaving(start, self.now_ms)
            self.waits.note_end(start, attempt)
            self.leaving.add(start)

    @rule(pick=picks, wait_ms=strategies.sampled_from((-1.0, 0.0, 300.0, 2000.0, 1e12)))
    def respond_with_wait(self, pick: int, wait_ms: float) -> None:
        """Let a target refuse a request and ask for a wait."""
        response = self._respond(pick)
        if response is None:
            return
        attempt, start = response
        self.waits.ask(start, wait_ms, self.now_ms)
        if wait_ms > 0:
            until_ms = self.now_ms + min(wait_ms, SETTINGS.max_wait_ms)
            self.wanted_until_ms[start] = max(self.wanted_until_ms.get(start, 0.0), until_ms)
            self.sends = [(sent_to, at_ms) for sent_to, at_ms in self.sends if sent_to != start]
        else:
            self.waits.note_end(start, attempt)

    @invariant()
    def nothing_is_sent_against_a_targets_word(self) -> None:
        """Check that no request has gone to a target that had said not to send it."""
        assert not self.violations, self.violations

    @invariant()
    def leaving_targets_are_not_usable(self) -> None:
        """Check that no announcement brings back a start that is leaving."""
        for found in self.view.usable.values():
            assert found.start not in self.leaving, found


class TargetSignalTests(unittest.TestCase):
    """Runs of the machine, and a broken variant that its checks must find."""

    def test_nothing_is_sent_against_a_targets_word(self) -> None:
        run_state_machine_as_test(TargetSignalMachine, settings=FUZZ_SETTINGS)

    def test_entry_that_does_not_check_before_it_sends_is_found(self) -> None:
        class UncheckedMachine(TargetSignalMachine):
            """Sends to the chosen target whatever it has said meanwhile."""

            @rule(pick=picks)
            def send(self, pick: int) -> None:
                """Send a request to its chosen target."""
                if self.chosen:
                    attempt, chosen = self.chosen.pop(pick % len(self.chosen))
                    self.sent.append((attempt, chosen))
                    self._check_send(chosen.start)

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(UncheckedMachine, settings=SEARCH_SETTINGS)
