"""Faults injected into pools and entry nodes; the fuzzing checks of permits must catch each."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any
from unittest.mock import PropertyMock, patch

from marigoldarch import reducer
from marigoldarch.control.member import Member
from marigoldarch.effects import Effect, ReleaseMemory
from marigoldarch.entry import reducer as entry_reducer
from marigoldarch.entry.request import Request
from marigoldarch.entry.stream import Frame, StreamCheck
from marigoldarch.events import MessageArrived
from marigoldarch.messages import PermitsHeld, TargetReport
from marigoldarch.tests.fuzz.broken import run_script
from marigoldarch.tests.fuzz.permits_tests import (
    GANG_PROMPT,
    LONG_PROMPT,
    LONGEST_DEADLINE_MS,
    POOL,
    SHORT_PROMPT,
    PermitMachine,
)


def hang_engines(machine: PermitMachine) -> None:
    """Let no engine finish the calls it starts."""
    for number in range(3):
        machine.set_engine_mode(number, "hang", 0)


def find_scheduler(machine: PermitMachine) -> str:
    """Return the name of the node that holds the pool, and so is its scheduler."""
    cluster = machine.cluster
    for name in cluster.running:
        if cluster.nodes[name].state.control.member.holds_pool(POOL, cluster.local_ms(name)):
            return name
    raise AssertionError("no node holds the pool")


def kill_entry_node(machine: PermitMachine) -> None:
    """Kill an entry node while its gang prompt and its short prompts run."""
    scheduler = find_scheduler(machine)
    entry = next(name for name in machine.cluster.running if name != scheduler)
    entry_number = machine.cluster.running.index(entry)
    machine.send_prompts(entry_number, SHORT_PROMPT, 2)
    machine.send_prompts(entry_number, GANG_PROMPT, 1)
    hang_engines(machine)
    machine.advance(300.0)
    machine.cluster.kill(entry)


def hang_until_deadline(machine: PermitMachine) -> None:
    """Run prompts that get no answer until their deadline."""
    hang_engines(machine)
    machine.send_prompts(0, SHORT_PROMPT, 2)
    machine.advance(6000.0)


def hang_for_long(machine: PermitMachine) -> None:
    """Run prompts with the longest deadline for 15 s without an answer."""
    hang_engines(machine)
    for name in machine.cluster.running:
        machine.send_prompt(name, SHORT_PROMPT, deadline_ms=LONGEST_DEADLINE_MS)
    machine.advance(15_000.0)


def answer_one(machine: PermitMachine) -> None:
    """Run one prompt until it is answered."""
    machine.send_prompts(0, SHORT_PROMPT, 1)
    machine.advance(1000.0)


def drain_engine_under_load(machine: PermitMachine) -> None:
    """Send prompts for 9 s after the start of an engine's drain."""
    machine.drain_engine(0)
    for _ in range(18):
        machine.send_prompts(0, SHORT_PROMPT, 4)
        machine.send_prompts(0, LONG_PROMPT, 2)
        machine.advance(500.0)


def isolate_scheduler(machine: PermitMachine) -> None:
    """Isolate the scheduler for so long that the pool is assigned to another node."""
    machine.cluster.isolate(find_scheduler(machine))
    machine.advance(8000.0)


def reduce_pools_with(
    change_event: Callable[[Any], Any] = lambda event: event,
    keeps: Callable[[Effect], bool] = lambda effect: True,
) -> Any:
    """Return a patch of the pools' reducer that changes or drops its events and drops effects.

    An event for which `change_event` returns None is dropped, and so is an effect for which `keeps`
    returns False.
    """
    original = reducer.reduce_pools

    def reduce_pools(state: Any, event: Any, *rest: Any, **fields: Any) -> list[Effect]:
        changed = change_event(event)
        effects = original(state, changed, *rest, **fields) if changed is not None else []
        return [effect for effect in effects if keeps(effect)]

    return patch.object(reducer, "reduce_pools", reduce_pools)


class BrokenPoolTests(unittest.TestCase):
    """Faults of pools, and of how entry nodes handle prompts."""

    def assert_caught(self, fault: Any, script: Any, violation: str) -> None:
        """Assert that a script fails a check with the fault, and passes without it."""
        self.assertIn(violation, run_script(PermitMachine, fault, script))
        self.assertEqual(run_script(PermitMachine, nullcontext(), script), "")

    def test_ignoring_permits_that_an_entry_node_lists_is_caught(self) -> None:
        def without_listed_permits(event: Any) -> Any:
            if isinstance(event, MessageArrived) and isinstance(event.message, PermitsHeld):
                empty_list = PermitsHeld(event.message.pool, event.message.epoch, [], [])
                return MessageArrived(event.at_ms, event.sender, empty_list)
            return event

        fault = reduce_pools_with(without_listed_permits)
        self.assert_caught(fault, hang_for_long, "the live permit")

    def test_not_releasing_memory_of_lost_permits_is_caught(self) -> None:
        fault = reduce_pools_with(keeps=lambda effect: not isinstance(effect, ReleaseMemory))
        self.assert_caught(fault, kill_entry_node, "memory was not freed")

    def test_reporting_a_sent_prompt_as_not_run_is_caught(self) -> None:
        fault = patch.object(Request, "may_have_run", PropertyMock(return_value=False))
        self.assert_caught(fault, hang_until_deadline, "but was run")

    def test_missing_a_deadline_is_caught(self) -> None:
        fault = patch.object(entry_reducer, "_stop", lambda *args: [])
        self.assert_caught(fault, hang_until_deadline, "no outcome by their deadline")

    def test_ending_a_stream_early_is_caught(self) -> None:
        original = StreamCheck.accept

        def end_early(check: StreamCheck, frame: Frame) -> bool:
            is_accepted = original(check, frame)
            check._is_ended = check._is_ended or is_accepted
            return is_accepted

        fault = patch.object(StreamCheck, "accept", end_early)
        self.assert_caught(fault, answer_one, "received [0]")

    def test_sending_new_calls_to_a_leaving_engine_is_caught(self) -> None:
        def without_leaving_state(event: Any) -> Any:
            if isinstance(event, MessageArrived) and isinstance(event.message, TargetReport):
                report = event.message
                announcement = {**report.announcement, "is_leaving": False}
                changed = TargetReport(report.pool, announcement)
                return MessageArrived(event.at_ms, event.sender, changed)
            return event

        fault = reduce_pools_with(without_leaving_state)
        self.assert_caught(fault, drain_engine_under_load, "got new work")

    def test_scheduling_without_a_lease_is_caught(self) -> None:
        original = Member.holds_pool

        def holds_without_lease(member: Member, pool: Any, now_ms: float) -> bool:
            with patch.object(Member, "has_lease", lambda *args: True):
                return original(member, pool, now_ms)

        fault = patch.object(Member, "holds_pool", holds_without_lease)
        self.assert_caught(fault, isolate_scheduler, "several nodes hold")
