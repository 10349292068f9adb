"""The targets of a pool, with exact accounting of memory.

They are indexed, so that no scheduling decision scans all targets.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from sortedcontainers import SortedList

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.pools.estimates import PREFILL_TIERS, Lane
from marigoldarch.pools.permits import Permit
from marigoldarch.targets import Announcement

REPORT_LAG_MS: Millis = 1000.0
"""A load report may leave out grants that are younger than this."""

ASSIGNABLE_LANES = (Lane.SHORT, Lane.LONG)
"""The lanes that a target can be assigned to."""

CAPABILITY_GROUP_LIMIT = 64
"""How many combinations of adapter and version are indexed; beyond, the oldest is dropped."""


class Capability(NamedTuple):
    """The adapter and version that an item needs; an empty string means any."""

    adapter: str = ""
    version: str = ""

    def matches(self, announcement: Announcement) -> bool:
        """Return whether a target has announced the adapter and the version."""
        has_adapter = not self.adapter or self.adapter in announcement.adapters
        has_version = not self.version or self.version in announcement.versions
        return has_adapter and has_version


@dataclass(eq=False)
class Target:
    """A target and what the scheduler has granted on it.

    `busy_until_ms` holds for each tier the estimated time at which the granted prefill of that tier
    and of all lower tiers, which the engine runs first, is done. `lane` is the lane that the target
    is assigned to. `reserved_ms` is the estimated start of its reservation, None without one.
    """

    announcement: Announcement
    expires_ms: Millis
    lane: Lane = Lane.SHORT
    granted_tokens: int = 0
    busy_until_ms: list[Millis] = field(default_factory=lambda: [0.0] * len(PREFILL_TIERS))
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    recent_prefill_grants: deque[tuple[Millis, int]] = field(default_factory=deque)
    is_set_aside: bool = False
    is_probe_due: bool = False
    is_loading: bool = False
    is_at_limit: bool = False
    reserved_ms: Millis | None = None
    reserved_tokens: int = 0

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.announcement.target

    @property
    def memory_tokens(self) -> int:
        """Return the target's total memory, in tokens."""
        return self.announcement.memory_tokens

    @property
    def free_tokens(self) -> int:
        """Return the memory that no permit claims, in tokens."""
        return self.announcement.memory_tokens - self.granted_tokens

    @property
    def granted_streams(self) -> int:
        """Return the number of permits on the target."""
        return len(self.permits)

    @property
    def address(self) -> TargetAddress:
        """Return the target's name, incarnation and network address."""
        announced = self.announcement
        return TargetAddress(announced.target, announced.incarnation, announced.address)

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be placed on the target.

        A target that was set aside for failures takes one request at a time once a probe is due.
        """
        if self.announcement.is_leaving or self.is_loading or self.is_at_limit:
            return False
        return not self.is_set_aside or (self.is_probe_due and not self.permits)

    def wait_ms(self, lane: Lane, now_ms: Millis) -> Millis:
        """Return the expected wait of new work of a lane until its prefill starts."""
        return max(0.0, self.busy_until_ms[PREFILL_TIERS[lane]] - now_ms)

    def add_work(self, lane: Lane, work_ms: Millis, now_ms: Millis) -> None:
        """Add granted prefill of a lane, or take some back if `work_ms` is negative."""
        for tier in range(PREFILL_TIERS[lane], len(PREFILL_TIERS)):
            self.busy_until_ms[tier] = max(now_ms, self.busy_until_ms[tier]) + work_ms

    def clamp_busy_until(self, lowest_ms: Millis, highest_ms: Millis) -> None:
        """Correct the estimates so that all prefill is done between two points in time."""
        last = min(max(self.busy_until_ms[-1], lowest_ms), highest_ms)
        self.busy_until_ms = [min(until_ms, last) for until_ms in self.busy_until_ms]
        self.busy_until_ms[-1] = last

    def memory_free_at_ms(self, tokens: int, now_ms: Millis) -> Millis:
        """Return when `tokens` are expected to be free if nothing else is granted.

        Infinity if they are not free even after all permits have ended.
        """
        free = self.free_tokens
        if free >= tokens:
            return now_ms
        for permit in sorted(self.permits.values(), key=lambda held: held.ends_ms):
            free += permit.tokens_per_target
            if free >= tokens:
                return max(now_ms, permit.ends_ms)
        return float("inf")


class IndexKeys(NamedTuple):
    """The keys of a target in the indexes of a group."""

    lane: Lane
    busy: list[tuple[Millis, int, str]]
    free: tuple[int, str]


class TargetGroup:
    """The targets that share a capability, indexed by load and by free memory.

    `members` are all of them; the indexes hold those that accept work and are not reserved.
    """

    def __init__(self) -> None:
        self._by_busy_until = {
            lane: [SortedList() for _ in PREFILL_TIERS] for lane in ASSIGNABLE_LANES
        }
        self.by_free_memory = {lane: SortedList() for lane in ASSIGNABLE_LANES}
        self.members: set[str] = set()
        self.memory_tokens = 0
        self.largest_memory_tokens = 0
        self._keys: dict[str, IndexKeys] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def index_target(self, target: Target) -> None:
        """Add a target to the indexes, or update its keys there."""
        self.unindex_target(target.name)
        name, streams = target.name, target.granted_streams
        busy = [(until_ms, streams, name) for until_ms in target.busy_until_ms]
        keys = IndexKeys(target.lane, busy, (target.free_tokens, name))
        self._keys[name] = keys
        for index, key in zip(self._by_busy_until[keys.lane], busy, strict=True):
            index.add(key)
        self.by_free_memory[keys.lane].add(keys.free)

    def unindex_target(self, name: str) -> None:
        """Remove a target from the indexes, if it is there."""
        keys = self._keys.pop(name, None)
        if keys is None:
            return
        for index, key in zip(self._by_busy_until[keys.lane], keys.busy, strict=True):
            index.remove(key)
        self.by_free_memory[keys.lane].remove(keys.free)

    def by_busy_until(self, assigned_lane: Lane, lane: Lane) -> SortedList:
        """Return the targets assigned to a lane, by when they could prefill new work of `lane`."""
        return self._by_busy_until[assigned_lane][PREFILL_TIERS[lane]]


class Fleet:
    """All targets of the pool.

    `capacity_releases` counts the events after which blocked work may fit: new targets, ended
    permits and ended reservations. `reserved` holds the targets in a reservation.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._groups: dict[Capability, TargetGroup] = {Capability(): TargetGroup()}
        self.reserved: dict[str, Target] = {}
        self.capacity_releases = 0

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def __contains__(self, name: str) -> bool:
        return name in self._targets

    def __getitem__(self, name: str) -> Target:
        return self._targets[name]

    @property
    def all_targets_group(self) -> TargetGroup:
        """Return the group of all targets, whatever their adapters and versions."""
        return self._groups[Capability()]

    def find(self, name: str) -> Target | None:
        """Return the target with a name, or None."""
        return self._targets.get(name)

    def add(self, target: Target) -> None:
        """Add a target to the fleet and its indexes."""
        self._targets[target.name] = target
        self.capacity_releases += 1
        for capability, group in self._groups.items():
            self._add_member(group, capability, target)
        self.reindex(target)

    def remove(self, name: str) -> None:
        """Remove a target from the fleet and its indexes."""
        target = self._targets.pop(name)
        self.reserved.pop(name, None)
        for group in self._groups.values():
            group.unindex_target(name)
            if name in group.members:
                self._remove_member(group, target.name, target.memory_tokens)

    def update_announcement(self, target: Target, announcement: Announcement) -> None:
        """Store a renewed announcement; update the groups if what the target can serve changed."""
        old = target.announcement
        target.announcement = announcement
        is_same = (old.adapters, old.versions, old.memory_tokens, old.is_leaving) == (
            announcement.adapters,
            announcement.versions,
            announcement.memory_tokens,
            announcement.is_leaving,
        )
        if is_same:
            return
        for capability, group in self._groups.items():
            if target.name in group.members:
                self._remove_member(group, target.name, old.memory_tokens)
            self._add_member(group, capability, target)
        self.reindex(target)

    def group(self, capability: Capability) -> TargetGroup:
        """Return the group of the targets with a capability, built on first use."""
        found = self._groups.get(capability)
        if found is not None:
            return found
        if len(self._groups) >= CAPABILITY_GROUP_LIMIT:
            oldest = next(key for key in self._groups if key != Capability())
            del self._groups[oldest]
        group = TargetGroup()
        self._groups[capability] = group
        for target in self._targets.values():
            self._add_member(group, capability, target)
            if target.name in group.members and target.accepts_work and target.reserved_ms is None:
                group.index_target(target)
        return group

    def reindex(self, target: Target) -> None:
        """Update a target in the indexes; remove it if it is reserved or takes no new work."""
        is_indexed = target.accepts_work and target.reserved_ms is None
        for group in self._groups.values():
            if target.name not in group.members:
                group.unindex_target(target.name)
            elif is_indexed:
                group.index_target(target)
            else:
                group.unindex_target(target.name)

    def claim_memory(self, target: Target, permit: Permit) -> None:
        """Claim the memory of a permit on a target."""
        target.permits[permit.permit_id] = permit
        target.granted_tokens += permit.tokens_per_target
        self.reindex(target)

    def return_memory(self, target: Target, permit_id: PermitId) -> None:
        """Return the memory that a permit claims on a target, if it claims any."""
        permit = target.permits.pop(permit_id, None)
        if permit is not None:
            target.granted_tokens -= permit.tokens_per_target
            self.capacity_releases += 1
            self.reindex(target)

    def reserve(self, target: Target, tokens: int, start_ms: Millis) -> None:
        """Reserve `tokens` of a target for work that starts at about `start_ms`."""
        target.reserved_ms = start_ms
        target.reserved_tokens = tokens
        self.reserved[target.name] = target
        self.reindex(target)

    def end_reservation(self, target: Target) -> None:
        """End the reservation of a target."""
        target.reserved_ms = None
        target.reserved_tokens = 0
        self.reserved.pop(target.name, None)
        self.capacity_releases += 1
        if target.name in self._targets:
            self.reindex(target)

    def _add_member(self, group: TargetGroup, capability: Capability, target: Target) -> None:
        if not capability.matches(target.announcement):
            return
        group.members.add(target.name)
        group.memory_tokens += target.memory_tokens
        group.largest_memory_tokens = max(group.largest_memory_tokens, target.memory_tokens)

    def _remove_member(self, group: TargetGroup, name: str, memory_tokens: int) -> None:
        group.members.discard(name)
        group.memory_tokens -= memory_tokens
        if memory_tokens == group.largest_memory_tokens:
            members = (self._targets.get(member) for member in group.members)
            group.largest_memory_tokens = max((m.memory_tokens for m in members if m), default=0)
