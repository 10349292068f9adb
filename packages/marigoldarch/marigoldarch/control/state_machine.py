"""The state machine that the replicated log drives, the same on every voter."""

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

ANSWERS_LIMIT = 4096
"""How many first answers of changes are kept. All replicas must agree on it."""


class StateMachine:
    """Apply committed commands in order.

    Besides the view it holds what only voters need: the known nodes, the ledger, the first answers
    of changes, and recent view updates for deltas. It depends on the log alone, never on settings
    of one node, except for how many updates are kept.
    """

    def __init__(self, history_limit: int) -> None:
        self._view = ClusterView()
        self._ledger = Ledger()
        self._nodes: dict[str, None] = {}
        self._log_ms = 0
        self._answers: dict[str, CommandResult] = {}
        self._history: deque[ViewUpdate] = deque(maxlen=history_limit)
        self._history_base = 0

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
        """Return the nodes that may hold a lease, in the order of their joining."""
        return list(self._nodes)

    @property
    def log_ms(self) -> int:
        """Return the log's own time at the last applied entry."""
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
        """Return the view updates after `revision`, or None when too many have passed."""
        if revision < self._history_base:
            return None
        return [update for update in self._history if update.revision > revision]

    def to_plain(self) -> dict[str, Any]:
        """Return the whole state as values that JSON can encode, the same on every replica.

        Only containers are copied: what they hold never changes, so that encoding may happen later
        and in another thread.
        """
        return {
            "log_ms": self._log_ms,
            "view": self._view.to_plain(),
            "nodes": list(self._nodes),
            "ledger": self._ledger.to_plain(),
            "answers": [[key, RESULTS.to_plain(value)] for key, value in self._answers.items()],
            "history": list(self._history),
            "history_base": self._history_base,
        }

    def restore(self, plain: dict[str, Any]) -> None:
        """Replace the state by one that `to_plain` gave; an empty one is the initial state."""
        self._log_ms = plain.get("log_ms", 0)
        self._view = ClusterView.from_plain(plain["view"]) if "view" in plain else ClusterView()
        self._nodes = dict.fromkeys(plain.get("nodes", []))
        self._ledger = Ledger.from_plain(plain["ledger"]) if "ledger" in plain else Ledger()
        self._answers = {key: RESULTS.from_plain(value) for key, value in plain.get("answers", [])}
        self._history.clear()
        self._history.extend(ViewUpdate(*update) for update in plain.get("history", []))
        self._history_base = plain.get("history_base", 0)

    def _declare(self, index: int, command: Declare) -> CommandResult:
        first_answer = self._answers.get(command.change_id)
        if first_answer is not None:
            return first_answer
        result = self._try_declare(index, command)
        self._answers[command.change_id] = result
        if len(self._answers) > ANSWERS_LIMIT:
            del self._answers[next(iter(self._answers))]
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
        taken = self._view.find_taken_key(command.team, command.declaration)
        if taken:
            return DeclareKeyTaken(taken)
        self._change_view(index, command)
        return Declared(index)

    def _change_view(self, index: int, command: Command) -> None:
        self._view.apply_command(index, command)
        if len(self._history) == self._history.maxlen:
            self._history_base = self._history[0].revision
        self._history.append(ViewUpdate(index, COMMANDS.to_plain(command)))
