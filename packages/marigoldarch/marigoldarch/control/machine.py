"""The state machine that the replicated log drives, the same on every voter."""

from __future__ import annotations

from collections import deque

from marigoldarch.control.commands import (
    COMMANDS,
    AssignPool,
    Command,
    CommandResult,
    Declare,
    DeclareConflict,
    Declared,
    Done,
    Entry,
    LedgerAbandon,
    LedgerFinish,
    LedgerStart,
)
from marigoldarch.control.ledger import Ledger
from marigoldarch.control.view import ClusterView
from marigoldarch.messages import ViewUpdate


class StateMachine:
    """Apply committed commands in order.

    Besides the view it holds what only voters need: the ledger, the first answers of changes, and
    recent view updates for deltas.
    """

    def __init__(self, history_limit: int) -> None:
        self._view = ClusterView()
        self._ledger = Ledger()
        self._answers: dict[str, CommandResult] = {}
        self._history: deque[ViewUpdate] = deque(maxlen=history_limit)
        self._history_base = 0

    @property
    def view(self) -> ClusterView:
        """Return the cluster view."""
        return self._view

    def apply(self, entry: Entry) -> CommandResult:
        """Apply one committed entry and return its result."""
        command = COMMANDS.from_plain(entry.command)
        match command:
            case Declare():
                return self._declare(entry.index, command)
            case AssignPool():
                self._change_view(entry.index, command)
                return Done()
            case LedgerStart():
                return self._ledger.start(command)
            case LedgerFinish():
                return self._ledger.finish(command)
            case LedgerAbandon():
                return self._ledger.abandon(command)
            case _:
                return Done()

    def updates_since(self, revision: int) -> list[ViewUpdate] | None:
        """Return the view updates after `revision`, or None when too many have passed."""
        if revision < self._history_base:
            return None
        return [update for update in self._history if update.revision > revision]

    def _declare(self, index: int, command: Declare) -> CommandResult:
        first_answer = self._answers.get(command.change_id)
        if first_answer is not None:
            return first_answer
        result = self._try_declare(index, command)
        self._answers[command.change_id] = result
        return result

    def _try_declare(self, index: int, command: Declare) -> CommandResult:
        state = self._view.teams.get(command.team)
        revision = state.revision if state else 0
        if command.base_revision != revision:
            winner = state.change_id if state else ""
            return DeclareConflict(revision, winner, state.operator if state else "")
        self._change_view(index, command)
        return Declared(index)

    def _change_view(self, index: int, command: Command) -> None:
        self._view.apply_command(index, command)
        if len(self._history) == self._history.maxlen:
            self._history_base = self._history[0].revision
        self._history.append(ViewUpdate(index, COMMANDS.to_plain(command)))
