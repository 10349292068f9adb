"""The baseline "previous version": the first pool scheduler, greedy and first in, first out.

It has the methods of `PoolScheduler` that the benchmark calls, but for `report_cache`.
"""

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

PERMIT_RENEWAL_TIMEOUT_MS: Millis = 10_000.0
"""A permit that its entry has not renewed for this long expires, and its memory is reclaimed."""


@dataclass
class Target:
    """A target, with the tokens and streams that permits claim on it."""

    announcement: Announcement
    expires_ms: Millis
    granted_tokens: int = 0
    granted_streams: int = 0

    @property
    def free_tokens(self) -> int:
        """Return the memory that no permit claims."""
        return self.announcement.memory_tokens - self.granted_tokens

    @property
    def address(self) -> TargetAddress:
        """Return the name, the incarnation and the address of the target."""
        announced = self.announcement
        return TargetAddress(announced.target, announced.incarnation, announced.address)


@dataclass
class Permit:
    """A live permit: its node and work item, and the tokens that it claims on each target."""

    permit_id: PermitId
    node: str
    item: WorkItem
    targets: list[TargetAddress]
    tokens_per_target: int
    renewed_ms: Millis


@dataclass
class WaitingRequest:
    """A request that waits for its permit."""

    node: str
    item: WorkItem
    expires_ms: Millis


@dataclass
class GreedyScheduler:
    """The only scheduler of a pool under the fencing token `fence`.

    It grants nothing before `ready_ms`.
    """

    pool: PoolId
    fence: int
    settings: PoolSettings
    ready_ms: Millis
    targets: dict[str, Target] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    by_request: dict[tuple[str, int], PermitId] = field(default_factory=dict)
    queue: dict[tuple[str, int], WaitingRequest] = field(default_factory=dict)
    serial: int = 0

    def report_target(self, announcement: Announcement, now_ms: Millis) -> list[Effect]:
        """Apply an announcement, and release the memory of holdings without a live permit."""
        effects: list[Effect] = []
        target = self.targets.get(announcement.target)
        expires_ms = now_ms + announcement.ttl_ms
        if target is None:
            self.targets[announcement.target] = Target(announcement, expires_ms)
            self._restore_claims(announcement.target)
            effects.append(RecordEvent("target_joined", {"target": announcement.target}))
        else:
            target.announcement = announcement
            target.expires_ms = expires_ms
        effects += self._release_orphaned_holdings(announcement, now_ms)
        return effects + self._grant_waiting(now_ms)

    def request(self, node: str, request: PermitRequest, now_ms: Millis) -> list[Effect]:
        """Queue a request; one that has a permit already gets the same permit again."""
        item = request.item
        key = (item.request_id, item.attempt)
        permit_id = self.by_request.get(key)
        if permit_id is not None:
            permit = self.permits[permit_id]
            granted = PermitGranted(self.pool, *key, permit.permit_id, permit.targets)
            return [Send(node, granted)]
        if key not in self.queue and len(self.queue) >= self.settings.queue_limit:
            return [self._refusal_reply(node, item, RefusalReason.QUEUE_FULL, 1000.0)]
        self.queue[key] = WaitingRequest(node, item, now_ms + item.time_left_ms)
        return self._grant_waiting(now_ms)

    def release(self, message: PermitReleased, now_ms: Millis) -> list[Effect]:
        """End a permit, or remove a waiting request."""
        self.queue.pop((message.request_id, message.attempt), None)
        permit_id = message.permit
        if permit_id is None:
            permit_id = self.by_request.get((message.request_id, message.attempt))
        if permit_id is not None:
            self._end_permit(PermitId(*permit_id))
        return self._grant_waiting(now_ms)

    def update_held_permits(self, node: str, message: PermitsHeld, now_ms: Millis) -> list[Effect]:
        """Renew a node's live permits, and adopt those of schedulers with lower fencing tokens."""
        for held in message.held:
            permit = self.permits.get(PermitId(*held.permit))
            if permit is not None:
                permit.renewed_ms = now_ms
            elif held.permit[0] < self.fence:
                self._adopt_permit(node, held, now_ms)
        return []

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Expire targets, permits and waiting requests, then grant what fits."""
        effects: list[Effect] = []
        for name in [name for name, target in self.targets.items() if target.expires_ms <= now_ms]:
            del self.targets[name]
            effects.append(RecordEvent("target_expired", {"target": name}))
        for permit in list(self.permits.values()):
            if now_ms >= permit.renewed_ms + PERMIT_RENEWAL_TIMEOUT_MS:
                self._end_permit(permit.permit_id)
                effects.append(RecordEvent("permit_expired", {"permit": str(permit.permit_id)}))
        for key, waiting in list(self.queue.items()):
            if now_ms >= waiting.expires_ms:
                del self.queue[key]
                effects.append(
                    self._refusal_reply(waiting.node, waiting.item, RefusalReason.DEADLINE, 1000.0)
                )
        return effects + self._grant_waiting(now_ms)

    def _grant_waiting(self, now_ms: Millis) -> list[Effect]:
        if now_ms < self.ready_ms:
            return []
        effects: list[Effect] = []
        for key, waiting in list(self.queue.items()):
            targets = self._choose_targets(waiting.item)
            if not targets:
                continue
            del self.queue[key]
            effects += self._issue_permit(waiting, targets, now_ms)
        return effects

    def _usable_targets(self, item: WorkItem) -> list[Target]:
        usable = [
            target
            for target in self.targets.values()
            if not target.announcement.is_leaving
            and target.announcement.target not in item.avoid
            and (not item.adapter or item.adapter in target.announcement.adapters)
            and (not item.version or item.version in target.announcement.versions)
        ]
        return sorted(usable, key=lambda target: (target.granted_tokens, target.granted_streams))

    def _choose_targets(self, item: WorkItem) -> list[Target]:
        """Return the least loaded target that fits, or a gang of the smallest size, or nothing."""
        usable = self._usable_targets(item)
        if not item.model:
            return usable[:1]
        needed_tokens = item.prompt_tokens + item.output_tokens
        for target in usable:
            if target.free_tokens >= needed_tokens:
                return [target]
        largest_memory_tokens = max(
            (target.announcement.memory_tokens for target in usable), default=0
        )
        if needed_tokens <= largest_memory_tokens or largest_memory_tokens == 0:
            return []
        gang_size = -(-needed_tokens // largest_memory_tokens)
        gang = [target for target in usable if target.free_tokens >= -(-needed_tokens // gang_size)]
        return gang[:gang_size] if len(gang) >= gang_size else []

    def _issue_permit(
        self, waiting: WaitingRequest, targets: list[Target], now_ms: Millis
    ) -> list[Effect]:
        self.serial += 1
        item = waiting.item
        needed_tokens = item.prompt_tokens + item.output_tokens
        permit = Permit(
            PermitId(self.fence, self.serial),
            waiting.node,
            item,
            [target.address for target in targets],
            -(-needed_tokens // len(targets)),
            now_ms,
        )
        self._add_permit(permit)
        granted = PermitGranted(
            self.pool, item.request_id, item.attempt, permit.permit_id, permit.targets
        )
        fields = {
            "request": item.request_id,
            "permit": str(permit.permit_id),
            "targets": [target.target for target in permit.targets],
            "pool": str(self.pool),
        }
        return [RecordEvent("permit_granted", fields), Send(waiting.node, granted)]

    def _adopt_permit(self, node: str, held: HeldPermit, now_ms: Millis) -> None:
        item = held.item
        needed_tokens = item.prompt_tokens + item.output_tokens
        targets = [TargetAddress(*target) for target in held.targets]
        permit_id = PermitId(*held.permit)
        self._add_permit(
            Permit(permit_id, node, item, targets, -(-needed_tokens // len(targets)), now_ms)
        )

    def _add_permit(self, permit: Permit) -> None:
        self.permits[permit.permit_id] = permit
        self.by_request[permit.item.request_id, permit.item.attempt] = permit.permit_id
        for address in permit.targets:
            self._add_claim(address.target, permit.tokens_per_target, 1)

    def _end_permit(self, permit_id: PermitId) -> None:
        permit = self.permits.pop(permit_id, None)
        if permit is None:
            return
        self.by_request.pop((permit.item.request_id, permit.item.attempt), None)
        for address in permit.targets:
            self._add_claim(address.target, -permit.tokens_per_target, -1)

    def _add_claim(self, name: str, tokens: int, streams: int) -> None:
        target = self.targets.get(name)
        if target is not None:
            target.granted_tokens += tokens
            target.granted_streams += streams

    def _restore_claims(self, target: str) -> None:
        """Add the claims of live permits to a target that has joined again."""
        for permit in self.permits.values():
            if target in [address.target for address in permit.targets]:
                self._add_claim(target, permit.tokens_per_target, 1)

    def _release_orphaned_holdings(
        self, announcement: Announcement, now_ms: Millis
    ) -> list[Effect]:
        if now_ms < self.ready_ms or announcement.holdings is None:
            return []
        address = self.targets[announcement.target].address
        effects: list[Effect] = []
        for text in announcement.holdings:
            permit_id = PermitId.parse(text)
            if permit_id not in self.permits and permit_id.epoch <= self.fence:
                effects.append(ReleaseMemory(self.pool, address, permit_id))
        return effects

    def _refusal_reply(
        self, node: str, item: WorkItem, reason: RefusalReason, retry_after_ms: Millis
    ) -> Send:
        refused = PermitRefused(self.pool, item.request_id, item.attempt, reason, retry_after_ms)
        return Send(node, refused)
