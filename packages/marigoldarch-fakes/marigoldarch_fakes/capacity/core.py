"""Drives the core of one node in process and measures its processor time, bytes and memory."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from marigoldarch.clock import Millis
from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.durable import DurableState
from marigoldarch.effects import Checkpoint, Effect, Persist, Send
from marigoldarch.events import Event, MessageArrived, Persisted, Started, Tick
from marigoldarch.identifiers import NodeAddress
from marigoldarch.messages import MESSAGES, Heartbeat, Message, NodeLoad
from marigoldarch.reducer import NodeState, reduce
from marigoldarch.settings import CoreSettings

START_MS: Millis = 1000.0
TICK_MS: Millis = 50.0
STARTUP_MS: Millis = 5000.0
JOIN_MS: Millis = 200.0
REPEATS = 3
NS_PER_US = 1000.0


def node_address(number: int) -> NodeAddress:
    """Return the addresses of the node with this number."""
    caller = f"10.{number // 250}.{number % 250}.1:20001"
    return NodeAddress(
        f"node{number:04}", f"dc{number % 23:02}", caller, caller.replace("1:", "2:")
    )


class CoreDriver:
    """Drives the core of node 0 of `nodes` nodes; node 0 is the only voter.

    Writes to disk complete instantly, and messages to itself arrive instantly.
    """

    def __init__(self, nodes: int = 1) -> None:
        addresses = tuple(node_address(number) for number in range(nodes))
        own = addresses[0]
        settings = CoreSettings(own, (own.node,), addresses, "run1", 1)
        self.addresses = addresses
        self.now_ms: Millis = START_MS
        self.state = NodeState(settings, DurableState(replica_id="replica1"))
        self.submit(Started(self.now_ms))
        self.advance(STARTUP_MS)

    @property
    def node(self) -> str:
        """Return the name of the driven node."""
        return self.addresses[0].node

    def submit(self, event: Event) -> list[Effect]:
        """Reduce an event and, at once, its writes and own messages; return the other effects."""
        other_effects: list[Effect] = []
        for effect in reduce(self.state, event):
            match effect:
                case Persist(persist_id=persist_id) | Checkpoint(persist_id=persist_id):
                    other_effects += self.submit(Persisted(self.now_ms, persist_id))
                case Send(node=self.node, message=message):
                    other_effects += self.submit(MessageArrived(self.now_ms, self.node, message))
                case _:
                    other_effects.append(effect)
        return other_effects

    def arrive(self, sender: str, message: Message) -> list[Effect]:
        """Let a message of another node arrive."""
        return self.submit(MessageArrived(self.now_ms, sender, message))

    def advance(self, duration_ms: Millis) -> list[Effect]:
        """Advance the clock in ticks of `TICK_MS`; return the effects."""
        effects: list[Effect] = []
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            effects += self.submit(Tick(self.now_ms))
        return effects

    def heartbeat(self, number: int) -> list[Effect]:
        """Deliver a heartbeat of another node; return the effects."""
        return self.arrive(self.addresses[number].node, self.make_heartbeat(number))

    def make_heartbeat(self, number: int) -> Heartbeat:
        """Return a heartbeat of the node `number` that reports the newest revision."""
        revision = self.state.control.state_machine.view.revision
        load = NodeLoad(self.addresses[number], 250, False)
        return Heartbeat(load, f"run{number}", revision, [], self.now_ms)

    def join_all(self) -> None:
        """Deliver heartbeats of all other nodes, twice if needed, so that their sessions open."""
        for number in range(1, len(self.addresses)):
            self.heartbeat(number)
        if len(self.state.control.state_machine.nodes) < len(self.addresses):
            self.advance(JOIN_MS)
            for number in range(1, len(self.addresses)):
                self.heartbeat(number)


def encode(message: Message) -> bytes:
    """Encode a message as a batch of one, as the peer links do."""
    return encode_json([MESSAGES.to_plain(message)]) + b"\n"


def decode(data: bytes) -> list[Any]:
    """Decode a batch as the peer links do."""
    return [MESSAGES.from_plain(plain) for plain in decode_json(data)]


def sent_bytes(effects: list[Effect]) -> int:
    """Return the encoded size of all messages among the effects."""
    return sum(len(encode(effect.message)) for effect in effects if isinstance(effect, Send))


def message_cpu_time_us(driver: CoreDriver, sender: str, message: Message) -> float:
    """Return the processor time to decode a message, reduce it and encode the messages it sends."""
    data = encode(message)
    start_ns = time.process_time_ns()
    (decoded,) = decode(data)
    effects = driver.arrive(sender, decoded)
    for effect in effects:
        if isinstance(effect, Send):
            encode(effect.message)
    return (time.process_time_ns() - start_ns) / NS_PER_US


def min_cpu_time_us(action: Callable[[], Any], count: int, repeats: int = REPEATS) -> float:
    """Return the least of `repeats` mean processor times of `count` runs of an action."""
    mean_times_us: list[float] = []
    for _ in range(repeats):
        start_ns = time.process_time_ns()
        for _ in range(count):
            action()
        mean_times_us.append((time.process_time_ns() - start_ns) / NS_PER_US / count)
    return min(mean_times_us)


def retained_bytes(build: Callable[[], Any]) -> float:
    """Return the traced memory in bytes that the value returned by `build` keeps alive."""
    tracemalloc.start()
    try:
        kept = build()
        current, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(current)
