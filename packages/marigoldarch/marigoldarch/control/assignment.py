"""The leader's choice of a scheduler for each pool."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.control.commands import AssignPool
from marigoldarch.control.sessions import Sessions
from marigoldarch.control.state_machine import StateMachine
from marigoldarch.identifiers import PoolId


@dataclass
class Assignments:
    """Assignments that one leader has proposed; the log index of each is its fencing number."""

    proposed: set[PoolId] = field(default_factory=set)

    def on_applied(self, pool: PoolId) -> None:
        """Note that an assignment was applied."""
        self.proposed.discard(pool)

    def due(self, sessions: Sessions, machine: StateMachine, now_ms: Millis) -> list[AssignPool]:
        """Return assignments for pools whose scheduler is absent or certainly acts no more."""
        pools = sessions.wanted_pools | set(machine.view.assignments)
        commands: list[AssignPool] = []
        for pool in sorted(pools):
            if not self._needs_scheduler(pool, sessions, machine, now_ms):
                continue
            chosen = [command.node for command in commands]
            node = _choose_node(pool, sessions, machine, chosen, now_ms)
            if node is None:
                break
            self.proposed.add(pool)
            commands.append(AssignPool(pool, node, sessions.by_node[node].incarnation))
        return commands

    def _needs_scheduler(
        self, pool: PoolId, sessions: Sessions, machine: StateMachine, now_ms: Millis
    ) -> bool:
        if pool in self.proposed:
            return False
        assignment = machine.view.assignments.get(pool)
        if assignment is None or sessions.relinquished.get(pool) == assignment.fence:
            return True
        session = sessions.by_node.get(assignment.node)
        if session is not None and session.incarnation == assignment.incarnation:
            return False
        holder = (assignment.node, assignment.incarnation)
        if holder in sessions.departed:
            return True
        held_until_ms = sessions.holders.get(holder, sessions.old_leases_end_ms)
        return now_ms >= max(held_until_ms, sessions.old_leases_end_ms)


def _choose_node(
    pool: PoolId,
    sessions: Sessions,
    machine: StateMachine,
    just_chosen: list[str],
    now_ms: Millis,
) -> str | None:
    counts = dict.fromkeys(sessions.by_node, 0)
    for assignment in machine.view.assignments.values():
        if assignment.node in counts:
            counts[assignment.node] += 1
    for node in just_chosen:
        counts[node] += 1
    staying = [
        node
        for node, held in sessions.by_node.items()
        if held.expires_ms > now_ms and not held.load.is_leaving
    ]
    if not staying:
        return None

    def order(node: str) -> tuple[bool, int, str]:
        is_remote = sessions.by_node[node].load.address.data_centre != pool.data_centre
        return is_remote, counts[node], node

    return min(staying, key=order)
