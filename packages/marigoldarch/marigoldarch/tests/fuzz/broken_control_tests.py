"""Faults injected into the log, declarations and the ledger; the fuzzing checks must catch each."""

from __future__ import annotations

import unittest
from contextlib import nullcontext
from functools import partial
from typing import Any
from unittest.mock import PropertyMock, patch

from marigoldarch.control.configuration import Configuration
from marigoldarch.control.ledger import Ledger
from marigoldarch.control.member import Member
from marigoldarch.control.replica import Replica
from marigoldarch.control.replication import NEVER_MS
from marigoldarch.control.sessions import Sessions
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.effects import Send, VoteRecord
from marigoldarch.entry import attempts
from marigoldarch.entry import reducer as entry_reducer
from marigoldarch.entry.request import Request
from marigoldarch.events import MessageArrived
from marigoldarch.messages import LeadershipTransfer
from marigoldarch.tests import disk
from marigoldarch.tests.control.support import replica_of
from marigoldarch.tests.fuzz.broken import find_violation, run_script
from marigoldarch.tests.fuzz.declarations_tests import DeclarationMachine
from marigoldarch.tests.fuzz.ledger_tests import LedgerMachine
from marigoldarch.tests.fuzz.log_tests import LogMachine


def crash_before_sync(machine: LogMachine) -> None:
    """Crash every replica while no disk has synced a proposed entry yet."""
    machine.cluster.sync_delay_ms = 400.0
    machine.propose_to_leader()
    machine.advance(60.0)
    for name in machine.cluster.names:
        machine.cluster.kill(name)
    for name in machine.cluster.names:
        machine.cluster.start(name)


def restart_voter_in_election(machine: LogMachine, wait_ms: float) -> None:
    """Cut one follower off the leader; after `wait_ms` restart the other and cut it off too.

    If the restarted replica votes at once, the other follower wins while the leader has a lease.
    """
    cluster = machine.cluster
    leader = cluster.leader()
    restarted, candidate = [name for name in cluster.names if name != leader]
    cluster.cut(leader, candidate)
    machine.advance(wait_ms)
    cluster.kill(restarted)
    cluster.cut(leader, restarted)
    cluster.start(restarted)
    machine.advance(600.0)


def restart_without_elections(machine: LogMachine, name: str) -> None:
    """Restart a node, and hold no election while it waits for a leader for an election timeout."""
    cluster = machine.cluster
    cluster.kill(name)
    cluster.start(name)
    for other in cluster.names:
        set_election_due(machine, other, float("inf"))
    machine.advance(640.0)


def set_election_due(machine: LogMachine, name: str, due_ms: float) -> None:
    """Set when a replica starts an election unless a leader contacts it before."""
    replica_of(machine.cluster, name)._election_due_ms = due_ms


def cut_off_leader_that_drains(machine: LogMachine) -> None:
    """Cut the draining leader off from all replies once it has sent the leadership transfer."""
    cluster = machine.cluster
    machine.advance(2000.0)
    leader = cluster.leader()
    machine.drain_leader()
    replica = cluster.nodes[leader].state.control.replica
    while not replica._has_transferred_leadership:
        machine.step()
    for other in cluster.names:
        cluster.cut_one_way(other, leader)
    machine.advance(600.0)


def elect_twice_in_a_term(machine: LogMachine) -> None:
    """Let two candidates ask the leader for its vote in the next term, and restart it in between."""
    cluster = machine.cluster
    machine.advance(1000.0)
    leader = cluster.leader()
    first, second = [name for name in cluster.names if name != leader]
    replicas = {name: cluster.nodes[name].state.control.replica for name in (first, second)}
    cluster.cut(first, second)
    cluster.cut_one_way(leader, second)
    for candidate, replica in replicas.items():
        transfer = LeadershipTransfer(replica.term, replica.name.replica_id)
        cluster.submit(candidate, MessageArrived(cluster.now_ms, leader, transfer))
        for _ in range(10):
            machine.step()
            if replica.is_leader:
                break
        cluster.isolate(candidate)
        cluster.kill(leader)
        cluster.start(leader)
        cluster.cuts.discard((leader, second))


def declare_after_election(machine: DeclarationMachine) -> None:
    """Isolate the node without a replica and the leader, then declare at the next leader."""
    cluster = machine.cluster
    machine.declare(0, "guild", 0)
    machine.advance(1000.0)
    cluster.isolate("n4")
    cluster.isolate(cluster.leader())
    isolated_leader = cluster.leader()
    while cluster.leader() in (None, isolated_leader):
        machine.advance(20.0)
    machine.declare(cluster.names.index(cluster.leader()), "guild", 0)
    machine.advance(600.0)


