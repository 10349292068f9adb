"""A fake service at the target interface, which records the calls that it executes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.effects import CallTarget, CancelCall, Effect
from marigoldarch.events import CallInfo, TargetAnnounced, TargetAnswered, TargetFailed
from marigoldarch.targets import Announcement
from marigoldarch.tests.cluster import MemoryCluster

ANNOUNCE_INTERVAL_MS: Millis = 500.0


class Execution(NamedTuple):
    """One execution: the request that caused it, its idempotency key and its body's SHA-256."""

    request_id: str
    key: str
    body_sha256: str


@dataclass
class PendingCall:
    """A call in progress; it reaches the service at `due_ms`, the answer the node at `answer_ms`."""

    node: str
    incarnation: str
    effect: CallTarget
    due_ms: Millis
    answer_ms: Millis
    is_executed: bool = False
    is_cancelled: bool = False


@dataclass
class FakeService:
    """Two targets of one service; `mode` says what happens to calls that arrive.

    "answer" executes and answers them, "refuse" fails them before a byte was sent, "break" executes
    them and then fails them, "hang" executes them and never answers. `calls` holds the requests by
    id, `max_delay_ms` is the longest time that a call or an answer is under way.
    """

    cluster: MemoryCluster
    rng: random.Random
    calls: dict[str, CallInfo] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    pending: list[PendingCall] = field(default_factory=list)
    mode: str = "answer"
    max_delay_ms: Millis = 50.0
    announce_due_ms: Millis = 0.0

    def observe(self, node: str, effect: Effect) -> None:
        """Handle the calls and cancels that a node sends."""
        match effect:
            case CallTarget():
                incarnation = self.cluster.nodes[node].settings.incarnation
                due_ms = self.cluster.now_ms + self.rng.uniform(0.0, self.max_delay_ms)
                answer_ms = due_ms + self.rng.uniform(0.0, self.max_delay_ms)
                call = PendingCall(node, incarnation, effect, due_ms, answer_ms)
                self.pending.append(call)
            case CancelCall(request_id=request_id, attempt=attempt):
                for call in self.pending:
                    if (call.effect.request_id, call.effect.attempt) == (request_id, attempt):
                        call.is_cancelled = True

    def step(self) -> None:
        """Announce the targets, execute calls that have arrived, and deliver answers that are due."""
        now_ms = self.cluster.now_ms
        if now_ms >= self.announce_due_ms:
            self.announce_due_ms = now_ms + ANNOUNCE_INTERVAL_MS
            self._announce()
        for call in list(self.pending):
            if self._is_caller_paused(call):
                continue
            if not call.is_executed and call.due_ms <= now_ms:
                self._on_arrival(call)
            elif call.is_executed and call.answer_ms <= now_ms:
                self._answer(call)

    def _announce(self) -> None:
        for target in ("s1", "s2"):
            announcement = Announcement(target, "i1", "service", "gradebook", f"{target}:1", "dc1")
            for name in self.cluster.running:
                event = TargetAnnounced(self.cluster.local_ms(name), announcement)
                self.cluster.submit(name, event)

    def _on_arrival(self, call: PendingCall) -> None:
        if self.mode == "refuse":
            self.pending.remove(call)
            self._fail(call, is_unsent=True)
            return
        info = self.calls[call.effect.request_id]
        execution = Execution(info.request_id, info.idempotency_key, info.body_sha256)
        self.executions.append(execution)
        call.is_executed = True
        if self.mode == "break":
            self.pending.remove(call)
            self._fail(call, is_unsent=False)
        elif self.mode == "hang":
            self.pending.remove(call)

    def _answer(self, call: PendingCall) -> None:
        self.pending.remove(call)
        if self._is_caller_up(call) and not call.is_cancelled:
            info = self.calls[call.effect.request_id]
            body = expected_answer(info.idempotency_key, info.body_sha256)
            now_ms = self.cluster.local_ms(call.node)
            event = TargetAnswered(now_ms, info.request_id, call.effect.attempt, 0, body)
            self.cluster.submit(call.node, event)

    def _fail(self, call: PendingCall, *, is_unsent: bool) -> None:
        if self._is_caller_up(call) and not call.is_cancelled:
            effect = call.effect
            event = TargetFailed(
                self.cluster.local_ms(call.node),
                effect.request_id,
                effect.attempt,
                effect.targets[0].target,
                is_unsent,
                0,
            )
            self.cluster.submit(call.node, event)

    def _is_caller_paused(self, call: PendingCall) -> bool:
        """Return whether the calling process is paused; its calls wait until it is resumed."""
        node = self.cluster.nodes.get(call.node)
        return node is not None and node.is_paused

    def _is_caller_up(self, call: PendingCall) -> bool:
        node = self.cluster.nodes.get(call.node)
        return node is not None and node.settings.incarnation == call.incarnation


def expected_answer(key: str, body_sha256: str) -> str:
    """Return the only correct answer to a call with this key and body."""
    return f"done {key} {body_sha256}"
