"""The thin first scheduler (greedy, first in first out), kept as the baseline "previous version"."""

from __future__ import annotations

from dataclasses import dataclass, field

from marigoldarch.clock import Millis
from marigoldarch.effects import Effect, RecordEvent, ReleaseMemory, Send
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    HeldPermit,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    WorkItem,
)
from marigoldarch.outcomes import RefusalReason
from marigoldarch.settings import PoolSettings
from marigoldarch.targets import Announcement

PERMIT_RENEWAL_LIMIT_MS: Millis = 10_000.0
"""A permit whose entry was silent for so long is given up, and its memory is reclaimed."""


@dataclass
class Target:
    """A target and what the scheduler has granted on it, in tokens and streams."""

    announcement: Announcement
    expires_ms: Millis
    granted_tokens: int = 0
    granted_streams: int = 0

    @property
    def free_tokens(self) -> int:
        """Return the memory that no permit has claimed."""
        return self.announcement.memory_tokens - self.granted_tokens

    @property
    def address(self) -> TargetAddress:
        """Return where the target listens."""
        announced = self.announcement
        return TargetAddress(announced.target, announced.incarnation, announced.address)


@dataclass
class Permit:
    """A live permit: who uses it for what, and the tokens it claims on each target."""

    permit: PermitId
    node: str
    item: WorkItem
    targets: list[TargetAddress]
    tokens_each: int
    renewed_ms: Millis


@dataclass
class Waiting:
    """A request that waits for its permit."""

    node: str
    item: WorkItem
    expires_ms: Millis


@dataclass
class GreedyScheduler:
    """The one authority over a pool, for one fencing number."""

    pool: PoolId
    fence: int
    settings: PoolSettings
    ready_ms: Millis
    targets: dict[str, Target] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    by_request: dict[tuple[str, int], PermitId] = field(default_factory=dict)
    queue: dict[tuple[str, int], Waiting] = field(default_factory=dict)
    serial: int = 0

    def report_target(self, announcement: Announcement, now_ms: Millis) -> list[Effect]:
        """Take an announcement, and reclaim memory that no live permit accounts for."""
        effects: list[Effect] = []
        known = self.targets.get(announcement.target)
        expires_ms = now_ms + announcement.ttl_ms
        if known is None:
            self.targets[announcement.target] = Target(announcement, expires_ms)
            self._recount(announcement.target)
            effects.append(RecordEvent("target_joined", {"target": announcement.target}))
        else:
            known.announcement = announcement
            known.expires_ms = expires_ms
        effects += self._reclaim_orphans(announcement, now_ms)
        return effects + self._grant(now_ms)

    def request(self, node: str, request: PermitRequest, now_ms: Millis) -> list[Effect]:
        """Queue a request; a resent one gets its first answer."""
        item = request.item
        key = (item.request_id, item.attempt)
        held = self.by_request.get(key)
        if held is not None:
            permit = self.permits[held]
            granted = PermitGranted(self.pool, *key, permit.permit, permit.targets)
            return [Send(node, granted)]
        if key not in self.queue and len(self.queue) >= self.settings.queue_limit:
            return [self._refusal(node, item, RefusalReason.QUEUE_FULL, 1000.0)]
        self.queue[key] = Waiting(node, item, now_ms + item.time_left_ms)
        return self._grant(now_ms)

    def release(self, message: PermitReleased, now_ms: Millis) -> list[Effect]:
        """End a permit or a wait."""
        self.queue.pop((message.request_id, message.attempt), None)
        permit_id = message.permit
        if permit_id is None:
            permit_id = self.by_request.get((message.request_id, message.attempt))
        if permit_id is not None:
            self._drop(PermitId(*permit_id))
        return self._grant(now_ms)

    def update_held_permits(self, node: str, message: PermitsHeld, now_ms: Millis) -> list[Effect]:
        """Renew a node's live permits; take over those of an earlier scheduler."""
        for held in message.held:
            permit = self.permits.get(PermitId(*held.permit))
            if permit is not None:
                permit.renewed_ms = now_ms
            elif held.permit[0] < self.fence:
                self._adopt(node, held, now_ms)
        return []

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets, permits and waits."""
        effects: list[Effect] = []
        for name in [name for name, held in self.targets.items() if held.expires_ms <= now_ms]:
            del self.targets[name]
            effects.append(RecordEvent("target_expired", {"target": name}))
        for permit in list(self.permits.values()):
            if now_ms >= permit.renewed_ms + PERMIT_RENEWAL_LIMIT_MS:
                self._drop(permit.permit)
                effects.append(RecordEvent("permit_expired", {"permit": str(permit.permit)}))
        for key, waiting in list(self.queue.items()):
            if now_ms >= waiting.expires_ms:
                del self.queue[key]
                effects.append(
                    self._refusal(waiting.node, waiting.item, RefusalReason.DEADLINE, 1000.0)
                )
        return effects + self._grant(now_ms)

    def _grant(self, now_ms: Millis) -> list[Effect]:
        if now_ms < self.ready_ms:
            return []
        effects: list[Effect] = []
        for key, waiting in list(self.queue.items()):
            targets = self._place(waiting.item)
            if not targets:
                continue
            del self.queue[key]
            effects += self._issue(waiting, targets, now_ms)
        return effects

    def _usable(self, item: WorkItem) -> list[Target]:
        usable = [
            target
            for target in self.targets.values()
            if not target.announcement.is_leaving
            and target.announcement.target not in item.avoid
            and (not item.adapter or item.adapter in target.announcement.adapters)
            and (not item.version or item.version in target.announcement.versions)
        ]
        return sorted(usable, key=lambda target: (target.granted_tokens, target.granted_streams))

    def _place(self, item: WorkItem) -> list[Target]:
        usable = self._usable(item)
        if not item.model:
            return usable[:1]
        need = item.prompt_tokens + item.output_tokens
        for target in usable:
            if target.free_tokens >= need:
                return [target]
        largest = max((t.announcement.memory_tokens for t in usable), default=0)
        if need <= largest or largest == 0:
            return []
        size = -(-need // largest)
        gang = [target for target in usable if target.free_tokens >= -(-need // size)]
        return gang[:size] if len(gang) >= size else []

    def _issue(self, waiting: Waiting, targets: list[Target], now_ms: Millis) -> list[Effect]:
        self.serial += 1
        item = waiting.item
        need = item.prompt_tokens + item.output_tokens
        permit = Permit(
            PermitId(self.fence, self.serial),
            waiting.node,
            item,
            [target.address for target in targets],
            -(-need // len(targets)),
            now_ms,
        )
        self._add(permit)
        granted = PermitGranted(
            self.pool, item.request_id, item.attempt, permit.permit, permit.targets
        )
        fields = {
            "request": item.request_id,
            "permit": str(permit.permit),
            "targets": [target.target for target in permit.targets],
            "pool": str(self.pool),
        }
        return [RecordEvent("permit_granted", fields), Send(waiting.node, granted)]

    def _adopt(self, node: str, held: HeldPermit, now_ms: Millis) -> None:
        item = held.item
        need = item.prompt_tokens + item.output_tokens
        targets = [TargetAddress(*target) for target in held.targets]
        permit_id = PermitId(*held.permit)
        self._add(Permit(permit_id, node, item, targets, -(-need // len(targets)), now_ms))

    def _add(self, permit: Permit) -> None:
        self.permits[permit.permit] = permit
        self.by_request[permit.item.request_id, permit.item.attempt] = permit.permit
        for address in permit.targets:
            self._charge(address.target, permit.tokens_each, 1)

    def _drop(self, permit_id: PermitId) -> None:
        permit = self.permits.pop(permit_id, None)
        if permit is None:
            return
        self.by_request.pop((permit.item.request_id, permit.item.attempt), None)
        for address in permit.targets:
            self._charge(address.target, -permit.tokens_each, -1)

    def _charge(self, target: str, tokens: int, streams: int) -> None:
        held = self.targets.get(target)
        if held is not None:
            held.granted_tokens += tokens
            held.granted_streams += streams

    def _recount(self, target: str) -> None:
        for permit in self.permits.values():
            if target in [address.target for address in permit.targets]:
                self._charge(target, permit.tokens_each, 1)

    def _reclaim_orphans(self, announcement: Announcement, now_ms: Millis) -> list[Effect]:
        if now_ms < self.ready_ms or announcement.holdings is None:
            return []
        address = self.targets[announcement.target].address
        effects: list[Effect] = []
        for text in announcement.holdings:
            permit = PermitId.parse(text)
            if permit not in self.permits and permit.epoch <= self.fence:
                effects.append(ReleaseMemory(self.pool, address, permit))
        return effects

    def _refusal(
        self, node: str, item: WorkItem, reason: RefusalReason, retry_after_ms: Millis
    ) -> Send:
        refused = PermitRefused(self.pool, item.request_id, item.attempt, reason, retry_after_ms)
        return Send(node, refused)