def post_to_refusing_service(machine: LedgerMachine) -> None:
    """Post while the service refuses connections."""
    machine.set_mode("refuse")
    machine.post(0)
    machine.advance(4000.0)


def post_to_hanging_service(machine: LedgerMachine) -> None:
    """Post to a service that executes calls and never answers."""
    machine.set_mode("hang")
    machine.post(0)
    machine.advance(4000.0)


def post_two_bodies(machine: LedgerMachine) -> None:
    """Post under one key twice, the second time with another body."""
    machine.post(0)
    machine.advance(700.0)
    machine.post_again(1, 0, True)
    machine.advance(700.0)


class ScriptsWithoutFaultTests(unittest.TestCase):
    """The scripts of this module on the unmodified code, so that a violation shows the fault."""

    def test_scripts_hold_without_a_fault(self) -> None:
        scripts = {
            crash_before_sync: LogMachine,
            partial(restart_voter_in_election, wait_ms=700.0): LogMachine,
            elect_twice_in_a_term: LogMachine,
            cut_off_leader_that_drains: LogMachine,
            declare_after_election: DeclarationMachine,
            post_to_hanging_service: LedgerMachine,
            post_to_refusing_service: LedgerMachine,
            post_two_bodies: LedgerMachine,
        }
        for script, machine in scripts.items():
            self.assertEqual(run_script(machine, nullcontext(), script), "")


class BrokenLogTests(unittest.TestCase):
    """Faults of the replicated log."""

    def test_acknowledging_before_the_sync_is_caught(self) -> None:
        original = Replica._append_reply

        def reply_at_once(*args: Any, **fields: Any) -> Send:
            send = original(*args, **fields)
            return Send(send.node, send.message)

        fault = patch.object(Replica, "_append_reply", reply_at_once)
        self.assertRegex(run_script(LogMachine, fault, crash_before_sync), "applied another entry")

    def test_forgetting_a_vote_is_caught(self) -> None:
        original = disk.replay

        def replay_without_votes(records: list, replica_id: str) -> Any:
            kept = [record for record in records if not isinstance(record, VoteRecord)]
            return original(kept, replica_id)

        fault = patch.object(disk, "replay", replay_without_votes)
        self.assertIn("lead term", run_script(LogMachine, fault, elect_twice_in_a_term))

    def test_voting_right_after_a_restart_is_caught(self) -> None:
        original = Replica.start

        def start_without_leader_wait(replica: Replica, now_ms: float) -> list:
            effects = original(replica, now_ms)
            replica._leader_contact_ms = NEVER_MS
            return effects

        violations = set()
        for wait_ms in range(400, 1300, 60):
            fault = patch.object(Replica, "start", start_without_leader_wait)
            script = partial(restart_voter_in_election, wait_ms=wait_ms)
            violations.add(run_script(LogMachine, fault, script))
        self.assertIn("several leaders hold a lease", "".join(violations))

    def test_transferring_leadership_without_stepping_down_is_caught(self) -> None:
        original = Replica.transfer_leadership

        def transfer_and_keep_leading(replica: Replica, now_ms: float) -> list:
            with patch.object(Replica, "_step_down", lambda *args: []):
                return original(replica, now_ms)

        fault = patch.object(Replica, "transfer_leadership", transfer_and_keep_leading)
        violation = run_script(LogMachine, fault, cut_off_leader_that_drains)
        self.assertIn("several leaders hold a lease", violation)

    def test_committing_and_electing_without_a_majority_is_caught(self) -> None:
        fault = patch.object(Configuration, "majority", PropertyMock(return_value=1))
        self.assertRegex(find_violation(LogMachine, fault), "lead|applied another entry")


