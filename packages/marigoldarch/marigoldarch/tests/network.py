"""The in-memory network: delays, drops, duplicates, reordering and cuts, all seeded."""

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
    """How often a message is dropped or sent twice, and its delay in milliseconds."""

    drop: float = 0.0
    duplicate: float = 0.0
    min_delay_ms: float = 0.2
    max_delay_ms: float = 3.0


class Network:
    """Messages in flight; a message is lost if its way is cut when it is sent or arrives."""

    def __init__(self, rng: random.Random) -> None:
        self.faults = NetworkFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.flying: list[Delivery] = []
        self.dropped = 0
        self.duplicated = 0
        self._random = rng
        self._serial = 0

    def send(self, sender: str, receiver: str, data: bytes, now_ms: Millis) -> None:
        """Put a message on its way."""
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
            self.flying.append(item)

    def take_due(self, now_ms: Millis) -> list[Delivery]:
        """Return the messages that arrive by now, in the order of their arrival."""
        due = sorted(item for item in self.flying if item.due_ms <= now_ms)
        self.flying = [item for item in self.flying if item.due_ms > now_ms]
        arrived = [item for item in due if (item.sender, item.receiver) not in self.cuts]
        self.dropped += len(due) - len(arrived)
        return arrived

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability
