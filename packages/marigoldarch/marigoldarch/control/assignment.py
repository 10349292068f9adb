"""The leader's assignment of a scheduler node to each pool."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.control.commands import AssignPool
from marigoldarch.control.sessions import Sessions
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.identifiers import PoolId


@dataclass
class Assignments:
    """The pools for which one leader has an assignment proposed but not applied.

    The log index of an assignment is its fencing token.
    """

    proposed: set[PoolId] = field(default_factory=set)

    def on_applied(self, pool: PoolId) -> None:
        """Record that the assignment of a pool was applied."""
        self.proposed.discard(pool)

    def may_replace(self, node: str, incarnation: str, state_machine: StateMachine) -> bool:
        """Return whether a proposed assignment may take a pool from a process that schedules it."""
        assignments = state_machine.view.assignments
        return any(
            (found.node, found.incarnation) == (node, incarnation)
            for found in map(assignments.get, self.proposed)
            if found is not None
        )

    def due_assignments(
        self, sessions: Sessions, state_machine: StateMachine, now_ms: Millis
    ) -> list[AssignPool]:
        """Return assignments for the pools without a scheduler, or whose scheduler has stopped.

        A scheduler has stopped if it relinquished the pool, if its process reported its end, or if
        its lease has run out.
        """
        pools = sessions.wanted_pools | set(state_machine.view.assignments)
        commands: list[AssignPool] = []
        for pool in sorted(pools):
            if not self._needs_scheduler(pool, sessions, state_machine, now_ms):
                continue
            newly_assigned = [command.node for command in commands]
            node = _choose_node(pool, sessions, state_machine, newly_assigned, now_ms)
            if node is None:
                break
            self.proposed.add(pool)
            commands.append(AssignPool(pool, node, sessions.by_node[node].incarnation))
        return commands

    def _needs_scheduler(
        self, pool: PoolId, sessions: Sessions, state_machine: StateMachine, now_ms: Millis
    ) -> bool:
        if pool in self.proposed:
            return False
        assignment = state_machine.view.assignments.get(pool)
        if assignment is None or sessions.relinquished_fences.get(pool) == assignment.fence:
            return True
        session = sessions.by_node.get(assignment.node)
        if session is not None and session.incarnation == assignment.incarnation:
            return False
        process = (assignment.node, assignment.incarnation)
        if process in sessions.departed_processes:
            return True
        lease_end_ms = sessions.lease_ends_ms.get(process, sessions.previous_leases_end_ms)
        return now_ms >= max(lease_end_ms, sessions.previous_leases_end_ms)


def _choose_node(
    pool: PoolId,
    sessions: Sessions,
    state_machine: StateMachine,
    newly_assigned: list[str],
    now_ms: Millis,
) -> str | None:
    assignment_counts = dict.fromkeys(sessions.by_node, 0)
    for assignment in state_machine.view.assignments.values():
        if assignment.node in assignment_counts:
            assignment_counts[assignment.node] += 1
    for node in newly_assigned:
        assignment_counts[node] += 1
    candidates = [
        node
        for node, session in sessions.by_node.items()
        if session.expires_ms > now_ms and not session.load.is_leaving
    ]
    if not candidates:
        return None

    def placement_order(node: str) -> tuple[bool, int, str]:
        is_remote = sessions.by_node[node].load.address.data_centre != pool.data_centre
        return is_remote, assignment_counts[node], node

    return min(candidates, key=placement_order)