class BrokenDeclarationTests(unittest.TestCase):
    """Faults of declarations."""

    def test_reporting_in_force_too_early_is_caught(self) -> None:
        def in_force_at_once(sessions: Sessions, state_machine: StateMachine, now_ms: float) -> int:
            return state_machine.view.revision

        fault = patch.object(Sessions, "in_force_revision", in_force_at_once)
        self.assertIn("acts on", find_violation(DeclarationMachine, fault))

    def test_acting_without_a_lease_is_caught(self) -> None:
        fault = patch.object(Member, "has_lease", lambda member, now_ms: True)
        self.assertRegex(find_violation(DeclarationMachine, fault), "acts on|went back")

    def test_ignoring_leases_of_the_previous_leader_is_caught(self) -> None:
        # With seeds whose election takes a second round, the leases of the previous leader end
        # before the new one leads, and the fault has no effect.
        violations = []
        for seed in range(8):
            fault = patch.object(Replica, "grants_end_ms", PropertyMock(return_value=NEVER_MS))
            violations.append(run_script(DeclarationMachine, fault, declare_after_election, seed))
        self.assertIn("acts on", "".join(violations))

    def test_granting_a_lease_on_an_old_revision_is_caught(self) -> None:
        original = Member.on_heartbeat_ack

        def accept_any_lease(member: Member, sender: str, ack: Any, now_ms: float) -> list:
            ack_without_revision = type(ack)(ack.sent_ms, ack.lease_ms, 0, ack.nodes)
            return original(member, sender, ack_without_revision, now_ms)

        def grant_any_lease(sessions: Sessions, sender: str, heartbeat: Any, *rest: Any) -> list:
            heartbeat_of_newest = type(heartbeat)(
                heartbeat.load,
                heartbeat.incarnation,
                rest[0].view.revision,
                heartbeat.wanted_pools,
                heartbeat.sent_ms,
                heartbeat.replica_id,
            )
            return on_heartbeat(sessions, sender, heartbeat_of_newest, *rest)

        on_heartbeat = Sessions.on_heartbeat
        with patch.object(Member, "on_heartbeat_ack", accept_any_lease):
            fault = patch.object(Sessions, "on_heartbeat", grant_any_lease)
            self.assertRegex(find_violation(DeclarationMachine, fault), "acts on|went back")

    def test_ignoring_the_base_revision_is_caught(self) -> None:
        original = StateMachine._try_declare

        def declare_on_newest(state_machine: StateMachine, index: int, command: Any) -> Any:
            last = state_machine.view.last_change(command.team)
            object.__setattr__(command, "base_revision", last.revision if last else 0)
            return original(state_machine, index, command)

        fault = patch.object(StateMachine, "_try_declare", declare_on_newest)
        self.assertIn("several changes won", find_violation(DeclarationMachine, fault))


class BrokenLedgerTests(unittest.TestCase):
    """Faults of the at-most-once ledger."""

    def test_sending_before_the_start_is_committed_is_caught(self) -> None:
        fault = patch.object(attempts.ledger_proposals, "start", attempts._call_target)
        self.assertIn("executed more than once", find_violation(LedgerMachine, fault))

    def test_forgetting_started_calls_is_caught(self) -> None:
        original = Ledger.start

        def forget_and_start(ledger: Ledger, command: Any, now_ms: int) -> Any:
            ledger._records.clear()
            return original(ledger, command, now_ms)

        fault = patch.object(Ledger, "start", forget_and_start)
        self.assertIn("executed more than once", find_violation(LedgerMachine, fault))

    def test_answering_a_reused_key_with_another_body_is_caught(self) -> None:
        original = Ledger.start

        def start_any_body(ledger: Ledger, command: Any, now_ms: int) -> Any:
            record = ledger._records.get((command.customer, command.key))
            if record is not None:
                object.__setattr__(command, "digest", record.start.digest)
            return original(ledger, command, now_ms)

        fault = patch.object(Ledger, "start", start_any_body)
        violation = run_script(LedgerMachine, fault, post_two_bodies)
        self.assertIn("the answer of another body", violation)

    def test_reporting_a_sent_request_as_not_run_is_caught(self) -> None:
        fault = patch.object(Request, "may_have_run", PropertyMock(return_value=False))
        self.assertIn("but was run", run_script(LedgerMachine, fault, post_to_hanging_service))

    def test_missing_a_deadline_is_caught(self) -> None:
        fault = patch.object(entry_reducer, "_stop", lambda *args: [])
        self.assertIn("no outcome by their deadline", find_violation(LedgerMachine, fault))

    def test_keeping_the_key_of_a_call_that_was_not_run_is_caught(self) -> None:
        fault = patch.object(attempts.ledger_proposals, "abandon", lambda *args: [])
        violation = run_script(LedgerMachine, fault, post_to_refusing_service)
        self.assertIn("was never run, but is now", violation)

    def test_answering_twice_is_caught(self) -> None:
        original = attempts.finish

        def finish_twice(*args: Any) -> list:
            effects = original(*args)
            return [*effects, effects[-1]]

        fault = patch.object(attempts, "finish", finish_twice)
        self.assertIn("a second outcome", find_violation(LedgerMachine, fault))
