"""A node's proposals to the leader, which are resent until answered."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.control.commands import COMMANDS, Command
from marigoldarch.effects import Effect, Send
from marigoldarch.messages import Propose
from marigoldarch.settings import ControlSettings


@dataclass
class PendingProposal:
    """A proposal without a result; `is_redirected` if a `NotLeader` made it be resent."""

    command: Command
    sent_ms: Millis
    expires_ms: Millis
    is_redirected: bool = False


class Proposals:
    """Pending proposals by id; the commands are idempotent, so that resending is safe."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._pending: dict[str, PendingProposal] = {}

    @property
    def pending_ids(self) -> list[str]:
        """Return the ids of the pending proposals."""
        return list(self._pending)

    def propose(
        self, proposal_id: str, command: Command, leader: str, now_ms: Millis, expires_ms: Millis
    ) -> list[Effect]:
        """Send a command to the leader, and keep it until it is answered or expires."""
        self._pending[proposal_id] = PendingProposal(command, now_ms, expires_ms)
        return [Send(leader, Propose(proposal_id, COMMANDS.to_plain(command)))]

    def tick(self, leader: str, now_ms: Millis) -> list[Effect]:
        """Resend the proposals that were not answered in time, and drop expired ones."""
        effects: list[Effect] = []
        for proposal_id, pending in list(self._pending.items()):
            if now_ms >= pending.expires_ms:
                del self._pending[proposal_id]
            elif now_ms >= pending.sent_ms + self._settings.proposal_retry_ms:
                pending.sent_ms = now_ms
                pending.is_redirected = False
                effects.append(
                    Send(leader, Propose(proposal_id, COMMANDS.to_plain(pending.command)))
                )
        return effects

    def resend(self, proposal_id: str, leader: str, now_ms: Millis) -> list[Effect]:
        """Resend a proposal to a newly known leader, at most once per retry interval.

        Two nodes that each report the other as leader would otherwise redirect it endlessly.
        """
        pending = self._pending.get(proposal_id)
        if pending is None or pending.is_redirected:
            return []
        pending.is_redirected = True
        pending.sent_ms = now_ms
        return [Send(leader, Propose(proposal_id, COMMANDS.to_plain(pending.command)))]

    def take(self, proposal_id: str) -> PendingProposal | None:
        """Remove and return a proposal that was answered, or None if it is not pending."""
        return self._pending.pop(proposal_id, None)
