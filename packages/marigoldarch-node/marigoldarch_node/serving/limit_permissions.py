"""Permissions to send requests to targets that name a limit for all nodes together, or are cold.

The decisions are those of `marigoldarch.serving.limit_lending`; this module exchanges the messages
and lets attempts wait for the answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldarch.serving.limit_lending import LimitLending
from marigoldarch.serving.limit_messages import LimitAnswer, LimitAsk
from marigoldarch_node.serving.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldarch.clock import Clock, Millis
    from marigoldarch.serving.cold_phases import ColdPhases
    from marigoldarch.serving.limit_lending import Decision
    from marigoldarch.serving.report_recipients import EntryNode
    from marigoldarch.serving.target_limits import TargetLimits
    from marigoldarch.serving.targets import Target

ANSWER_TIMEOUT_MS: Millis = 90.0
"""How long an attempt waits for an answer before it asks again."""

ASKS_PER_OWNER = 2
MAX_OWNERS = 2
"""An attempt asks so many owners one after the other, each so often: a datagram may be lost."""

PERMISSION_MS: Millis = 400.0
"""A permission is used within this time or lost: connecting to the target takes less."""

log = EventLog("limits")


class LimitPermissions:
    """Grants the attempts of an entry what it is lent of the limits of targets.

    `send` is called with the node and the message for another entry.
    """

    def __init__(
        self,
        own: EntryNode,
        process: int,
        limits: TargetLimits,
        clock: Clock,
        cold: ColdPhases | None = None,
    ) -> None:
        self._own = own
        self._clock = clock
        self._lending = LimitLending(own, process, limits, clock.monotonic_ms(), cold)
        self._waiting: dict[str, trio.Event] = {}
        self._granted: set[str] = set()
        self.send: Callable[[str, LimitAsk | LimitAnswer], None] = lambda _, __: None

    @property
    def lending(self) -> LimitLending:
        """Return the decisions on which the permissions are based."""
        return self._lending

    @property
    def account_count(self) -> int:
        """Return of how many targets this entry lends requests to all entries."""
        return self._lending.account_count

    def set_entries(self, entries: Iterable[EntryNode], *, is_own: bool) -> None:
        """Replace the entries that may own limits; with `is_own` this one may."""
        self._lending.set_entries(entries, self._clock.monotonic_ms(), is_own=is_own)

    async def acquire(self, target: Target) -> Millis | None:
        """Return until when a request may be sent to a target, None if it must not be.

        Infinity for a target without a limit. Takes as long as the owner of the limit needs to answer.
        """
        now_ms = self._clock.monotonic_ms()
        rate_per_s = self._lending.rate_per_s(target.start, now_ms)
        if rate_per_s is None:
            return float("inf")
        if self._lending.wait_ms(target.start, now_ms) > 0.0:
            return None
        if self._lending.try_acquire(target, rate_per_s, now_ms):
            return now_ms + PERMISSION_MS
        claim_id = self._lending.claim(target, now_ms)
        decided = self._waiting[claim_id] = trio.Event()
        try:
            await self._wait_for_decision(target, decided)
            is_granted = claim_id in self._granted
        finally:
            self._lending.withdraw(claim_id)
            self._granted.discard(claim_id)
            del self._waiting[claim_id]
        return self._clock.monotonic_ms() + PERMISSION_MS if is_granted else None

    def try_acquire(self, target: Target) -> bool:
        """Return whether a request may be sent to a target at once, without asking the owner."""
        now_ms = self._clock.monotonic_ms()
        rate_per_s = self._lending.rate_per_s(target.start, now_ms)
        if rate_per_s is None:
            return True
        return self._lending.try_acquire(target, rate_per_s, now_ms)

    def receive(self, message: LimitAsk | LimitAnswer) -> None:
        """Handle an ask or an answer of another entry."""
        now_ms = self._clock.monotonic_ms()
        match message:
            case LimitAsk():
                reply = self._lending.receive_ask(message, now_ms)
                if reply is None:
                    return
                if reply.node == self._own.node:
                    # This entry's own ask came back from an entry with another view of the owners.
                    self.receive(reply.message)
                else:
                    self.send(reply.node, reply.message)
            case LimitAnswer():
                self._record_decisions(self._lending.receive_answer(message, now_ms))
                if self._lending.is_waiting:
                    self._ask()

    def forget_old(self) -> None:
        """Drop what is no longer needed."""
        self._lending.forget_old(self._clock.monotonic_ms())

    async def _wait_for_decision(self, target: Target, decided: trio.Event) -> None:
        for _ in range(MAX_OWNERS):
            for _ in range(ASKS_PER_OWNER):
                self._ask()
                with trio.move_on_after(ANSWER_TIMEOUT_MS / 1000.0):
                    await decided.wait()
                if decided.is_set():
                    return
            log.warning("owner of a limit is silent", target=target.target_id)
            self._lending.note_silence(target, self._clock.monotonic_ms())
        self._lending.give_up(target, self._clock.monotonic_ms())

    def _ask(self) -> None:
        outgoing, decisions = self._lending.ask(self._clock.monotonic_ms())
        self._record_decisions(decisions)
        for node, message in outgoing:
            self.send(node, message)

    def _record_decisions(self, decisions: list[Decision]) -> None:
        for claim_id, is_granted in decisions:
            if claim_id not in self._waiting:
                continue
            if is_granted:
                self._granted.add(claim_id)
            self._waiting[claim_id].set()
