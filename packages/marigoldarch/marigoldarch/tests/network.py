"""The in-memory network with seeded delays, losses, duplicates, reordering and partitions."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


class Delivery(NamedTuple):
    """A message in flight."""

    due_ms: Millis
    serial: int
    sender: str
    receiver: str
    data: bytes


@dataclass
class NetworkFaults:
    """Probabilities that a message is dropped or duplicated, and bounds of its delay."""

    drop: float = 0.0
    duplicate: float = 0.0
    min_delay_ms: float = 0.2
    max_delay_ms: float = 3.0


class Network:
    """Messages in flight between nodes.

    `cuts` holds the cut links as (sender, receiver). A message is lost if its link is cut when it
    is sent or when it arrives.
    """

    def __init__(self, rng: random.Random) -> None:
        self.faults = NetworkFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.in_flight: list[Delivery] = []
        self.dropped = 0
        self.duplicated = 0
        self._random = rng
        self._serial = 0

    def send(self, sender: str, receiver: str, data: bytes, now_ms: Millis) -> None:
        """Send a message, which may be dropped or duplicated."""
        if (sender, receiver) in self.cuts or self._happens(self.faults.drop):
            self.dropped += 1
            return
        copies = 1
        if self._happens(self.faults.duplicate):
            self.duplicated += 1
            copies = 2
        for _ in range(copies):
            self._serial += 1
            delay_ms = self._random.uniform(self.faults.min_delay_ms, self.faults.max_delay_ms)
            item = Delivery(now_ms + delay_ms, self._serial, sender, receiver, data)
            self.in_flight.append(item)

    def take_due(self, now_ms: Millis) -> list[Delivery]:
        """Remove and return the messages that have arrived by now, in order of arrival."""
        due = sorted(item for item in self.in_flight if item.due_ms <= now_ms)
        self.in_flight = [item for item in self.in_flight if item.due_ms > now_ms]
        arrived = [item for item in due if (item.sender, item.receiver) not in self.cuts]
        self.dropped += len(due) - len(arrived)
        return arrived

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability
