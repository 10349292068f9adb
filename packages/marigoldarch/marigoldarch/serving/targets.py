"""Target discovery: announcements of targets, and the merged views of several control hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis

TARGET_SILENCE_MS: Millis = 4800.0
"""A target that no control host has heard from for this long counts as gone: four of the targets'
announcement intervals of 1.2 s."""

RESTORED_TARGET_GRACE_MS: Millis = 2500.0
"""How long a target that was known before a control host's restart is listed without a new
announcement: two announcement intervals."""

GONE_TARGET_RETENTION_MS: Millis = 120_000.0
"""How long the end of a target is remembered, so that no delayed announcement restores it."""


class TargetStart(NamedTuple):
    """One start of a target: its id, and the wall-clock instant of the start."""

    target_id: str
    born_ms: int


class Target(NamedTuple):
    """One announcement of a target.

    `born_ms` is the wall-clock instant of the target's start, `serial` grows with each announcement
    since then. Together they order all announcements of one target. A target that `is_leaving`
    accepts no new requests; one that `is_gone` has stopped.
    """

    target_id: str
    born_ms: int
    serial: int
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    is_gone: bool = False

    @property
    def announcement_order(self) -> tuple[int, int]:
        """Return the sort key of this announcement among all those of the target."""
        return (self.born_ms, self.serial)

    @property
    def start(self) -> TargetStart:
        """Return the start of the target that this announcement is about."""
        return TargetStart(self.target_id, self.born_ms)


def merge_announcements(known: Target, told: Target) -> Target:
    """Return what two announcements of one target say together.

    The newer one counts. Leaving and gone are final until the target starts again, also if a later
    announcement says neither: the hosts that number and pass on announcements have not heard the same ones.
    """
    newer = max(known, told, key=lambda target: target.announcement_order)
    if known.born_ms != told.born_ms:
        return newer
    return newer._replace(
        is_leaving=known.is_leaving or told.is_leaving, is_gone=known.is_gone or told.is_gone
    )


def _differs_in_serial_only(first: Target, second: Target) -> bool:
    """Return whether two announcements are equal but for their serials."""
    return first._replace(serial=second.serial) == second


@dataclass
class Heard:
    """The newest announcement of a target, and when any control host last received one.

    `is_silent` is set once the announcements have stopped.
    """

    target: Target
    heard_ms: Millis
    is_silent: bool = False


class TargetRegistry:
    """The targets that one control host knows, from announcements and from the other hosts."""

    def __init__(self) -> None:
        self._heard: dict[str, Heard] = {}

    @property
    def targets(self) -> list[Target]:
        """Return every target that is not silent, including those that have left."""
        return [heard.target for heard in self._heard.values() if not heard.is_silent]

    @property
    def departures(self) -> list[Target]:
        """Return every target that leaves or has left, silent or not, as long as it is remembered."""
        return [heard.target for heard in self._heard.values() if heard.target.is_leaving]

    def __contains__(self, target_id: str) -> bool:
        """Return whether a target is remembered."""
        return target_id in self._heard

    def record_announcement(self, target: Target, now_ms: Millis) -> bool:
        """Store an announcement; return whether it must be passed on to the other nodes at once."""
        heard = self._heard.get(target.target_id)
        if heard is None:
            self._heard[target.target_id] = Heard(target, now_ms)
            return True
        known = heard.target
        merged = merge_announcements(known, target)
        is_newer = target.announcement_order > known.announcement_order
        is_change = not _differs_in_serial_only(known, merged)
        if not is_change and (known.is_gone or not is_newer):
            return False
        is_change = is_change or heard.is_silent
        heard.target = merged
        heard.heard_ms = now_ms
        heard.is_silent = False
        return is_change

    def find(self, target_id: str) -> Target | None:
        """Return what is known of a target, also if it is silent."""
        heard = self._heard.get(target_id)
        return None if heard is None else heard.target

    def restore(self, targets: list[Target], now_ms: Millis) -> None:
        """Add targets that were known before a restart, without replacing known ones.

        Those that are alive announce themselves again; the others become silent. Several announcements of one
        target count together.
        """
        heard_ms = now_ms - TARGET_SILENCE_MS + RESTORED_TARGET_GRACE_MS
        restored: dict[str, Target] = {}
        for target in targets:
            known = restored.get(target.target_id, target)
            restored[target.target_id] = merge_announcements(known, target)
        for target_id, target in restored.items():
            self._heard.setdefault(target_id, Heard(target, heard_ms))

    def mark_gone(self, target_id: str, now_ms: Millis) -> Target | None:
        """Mark a target as gone.

        Return the announcement to pass on to the other nodes, None if the target is unknown.
        """
        heard = self._heard.get(target_id)
        if heard is None:
            return None
        if not heard.target.is_gone:
            gone = heard.target._replace(
                serial=heard.target.serial + 1, is_leaving=True, is_gone=True
            )
            heard.target = gone
            heard.heard_ms = now_ms
            # Entries are told of it, so that they must be told as well when it has become silent.
            heard.is_silent = False
        return heard.target

    def expire(self, now_ms: Millis) -> list[Target]:
        """Return the targets that have just become silent, and forget those silent for long."""
        silent: list[Target] = []
        for target_id, heard in list(self._heard.items()):
            age_ms = now_ms - heard.heard_ms
            if age_ms >= GONE_TARGET_RETENTION_MS:
                del self._heard[target_id]
            elif age_ms >= TARGET_SILENCE_MS and not heard.is_silent:
                heard.is_silent = True
                silent.append(heard.target)
        return silent


@dataclass
class HostView:
    """The targets that one control host lists; `is_complete` once it has listed every live one."""

    targets: dict[str, Target] = field(default_factory=dict)
    is_complete: bool = False


class MergedTargetView:
    """The targets that an entry knows: the union of the views of its control hosts.

    A target is usable while any connected control host lists it and its newest announcement does
    not say that it is leaving. A target that has said so in a response is not usable until it has
    started again, whatever its announcements say. While no view is complete, targets that were
    usable stay so: an entry that is disconnected from all control hosts continues to serve with the
    targets it knows.
    """

    def __init__(self) -> None:
        self._views: dict[str, HostView] = {}
        self._leaving_since_ms: dict[TargetStart, Millis] = {}
        self._departed: set[TargetStart] = set()
        self._newest_announcements: dict[str, Target] = {}
        self._usable: dict[str, Target] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that grows whenever the usable targets change."""
        return self._generation

    @property
    def usable(self) -> dict[str, Target]:
        """Return the targets that may get new requests, by id."""
        return self._usable

    @property
    def has_complete_view(self) -> bool:
        """Return whether a connected control host has listed every target that is alive."""
        return any(view.is_complete for view in self._views.values())

    def find(self, target_id: str) -> Target | None:
        """Return the newest announcement of a target."""
        return self._newest_announcements.get(target_id)

    @property
    def leaving(self) -> set[TargetStart]:
        """Return the starts of targets that have said in a response that they are leaving."""
        return set(self._leaving_since_ms)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has said in a response that it is leaving."""
        return target.start in self._leaving_since_ms

    def has_announced_departure(self, target: Target) -> bool:
        """Return whether a target leaves, by one of its responses or by an announcement."""
        newest = self._newest_announcements.get(target.target_id)
        is_announced = newest is not None and newest.start == target.start and newest.is_leaving
        return is_announced or self.is_leaving(target)

    def has_departed(self, target: Target) -> bool:
        """Return whether a target has announced that it leaves, and later that it is gone.

        One that announces only that it is gone goes on serving for a time.
        """
        return target.start in self._departed

    def mark_leaving(self, start: TargetStart, now_ms: Millis) -> bool:
        """Record that a target has said in a response that it is leaving; return whether it is new.

        The mark may arrive before the first announcement of this start.
        """
        if start in self._leaving_since_ms:
            return False
        self._leaving_since_ms[start] = now_ms
        self._merge_one(start.target_id)
        return True

    def forget_departed(self, now_ms: Millis) -> None:
        """Drop the marks of targets that are no longer listed and can no longer come back."""
        for start, since_ms in list(self._leaving_since_ms.items()):
            if not self._is_listed(start) and now_ms >= since_ms + GONE_TARGET_RETENTION_MS:
                del self._leaving_since_ms[start]
        self._departed = {start for start in self._departed if self._is_listed(start)}

    def connect(self, host: str) -> None:
        """Start an empty view of a control host, which replaces any earlier one."""
        self._views[host] = HostView()

    def disconnect(self, host: str) -> None:
        """Drop the view of a control host; usable targets stay if no complete view is left."""
        self._views.pop(host, None)
        self._merge()

    def update_target(self, host: str, target: Target) -> None:
        """Store a target as a control host lists it."""
        view = self._views.get(host)
        if view is None:
            return
        view.targets[target.target_id] = target
        newest = self._newest_announcements.get(target.target_id)
        if target.is_gone and self._is_draining(target.start):
            self._departed.add(target.start)
        self._newest_announcements[target.target_id] = merge_announcements(newest or target, target)
        self._merge_one(target.target_id)

    def remove_target(self, host: str, target_id: str) -> None:
        """Remove a target that a control host no longer hears from."""
        view = self._views.get(host)
        if view is not None:
            view.targets.pop(target_id, None)
            self._merge_one(target_id)

    def mark_complete(self, host: str) -> None:
        """Mark the view of a control host as complete: it has listed every target that is alive."""
        view = self._views.get(host)
        if view is not None:
            view.is_complete = True
            self._merge()

    def _merge(self) -> None:
        """Find all usable targets, after a change that may concern any of them."""
        listed = {target_id for view in self._views.values() for target_id in view.targets}
        if not self.has_complete_view:
            listed.update(self._usable)
        usable: dict[str, Target] = {}
        for target_id in listed:
            newest = self._newest_announcements.get(target_id)
            if newest is not None and self._accepts_requests(newest):
                usable[target_id] = newest
        if usable != self._usable:
            self._usable = usable
            self._generation += 1
        if self.has_complete_view:
            self._newest_announcements = {
                key: self._newest_announcements[key]
                for key in listed
                if key in self._newest_announcements
            }

    def _merge_one(self, target_id: str) -> None:
        """Update whether one target is usable, without looking at the views of the others.

        Load pattern: a control host lists hundreds of targets one after the other. A change still
        copies the table of usable targets.
        """
        is_listed = any(target_id in view.targets for view in self._views.values())
        is_kept = not self.has_complete_view and target_id in self._usable
        newest = self._newest_announcements.get(target_id)
        if (is_listed or is_kept) and newest is not None and self._accepts_requests(newest):
            if self._usable.get(target_id) != newest:
                self._usable = {**self._usable, target_id: newest}
                self._generation += 1
        elif target_id in self._usable:
            self._usable = {key: value for key, value in self._usable.items() if key != target_id}
            self._generation += 1
        if not is_listed and self.has_complete_view:
            self._newest_announcements.pop(target_id, None)

    def _is_draining(self, start: TargetStart) -> bool:
        newest = self._newest_announcements.get(start.target_id)
        return self._is_listed(start) and newest.is_leaving and not newest.is_gone

    def _is_listed(self, start: TargetStart) -> bool:
        newest = self._newest_announcements.get(start.target_id)
        return newest is not None and newest.start == start

    def _accepts_requests(self, target: Target) -> bool:
        return not target.is_leaving and not self.is_leaving(target)
