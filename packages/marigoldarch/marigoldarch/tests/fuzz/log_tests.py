"""Fuzzing of the replicated log, and of its guarantees under crashes and network cuts."""

from __future__ import annotations

import unittest

from hypothesis.stateful import rule, run_state_machine_as_test

from marigoldarch.control.commands import COMMANDS, RESULTS, Declare, Declared
from marigoldarch.messages import Propose, ProposeReply
from marigoldarch.tests.fuzz.log_oracle import LogOracle
from marigoldarch.tests.fuzz.machine import CI_SETTINGS, NUMBERS, STATISTICS, ClusterMachine


class LogMachine(ClusterMachine):
    """Clients propose changes to any node; an acknowledged change must stay committed."""

    def prepare(self) -> None:
        """Create an empty oracle."""
        self.oracle = LogOracle()
        self.proposed_count = 0

    @rule(number=NUMBERS)
    def propose(self, number: int) -> None:
        """Propose a new change to a node."""
        self.proposed_count += 1
        self._send(self.proposed_count, self.name_of(number))

    @rule()
    def propose_to_leader(self) -> None:
        """Propose a new change to the leader."""
        leader = self.cluster.leader()
        if leader is not None:
            self.proposed_count += 1
            self._send(self.proposed_count, leader)

    @rule(which=NUMBERS, number=NUMBERS)
    def resend(self, which: int, number: int) -> None:
        """Propose one of the last changes again."""
        if self.proposed_count:
            self._send(max(1, self.proposed_count - which), self.name_of(number))

    def check(self) -> None:
        """Record new replies to proposals, then check the guarantees of the log."""
        for reply in self.cluster.client_messages:
            if isinstance(reply.message, ProposeReply):
                STATISTICS["acknowledged"] += 1
                result = RESULTS.from_plain(reply.message.result)
                assert isinstance(result, Declared), f"{reply.message.proposal_id}: {result}"
                self.oracle.acknowledge(reply.message.proposal_id, result)
        self.cluster.client_messages.clear()
        self.oracle.check(self.cluster)

    def is_recovered(self) -> bool:
        """Return whether every replica has applied every acknowledged change, and a last one."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        if "last" not in self.oracle.acknowledged:
            self._send("last", leader)
            return False
        last_index = max(result.revision for result in self.oracle.acknowledged.values())
        replicas = [node.state.control.replica for node in self.cluster.nodes.values()]
        return all(replica.applied_index >= last_index for replica in replicas if replica)

    def _send(self, change: int | str, node: str) -> None:
        change_id = f"c{change}" if isinstance(change, int) else change
        team = f"team-{change_id}"
        command = Declare(change_id, "ada", team, 0, {"team": team})
        self.cluster.send_from_client(node, Propose(change_id, COMMANDS.to_plain(command)))


class LogFuzzTests(unittest.TestCase):
    """The log under every fault that it must tolerate."""

    def test_acknowledged_changes_stay_and_replicas_agree(self) -> None:
        run_state_machine_as_test(LogMachine, settings=CI_SETTINGS)
