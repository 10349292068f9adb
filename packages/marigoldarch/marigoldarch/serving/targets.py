"""The targets that announce themselves, and how views of several control hosts are merged."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from marigoldarch.clock import Millis

TARGET_SILENCE_MS: Millis = 4800.0
"""A target that no control host has heard from for this long counts as gone: four of the
announcement intervals of 1.2 s that DEPLOY.md gives."""

RESTORED_TRUST_MS: Millis = 2500.0
"""How long a target from before a restart is believed in without an announcement: two intervals."""

FORGET_GONE_MS: Millis = 120_000.0
"""How long the end of a target is remembered, so that a late announcement does not revive it."""


class Target(NamedTuple):
    """What a target last said of itself.

    `born_ms` is the wall-clock instant of its start, `serial` grows with each announcement of one
    start. Together they order all announcements of one target.
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
        """Return the position among all announcements of this target."""
        return (self.born_ms, self.serial)


def _has_same_offer(first: Target, second: Target) -> bool:
    """Return whether two announcements differ in their serial only."""
    return first._replace(serial=second.serial) == second


@dataclass
class Heard:
    """A target and when any control host last heard from it."""

    target: Target
    heard_ms: Millis
    is_silent: bool = False


class TargetRegistry:
    """The targets as one control host knows them, from announcements and from the other hosts."""

    def __init__(self) -> None:
        self._heard: dict[str, Heard] = {}

    @property
    def targets(self) -> list[Target]:
        """Return every target that is heard of, those that have left included."""
        return [heard.target for heard in self._heard.values() if not heard.is_silent]

    def announce(self, target: Target, now_ms: Millis) -> bool:
        """Take an announcement; return whether the other nodes have to hear of it at once."""
        heard = self._heard.get(target.target_id)
        if heard is None:
            self._heard[target.target_id] = Heard(target, now_ms)
            return True
        if target.announcement_order <= heard.target.announcement_order:
            return False
        is_new = heard.is_silent or not _has_same_offer(heard.target, target)
        if target.born_ms == heard.target.born_ms and not target.is_gone:
            # One start never takes back that it leaves.
            if heard.target.is_gone:
                return False
            is_leaving = target.is_leaving or heard.target.is_leaving
            target = target._replace(is_leaving=is_leaving)
        heard.target = target
        heard.heard_ms = now_ms
        heard.is_silent = False
        return is_new

    def restore(self, targets: list[Target], now_ms: Millis) -> None:
        """Take targets that were known before a restart; those that are alive announce themselves."""
        heard_ms = now_ms - TARGET_SILENCE_MS + RESTORED_TRUST_MS
        for target in targets:
            self._heard.setdefault(target.target_id, Heard(target, heard_ms))

    def leave(self, target_id: str, now_ms: Millis) -> Target | None:
        """Take the end of a target; return what to tell the others, None if it is unknown."""
        heard = self._heard.get(target_id)
        if heard is None:
            return None
        if not heard.target.is_gone:
            gone = heard.target._replace(
                serial=heard.target.serial + 1, is_leaving=True, is_gone=True
            )
            heard.target = gone
            heard.heard_ms = now_ms
        return heard.target

    def expire(self, now_ms: Millis) -> list[Target]:
        """Return the targets that have just fallen silent, and forget those long gone."""
        silent: list[Target] = []
        for target_id, heard in list(self._heard.items()):
            age_ms = now_ms - heard.heard_ms
            if age_ms >= FORGET_GONE_MS:
                del self._heard[target_id]
            elif age_ms >= TARGET_SILENCE_MS and not heard.is_silent:
                heard.is_silent = True
                silent.append(heard.target)
        return silent


@dataclass
class HostView:
    """What one control host has told of the targets; `is_complete` once it has listed them all."""

    targets: dict[str, Target] = field(default_factory=dict)
    is_complete: bool = False


class MergedTargetView:
    """The targets as an entry knows them: the union of what the control hosts tell.

    A target is usable while any connected control host lists it. The newest announcement decides
    whether it leaves. Without any complete view the last union stands: an entry that is cut off
    from all control hosts serves on with what it knows.
    """

    def __init__(self) -> None:
        self._views: dict[str, HostView] = {}
        self._newest: dict[str, Target] = {}
        self._usable: dict[str, Target] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that grows whenever the usable targets change."""
        return self._generation

    @property
    def usable(self) -> dict[str, Target]:
        """Return the targets that may get new work, by id."""
        return self._usable

    def find(self, target_id: str) -> Target | None:
        """Return the newest announcement of a target."""
        return self._newest.get(target_id)

    def connect(self, host: str) -> None:
        """Begin a new view of a control host, in the place of any earlier one."""
        self._views[host] = HostView()

    def disconnect(self, host: str) -> None:
        """Drop the view of a control host; the union stays if no complete view is left."""
        self._views.pop(host, None)
        self._merge()

    def update_target(self, host: str, target: Target) -> None:
        """Take what a control host says of a target."""
        view = self._views.get(host)
        if view is None:
            return
        view.targets[target.target_id] = target
        newest = self._newest.get(target.target_id)
        if newest is None or target.announcement_order > newest.announcement_order:
            self._newest[target.target_id] = target
        self._merge()

    def remove_target(self, host: str, target_id: str) -> None:
        """Take a control host's word that it no longer hears from a target."""
        view = self._views.get(host)
        if view is not None:
            view.targets.pop(target_id, None)
            self._merge()

    def mark_complete(self, host: str) -> None:
        """Note that a control host knows every target that is alive."""
        view = self._views.get(host)
        if view is not None:
            view.is_complete = True
            self._merge()

    def _merge(self) -> None:
        mark_complete = [view for view in self._views.values() if view.is_complete]
        listed = {target_id for view in self._views.values() for target_id in view.targets}
        if not mark_complete:
            listed.update(self._usable)
        usable: dict[str, Target] = {}
        for target_id in listed:
            newest = self._newest.get(target_id)
            if newest is not None and not newest.is_leaving:
                usable[target_id] = newest
        if usable != self._usable:
            self._usable = usable
            self._generation += 1
        if mark_complete:
            self._newest = {key: self._newest[key] for key in listed if key in self._newest}
