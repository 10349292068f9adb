"""Decides which targets an entry reaches over its own links, and which only through another entry.

Load pattern: an entry, or all entries of a data centre, lose the links to some or all targets for
seconds, while callers and other nodes still reach them. What such an entry sees looks like a failure
of the targets. It therefore compares: another entry that reaches a target shows that the own link is
lost, and a second target that is not reached shows that a data centre may be cut off as a whole.
Until a probe gets through again, no request waits for a link that is believed to be lost.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping

    from marigoldarch.clock import Millis
    from marigoldarch.serving.targets import Target


class LinkSettings(NamedTuple):
    """How many targets are compared or probed at a time, and how often.

    With a target that is not reached, `controls_per_data_centre` others are tried in its data centre and
    in up to `max_control_data_centres - 1` others. Of the targets whose own link is lost,
    `max_probes` are probed in each round, those first that were probed longest ago, and as many of each
    data centre that is cut off as are tried in it otherwise.
    """

    controls_per_data_centre: int = 2
    max_control_data_centres: int = 4
    max_probes: int = 4
    probe_interval_ms: Millis = 500.0


@dataclass
class _LostLink:
    """A lost link to one target, or to a data centre."""

    since_ms: Millis
    probed_ms: Millis = field(init=False)

    def __post_init__(self) -> None:
        self.probed_ms = self.since_ms


class TargetLinks:
    """The links of one entry to its targets; those that nothing is known of count as sound."""

    def __init__(self, settings: LinkSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._targets: dict[str, _LostLink] = {}
        self._data_centres: dict[str, _LostLink] = {}

    @property
    def probe_interval_ms(self) -> Millis:
        """Return the time between two rounds of probes."""
        return self._settings.probe_interval_ms

    @property
    def lost_targets(self) -> Collection[str]:
        """Return the targets whose own link is lost, by id."""
        return self._targets.keys()

    @property
    def lost_data_centres(self) -> Collection[str]:
        """Return the data centres of which no target is reached."""
        return self._data_centres.keys()

    @property
    def are_sound(self) -> bool:
        """Return whether no link is believed to be lost."""
        return not self._targets and not self._data_centres

    def is_lost(self, target: Target) -> bool:
        """Return whether the target is to be reached through another entry."""
        return target.target_id in self._targets or target.data_centre in self._data_centres

    def record_lost(self, target: Target, now_ms: Millis) -> bool:
        """Record that another entry reaches a target that this one doesn't; return whether it is new."""
        if target.target_id in self._targets:
            return False
        self._targets[target.target_id] = _LostLink(now_ms)
        return True

    def record_reached(self, target: Target, opened_ms: Millis) -> bool:
        """Record bytes of a target on a connection opened at `opened_ms`; return whether that is news.

        A connection from before the loss may live on while no new one can be opened.
        """
        return any(
            self._restore(links, name, opened_ms)
            for links, name in (
                (self._targets, target.target_id),
                (self._data_centres, target.data_centre),
            )
        )

    @staticmethod
    def _restore(links: dict[str, _LostLink], name: str, opened_ms: Millis) -> bool:
        link = links.get(name)
        if link is None or opened_ms <= link.since_ms:
            return False
        del links[name]
        return True

    def choose_controls(self, unreached: Target, others: Iterable[Target]) -> list[Target]:
        """Return the targets to be tried beside one that is not reached, of several data centres."""
        settings = self._settings
        groups: dict[str, list[Target]] = defaultdict(list)
        for target in others:
            if target.target_id != unreached.target_id:
                groups[target.data_centre].append(target)
        near = groups.pop(unreached.data_centre, [])
        far = self._rng.sample(
            sorted(groups), min(len(groups), settings.max_control_data_centres - 1)
        )
        chosen: list[Target] = []
        for targets in (near, *(groups[name] for name in far)):
            count = min(len(targets), settings.controls_per_data_centre)
            chosen.extend(self._rng.sample(targets, count))
        return chosen

    def record_controls(
        self, unreached: Target, reached: Mapping[Target, bool], now_ms: Millis
    ) -> list[str]:
        """Record which controls were reached; return the data centres that count as cut off now.

        One target that is not reached says little of its data centre, two say that it is cut off, or
        that its targets have failed: then other entries don't reach them either.
        """
        groups: dict[str, list[bool]] = defaultdict(list)
        groups[unreached.data_centre].append(False)
        for target, is_reached in reached.items():
            groups[target.data_centre].append(is_reached)
        lost: list[str] = []
        for data_centre, results in groups.items():
            if any(results):
                self._data_centres.pop(data_centre, None)
            elif len(results) > 1 and data_centre not in self._data_centres:
                self._data_centres[data_centre] = _LostLink(now_ms)
                lost.append(data_centre)
        return lost

    def is_isolated(self, data_centres: Collection[str]) -> bool:
        """Return whether the entry reaches no target of these data centres."""
        return bool(data_centres) and all(name in self._data_centres for name in data_centres)

    def choose_probes(self, usable: Mapping[str, Target], now_ms: Millis) -> list[Target]:
        """Return the targets to be probed now, and forget the links to targets that are gone."""
        for target_id in self._targets.keys() - usable.keys():
            del self._targets[target_id]
        chosen: list[Target] = []
        for data_centre in list(self._data_centres):
            targets = [item for item in usable.values() if item.data_centre == data_centre]
            if not targets:
                del self._data_centres[data_centre]
                continue
            count = min(len(targets), self._settings.controls_per_data_centre)
            chosen.extend(self._rng.sample(targets, count))
        longest_ago = sorted(self._targets, key=lambda name: self._targets[name].probed_ms)
        for target_id in longest_ago[: self._settings.max_probes]:
            self._targets[target_id].probed_ms = now_ms
            if usable[target_id] not in chosen:
                chosen.append(usable[target_id])
        return chosen
