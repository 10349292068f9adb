"""Chooses the entries through which an entry reaches targets that its own links don't reach.

Load pattern: all entries of a data centre lose their links to the targets at once, and each turns to
others. Each chooses by chance and by its own tunnels, so that no single entry is asked by all; entries
that can't help are left alone for a while. Of a data centre with hundreds of entries the others know a
few, all the same ones; these name more of them in their answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Collection

    from marigoldarch.clock import Millis
    from marigoldarch.serving.report_recipients import EntryNode


class GatewaySettings(NamedTuple):
    """How many entries are asked for one connection, and how long one that can't help is left alone.

    One that does not answer costs its askers time, and is left alone for longer.
    """

    max_asked: int = 2
    avoidance_ms: Millis = 1000.0
    silence_avoidance_ms: Millis = 4000.0
    named_neighbours: int = 8
    """How many entries of its data centre a gateway names in an answer. Who has learned as many asks
    only these, and no longer the few that all know."""

    max_learned: int = 32
    learned_lifetime_ms: Millis = 10_000.0
    """How many such entries are kept, and how long; they may have ended since."""


class Gateways:
    """The other entries, as gateways of one entry; `in_use` counts its tunnels in use through each."""

    def __init__(
        self, data_centre: str, settings: GatewaySettings, rng: random.Random, in_use: Counter[str]
    ) -> None:
        self._data_centre = data_centre
        self._settings = settings
        self._rng = rng
        self._in_use = in_use
        self._near: list[str] = []
        self._far: list[str] = []
        self._learned_until_ms: dict[str, Millis] = {}
        self._avoided_until_ms: dict[str, Millis] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no other entry is known."""
        return not self._near and not self._far

    def set_entries(self, entries: Collection[EntryNode]) -> None:
        """Set the other entries that are known; the others are no gateways any more."""
        self._near = sorted(item.node for item in entries if item.data_centre == self._data_centre)
        self._far = sorted(item.node for item in entries if item.data_centre != self._data_centre)
        known = {*self._near, *self._far, *self._learned_until_ms}
        self._avoided_until_ms = {
            node: until_ms for node, until_ms in self._avoided_until_ms.items() if node in known
        }

    def is_usable(self, node: str, now_ms: Millis) -> bool:
        """Return whether a known entry may be asked for a tunnel."""
        is_known = (
            node in self._near
            or node in self._far
            or now_ms < self._learned_until_ms.get(node, 0.0)
        )
        return is_known and now_ms >= self._avoided_until_ms.get(node, 0.0)

    def name_neighbours(self) -> list[str]:
        """Return some other entries of the own data centre for entries elsewhere, drawn by lot."""
        return self._rng.sample(self._near, min(len(self._near), self._settings.named_neighbours))

    def learn(self, nodes: Collection[str], own: str, now_ms: Millis) -> None:
        """Record entries that a gateway has named; `own` is this entry."""
        for node in nodes:
            if node != own and node not in self._near and node not in self._far:
                self._learned_until_ms.pop(node, None)
                self._learned_until_ms[node] = now_ms + self._settings.learned_lifetime_ms
        while len(self._learned_until_ms) > self._settings.max_learned:
            del self._learned_until_ms[next(iter(self._learned_until_ms))]

    def has_usable(self, now_ms: Millis) -> bool:
        """Return whether some entry may be asked for a tunnel."""
        return any(self.is_usable(node, now_ms) for node in (*self._near, *self._far))

    def is_preferred(self, node: str, now_ms: Millis) -> bool:
        """Return whether a tunnel through an entry is worth to be kept: a nearer one can't help."""
        if not self.is_usable(node, now_ms):
            return False
        return node in self._near or not any(self.is_usable(near, now_ms) for near in self._near)

    def avoid(self, node: str, now_ms: Millis, *, is_silent: bool = False) -> None:
        """Ask an entry no more for a while, as it can't help."""
        settings = self._settings
        avoidance_ms = settings.silence_avoidance_ms if is_silent else settings.avoidance_ms
        self._avoided_until_ms[node] = now_ms + avoidance_ms

    def choose(self, now_ms: Millis) -> list[str]:
        """Return the entries to ask for a tunnel, in this order; none if no entry can help.

        Tunnels go through the own data centre where that is possible, and the second entry to ask is in
        another one, which the same cut hardly reaches.
        """
        near = [node for node in self._near if self.is_usable(node, now_ms)]
        learned = [node for node in self._learned_until_ms if self.is_usable(node, now_ms)]
        far = learned
        if len(learned) < self._settings.named_neighbours:
            far = [*learned, *(node for node in self._far if self.is_usable(node, now_ms))]
        groups = [near, far]
        chosen = [self._choose_one(group) for group in groups if group]
        while len(chosen) < self._settings.max_asked:
            rest = [node for group in groups for node in group if node not in chosen]
            if not rest:
                break
            chosen.append(self._choose_one(rest))
        return chosen[: self._settings.max_asked]

    def wait_ms(self, now_ms: Millis) -> Millis:
        """Return after how long an entry may be asked again, 0 if one may be asked now."""
        nodes = [*self._near, *self._far]
        return max(
            0.0,
            min((self._avoided_until_ms.get(node, 0.0) for node in nodes), default=0.0) - now_ms,
        )

    def _choose_one(self, nodes: list[str]) -> str:
        """Return the one of two entries, drawn by lot, through which fewer tunnels are in use."""
        drawn = self._rng.sample(nodes, min(2, len(nodes)))
        return min(drawn, key=lambda node: self._in_use[node])
