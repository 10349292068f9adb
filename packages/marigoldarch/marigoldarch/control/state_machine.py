"""The replicated state machine; its state is the same on every voter."""

from __future__ import annotations

from collections import deque
from typing import Any

from marigoldarch.control.commands import (
    COMMANDS,
    RESULTS,
    AssignPool,
    Command,
    CommandResult,
    Configure,
    Declare,
    DeclareConflict,
    Declared,
    DeclareForbidden,
    DeclareKeyTaken,
    Done,
    Entry,
    LedgerAbandon,
    LedgerExpire,
    LedgerFinish,
    LedgerStart,
    NodeJoined,
    NodeLeft,
)
from marigoldarch.control.ledger import Ledger
from marigoldarch.control.view import ClusterView
from marigoldarch.messages import ViewUpdate

MAX_DECLARE_RESULTS = 4096
"""How many results of `Declare` are kept for resent ones; must be the same on all replicas."""


class StateMachine:
    """Applies committed commands in log order.

    Besides the view it holds what only voters need: the known nodes, the ledger, the results of
    declarations by change id, and recent view updates for deltas. Its state depends on the log
    alone and not on a node's settings, except for `max_recent_updates`.
    """

    def __init__(self, max_recent_updates: int) -> None:
        self._view = ClusterView()
        self._ledger = Ledger()
        self._nodes: dict[str, None] = {}
        self._log_ms = 0
        self._declare_results: dict[str, CommandResult] = {}
        self._recent_updates: deque[ViewUpdate] = deque(maxlen=max_recent_updates)
        self._recent_updates_base = 0

    @property
    def view(self) -> ClusterView:
        """Return the cluster view."""
        return self._view

    @property
    def ledger(self) -> Ledger:
        """Return the at-most-once ledger."""
        return self._ledger

    @property
    def nodes(self) -> list[str]:
        """Return the nodes that may hold a lease, in the order in which they joined."""
        return list(self._nodes)

    @property
    def log_ms(self) -> int:
        """Return the log time at the last applied entry, in milliseconds."""
        return self._log_ms

    def apply(self, entry: Entry) -> CommandResult:
        """Apply one committed entry and return its result."""
        self._log_ms = max(self._log_ms, entry.log_ms)
        command = COMMANDS.from_plain(entry.command)
        match command:
            case Declare():
                return self._declare(entry.index, command)
            case AssignPool() | Configure():
                self._change_view(entry.index, command)
            case NodeJoined(node=node):
                self._nodes[node] = None
            case NodeLeft(node=node):
                self._nodes.pop(node, None)
            case LedgerStart():
                return self._ledger.start(command, self._log_ms)
            case LedgerFinish():
                return self._ledger.finish(command)
            case LedgerAbandon():
                return self._ledger.abandon(command, self._log_ms)
            case LedgerExpire():
                return self._ledger.expire(command)
        return Done()

    def updates_since(self, revision: int) -> list[ViewUpdate] | None:
        """Return the view updates after `revision`, or None if some are no longer kept."""
        if revision < self._recent_updates_base:
            return None
        return [update for update in self._recent_updates if update.revision > revision]

    def to_plain(self) -> dict[str, Any]:
        """Return the state as values that JSON can encode, the same on every replica.

        Only the containers are copied: their items are immutable, so the result may be encoded
        later and in another thread.
        """
        return {
            "log_ms": self._log_ms,
            "view": self._view.to_plain(),
            "nodes": list(self._nodes),
            "ledger": self._ledger.to_plain(),
            "answers": [
                [key, RESULTS.to_plain(value)] for key, value in self._declare_results.items()
            ],
            "history": list(self._recent_updates),
            "history_base": self._recent_updates_base,
        }

    def restore(self, plain: dict[str, Any]) -> None:
        """Replace the state with a result of `to_plain`; an empty dict is the initial state."""
        self._log_ms = plain.get("log_ms", 0)
        self._view = ClusterView.from_plain(plain["view"]) if "view" in plain else ClusterView()
        self._nodes = dict.fromkeys(plain.get("nodes", []))
        self._ledger = Ledger.from_plain(plain["ledger"]) if "ledger" in plain else Ledger()
        self._declare_results = {
            key: RESULTS.from_plain(value) for key, value in plain.get("answers", [])
        }
        self._recent_updates.clear()
        self._recent_updates.extend(ViewUpdate(*update) for update in plain.get("history", []))
        self._recent_updates_base = plain.get("history_base", 0)

    def _declare(self, index: int, command: Declare) -> CommandResult:
        first_result = self._declare_results.get(command.change_id)
        if first_result is not None:
            return first_result
        result = self._try_declare(index, command)
        self._declare_results[command.change_id] = result
        if len(self._declare_results) > MAX_DECLARE_RESULTS:
            del self._declare_results[next(iter(self._declare_results))]
        return result

    def _try_declare(self, index: int, command: Declare) -> CommandResult:
        if not command.has_all_rights and not self._view.may_change(command.operator, command.team):
            return DeclareForbidden(command.operator, command.team)
        last = self._view.last_change(command.team)
        if last is not None and last.change_id == command.change_id:
            return Declared(last.revision)
        revision = last.revision if last else 0
        if command.base_revision != revision:
            winner = last.change_id if last else ""
            return DeclareConflict(revision, winner, last.operator if last else "")
        customer = self._view.find_customer_with_taken_key(command.team, command.declaration)
        if customer:
            return DeclareKeyTaken(customer)
        self._change_view(index, command)
        return Declared(index)

    def _change_view(self, index: int, command: Command) -> None:
        self._view.apply_command(index, command)
        if len(self._recent_updates) == self._recent_updates.maxlen:
            self._recent_updates_base = self._recent_updates[0].revision
        self._recent_updates.append(ViewUpdate(index, COMMANDS.to_plain(command)))
